/// In-memory fake of the key-value store: transactions, paged lists of a prefix, leases and change
/// history.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "invariant_checker.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// The key-value store. It executes each call at once; SimulatedCluster delays calls and replies.
class FakeKeyValueStore {
  public:
    FakeKeyValueStore(const Simulation& simulation, const Settings& settings,
                      InvariantChecker& invariants)
        : simulation_(simulation), settings_(settings), invariants_(invariants) {}

    /// Executes any call except a watch.
    StoreReply execute(const StoreCall& call);
    /// Removes expired leases and their keys; while the store is down all leases are extended
    /// instead.
    void expire_leases(bool store_down);
    /// Changes of the controllers' keys after a revision, oldest first.
    std::vector<Event> changes_since(Revision since) const;

    /// The value of a key; nullptr if there is none. Valid until the next change.
    const Json* find(const std::string& key) const;
    /// Keys with a prefix, in lexical order.
    std::vector<std::string> keys(const std::string& prefix) const;
    /// Whether any record holds the job as accepted.
    bool is_accepted(const std::string& uid) const;
    /// Whether any record holds a final state of the job.
    bool is_finished(const std::string& uid) const;
    /// Writes a key without conditions.
    void put(const std::string& key, const Json& value);
    /// Deletes a key if it exists.
    void erase(const std::string& key);
    /// Writes the admission table as the leader would: whether records are shared, and the members'
    /// weights in the order of the epoch (1 where none is given).
    void put_admission_table(bool shared, const std::vector<int>& weights = {});
    /// Compacts the history: a watch that starts before this revision must list all keys again.
    void compact() { compacted_revision_ = ++revision_; }

    /// The revision of the newest change.
    Revision revision() const { return revision_; }
    /// Changes up to this revision are no longer sent to watches.
    Revision compacted_revision() const { return compacted_revision_; }

    /// Maximum size of a value in KB; if unset, the one in the settings.
    std::optional<double> value_limit_kb;
    /// Maximum number of operations per transaction; if unset, the one in the settings.
    std::optional<int> transaction_operation_limit;
    /// Number of puts and deletes by kind of record, such as "c/b".
    std::map<std::string, int> writes_by_kind;
    /// Transactions that failed since a condition did not hold.
    std::vector<Txn> conflicting_transactions;

  private:
    struct Record {
        Json value;
        Revision revision = 0;
        std::uint64_t lease = 0;  // 0: none
    };

    StoreReply grant_lease();
    StoreReply renew_lease(std::uint64_t lease);
    StoreReply get(const std::string& key) const;
    StoreReply list(const std::string& prefix, const std::string& after) const;
    StoreReply commit(const Txn& txn);
    bool is_well_formed(const Txn& txn);
    bool is_well_formed(const Write& write);
    std::vector<std::string> failed_conditions(const Txn& txn) const;
    void apply(const Txn& txn);
    void record_change(const std::string& key, const std::optional<Json>& value);
    double new_lease_end_s() const;

    const Simulation& simulation_;
    const Settings& settings_;
    InvariantChecker& invariants_;
    std::map<std::string, Record> records_;
    Revision revision_ = 0;
    Revision compacted_revision_ = 0;
    std::vector<Event> changes_;
    std::map<std::uint64_t, double> lease_ends_s_;  // by lease
    std::uint64_t last_lease_ = 0;
};

}  // namespace cranemoor::test

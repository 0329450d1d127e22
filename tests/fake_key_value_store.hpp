// In-memory fake of the key-value store: transactions, pages of a prefix, leases and history.
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

/// The key-value store. It executes each call at once; the network decides when calls and replies
/// arrive.
class FakeKeyValueStore {
  public:
    FakeKeyValueStore(const Simulation& simulation, const Settings& settings,
                      InvariantChecker& invariants)
        : simulation_(simulation), settings_(settings), invariants_(invariants) {}

    /// Executes anything but a watch.
    StoreReply execute(const StoreCall& call);
    /// Ends leases that ran out, with their keys; while the store is down all are extended.
    void expire_leases(bool store_down);
    /// Changes of controllers' keys after a revision, oldest first.
    std::vector<Event> changes_since(Revision since) const;

    /// The value of a key; nullptr if there is none. Valid until the next change.
    const Json* find(const std::string& key) const;
    /// Keys below a prefix, in order.
    std::vector<std::string> keys(const std::string& prefix) const;
    /// Whether any record of an accepted job names it.
    bool is_accepted(const std::string& uid) const;
    /// Whether a final state of the job is recorded.
    bool is_finished(const std::string& uid) const;
    /// Writes a key without conditions.
    void put(const std::string& key, const Json& value);
    /// Deletes a key, if it is there.
    void erase(const std::string& key);
    /// Writes the admission table as a leading member would: whether records are shared, and the
    /// weights of the members in the order of the epoch (1 where none is given).
    void put_admission_table(bool shared, const std::vector<int>& weights = {});
    /// Forgets the history: watches that lag behind have to read everything again.
    void compact() { compacted_revision_ = ++revision_; }

    /// The revision of the newest change.
    Revision revision() const { return revision_; }
    /// Changes up to this revision are not told to watches any more.
    Revision compacted_revision() const { return compacted_revision_; }

    /// KB that a value may take; none: as the settings have it.
    std::optional<double> value_limit_kb;
    /// Operations that a transaction may have; none: as the settings have it.
    std::optional<int> transaction_operation_limit;
    /// Puts and deletes by kind of record, as in "c/b".
    std::map<std::string, int> writes_by_kind;
    /// Transactions of which a condition did not hold.
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
    void note_change(const std::string& key, const std::optional<Json>& value);
    double new_lease_end() const;

    const Simulation& simulation_;
    const Settings& settings_;
    InvariantChecker& invariants_;
    std::map<std::string, Record> records_;
    Revision revision_ = 0;
    Revision compacted_revision_ = 0;
    std::vector<Event> changes_;
    std::map<std::uint64_t, double> lease_ends_;  // by lease, in s
    std::uint64_t last_lease_ = 0;
};

}  // namespace cranemoor::test

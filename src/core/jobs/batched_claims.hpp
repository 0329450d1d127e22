/// Batched claims: while the admission table marks writes as scarce
/// (`admission::Table::write_overload`), the claims and exits of many job-array tasks are written
/// together into a few records of each controller (`keys::claim_batch`, stored type `ClaimBatch`)
/// instead of one record per block. Claims in different records cannot see each other, so each
/// block of such a job is assigned one owning controller, and only that controller claims from it.
/// `admission::shard_owner` chooses it: the hash of the block's name modulo the total weight of the
/// members falls into one of consecutive ranges, one for each member and as long as its weight.
/// While the outcome of a write is unknown, its claims go into no other record. `next_record()`
/// returns the record of such a write before all others, with the revision that the write expected,
/// and `tick()` writes it again without new entries under the same condition. Only one of these
/// writes can be applied, so the next one that is applied rules out the first. The outcome counts
/// as resolved once the replica shows another revision of the record or of the membership epoch.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Writes and deletes claim batch records, and says which jobs and blocks they are used for.
class BatchedClaims {
  public:
    /// Reads the replica and the settings through `ctx`, and sends compare-and-swap writes through
    /// it.
    explicit BatchedClaims(Context& ctx) : ctx_(ctx) {}

    /// Whether the claims and exits of `job` go into batched records: true while the
    /// admission table asks for fewer writes and the job is a plain job array (no spread, no gang,
    /// no pages).
    bool is_batched(const Job& job) const;
    /// Whether this controller owns block `block` of `job` and so may claim from it. Always true
    /// for a job that is not batched.
    bool may_claim(const Job& job, int block) const;
    /// The compare-and-swap condition on the admission table record that every batched claim
    /// carries: the table decides which controller owns which block.
    Condition table_condition() const;

    /// Bytes of new entries (counted as `bytes_of` counts them) that one write may add to a record.
    std::size_t entry_bytes_per_write() const;
    /// The record (key and expected revision) that the next write goes to, as the replica is now:
    /// a record with an unknown outcome first, then our record with the fewest live bytes, else a
    /// new one.
    Condition next_record() const;
    /// Adds `entries` to the record of `next_record()`, together with the other changes of `txn`,
    /// in one compare-and-swap. `on_reply` is called with the reply. If the outcome is unknown, it
    /// is called only once the write has been applied or can no longer be, and until then no other
    /// record takes the same claims.
    void write(std::vector<ClaimBatchEntry> entries, Txn txn,
               std::function<void(const StoreReply&)> on_reply);
    /// Resolves writes with an unknown outcome and deletes records that nobody needs any more.
    /// Called once per controller tick.
    void tick();

  private:
    using WeightedMembers = std::vector<std::pair<std::uint64_t, int>>;
    const WeightedMembers& weighted_members(const std::optional<std::string>& zone) const;
    std::size_t record_overhead_bytes() const;
    std::size_t record_bytes_max() const;
    std::size_t live_bytes(const std::string& key) const;
    std::size_t count_live_bytes(const std::string& key) const;
    bool is_retirable(const std::string& key) const;
    void append_live_entries(const std::string& key, ClaimBatch& batch) const;
    bool is_resolved(const std::string& key) const;
    void resolve_unknown_outcomes();

    Context& ctx_;
    std::set<std::string> writes_in_flight_;  // keys of records with a write in flight
    // A write of a record whose outcome is unknown, and the callbacks that wait for it. Until it is
    // resolved, its claims are made in no other record, since both writes could be applied.
    struct UnknownOutcome {
        Revision revision = 0;  // that the write expected
        Revision epoch = 0;     // revision of the membership epoch at the write
        std::vector<std::function<void()>> waiters;
        double next_retry_s = 0;  // steady time of the next rewrite that resolves it
    };
    std::map<std::string, UnknownOutcome> unknown_outcomes_;  // by key of the record
    bool retire_in_flight_ = false;  // a deletion of unneeded records is in flight
    double next_retire_s_ = 0;       // steady time of the next deletion pass
    // Cached count of the bytes of a record that are still needed. An entry that is no longer
    // needed never is again, so an outdated count can only be too high.
    struct LiveBytes {
        Revision revision = 0;  // of the record when counted
        std::size_t bytes = 0;
        double until_s = 0;  // steady time until which the count is used
    };
    mutable std::unordered_map<std::string, LiveBytes> live_bytes_cache_;
    // Members and their weights, of all zones (key "") and by zone, as of the revisions below of
    // the epoch and the admission table.
    mutable std::map<std::string, WeightedMembers> weighted_members_by_zone_;
    mutable Revision weighted_members_epoch_ = 0;
    mutable Revision weighted_members_table_ = 0;
};

}  // namespace cranemoor::core

/// Job completion: the leader writes the final state of jobs whose tasks have all ended, deletes
/// their remaining block records, and later moves the oldest final states out of the watched
/// records (into `keys::final_state`) so that every controller's replica stays small.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Adds to `txn` the final state of `job` (cancelled or not) in place of its first block record,
/// and the deletion of its other block records as far as the transaction's operation limit
/// (`Context::txn_ops_max`) allows, each guarded by a compare-and-swap condition on its revision.
/// Returns the keys written, the first block's key first.
std::vector<std::string> add_final_state_writes(const Context& ctx, const Job& job, bool cancelled,
                                                Txn& txn);

/// Writes and archives the final states of ended jobs. Acts only on the leader.
class JobCompletion {
  public:
    /// Reads the replica through `ctx`, and asks `membership` whether this controller leads.
    JobCompletion(Context& ctx, const Membership& membership)
        : ctx_(ctx), membership_(membership) {}

    /// One step per controller tick: writes final states, then archives the oldest ones once more
    /// than `tunables.final_states_max` are in the watched records.
    void tick();

  private:
    // Final states that one transaction moves out of the watched records.
    struct ArchiveBatch {
        std::set<std::string> jobs;                  // uids
        std::map<std::string, JobListing> listings;  // the rest of the records that list them
        std::set<std::string> outgrown;  // listing records too large to be written again
        std::size_t writes = 0;          // for the jobs, without the listings
    };

    void complete_finished_jobs();
    void archive_oldest_final_states();
    ArchiveBatch collect_archive_batch() const;
    void add_to_archive(const std::string& uid, ArchiveBatch& batch) const;
    void add_archive_writes(const ArchiveBatch& batch, Txn& txn) const;
    void delete_outgrown_listings(const std::set<std::string>& keys, Txn& txn) const;

    Context& ctx_;
    const Membership& membership_;
    std::set<std::string> completions_in_flight_;  // job uids with a final-state write in flight
    bool archive_in_flight_ = false;               // an archive transaction is in flight
    double next_archive_s_ = 0;  // steady time before which no archive pass starts
};

}  // namespace cranemoor::core

// JobStore: this controller's replica of the durable records, kept up to date by the watch. It
// holds every key below `keys::watched_prefix` as of one revision; nothing else in the core keeps
// durable state.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/table.hpp"
#include "core/model/actions.hpp"
#include "core/store/claim_batch_index.hpp"
#include "core/store/job.hpp"
#include "core/store/listing_index.hpp"
#include "core/store/placement_index.hpp"
#include "core/store/record_codec.hpp"
#include "core/store/record_keys.hpp"
#include "core/store/records.hpp"

namespace cranemoor::core {

/// The local replica of the records, with the indexes that the core asks for.
class JobStore {
  public:
    /// A final state by the revision at which it was written: the oldest first.
    using FinalState = std::pair<Revision, std::string>;
    /// Parts of a job's list of dependencies, by number.
    using DependencyParts = std::map<int, std::vector<std::string>>;
    /// A task whose placement appeared, with that placement.
    using NewPlacement = std::pair<TaskId, Placement>;

    /// Begins to read all records anew: everything known is dropped.
    void begin_load();
    /// Takes in one page of the full read.
    void load(const std::vector<Event>& items);
    /// Ends the full read, which is complete as of that revision.
    void end_load(Revision revision);
    /// Takes in one event of the watch. Events follow in order of revision.
    void apply(const Event& event);
    /// Notes that the watch has delivered everything up to that revision.
    void advance(Revision revision) { revision_ = std::max(revision_, revision); }

    /// Whether a full read has ended.
    bool loaded() const { return loaded_; }
    /// How often a full read has begun. Pointers to jobs and machines from before the last one are
    /// no longer valid.
    std::uint64_t loads() const { return loads_; }
    /// The revision as of which the replica is complete.
    Revision revision() const { return revision_; }
    /// The revision of a record, 0 if it doesn't exist.
    Revision revision_of(const std::string& key) const;

    /// The membership epoch, if there is one.
    const std::optional<Epoch>& epoch() const { return epoch_; }
    /// The records attached to controllers' leases, by key.
    const std::map<std::string, Member>& member_keys() const { return member_keys_; }
    /// The admission table, if there is one.
    const std::optional<admission::Table>& table() const { return table_; }
    /// The quota slices of each team, by key.
    const std::map<std::string, QuotaSlices>& slices() const { return slices_; }
    /// The highest feature level that the controller of that name has run, none if it is unknown.
    FeatureLevel level(const std::string& name) const;

    /// All jobs with any record, by uid.
    const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
    /// A job that has no final state, or none.
    const Job* find(const std::string& uid) const;
    /// The final state of a job whose records are still here, or none.
    const Finished* finished(const std::string& uid) const;
    /// What must hold for a change to the tasks of a job that the replica takes for live.
    static std::vector<Condition> alive(const Job& job);
    /// The records that list several jobs, by key.
    const std::map<std::string, JobListing>& listings() const { return listings_.listings(); }
    /// The size of such a record's value in bytes, 0 if it is unknown.
    std::size_t listing_bytes(const std::string& key) const { return listings_.bytes(key); }
    /// Jobs with a final state, whose records may be moved away, the oldest first.
    const std::set<FinalState>& final_states() const { return final_states_; }
    /// Parts of the dependency lists that have records of their own, by uid.
    const std::map<std::string, DependencyParts>& follow_parts() const { return follow_parts_; }

    /// Jobs with tasks to place.
    const std::unordered_set<const Job*>& open() const { return open_; }
    /// Cancelled jobs without a final state.
    const std::set<std::string>& cancelled() const { return cancelled_; }
    /// Jobs of which a final state is to be written or records are to be removed.
    const std::set<std::string>& over() const { return over_; }
    /// Whether all indexes equal what is counted anew from the jobs; for tests.
    bool indexes_agree() const;

    /// The entries of each record of batched claims, by key.
    const std::map<std::string, ClaimBatchEntries>& claim_batches() const {
        return claim_batches_.records();
    }
    /// Whether a batch record must keep that entry, since no other record holds what it says.
    bool needed(const ClaimBatchEntry& entry) const;

    /// What the records say of a machine, see `PlacementIndex::machine`. To be asked again after
    /// each full read.
    std::shared_ptr<const MachinePlacements> site(const std::string& machine) {
        return placements_.machine(machine);
    }
    /// Drops machines of which nothing is known and that nobody keeps.
    void forget_sites() { placements_.forget_unused_machines(); }
    /// The tasks placed on a machine.
    const std::map<TaskId, PlacedTask>& on_machine(const std::string& machine) const {
        return placements_.find(machine).tasks;
    }
    /// The records of cordoned machines, by key.
    const std::map<std::string, CordonBatch>& marks() const { return placements_.marks(); }
    /// The cordon of a machine, or none.
    const Cordon* mark(const std::string& machine) const;
    /// The placement of a task of a live job, or none.
    const Placement* placement(const TaskId& id) const;
    /// What the placed tasks of a team take.
    const Resources& used(const std::string& team) const { return placements_.used(team); }
    /// What the placed tasks of a team take that are charged to one member's quota slice.
    Resources used(const std::string& team, std::uint64_t charge) const {
        return placements_.used(team, charge);
    }

    /// Treats a job as cancelled whose cancellation is durable although the replica doesn't show it
    /// yet: written by this controller, or handed over by another. False: it was known, or the job
    /// has a final state or is unknown; an unknown job has no tasks either.
    bool note_cancelled(const std::string& uid, double wall);
    /// Treats a job as having at least that priority.
    void lend_priority(const std::string& uid, Priority priority);

    /// Placements that appeared since the last call.
    std::vector<NewPlacement> take_new_placements() { return std::exchange(new_placements_, {}); }
    /// Machines whose placements or cordon changed since the last call.
    std::set<std::string> take_touched_machines() { return placements_.take_touched_machines(); }
    /// Jobs that changed since the last call.
    std::set<std::string> take_touched_jobs() { return std::exchange(touched_jobs_, {}); }

  private:
    // Records, by kind (job_store_records.cpp).
    void put(const std::string& key, const Json& value, Revision revision);
    void put_job(const std::string& uid, const Json& value, Revision revision, bool own);
    void put_listing(const std::string& key, const Json& value, Revision revision);
    void put_block(const IndexedKey& key, Block next);
    void put_page(const IndexedKey& key, Block next);
    void put_dependencies(const IndexedKey& key, std::vector<std::string> part);
    void put_claim_batch(const std::string& key, const ClaimBatch& batch);
    void put_quota(const std::string& key, const Json& value, Revision revision);
    void put_marks(const std::string& key, const Json& value, Revision revision);
    void drop(const std::string& key);
    void drop_job(const std::string& uid);
    void drop_block(const IndexedKey& key);
    void drop_page(const IndexedKey& key);
    void drop_dependencies(const IndexedKey& key);

    // The state of jobs and their blocks.
    static void adopt_record(Job& job, JobRecord record);
    void set_block(Job& job, int index, Block next);
    void remove_block(Job& job, int index);
    void remove_blocks_without_record(Job& job);
    void apply_batch_entries(const IndexedKey& key, Block& next) const;
    void apply_batch_entry(const ClaimBatchEntry& entry);
    void apply_batch_entry_to_pages(Job& job, const ClaimBatchEntry& entry);
    void derive_page(Job& job, int index);
    void derive_missing_pages(Job& job);
    void gather_dependencies(const std::string& uid);
    void remove_if_unlisted(const std::string& uid);
    void after_removal(const std::string& uid);
    void erase(const std::string& uid);

    // The indexes over jobs.
    void classify(const std::string& uid, Job& job);
    void update_cancellation(const std::string& uid, Job& job);
    bool agrees_with_indexes(const std::string& uid, const Job& job) const;

    bool loaded_ = false;
    std::uint64_t loads_ = 0;
    Revision revision_ = 0;
    std::unordered_map<std::string, Revision> revisions_;  // by key
    std::optional<Epoch> epoch_;
    std::map<std::string, Member> member_keys_;
    std::optional<admission::Table> table_;
    std::map<std::string, QuotaSlices> slices_;
    std::map<std::string, FeatureLevel> levels_;  // by key
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::string, DependencyParts> follow_parts_;
    ListingIndex listings_;
    ClaimBatchIndex claim_batches_;
    PlacementIndex placements_;
    std::set<FinalState> final_states_;
    std::unordered_set<const Job*> open_;
    std::set<std::string> cancelled_;
    std::set<std::string> over_;
    // Cancellations that the records don't show yet: wall time, by uid.
    std::map<std::string, double> pending_cancellations_;
    std::set<std::string> touched_jobs_;
    std::vector<NewPlacement> new_placements_;
};

}  // namespace cranemoor::core

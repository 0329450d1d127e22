/// JobStore: this controller's local replica of the durable records, kept up to date by the watch.
/// It holds every key below `keys::watched_prefix` as of one revision; nothing else in the core
/// keeps durable state.
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

/// The local replica of the records, with the indexes that the core queries.
class JobStore {
  public:
    /// The revision at which a job's final state was written, and the job's uid.
    using FinalState = std::pair<Revision, std::string>;
    /// Parts of a job's dependency list, by part number.
    using DependencyParts = std::map<int, std::vector<std::string>>;
    /// A newly placed task and its placement.
    using NewPlacement = std::pair<TaskId, Placement>;

    /// Starts a full read of all records, whose pages `apply` takes: drops everything except
    /// pending cancellations.
    void begin_load();
    /// Ends the full read; the replica is complete as of that revision.
    void end_load(Revision revision);
    /// Applies one watch event; events must arrive in order of revision. An event that is not newer
    /// than the replica's record of that key is ignored, unless its revision is 0.
    void apply(const Event& event);
    /// Records that the watch has delivered all events up to that revision.
    void advance_revision(Revision revision) { revision_ = std::max(revision_, revision); }

    /// Whether a full read has completed.
    bool loaded() const { return loaded_; }
    /// Number of full reads started. Pointers to jobs and machines that were obtained before the
    /// last one started are no longer valid.
    std::uint64_t load_count() const { return load_count_; }
    /// The revision as of which the replica is complete.
    Revision revision() const { return revision_; }
    /// The revision of a record; 0 if it doesn't exist.
    Revision revision_of(const std::string& key) const;

    /// The membership epoch; empty if there is none yet.
    const std::optional<Epoch>& epoch() const { return epoch_; }
    /// The member records, which are attached to the controllers' leases, by key.
    const std::map<std::string, Member>& member_records() const { return member_records_; }
    /// The admission table; empty if there is none yet.
    const std::optional<admission::Table>& admission_table() const { return table_; }
    /// The quota slices of each team, by key.
    const std::map<std::string, QuotaSlices>& quota_slices() const { return quota_slices_; }
    /// The highest feature level that the controller of that name has run; `FeatureLevel::none` if
    /// it is unknown.
    FeatureLevel feature_level(const std::string& name) const;

    /// All jobs that have at least one record, by uid.
    const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
    /// The live job with that uid: listed by a record and without a final state; null if there is
    /// none.
    const Job* find(const std::string& uid) const;
    /// The final state of a job whose records are still in the replica; null if there is none.
    const Finished* final_state(const std::string& uid) const;
    /// The conditions that a transaction needs to change the tasks of a job that is live in the
    /// replica, in addition to those on the blocks that it changes.
    static std::vector<Condition> live_conditions(const Job& job);
    /// The jobs of each record that lists several jobs, by key of the record.
    const std::map<std::string, JobListing>& listings() const { return listings_.listings(); }
    /// Size in bytes of the value of such a record; 0 if it is unknown.
    std::size_t listing_bytes(const std::string& key) const { return listings_.bytes(key); }
    /// Jobs with a final state, whose records may be archived, oldest final state first.
    const std::set<FinalState>& final_states() const { return final_states_; }
    /// Parts of dependency lists that are stored in records of their own, by uid.
    const std::map<std::string, DependencyParts>& dependency_parts() const {
        return dependency_parts_;
    }

    /// Live jobs with tasks to place: not cancelled and not waiting for other jobs.
    const std::unordered_set<const Job*>& open_jobs() const { return open_jobs_; }
    /// Cancelled jobs without a final state, by uid.
    const std::set<std::string>& cancelled_jobs() const { return cancelled_jobs_; }
    /// Uids of ended jobs whose final state must still be written or whose remaining records must
    /// still be deleted.
    const std::set<std::string>& jobs_to_finalize() const { return jobs_to_finalize_; }
    /// Whether the indexes equal a recount from all jobs. For tests.
    bool indexes_consistent() const;

    /// The entries of each claim batch record, by key.
    const std::map<std::string, ClaimBatchEntries>& claim_batches() const {
        return claim_batches_.records();
    }
    /// Whether the claim batch record must keep that entry: the job is live, and no block record is
    /// known to include the entry.
    bool is_entry_needed(const ClaimBatchEntry& entry) const;

    /// Placements and cordon of a machine, see `PlacementIndex::machine`. The pointer must be
    /// fetched again after each full read.
    std::shared_ptr<const MachinePlacements> machine_placements(const std::string& machine) {
        return placements_.machine(machine);
    }
    /// See `PlacementIndex::forget_unused_machines`.
    void forget_unused_machines() { placements_.forget_unused_machines(); }
    /// The tasks that are placed on a machine; empty if there are none.
    const std::map<TaskId, PlacedTask>& tasks_on_machine(const std::string& machine) const {
        return placements_.find(machine).tasks;
    }
    /// The records of cordoned machines, by key.
    const std::map<std::string, CordonBatch>& cordon_batches() const {
        return placements_.cordon_batches();
    }
    /// The cordon of a machine; null if it is not cordoned.
    const Cordon* cordon(const std::string& machine) const;
    /// The placement of a task; null if it is not placed or its job is not live.
    const Placement* placement(const TaskId& id) const;
    /// Resources of a team's placed tasks.
    const Resources& used(const std::string& team) const { return placements_.used(team); }
    /// Resources of a team's placed tasks that are charged to the quota slice of one member.
    Resources used(const std::string& team, std::uint64_t member_id) const {
        return placements_.used(team, member_id);
    }

    /// Treats a job as cancelled from now on, at that wall time in seconds. The cancellation must
    /// be durable already, written by this controller or received from another one; only the
    /// replica may still lag behind. Returns false if the job is already cancelled, has a final
    /// state, or is unknown (an unknown job has no tasks either).
    bool note_cancelled(const std::string& uid, double cancelled_wall_s);
    /// Sets the priority that a job inherits from its dependent jobs. Its effective priority is the
    /// higher one of this and its own.
    void set_inherited_priority(const std::string& uid, Priority priority);

    /// Returns the placements that were added since the last call.
    std::vector<NewPlacement> take_new_placements() { return std::exchange(new_placements_, {}); }
    /// Returns the machines whose placements or cordon changed since the last call.
    std::set<std::string> take_changed_machines() { return placements_.take_changed_machines(); }
    /// Returns the uids of the jobs that changed since the last call.
    std::set<std::string> take_changed_jobs() { return std::exchange(changed_jobs_, {}); }

  private:
    // Changes by kind of record (job_store_records.cpp).
    void put(const std::string& key, const Json& value, Revision revision);
    void put_job(const std::string& uid, const Json& value, Revision revision, bool own);
    void put_listing(const std::string& key, const Json& value, Revision revision);
    void put_block(const IndexedKey& key, Block next);
    void put_page(const IndexedKey& key, Block next);
    void put_dependencies(const IndexedKey& key, std::vector<std::string> part);
    void put_claim_batch(const std::string& key, const ClaimBatch& batch);
    void put_quota(const std::string& key, const Json& value, Revision revision);
    void put_cordons(const std::string& key, const Json& value, Revision revision);
    void drop(const std::string& key);
    void drop_job(const std::string& uid);
    void drop_block(const IndexedKey& key);
    void drop_page(const IndexedKey& key);
    void drop_dependencies(const IndexedKey& key);

    // The state of jobs and of their blocks.
    static void apply_job_record(Job& job, JobRecord record);
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
    void erase_if_no_records(const std::string& uid);
    void erase(const std::string& uid);

    // The indexes over jobs.
    void update_indexes(const std::string& uid, Job& job);
    void update_cancellation(const std::string& uid, Job& job);
    bool consistent_with_indexes(const std::string& uid, const Job& job) const;

    bool loaded_ = false;
    std::uint64_t load_count_ = 0;
    Revision revision_ = 0;
    std::unordered_map<std::string, Revision> revisions_;  // by key
    std::optional<Epoch> epoch_;
    std::map<std::string, Member> member_records_;
    std::optional<admission::Table> table_;
    std::map<std::string, QuotaSlices> quota_slices_;
    std::map<std::string, FeatureLevel> feature_levels_;  // by key
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::string, DependencyParts> dependency_parts_;
    ListingIndex listings_;
    ClaimBatchIndex claim_batches_;
    PlacementIndex placements_;
    std::set<FinalState> final_states_;
    std::unordered_set<const Job*> open_jobs_;
    std::set<std::string> cancelled_jobs_;
    std::set<std::string> jobs_to_finalize_;
    // Durable cancellations that the replica does not show yet: wall time in seconds, by uid.
    std::map<std::string, double> pending_cancellations_;
    std::set<std::string> changed_jobs_;
    std::vector<NewPlacement> new_placements_;
};

}  // namespace cranemoor::core

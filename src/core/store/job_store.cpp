#include "core/store/job_store.hpp"

namespace cranemoor::core {

namespace {
bool is_live(const Job& job) {
    return job.revision != 0 && !job.final;
}

bool has_open_tasks(const Job& job) {
    return is_live(job) && !job.cancelled && !job.waiting && job.open() > 0;
}

// Whether an ended job still needs work: its final state must be written, or records that remain
// after its end must be deleted.
bool needs_finalizing(const Job& job) {
    if (job.revision == 0 && !job.final) {
        return true;
    }
    if (job.final) {
        return !job.other_block_records().empty();
    }
    return job.complete() || (job.cancelled && job.placed() == 0);
}

void insert_or_erase(std::set<std::string>& uids, const std::string& uid, bool is_element) {
    if (is_element) {
        uids.insert(uid);
    } else {
        uids.erase(uid);
    }
}

// Totals over all blocks of a job.
struct BlockTotals {
    int done = 0;
    int placed = 0;
    int fails = 0;  // most failures in a row of a block; 0 if the job itself is sound
};

BlockTotals count_blocks(const Job& job) {
    BlockTotals totals;
    // A block with done tasks and no failures in a row: failures elsewhere are not the job's fault.
    bool block_succeeded = false;
    for (const auto& [index, block] : job.blocks) {
        totals.fails = std::max(totals.fails, block.consecutive_failures);
        block_succeeded =
            block_succeeded || (block.consecutive_failures == 0 && !block.done.empty());
        totals.done += block.done_count();
        totals.placed += static_cast<int>(block.placed.size());
    }
    totals.fails = block_succeeded ? 0 : totals.fails;
    return totals;
}
}  // namespace

void JobStore::begin_load() {
    std::uint64_t load_count = load_count_;
    auto pending_cancellations = std::move(pending_cancellations_);
    *this = JobStore();
    load_count_ = load_count + 1;
    pending_cancellations_ = std::move(pending_cancellations);
}

void JobStore::end_load(Revision revision) {
    revision_ = revision;
    loaded_ = true;
    // The full read returns batch records in key order, but their entries must be applied in the
    // order in which they were written.
    claim_batches_.sort_by_revision();
    for (const auto& [uid, entries] : claim_batches_.by_job()) {
        for (const auto& entry : entries) {
            apply_batch_entry(*entry);
        }
    }
}

Revision JobStore::revision_of(const std::string& key) const {
    auto it = revisions_.find(key);
    return it == revisions_.end() ? 0 : it->second;
}

void JobStore::apply(const Event& event) {
    // A page of the full read may be newer than the revision at which the watch starts. The watch
    // then repeats events that the page already includes; they must not revert a key to an older
    // value.
    if (revision_of(event.key) >= event.revision && event.revision != 0) {
        return;
    }
    if (event.value) {
        put(event.key, *event.value, event.revision);
    } else {
        drop(event.key);
    }
}

// Updates the totals of a job and the indexes over jobs from its blocks and records.
void JobStore::update_indexes(const std::string& uid, Job& job) {
    remove_blocks_without_record(job);
    BlockTotals totals = count_blocks(job);
    job.done_total = totals.done;
    job.placed_total = totals.placed;
    job.consecutive_failures = totals.fails;
    update_cancellation(uid, job);
    const Block& first = job.first_block_record();
    if (first.final && !job.final) {
        job.final = first.final;
        job.final_revision = first.revision;
        final_states_.emplace(job.final_revision, uid);
    }
    insert_or_erase(cancelled_jobs_, uid, is_live(job) && job.cancelled);
    insert_or_erase(jobs_to_finalize_, uid, needs_finalizing(job));
    if (has_open_tasks(job)) {
        open_jobs_.insert(&job);
    } else {
        open_jobs_.erase(&job);
    }
    changed_jobs_.insert(uid);
}

// Removes the blocks of a job with a final state that are known only from claim batch records: they
// have no record that would have to be deleted.
void JobStore::remove_blocks_without_record(Job& job) {
    if (!job.first_block_record().final || job.page_size != 0) {
        return;
    }
    for (auto it = job.blocks.begin(); it != job.blocks.end();) {
        int index = it->first;
        bool without_record = index != 0 && it->second.revision == 0;
        ++it;
        if (without_record) {
            remove_block(job, index);
        }
    }
}

void JobStore::update_cancellation(const std::string& uid, Job& job) {
    const Block& first = job.first_block_record();
    job.cancelled_wall = std::max(job.own_cancelled_wall, first.cancelled_wall);
    if (auto pending = pending_cancellations_.find(uid); pending != pending_cancellations_.end()) {
        if (job.cancelled_wall > 0 || first.final) {
            pending_cancellations_.erase(pending);
        } else {
            job.cancelled_wall = pending->second;
        }
    }
    job.cancelled = job.cancelled_wall > 0;
}

void JobStore::erase(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it->second.final) {
        final_states_.erase({it->second.final_revision, uid});
    }
    open_jobs_.erase(&it->second);
    cancelled_jobs_.erase(uid);
    pending_cancellations_.erase(uid);
    jobs_to_finalize_.erase(uid);
    changed_jobs_.insert(uid);
    jobs_.erase(it);
}

bool JobStore::note_cancelled(const std::string& uid, double cancelled_wall_s) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.cancelled || it->second.final) {
        return false;
    }
    pending_cancellations_[uid] = cancelled_wall_s;
    update_indexes(uid, it->second);
    return true;
}

void JobStore::set_inherited_priority(const std::string& uid, Priority priority) {
    if (auto it = jobs_.find(uid); it != jobs_.end()) {
        it->second.spec.priority = std::max(it->second.submitted_priority, priority);
        changed_jobs_.insert(uid);
    }
}

// Whether a job's totals equal the sums over its blocks, and whether it is in exactly the sets that
// it belongs in.
bool JobStore::consistent_with_indexes(const std::string& uid, const Job& job) const {
    BlockTotals counted = count_blocks(job);
    return counted.done == job.done_total && counted.placed == job.placed_total &&
           has_open_tasks(job) == (open_jobs_.contains(&job)) &&
           needs_finalizing(job) == (jobs_to_finalize_.contains(uid)) &&
           (is_live(job) && job.cancelled) == (cancelled_jobs_.contains(uid));
}

bool JobStore::indexes_consistent() const {
    std::size_t open_count = 0;
    std::size_t cancelled_count = 0;
    std::size_t to_finalize_count = 0;
    std::unordered_map<std::string, MachinePlacements> by_machine;
    for (const auto& [uid, job] : jobs_) {
        if (!consistent_with_indexes(uid, job)) {
            return false;
        }
        open_count += has_open_tasks(job) ? 1 : 0;
        cancelled_count += is_live(job) && job.cancelled ? 1 : 0;
        to_finalize_count += needs_finalizing(job) ? 1 : 0;
        for (const auto& [index, block] : job.blocks) {
            for (const auto& [task, placement] : block.placed) {
                if (job.revision != 0) {
                    by_machine[placement.machine].tasks[{uid, task}] = {&job, &placement};
                    by_machine[placement.machine].used += job.spec.task_resources;
                }
            }
        }
    }
    return open_count == open_jobs_.size() && cancelled_count == cancelled_jobs_.size() &&
           to_finalize_count == jobs_to_finalize_.size() && placements_.agrees_with(by_machine);
}

bool JobStore::is_entry_needed(const ClaimBatchEntry& entry) const {
    const Job* job = find(entry.uid);
    return job != nullptr &&
           (job->page_size > 0 ||
            job->block(entry.block).recorded_batch_revision < entry.write_revision);
}

std::vector<Condition> JobStore::live_conditions(const Job& job) {
    if (job.own_record) {
        return {{keys::job(job.spec.uid), job.revision}};
    }
    // A shared record also changes on behalf of its other jobs, so its revision can't be a
    // condition. The end of this job shows in its final state, which is either in its only block
    // record, on whose revision every change is conditional as well, or was moved to
    // `keys::final_state`.
    return {{keys::job(job.spec.uid), 0}, {keys::final_state(job.spec.uid), 0}};
}

FeatureLevel JobStore::feature_level(const std::string& name) const {
    auto it = feature_levels_.find(keys::feature_level(name));
    return it == feature_levels_.end() ? FeatureLevel::none : it->second;
}

const Job* JobStore::find(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it != jobs_.end() && is_live(it->second) ? &it->second : nullptr;
}

const Finished* JobStore::final_state(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it == jobs_.end() || !it->second.final ? nullptr : &*it->second.final;
}

const Cordon* JobStore::cordon(const std::string& machine) const {
    const auto& cordon = placements_.find(machine).cordon;
    return cordon ? &*cordon : nullptr;
}

const Placement* JobStore::placement(const TaskId& id) const {
    const Job* job = find(id.uid);
    if (job == nullptr) {
        return nullptr;
    }
    const auto& placed = job->block(job->block_of(id.index)).placed;
    auto it = placed.find(id.index);
    return it == placed.end() ? nullptr : &it->second;
}

}  // namespace cranemoor::core

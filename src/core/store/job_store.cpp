#include "core/store/job_store.hpp"

namespace cranemoor::core {

namespace {
bool is_live(const Job& job) {
    return job.revision != 0 && !job.final;
}

bool has_open_tasks(const Job& job) {
    return is_live(job) && !job.cancelled && !job.waiting && job.open() > 0;
}

// Whether something is left to do about a job at its end: to write its final state, or to remove
// blocks that outlived it.
bool is_over(const Job& job) {
    if (job.revision == 0 && !job.final) {
        return true;
    }
    if (job.final) {
        return !job.other_block_records().empty();
    }
    return job.complete() || (job.cancelled && job.placed() == 0);
}

void set_membership(std::set<std::string>& members, const std::string& uid, bool is_member) {
    if (is_member) {
        members.insert(uid);
    } else {
        members.erase(uid);
    }
}

// What the blocks of a job add up to.
struct BlockTotals {
    int done = 0;
    int placed = 0;
    int fails = 0;  // most failures in a row of a block; 0 if the job itself is sound
};

BlockTotals count_blocks(const Job& job) {
    BlockTotals totals;
    bool block_succeeded = false;  // tasks of another block were done: the job itself is sound
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
    std::uint64_t loads = loads_;
    auto pending_cancellations = std::move(pending_cancellations_);
    *this = JobStore();
    loads_ = loads + 1;
    pending_cancellations_ = std::move(pending_cancellations);
}

void JobStore::load(const std::vector<Event>& items) {
    for (const auto& item : items) {
        apply(item);
    }
}

void JobStore::end_load(Revision revision) {
    revision_ = revision;
    loaded_ = true;
    // Batch records were read in the order of their keys: their entries apply in the order in which
    // they were written.
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
    // A page of the full read may be newer than the revision that the watch begins from: events
    // that it already contains must not set a key back.
    if (revision_of(event.key) >= event.revision && event.revision != 0) {
        return;
    }
    if (event.value) {
        put(event.key, *event.value, event.revision);
    } else {
        drop(event.key);
    }
}

// Brings the totals of a job and the indexes over jobs up to date with its blocks and records.
void JobStore::classify(const std::string& uid, Job& job) {
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
    set_membership(cancelled_, uid, is_live(job) && job.cancelled);
    set_membership(over_, uid, is_over(job));
    if (has_open_tasks(job)) {
        open_.insert(&job);
    } else {
        open_.erase(&job);
    }
    touched_jobs_.insert(uid);
}

// Blocks of a job with a final state that are known from batch records alone: there is no record of
// theirs that would have to be removed.
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
    open_.erase(&it->second);
    cancelled_.erase(uid);
    pending_cancellations_.erase(uid);
    over_.erase(uid);
    touched_jobs_.insert(uid);
    jobs_.erase(it);
}

bool JobStore::note_cancelled(const std::string& uid, double wall) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.cancelled || it->second.final) {
        return false;
    }
    pending_cancellations_[uid] = wall;
    classify(uid, it->second);
    return true;
}

void JobStore::lend_priority(const std::string& uid, Priority priority) {
    if (auto it = jobs_.find(uid); it != jobs_.end()) {
        it->second.spec.priority = std::max(it->second.submitted_priority, priority);
        touched_jobs_.insert(uid);
    }
}

// Whether a job's totals equal its blocks, and whether it is in the sets that it belongs in.
bool JobStore::agrees_with_indexes(const std::string& uid, const Job& job) const {
    BlockTotals counted = count_blocks(job);
    return counted.done == job.done_total && counted.placed == job.placed_total &&
           has_open_tasks(job) == (open_.contains(&job)) && is_over(job) == (over_.contains(uid)) &&
           (is_live(job) && job.cancelled) == (cancelled_.contains(uid));
}

bool JobStore::indexes_agree() const {
    std::size_t open = 0;
    std::size_t cancelled = 0;
    std::size_t over = 0;
    std::unordered_map<std::string, MachinePlacements> by_machine;
    for (const auto& [uid, job] : jobs_) {
        if (!agrees_with_indexes(uid, job)) {
            return false;
        }
        open += has_open_tasks(job) ? 1 : 0;
        cancelled += is_live(job) && job.cancelled ? 1 : 0;
        over += is_over(job) ? 1 : 0;
        for (const auto& [index, block] : job.blocks) {
            for (const auto& [task, placement] : block.placed) {
                if (job.revision != 0) {
                    by_machine[placement.machine].tasks[{uid, task}] = {&job, &placement};
                    by_machine[placement.machine].used += job.spec.task_resources;
                }
            }
        }
    }
    return open == open_.size() && cancelled == cancelled_.size() && over == over_.size() &&
           placements_.agrees_with(by_machine);
}

bool JobStore::needed(const ClaimBatchEntry& entry) const {
    const Job* job = find(entry.uid);
    return job != nullptr &&
           (job->page_size > 0 ||
            job->block(entry.block).recorded_batch_revision < entry.write_revision);
}

std::vector<Condition> JobStore::alive(const Job& job) {
    if (job.own_record) {
        return {{keys::job(job.spec.uid), job.revision}};
    }
    // A record that is shared changes for other jobs' sake. The job's end shows in the final state,
    // which stands in its only block, on which every change is conditional as well, or where it was
    // moved to.
    return {{keys::job(job.spec.uid), 0}, {keys::final_state(job.spec.uid), 0}};
}

FeatureLevel JobStore::level(const std::string& name) const {
    auto it = levels_.find(keys::feature_level(name));
    return it == levels_.end() ? FeatureLevel::none : it->second;
}

const Job* JobStore::find(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it != jobs_.end() && is_live(it->second) ? &it->second : nullptr;
}

const Finished* JobStore::finished(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it == jobs_.end() || !it->second.final ? nullptr : &*it->second.final;
}

const Cordon* JobStore::mark(const std::string& machine) const {
    const auto& mark = placements_.find(machine).mark;
    return mark ? &*mark : nullptr;
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

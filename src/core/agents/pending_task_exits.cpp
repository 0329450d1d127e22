#include "core/agents/pending_task_exits.hpp"

#include <algorithm>
#include <iterator>

#include "core/jobs/job_completion.hpp"

namespace cranemoor::core {

namespace {
void append(Txn& txn, Txn addition) {
    std::move(addition.conditions.begin(), addition.conditions.end(),
              std::back_inserter(txn.conditions));
    std::move(addition.writes.begin(), addition.writes.end(), std::back_inserter(txn.writes));
}

const char* cause_name(ExitCause cause) {
    switch (cause) {
        case ExitCause::done:
            return "done";
        case ExitCause::stopped:
            return "stopped";
        case ExitCause::peers_gone:
            return "peers gone";
        case ExitCause::gang_incomplete:
            return "gang incomplete";
        case ExitCause::error:
            return "error";
        case ExitCause::no_room:
            return "no room";
        case ExitCause::busy:
            return "busy";
        case ExitCause::unknown_task:
            return "unknown task";
        case ExitCause::other:
            return "exited";
        case ExitCause::lost:
            return "lost";
        case ExitCause::not_started:
            return "not started";
        case ExitCause::machine_gone:
            return "machine gone";
    }
    return "exited";
}
}  // namespace

std::string TaskExit::text() const {
    return fmt::format("{}{}", cause_name(cause), saved ? ", saved" : "");
}

const TaskExit* PendingTaskExits::find(const Job& job, int task) const {
    auto pending = pending_.find({job.spec.uid, job.block_of(task)});
    if (pending == pending_.end()) {
        return nullptr;
    }
    auto task_exit = pending->second.tasks.find(task);
    return task_exit == pending->second.tasks.end() ? nullptr : &task_exit->second;
}

void PendingTaskExits::add(const TaskId& id, const TaskExit& task_exit) {
    const Job* job = ctx_.jobs.find(id.uid);
    if (job == nullptr) {
        return;
    }
    BlockExits& pending = pending_[{id.uid, job->block_of(id.index)}];
    if (pending.tasks.empty()) {
        pending.oldest_at = ctx_.now.steady;
    }
    auto known = pending.tasks.find(id.index);
    if (known != pending.tasks.end() && known->second.attempt == task_exit.attempt) {
        return;
    }
    pending.tasks[id.index] = task_exit;
    pending.needs_review = true;
    ctx_.info("task {} attempt {} on {}: {}", id.text(), task_exit.attempt, task_exit.machine,
              task_exit.text());
}

void PendingTaskExits::recheck_job(const std::string& uid) {
    for (auto it = pending_.lower_bound({uid, 0}); it != pending_.end() && it->first.uid == uid;
         ++it) {
        it->second.needs_review = true;
    }
}

// A proof that a placement is empty holds only while this controller owns the machine: another
// owner may start the very claim that was found absent. An exit that was not written by then must
// never be written, even if it was true; the next owner establishes it itself.
void PendingTaskExits::forget(const std::string& machine) {
    for (auto& [key, pending] : pending_) {
        std::erase_if(pending.tasks,
                      [&](const auto& entry) { return entry.second.machine == machine; });
    }
}

// Whether a block's exits should be written now. The block record is written whole, so exits are
// collected for a while and several of them cost one write. Nothing waits for them meanwhile: a
// task that exits frees its resources at once, and the last task of the block on our machines
// triggers the write. Exits of tasks that must run again, and quota returned by a team near its
// limit, are urgent.
bool PendingTaskExits::is_write_due(const Job& job, const Block& block,
                                    const BlockExits& pending) const {
    bool urgent = job.cancelled || batched_claims_.is_batched(job);
    double limit_s = urgent ? constants::urgent_exit_write_delay_s : constants::exit_write_delay_s;
    if (ctx_.now.steady - pending.oldest_at >= limit_s || job.spec.kind == JobKind::gang) {
        return true;
    }
    for (const auto& [index, task_exit] : pending.tasks) {
        if (!task_exit.is_done() && !job.cancelled) {
            return true;
        }
    }
    const Team* team = quota_.team(job.spec.team);
    if (team != nullptr &&
        !quota_.within_limit(team->name, team->limit * constants::quota_slice_return_share)) {
        return true;
    }
    // An emptied machine can take a gang as soon as all members know that it is empty. On a machine
    // that is going away, an exit not written in time would be mistaken for the loss of the task.
    for (const auto& [index, task_exit] : pending.tasks) {
        const Machine* machine = registry_.find(task_exit.machine);
        if (machine != nullptr &&
            (registry_.all_tasks_exited(*machine) || machine->interruption_deadline ||
             ctx_.jobs.cordon(machine->name) != nullptr)) {
            return true;
        }
    }
    return std::none_of(block.placed.begin(), block.placed.end(), [&](const auto& entry) {
        const Machine* machine = registry_.find(entry.second.machine);
        return machine != nullptr && machine->owned_by_us && pending.tasks.count(entry.first) == 0;
    });
}

void PendingTaskExits::apply_to_block(const Job& job, int block, Block& next) const {
    auto pending = pending_.find({job.spec.uid, block});
    if (pending == pending_.end()) {
        return;
    }
    bool any_done = false;
    bool any_failed = false;
    for (const auto& [index, task_exit] : pending->second.tasks) {
        auto placement = next.placed.find(index);
        if (placement == next.placed.end() || placement->second.attempt != task_exit.attempt) {
            continue;
        }
        next.placed.erase(placement);
        if (task_exit.is_done()) {
            next.add_done(index);
        }
        any_done = any_done || task_exit.is_done();
        any_failed = any_failed || task_exit.is_failure();
    }
    next.consecutive_failures = any_done ? 0 : next.consecutive_failures + (any_failed ? 1 : 0);
}

void PendingTaskExits::flush() {
    if (!ctx_.is_member) {
        return;
    }
    std::vector<BlockRef> blocks;
    std::vector<BlockRef> batched;
    bool deferrable = true;  // whether nothing waits for any of these writes
    for (const DueBlock& due : collect_due_blocks()) {
        if (goes_to_batched_record(due.block)) {
            batched.push_back(due.block);
        } else {
            deferrable = deferrable && due.deferrable;
            blocks.push_back(due.block);
        }
    }
    write_blocks(blocks, deferrable);
    write_batched(batched);
}

// Returns the blocks whose exits are due: those that something waits for first, then by age.
std::vector<PendingTaskExits::DueBlock> PendingTaskExits::collect_due_blocks() {
    std::vector<DueBlock> due;
    bool full_scan = ctx_.now.steady >= next_full_scan_at_;
    next_full_scan_at_ =
        full_scan ? ctx_.now.steady + constants::exit_scan_interval_s : next_full_scan_at_;
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto& [uid, block] = it->first;
        auto& pending = it->second;
        auto& tasks = pending.tasks;
        bool overdue = full_scan &&
                       ctx_.now.steady - pending.oldest_at >= constants::urgent_exit_write_delay_s;
        if (!pending.needs_review && !overdue) {
            ++it;
            continue;
        }
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && block >= job->block_count()) {
            // The block number dates from before the blocks were split: these exits are dropped,
            // and TaskReconciliation finds them again.
            job = nullptr;
        }
        if (job != nullptr && pending.needs_review) {
            // Drop the exits that the records contain already.
            const auto& placed = job->block(block).placed;
            std::erase_if(tasks, [&](const auto& entry) {
                auto placement = placed.find(entry.first);
                return placement == placed.end() ||
                       placement->second.attempt != entry.second.attempt;
            });
        }
        if (job == nullptr || tasks.empty()) {
            it = pending_.erase(it);
            continue;
        }
        pending.needs_review = false;
        if (is_write_due(*job, job->block(block), pending)) {
            bool awaited = job->cancelled || job->spec.kind == JobKind::gang ||
                           job->done() + static_cast<int>(tasks.size()) >= job->spec.tasks ||
                           std::any_of(tasks.begin(), tasks.end(),
                                       [](const auto& entry) { return !entry.second.is_done(); });
            due.push_back({!awaited, pending.oldest_at, it->first});
        }
        ++it;
    }
    std::sort(due.begin(), due.end(), [](const DueBlock& a, const DueBlock& b) {
        return std::tie(a.deferrable, a.oldest_at, a.block) <
               std::tie(b.deferrable, b.oldest_at, b.block);
    });
    return due;
}

// Limits the blocks in flight: while write capacity is short, more writes would only wait, and the
// exits that are learned meanwhile are written together with them.
void PendingTaskExits::write_blocks(const std::vector<BlockRef>& due, bool deferrable) {
    Txn txn;
    txn.purpose = Txn::Purpose::task_exit;
    std::vector<std::string> locked_keys;
    std::vector<BlockRef> written;
    bool full = false;
    for (const BlockRef& ref : due) {
        full = full || blocks_in_flight_ + written.size() >= constants::exit_blocks_in_flight_max;
        if (full || !add_block_exit_writes(ref, txn, locked_keys)) {
            pending_[ref].needs_review = true;
        } else {
            written.push_back(ref);
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    txn.urgency = deferrable ? Urgency::low : Urgency::normal;
    txn.conditions.push_back(ctx_.epoch_condition());
    blocks_in_flight_ += written.size();
    ctx_.send_txn(std::move(txn), [this, locked_keys, written](const StoreReply& reply) {
        blocks_in_flight_ -= written.size();
        on_write_settled(reply, locked_keys, written);
    });
}

// After a refusal or an unknown outcome the next tick tries again. If the first write is executed
// late, its conditions fail or it writes the same.
void PendingTaskExits::on_write_settled(const StoreReply& reply,
                                        const std::vector<std::string>& locked_keys,
                                        const std::vector<BlockRef>& blocks) {
    ctx_.when_settled(reply, [this, locked_keys, blocks] {
        for (const auto& key : locked_keys) {
            ctx_.block_writes_in_flight.erase(key);
        }
        for (const BlockRef& ref : blocks) {
            if (auto it = pending_.find(ref); it != pending_.end()) {
                it->second.needs_review = true;
            }
        }
    });
}

// Whether a block's exits may go to a batched record first and into the block record later: they
// change no failure count there, and they do not complete the job.
bool PendingTaskExits::goes_to_batched_record(const BlockRef& ref) const {
    const Job& job = *ctx_.jobs.find(ref.uid);
    const auto& tasks = pending_.at(ref).tasks;
    if (!batched_claims_.is_batched(job) || job.block(ref.block).consecutive_failures > 0) {
        return false;
    }
    auto count = [&](auto matches) { return std::count_if(tasks.begin(), tasks.end(), matches); };
    auto done = count([](const auto& entry) { return entry.second.is_done(); });
    bool failed = count([](const auto& entry) { return entry.second.is_failure(); }) > 0;
    return !failed && (job.cancelled || job.done() + done < job.spec.tasks);
}

// Writes the exits of many blocks in one record. An exit stays true whatever happens to its block,
// so the write is conditional on the epoch alone.
void PendingTaskExits::write_batched(const std::vector<BlockRef>& due) {
    std::vector<ClaimBatchEntry> entries;
    std::vector<std::string> locked_keys;
    std::vector<BlockRef> written;
    std::size_t bytes = 0;
    bool must_wait = batched_write_in_flight_ || ctx_.now.steady < next_batched_write_at_;
    for (const BlockRef& ref : due) {
        const Job& job = *ctx_.jobs.find(ref.uid);
        auto key = job.block_key(ref.block);
        BlockExits& pending = pending_.at(ref);
        ClaimBatchEntry entry;
        entry.uid = ref.uid;
        entry.block = ref.block;
        for (const auto& [task, task_exit] : pending.tasks) {
            (task_exit.is_done() ? entry.done : entry.lost).push_back({task, task_exit.attempt});
        }
        std::size_t entry_bytes = bytes_of(entry);
        if (must_wait || bytes + entry_bytes > batched_claims_.entry_bytes_per_write() ||
            ctx_.block_writes_in_flight.contains(key)) {
            pending.needs_review = true;
            continue;
        }
        bytes += entry_bytes;
        entries.push_back(std::move(entry));
        locked_keys.push_back(key);
        written.push_back(ref);
    }
    if (entries.empty()) {
        return;
    }
    ctx_.block_writes_in_flight.insert(locked_keys.begin(), locked_keys.end());
    batched_write_in_flight_ = true;
    next_batched_write_at_ = ctx_.now.steady + constants::batched_exit_write_interval_s;
    batched_claims_.write(std::move(entries), {},
                          [this, locked_keys, written](const StoreReply& reply) {
                              batched_write_in_flight_ = false;
                              on_write_settled(reply, locked_keys, written);
                          });
}

// Adds the exits of one block's tasks to a transaction. Returns false if they can't be written now:
// the block has a write in flight, its record is too large, or the transaction is full.
bool PendingTaskExits::add_block_exit_writes(const BlockRef& ref, Txn& txn,
                                             std::vector<std::string>& locked_keys) {
    const auto& [uid, block] = ref;
    const Job& job = *ctx_.jobs.find(uid);
    auto key = job.block_key(block);
    if (ctx_.block_writes_in_flight.contains(key)) {
        return false;
    }
    const Block& current = job.block(block);
    Block next = current;
    apply_to_block(job, block, next);
    int done = job.done() + next.done_count() - current.done_count();
    bool completes = done == job.spec.tasks && !job.cancelled;
    // Otherwise complete_finished_jobs completes the job once its blocks are written.
    completes = completes && 1 + job.other_block_records().size() <= ctx_.txn_ops_max();
    for (const auto& [other, record] : job.blocks) {
        completes = completes && !ctx_.block_writes_in_flight.contains(job.block_key(other));
    }
    if (!completes && bytes_of(next) > ctx_.value_bytes_max()) {
        // Written by the previous version, under a larger limit.
        bool fits_old_limit =
            !ctx_.all_controllers_support() && bytes_of(next) <= ctx_.current_value_bytes_max();
        if (!fits_old_limit) {
            ctx_.jobs_to_split.insert(uid);
            return false;
        }
    }
    Txn block_writes;
    std::vector<std::string> changed_keys = {key};
    if (completes) {
        changed_keys = add_final_state_writes(ctx_, job, false, block_writes);
    } else {
        job.add_block_write(block, next, block_writes);
    }
    // The epoch adds one more condition.
    if (txn.writes.size() + block_writes.writes.size() > ctx_.txn_ops_max() ||
        txn.conditions.size() + block_writes.conditions.size() + 1 > ctx_.txn_conditions_max()) {
        return false;
    }
    append(txn, std::move(block_writes));
    ctx_.block_writes_in_flight.insert(changed_keys.begin(), changed_keys.end());
    locked_keys.insert(locked_keys.end(), changed_keys.begin(), changed_keys.end());
    return true;
}

}  // namespace cranemoor::core

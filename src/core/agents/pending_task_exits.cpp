#include "core/agents/pending_task_exits.hpp"

#include <algorithm>
#include <iterator>

#include "core/agents/fleet.hpp"
#include "core/jobs/job_completion.hpp"

namespace cranemoor::core {

namespace {
void append(Txn& txn, Txn more) {
    std::move(more.conditions.begin(), more.conditions.end(), std::back_inserter(txn.conditions));
    std::move(more.writes.begin(), more.writes.end(), std::back_inserter(txn.writes));
}
}  // namespace

// What is known of a task's end and not written yet.
const PendingTaskExits::TaskExit* PendingTaskExits::find(const Job& job, int task) const {
    auto pending = pending_.find({job.spec.uid, job.block_of(task)});
    if (pending == pending_.end()) {
        return nullptr;
    }
    auto it = pending->second.tasks.find(task);
    return it == pending->second.tasks.end() ? nullptr : &it->second;
}

void PendingTaskExits::add(const TaskId& id, const TaskExit& task_exit) {
    const Job* job = ctx_.jobs.find(id.uid);
    if (job == nullptr) {
        return;
    }
    BlockExits& pending = pending_[{id.uid, job->block_of(id.index)}];
    if (pending.tasks.empty()) {
        pending.since = ctx_.now.steady;
    }
    auto it = pending.tasks.find(id.index);
    if (it != pending.tasks.end() && it->second.attempt == task_exit.attempt) {
        return;
    }
    pending.tasks[id.index] = task_exit;
    pending.needs_review = true;
    ctx_.info("task {} attempt {} on {}: {}", id.text(), task_exit.attempt, task_exit.machine,
              task_exit.why);
}

void PendingTaskExits::recheck_job(const std::string& uid) {
    for (auto it = pending_.lower_bound({uid, 0}); it != pending_.end() && it->first.first == uid;
         ++it) {
        it->second.needs_review = true;
    }
}

// A proof that a place is empty holds only while this process commands the machine: another
// owner may start the very claim that was found absent. What could not be written by then must
// never be, however true it was; the next owner sees for itself.
void PendingTaskExits::forget(const std::string& machine) {
    for (auto& [key, pending] : pending_) {
        std::erase_if(pending.tasks, [&](const auto& t) { return t.second.machine == machine; });
    }
}

// Whether a block's outcomes should be written now. Its record is written whole, so that the ends
// of several tasks cost one write: they are collected for a while. Nothing waits for them
// meanwhile: a task that ended leaves its room at once, and the last one here to end writes them
// all. What must start again, and what a team near its limit gives back, is urgent.
bool PendingTaskExits::is_write_due(const Job& job, const Block& block,
                                    const BlockExits& pending) const {
    bool soon = job.cancelled || batched_claims_.is_batched(job);
    double limit = soon ? constants::outcome_soon_s : constants::outcome_hold_s;
    if (ctx_.now.steady - pending.since >= limit || job.spec.kind == JobKind::gang) {
        return true;
    }
    for (const auto& [index, o] : pending.tasks) {
        if (!o.done && !job.cancelled) {
            return true;
        }
    }
    const Team* team = quota_.team(job.spec.team);
    if (team != nullptr &&
        !quota_.within_limit(team->name, team->limit * constants::slice_return_share)) {
        return true;
    }
    // A machine that nothing else runs on is room for a gang, as soon as all members know. On one
    // that goes, what is not told in time would be taken for lost.
    for (const auto& [index, o] : pending.tasks) {
        const Machine* m = fleet_.find(o.machine);
        if (m != nullptr &&
            (fleet_.vacated(*m) || m->interruption_deadline || ctx_.jobs.mark(m->name))) {
            return true;
        }
    }
    return std::none_of(block.placed.begin(), block.placed.end(), [&](const auto& t) {
        const Machine* m = fleet_.find(t.second.machine);
        return m != nullptr && m->owned_by_us && pending.tasks.count(t.first) == 0;
    });
}

// Enters what is known of a block's ends and not written yet.
void PendingTaskExits::apply_to_block(const Job& job, int k, Block& next) const {
    auto pending = pending_.find({job.spec.uid, k});
    if (pending == pending_.end()) {
        return;
    }
    bool some_done = false;
    bool some_error = false;
    for (const auto& [index, outcome] : pending->second.tasks) {
        auto p = next.placed.find(index);
        if (p == next.placed.end() || p->second.attempt != outcome.attempt) {
            continue;
        }
        next.placed.erase(p);
        if (outcome.done) {
            next.add_done(index);
        }
        some_done = some_done || outcome.done;
        some_error = some_error || outcome.error;
    }
    next.fails = some_done ? 0 : next.fails + (some_error ? 1 : 0);
}

void PendingTaskExits::flush() {
    if (!ctx_.member) {
        return;
    }
    std::vector<BlockRef> blocks;
    std::vector<BlockRef> to_sheet;
    bool later = true;  // whether nobody misses any of them
    for (const auto& ready : collect_due_blocks()) {
        if (goes_to_batched_record(ready.which)) {
            to_sheet.push_back(ready.which);
        } else {
            later = later && ready.later;
            blocks.push_back(ready.which);
        }
    }
    write_blocks(blocks, later);
    write_batched(to_sheet);
}

// The blocks whose ends are due, in the order in which they are missed.
std::vector<PendingTaskExits::DueBlock> PendingTaskExits::collect_due_blocks() {
    std::vector<DueBlock> ready;
    bool all = ctx_.now.steady >= next_full_scan_s_;
    next_full_scan_s_ = all ? ctx_.now.steady + constants::ends_look_s : next_full_scan_s_;
    for (auto it = pending_.begin(); it != pending_.end();) {
        const auto& [uid, k] = it->first;
        auto& pending = it->second;
        auto& tasks = pending.tasks;
        bool waited = all && ctx_.now.steady - pending.since >= constants::outcome_soon_s;
        if (!pending.needs_review && !waited) {
            ++it;
            continue;
        }
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && k >= job->block_count()) {
            job = nullptr;  // numbered as before the job was parted: it will be seen again
        }
        if (job != nullptr && pending.needs_review) {
            // Drop what the records say already.
            const auto& placed = job->block(k).placed;
            std::erase_if(tasks, [&](const auto& t) {
                auto p = placed.find(t.first);
                return p == placed.end() || p->second.attempt != t.second.attempt;
            });
        }
        if (job == nullptr || tasks.empty()) {
            it = pending_.erase(it);
            continue;
        }
        pending.needs_review = false;
        if (is_write_due(*job, job->block(k), pending)) {
            bool missed = job->cancelled || job->spec.kind == JobKind::gang ||
                          job->done() + static_cast<int>(tasks.size()) >= job->spec.tasks ||
                          std::any_of(tasks.begin(), tasks.end(),
                                      [](const auto& t) { return !t.second.done; });
            ready.push_back({!missed, pending.since, it->first});
        }
        ++it;
    }
    std::sort(ready.begin(), ready.end(), [](const DueBlock& a, const DueBlock& b) {
        return std::tie(a.later, a.since, a.which) < std::tie(b.later, b.since, b.which);
    });
    return ready;
}

// Only so many at once: while writes are short they would wait anyway, and what is told meanwhile
// goes with them.
void PendingTaskExits::write_blocks(const std::vector<BlockRef>& ready, bool later) {
    Txn txn;
    txn.purpose = Txn::Purpose::end;
    std::vector<std::string> taken;
    std::vector<BlockRef> written;
    bool full = false;
    for (const auto& which : ready) {
        full = full || blocks_in_flight_ + written.size() >= constants::ends_open;
        if (full || !add_block_exit_writes(which, txn, taken)) {
            pending_[which].needs_review = true;
        } else {
            written.push_back(which);
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    txn.urgency = later ? Urgency::last : Urgency::normal;
    txn.conditions.push_back(ctx_.epoch_condition());
    blocks_in_flight_ += written.size();
    ctx_.txn(std::move(txn), [this, taken, written](const StoreReply& r) {
        blocks_in_flight_ -= written.size();
        on_write_settled(r, taken, written);
    });
}

// Refused or unknown: the next tick tries again. If the first one is executed late, its conditions
// fail or it says the same.
void PendingTaskExits::on_write_settled(const StoreReply& r, const std::vector<std::string>& taken,
                                        const std::vector<BlockRef>& blocks) {
    ctx_.when_settled(r, [this, taken, blocks] {
        for (const auto& key : taken) {
            ctx_.busy.erase(key);
        }
        for (const auto& which : blocks) {
            if (auto it = pending_.find(which); it != pending_.end()) {
                it->second.needs_review = true;
            }
        }
    });
}

// Whether a block's ends are facts that need its record only in time: no failure is to be counted
// there, and the job is not over with them.
bool PendingTaskExits::goes_to_batched_record(const BlockRef& which) const {
    const Job& job = *ctx_.jobs.find(which.first);
    const auto& tasks = pending_.at(which).tasks;
    if (!batched_claims_.is_batched(job) || job.block(which.second).fails > 0) {
        return false;
    }
    auto count = [&](auto what) { return std::count_if(tasks.begin(), tasks.end(), what); };
    auto done = count([](const auto& t) { return t.second.done; });
    bool failed = count([](const auto& t) { return t.second.error; }) > 0;
    return !failed && (job.cancelled || job.done() + done < job.spec.tasks);
}

// Ends of many blocks in one write. An end is true whatever becomes of its block, so that nothing
// but the epoch is a condition of it.
void PendingTaskExits::write_batched(const std::vector<BlockRef>& ready) {
    std::vector<Entry> entries;
    std::vector<std::string> taken;
    std::vector<BlockRef> written;
    std::size_t bytes = 0;
    bool wait = batched_write_in_flight_ || ctx_.now.steady < next_batched_write_s_;
    for (const auto& which : ready) {
        const Job& job = *ctx_.jobs.find(which.first);
        auto key = job.block_key(which.second);
        BlockExits& pending = pending_.at(which);
        Entry entry;
        entry.uid = which.first;
        entry.block = which.second;
        for (const auto& [task, o] : pending.tasks) {
            (o.done ? entry.done : entry.lost).emplace_back(task, o.attempt);
        }
        std::size_t more = bytes_of(entry);
        if (wait || bytes + more > batched_claims_.entry_bytes_per_write() ||
            ctx_.busy.count(key) != 0) {
            pending.needs_review = true;
            continue;
        }
        bytes += more;
        entries.push_back(std::move(entry));
        taken.push_back(key);
        written.push_back(which);
    }
    if (entries.empty()) {
        return;
    }
    ctx_.busy.insert(taken.begin(), taken.end());
    batched_write_in_flight_ = true;
    next_batched_write_s_ = ctx_.now.steady + constants::sheet_ends_every_s;
    batched_claims_.write(std::move(entries), {}, [this, taken, written](const StoreReply& r) {
        batched_write_in_flight_ = false;
        on_write_settled(r, taken, written);
    });
}

// Adds the ends of one block's tasks to a transaction, if it takes them now.
bool PendingTaskExits::add_block_exit_writes(const BlockRef& which, Txn& txn,
                                             std::vector<std::string>& taken) {
    const auto& [uid, k] = which;
    const Job& job = *ctx_.jobs.find(uid);
    auto key = job.block_key(k);
    if (ctx_.busy.count(key) != 0) {
        return false;
    }
    const Block& old = job.block(k);
    Block next = old;
    apply_to_block(job, k, next);
    int done = job.done() + next.done_count() - old.done_count();
    bool completes = done == job.spec.tasks && !job.cancelled;
    // Else complete_finished_jobs does it once the blocks are written.
    completes = completes && 1 + job.other_records().size() <= ctx_.ops_max();
    for (const auto& [other, b] : job.blocks) {
        completes = completes && ctx_.busy.count(job.block_key(other)) == 0;
    }
    if (!completes && bytes_of(next) > ctx_.value_max()) {
        // Written by the version before, under a larger limit.
        bool bearable = !ctx_.upgraded() && bytes_of(next) <= ctx_.value_max_today();
        if (!bearable) {
            ctx_.to_part.insert(uid);
            return false;
        }
    }
    Txn more;
    std::vector<std::string> changed = {key};
    if (completes) {
        changed = add_final_state_writes(ctx_, job, false, more);
    } else {
        job.add_block(k, next, more);
    }
    // One more condition is the epoch's.
    if (txn.writes.size() + more.writes.size() > ctx_.ops_max() ||
        txn.conditions.size() + more.conditions.size() + 1 > ctx_.conditions_max()) {
        return false;
    }
    append(txn, std::move(more));
    ctx_.busy.insert(changed.begin(), changed.end());
    taken.insert(taken.end(), changed.begin(), changed.end());
    return true;
}

}  // namespace cranemoor::core

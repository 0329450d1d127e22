#include "core/agents/task_stops.hpp"

#include <algorithm>

namespace cranemoor::core {

void TaskStops::send(Machine& machine, const Attempt& attempt, Machine::PendingStop& stop) {
    stop.last_sent_at = ctx_.now.steady;
    WorkerCommandCall call;
    call.machine = machine.name;
    call.address = machine.address;
    call.token = ctx_.fencing_token;
    call.agent_epoch = machine.agent_epoch;
    call.commands.push_back({Command::Kind::stop, attempt.task, attempt.number, stop.grace_s});
    ctx_.call_worker(call, [](const WorkerCommandReply&) {
        // The worker reports the change by itself within half a second.
    });
}

void TaskStops::stop(Machine& machine, const Attempt& attempt, double grace_s) {
    auto [entry, first] = machine.pending_stops.try_emplace(attempt);
    if (!first && entry->second.grace_s <= grace_s) {
        return;
    }
    if (first) {
        ctx_.info("stop {} attempt {} on {}, grace {:.1f} s", attempt.task.text(), attempt.number,
                  machine.name, grace_s);
        entry->second.first_requested_at = ctx_.now.steady;
    }
    entry->second.grace_s = grace_s;
    if (machine.adopted && machine.heartbeat_received) {
        send(machine, attempt, entry->second);
        // A worker with a heartbeat in flight could not tell that the task ended.
        replies_.send(machine);
    }
}

// A task that must end: its job was cancelled, its gang lost a part, or is to be stopped whole.
// Once one of its tasks has ended the gang has saved, or never will.
void TaskStops::stop_unwanted(Machine& machine, const Job& job, const TaskId& id,
                              const Placement& placement) {
    bool at_once = job.cancelled || GangPreemption::is_incomplete(job);
    if (!machine.owned_by_us || !machine.adopted || !(at_once || job.gang_stop_requested())) {
        return;
    }
    Attempt attempt{id, placement.attempt};
    auto status = machine.tasks.find(attempt);
    bool exited = status != machine.tasks.end() && status->second.state == TaskState::exited;
    // A start that has gone out but isn't reported yet must be stopped as well.
    bool there = status != machine.tasks.end() || machine.starts_sent.contains(attempt);
    if (there && !exited) {
        stop(machine, attempt, at_once ? 0 : job.spec.save_s);
    }
}

void TaskStops::resend(Machine& machine) {
    double now = ctx_.now.steady;
    for (auto& [attempt, stop] : machine.pending_stops) {
        if (machine.adopted && now - stop.last_sent_at >= constants::stop_retry_interval_s) {
            if (stop.grace_s > 0 &&
                now - stop.first_requested_at > stop.grace_s + ctx_.settings.gang_stop_window_s) {
                stop.grace_s = 0;  // it should have saved by now
            }
            send(machine, attempt, stop);
        }
    }
}

// Before a machine is taken away, what can save on it does: its progress since the last checkpoint
// would be lost, and it starts elsewhere the sooner. As late as it may be, since what runs may end.
void TaskStops::checkpoint_before_interruption(Machine& machine) {
    if (!machine.interruption_deadline || !machine.adopted) {
        return;
    }
    double left_s = *machine.interruption_deadline - ctx_.now.steady;
    for (const auto& [id, on] : registry_.site(machine).tasks) {
        const JobSpec& spec = on.job->spec;
        Attempt attempt{id, on.placement->attempt};
        auto status = machine.tasks.find(attempt);
        if (spec.checkpoint_s <= 0 || spec.kind == JobKind::service ||
            status == machine.tasks.end() || status->second.state != TaskState::running) {
            continue;
        }
        double remaining_s = spec.estimate_s - (ctx_.now.steady - registry_.placed_at(id));
        bool ends_first = remaining_s > 0 && remaining_s < left_s;
        if (left_s > spec.save_s + constants::spot_checkpoint_margin_s || ends_first) {
            continue;
        }
        if (spec.kind == JobKind::array || spec.tasks == 1) {
            stop(machine, attempt, spec.save_s);
        } else if (GangPreemption::would_save(*on.job)) {
            gang_preemption_.request_preemption(*on.job,
                                                "its machine " + machine.name + " is taken away");
        }
    }
}

}  // namespace cranemoor::core

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
    auto [entry, inserted] = machine.pending_stops.try_emplace(attempt);
    if (!inserted && entry->second.grace_s <= grace_s) {
        return;
    }
    if (inserted) {
        ctx_.info("stop {} attempt {} on {}, grace period {:.1f} s", attempt.task.text(),
                  attempt.number, machine.name, grace_s);
        entry->second.first_requested_at = ctx_.now.steady;
    }
    entry->second.grace_s = grace_s;
    if (machine.adopted && machine.heartbeat_received) {
        send(machine, attempt, entry->second);
        // While its heartbeat waits for a reply, the worker could not report the task's exit.
        replies_.send(machine);
    }
}

// Tasks of a cancelled job or an incomplete gang get no grace period: once one task of a gang has
// ended, the gang has made its checkpoint or never will.
void TaskStops::stop_unwanted(Machine& machine, const Job& job, const TaskId& id,
                              const Placement& placement) {
    bool immediately = job.cancelled || GangPreemption::is_incomplete(job);
    if (!machine.owned_by_us || !machine.adopted || !(immediately || job.gang_stop_requested())) {
        return;
    }
    Attempt attempt{id, placement.attempt};
    auto status = machine.tasks.find(attempt);
    bool exited = status != machine.tasks.end() && status->second.state == TaskState::exited;
    // A start that has been sent but isn't reported yet must be stopped as well.
    bool present = status != machine.tasks.end() || machine.starts_sent.contains(attempt);
    if (present && !exited) {
        stop(machine, attempt, immediately ? 0 : job.spec.save_s);
    }
}

void TaskStops::resend(Machine& machine) {
    double now = ctx_.now.steady;
    for (auto& [attempt, stop] : machine.pending_stops) {
        if (machine.adopted && now - stop.last_sent_at >= constants::stop_retry_interval_s) {
            if (stop.grace_s > 0 &&
                now - stop.first_requested_at > stop.grace_s + ctx_.settings.gang_stop_window_s) {
                stop.grace_s = 0;  // the task should have made its checkpoint by now
            }
            send(machine, attempt, stop);
        }
    }
}

// Tasks that can checkpoint do so before a spot interruption: otherwise their progress since the
// last checkpoint is lost, and they start elsewhere sooner. They are stopped as late as possible,
// since they may finish before.
void TaskStops::checkpoint_before_interruption(Machine& machine) {
    if (!machine.interruption_deadline || !machine.adopted) {
        return;
    }
    double until_interruption_s = *machine.interruption_deadline - ctx_.now.steady;
    for (const auto& [id, placed_task] : registry_.placements_on(machine).tasks) {
        const JobSpec& spec = placed_task.job->spec;
        Attempt attempt{id, placed_task.placement->attempt};
        auto status = machine.tasks.find(attempt);
        if (spec.checkpoint_s <= 0 || spec.kind == JobKind::service ||
            status == machine.tasks.end() || status->second.state != TaskState::running) {
            continue;
        }
        double remaining_s = spec.estimate_s - (ctx_.now.steady - registry_.placed_at(id));
        bool finishes_first = remaining_s > 0 && remaining_s < until_interruption_s;
        if (until_interruption_s > spec.save_s + constants::spot_checkpoint_margin_s ||
            finishes_first) {
            continue;
        }
        if (spec.kind == JobKind::array || spec.tasks == 1) {
            stop(machine, attempt, spec.save_s);
        } else if (GangPreemption::can_checkpoint(*placed_task.job)) {
            gang_preemption_.request_preemption(
                *placed_task.job, "machine " + machine.name + " has a spot interruption notice");
        }
    }
}

}  // namespace cranemoor::core

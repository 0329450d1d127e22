#include "core/agents/task_reconciliation.hpp"

#include <string>

namespace cranemoor::core {

namespace {
ExitCause cause_of(ExitReason reason) {
    switch (reason) {
        case ExitReason::done:
            return ExitCause::done;
        case ExitReason::stopped:
            return ExitCause::stopped;
        case ExitReason::peers_gone:
            return ExitCause::peers_gone;
        case ExitReason::incomplete:
            return ExitCause::gang_incomplete;
        case ExitReason::error:
            return ExitCause::error;
        case ExitReason::no_room:
            return ExitCause::no_room;
        case ExitReason::busy:
            return ExitCause::busy;
        case ExitReason::unknown_task:
            return ExitCause::unknown_task;
        default:
            return ExitCause::other;
    }
}
}  // namespace

void TaskReconciliation::record_exit(Machine& machine, const TaskStatus& status) {
    TaskExit task_exit{status.attempt, cause_of(status.exit_reason), status.saved, machine.name};
    const Job* job = ctx_.jobs.find(status.id.uid);
    if (job == nullptr) {
        return;
    }
    const TaskExit* known = pending_exits_.find(*job, status.id.index);
    bool already_known = known != nullptr && known->attempt == status.attempt;
    pending_exits_.add(status.id, task_exit);
    if (already_known) {
        return;
    }
    if (task_exit.is_done() && job->spec.kind == JobKind::gang) {
        record_gang_done(*job, status);
    }
    if (task_exit.is_done()) {
        machine.failed_jobs.clear();
    } else if (task_exit.is_failure()) {
        note_task_failure(machine, *job);
    } else if (status.exit_reason == ExitReason::no_room ||
               status.exit_reason == ExitReason::busy) {
        machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
    }
}

// A gang completes as a whole: once one of its tasks is reported as done, all tasks of that attempt
// are, and one write records it.
void TaskReconciliation::record_gang_done(const Job& job, const TaskStatus& status) {
    job.each_placement([&](int task, const Placement& placement) {
        if (placement.attempt == status.attempt) {
            pending_exits_.add({status.id.uid, task},
                               {placement.attempt, ExitCause::done, false, placement.machine});
        }
        return true;
    });
}

// A failed task counts against its machine, until its job has failed elsewhere too. Guards against
// the quarantine of machines because of a job that was submitted with an error, however many of its
// tasks failed there.
void TaskReconciliation::note_task_failure(Machine& machine, const Job& job) {
    if (!job.fails_repeatedly()) {
        machine.failed_jobs.insert(job.spec.uid);
    }
    if (machine.failed_jobs.size() >= constants::machine_failed_jobs_max) {
        release_marks_.mark(machine, "failing tasks", false);
    }
    machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
}

void TaskReconciliation::reconcile(Machine& machine, bool from_heartbeat) {
    for (const auto& [id, placed_task] : registry_.placements_on(machine).tasks) {
        const Job* job = placed_task.job;
        const Placement* placement = placed_task.placement;
        Attempt attempt{id, placement->attempt};
        auto status = machine.tasks.find(attempt);
        if (status != machine.tasks.end()) {
            if (status->second.state == TaskState::exited) {
                record_exit(machine, status->second);
            } else {
                machine.seen_running.insert(attempt);
                task_stops_.stop_unwanted(machine, *job, id, *placement);
            }
            continue;
        }
        // Not in the report. Only a heartbeat sent after our last reply proves that the task is
        // absent: a direct command's reply may overtake a start that is still in flight.
        bool proven_absent = from_heartbeat || !machine.starts_sent.contains(attempt);
        bool lost_gang_task =
            job->spec.kind == JobKind::gang && machine.seen_running.contains(attempt);
        if (proven_absent && (lost_gang_task || !registry_.should_start(machine, *job))) {
            ExitCause cause = lost_gang_task ? ExitCause::lost : ExitCause::not_started;
            pending_exits_.add(id, {placement->attempt, cause, false, machine.name});
        }
    }
}

// The cloud provider's confirmation of the release is the proof that everything on the machine has
// ended.
void TaskReconciliation::record_exits_of_released(const std::string& name) {
    const Cordon* cordon = ctx_.jobs.cordon(name);
    if (cordon == nullptr || !cordon->released) {
        return;
    }
    for (const auto& [id, placed_task] : ctx_.jobs.tasks_on_machine(name)) {
        pending_exits_.add(id,
                           {placed_task.placement->attempt, ExitCause::machine_gone, false, name});
    }
}

}  // namespace cranemoor::core

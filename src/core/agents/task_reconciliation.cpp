#include "core/agents/task_reconciliation.hpp"

#include <string>

namespace cranemoor::core {

namespace {
const char* reason_name(ExitReason reason) {
    switch (reason) {
        case ExitReason::done:
            return "done";
        case ExitReason::stopped:
            return "stopped";
        case ExitReason::peers_gone:
            return "peers gone";
        case ExitReason::incomplete:
            return "gang incomplete";
        case ExitReason::error:
            return "error";
        case ExitReason::no_room:
            return "no room";
        case ExitReason::busy:
            return "busy";
        case ExitReason::unknown_task:
            return "unknown task";
        default:
            return "exited";
    }
}
}  // namespace

void TaskReconciliation::record_exit(Machine& machine, const TaskStatus& status) {
    PendingTaskExits::TaskExit task_exit;
    task_exit.attempt = status.attempt;
    task_exit.machine = machine.name;
    task_exit.done = status.why == ExitReason::done;
    task_exit.error = status.why == ExitReason::error || status.why == ExitReason::unknown_task;
    task_exit.why = fmt::format("{}{}", reason_name(status.why), status.saved ? ", saved" : "");
    const Job* job = ctx_.jobs.find(status.id.uid);
    if (job == nullptr) {
        return;
    }
    const PendingTaskExits::TaskExit* known = pending_exits_.find(*job, status.id.index);
    bool again = known != nullptr && known->attempt == status.attempt;
    pending_exits_.add(status.id, task_exit);
    if (again) {
        return;
    }
    if (task_exit.done && job->spec.kind == JobKind::gang) {
        record_gang_done(*job, status);
    }
    if (task_exit.done) {
        machine.failed_jobs.clear();
    } else if (task_exit.error) {
        note_task_failure(machine, *job);
    } else if (status.why == ExitReason::no_room || status.why == ExitReason::busy) {
        machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
    }
}

// A gang completes together: what one of its tasks reports holds for all of the attempt, and one
// write tells it.
void TaskReconciliation::record_gang_done(const Job& job, const TaskStatus& status) {
    job.each_placement([&](int task, const Placement& placement) {
        if (placement.attempt == status.attempt) {
            pending_exits_.add({status.id.uid, task},
                               {placement.attempt, true, "done", placement.machine, false});
        }
        return true;
    });
}

// A failed task speaks against its machine, until its job has failed elsewhere too. Guards against
// machines quarantined for a job that was submitted with a mistake, however many of its tasks
// failed there.
void TaskReconciliation::note_task_failure(Machine& machine, const Job& job) {
    if (!job.doubtful()) {
        machine.failed_jobs.insert(job.spec.uid);
    }
    if (machine.failed_jobs.size() >= constants::machine_errors_max) {
        release_marks_.mark(machine, "failing tasks", false);
    }
    machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
}

void TaskReconciliation::reconcile(Machine& machine, bool from_heartbeat) {
    for (const auto& [id, on] : registry_.site(machine).tasks) {
        const Job* job = on.job;
        const Placement* placement = on.place;
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
        // Absent. Only a heartbeat sent after our last reply proves it: a direct
        // command's reply may overtake a start that is still in flight.
        bool proof = from_heartbeat || machine.starts_sent.count(attempt) == 0;
        bool lost_gang =
            job->spec.kind == JobKind::gang && machine.seen_running.count(attempt) != 0;
        if (proof && (lost_gang || !registry_.should_start(machine, *job))) {
            PendingTaskExits::TaskExit task_exit;
            task_exit.attempt = placement->attempt;
            task_exit.machine = machine.name;
            task_exit.why = lost_gang ? "lost" : "not started";
            pending_exits_.add(id, task_exit);
        }
    }
}

// The cloud provider's reply to a release is the proof that everything on the machine has ended.
void TaskReconciliation::record_exits_of_released(const std::string& name) {
    const Mark* mark = ctx_.jobs.mark(name);
    if (mark == nullptr || !mark->gone) {
        return;
    }
    for (const auto& [id, on] : ctx_.jobs.on_machine(name)) {
        pending_exits_.add(id, {on.place->attempt, false, "machine gone", name, false});
    }
}

}  // namespace cranemoor::core

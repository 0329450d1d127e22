#include "fake_worker.hpp"

#include <algorithm>
#include <utility>

#include "fake_cloud.hpp"
#include "invariant_checker.hpp"

namespace cranemoor::test {

namespace {
// Minimum time between two heartbeats of a worker.
constexpr double heartbeat_interval_min_s = 0.5;

bool is_live(const FakeTask& task) {
    return task.state != TaskState::exited;
}

void exit_task(FakeTask& task, ExitReason why) {
    task.state = TaskState::exited;
    task.exit_reason = why;
}
}  // namespace

void FakeWorker::send_heartbeat_by(double time_s) {
    next_heartbeat_at_s = std::min(next_heartbeat_at_s, time_s);
}

bool FakeWorkers::step(FakeWorker& worker) {
    double now = simulation_.now();
    if (worker.deleted || worker.is_hung || now < worker.booted_at_s) {
        return false;
    }
    for (const auto& command : std::exchange(worker.deferred_commands, {})) {
        command();  // has an effect only if fencing token and agent epoch match, however late
    }
    expire_lease(worker);
    bool has_changed = false;
    for (auto& [id, attempts] : worker.tasks) {
        for (auto& [attempt, task] : attempts) {
            auto old_state = task.state;
            step_task(worker, id, task);
            has_changed = has_changed || old_state != task.state;
        }
    }
    if (has_changed) {
        worker.send_heartbeat_by(std::max(now, worker.sent_at_s + heartbeat_interval_min_s));
    }
    return !worker.in_flight && now >= worker.next_heartbeat_at_s;
}

void FakeWorkers::expire_lease(FakeWorker& worker) const {
    double now = simulation_.now();
    if (now - worker.lease_start_s > settings_.lease_s) {
        worker.tasks.clear();
        worker.agent_epoch++;
        worker.lease_start_s = now;
        worker.next_heartbeat_at_s = now;
    }
}

void FakeWorkers::step_task(FakeWorker& worker, const TaskId& id, FakeTask& task) {
    double now = simulation_.now();
    if (task.state == TaskState::fetching && now >= task.ready_at_s) {
        finish_image_fetch(worker, id, task);
    }
    if (task.state == TaskState::waiting) {
        await_gang(id, task);
    }
    if (task.state == TaskState::saving) {
        save_gang(id, task);
    }
    if (task.state == TaskState::running && now >= task.ends_at_s) {
        complete_task(id, task);
    }
}

void FakeWorkers::finish_image_fetch(FakeWorker& worker, const TaskId& id, FakeTask& task) {
    const JobSpec& spec = ledger_.specs[id.uid];
    worker.images.insert(spec.image);
    if (worker.fails_tasks || failing_jobs.contains(id.uid)) {
        exit_task(task, ExitReason::error);
    } else if (ledger_.completed_tasks[id.uid].contains(id.index)) {
        exit_task(task, ExitReason::done);
    } else {
        bool needs_others = spec.kind == JobKind::gang && spec.tasks > 1;
        task.state = needs_others ? TaskState::waiting : TaskState::running;
        task.ends_at_s = spec.kind == JobKind::service ? never_s : simulation_.now() + task_run_s;
    }
}

// A gang's tasks run once all of them are present.
void FakeWorkers::await_gang(const TaskId& id, FakeTask& task) {
    int present = 0;
    for (const auto& [name, other] : machines_) {
        for (const auto& [other_id, attempts] : other.tasks) {
            auto it = attempts.find(task.attempt);
            bool counts = other_id.uid == id.uid && it != attempts.end() && it->second.is_present();
            present += counts ? 1 : 0;
        }
    }
    if (present == ledger_.specs[id.uid].tasks) {
        task.state = TaskState::running;
        task.ends_at_s = simulation_.now() + task_run_s;
    } else if (simulation_.now() > task.ready_at_s + settings_.gang_start_timeout_s) {
        exit_task(task, ExitReason::incomplete);
    }
}

// A gang's tasks save together: all must be asked to within gang_stop_window_s of the first.
void FakeWorkers::save_gang(const TaskId& id, FakeTask& task) {
    int requested_tasks = 0;
    double first_request_s = never_s;
    for (const auto& [name, other] : machines_) {
        for (const auto& [other_id, attempts] : other.tasks) {
            auto it = attempts.find(task.attempt);
            if (other_id.uid == id.uid && it != attempts.end()) {
                requested_tasks += it->second.stop_requested_at_s < never_s ? 1 : 0;
                first_request_s = std::min(first_request_s, it->second.stop_requested_at_s);
            }
        }
    }
    const JobSpec& spec = ledger_.specs.at(id.uid);
    if (simulation_.now() >= first_request_s + settings_.gang_stop_window_s &&
        requested_tasks < spec.tasks) {
        exit_task(task, ExitReason::peers_gone);
    } else if (simulation_.now() >= task.stop_requested_at_s + spec.save_s &&
               requested_tasks == spec.tasks) {
        exit_task(task, ExitReason::stopped);
        task.saved = true;
    }
    if (task.saved) {
        checkpointed_gangs.insert(id.uid);
    }
}

void FakeWorkers::complete_task(const TaskId& id, FakeTask& task) {
    exit_task(task, ExitReason::done);
    ledger_.completed_tasks[id.uid].insert(id.index);
    if (ledger_.specs[id.uid].kind == JobKind::gang) {
        complete_gang(id.uid, task.attempt);
    }
}

// When one task of a gang is done, all are.
void FakeWorkers::complete_gang(const std::string& uid, std::uint64_t attempt) {
    for (int index = 0; index < ledger_.specs[uid].tasks; ++index) {
        ledger_.completed_tasks[uid].insert(index);
    }
    for (auto& [name, worker] : machines_) {
        for (auto& [id, attempts] : worker.tasks) {
            auto it = attempts.find(attempt);
            if (id.uid == uid && it != attempts.end() && it->second.is_present()) {
                exit_task(it->second, ExitReason::done);
                worker.send_heartbeat_by(simulation_.now() + heartbeat_interval_min_s);
            }
        }
    }
}

void FakeWorkers::execute(FakeWorker& worker, const Command& command) {
    if (on_command) {
        on_command(worker.info.name, command);
    }
    auto& attempts = worker.tasks[command.id];
    auto it = attempts.find(command.attempt);
    if (command.kind == Command::Kind::forget) {
        if (it != attempts.end() && !is_live(it->second)) {
            attempts.erase(it);
        }
    } else if (command.kind == Command::Kind::stop) {
        if (it != attempts.end() && is_live(it->second)) {
            stop_task(ledger_.specs[command.id.uid], command, it->second);
        }
    } else if (it == attempts.end()) {
        start_task(worker, command);
    }
    if (attempts.empty()) {
        worker.tasks.erase(command.id);
    }
    worker.send_heartbeat_by(
        std::max(simulation_.now(), worker.sent_at_s + heartbeat_interval_min_s));
}

void FakeWorkers::stop_task(const JobSpec& spec, const Command& command, FakeTask& task) const {
    bool saves_together = spec.kind == JobKind::gang && spec.tasks > 1 && spec.checkpoint_s > 0;
    bool has_time = command.grace_s >= spec.save_s && command.grace_s > 0;
    bool can_save = task.state == TaskState::running || task.state == TaskState::saving;
    if (saves_together && has_time && can_save) {
        task.state = TaskState::saving;
        task.stop_requested_at_s = std::min(task.stop_requested_at_s, simulation_.now());
    } else {
        exit_task(task, ExitReason::stopped);
        task.saved = command.grace_s > 0;
    }
}

void FakeWorkers::start_task(FakeWorker& worker, const Command& command) {
    FakeTask task = new_task(worker, command);
    worker.tasks[command.id][command.attempt] = task;
    if (is_live(task)) {
        invariants_.check_start(worker, command.id);
    }
}

FakeTask FakeWorkers::new_task(const FakeWorker& worker, const Command& command) {
    FakeTask task;
    task.attempt = command.attempt;
    const auto& attempts = worker.tasks.at(command.id);
    bool is_busy = std::any_of(attempts.begin(), attempts.end(),
                               [](const auto& other) { return is_live(other.second); });
    Resources free = free_resources(worker);
    auto spec = ledger_.specs.find(command.id.uid);
    if (spec == ledger_.specs.end()) {
        exit_task(task, ExitReason::unknown_task);
    } else if (is_busy) {
        exit_task(task, ExitReason::busy);
    } else if (!spec->second.task_resources.fits_in(free)) {
        exit_task(task, ExitReason::no_room);
    } else {
        bool has_image = worker.images.contains(spec->second.image);
        task.ready_at_s = simulation_.now() + (has_image ? 0.01 : image_fetch_s);
    }
    return task;
}

Resources FakeWorkers::free_resources(const FakeWorker& worker) {
    Resources free = FakeCloud::machine_type().size;
    for (const auto& [id, attempts] : worker.tasks) {
        for (const auto& [attempt, task] : attempts) {
            if (is_live(task)) {
                free -= ledger_.specs[id.uid].task_resources;
            }
        }
    }
    return free;
}

Heartbeat FakeWorkers::make_heartbeat(FakeWorker& worker) {
    Heartbeat heartbeat{worker.info.name,
                        worker.info.name,
                        worker.info.type,
                        worker.info.zone,
                        worker.info.spot,
                        worker.agent_epoch,
                        ++worker.last_sequence_number,
                        worker.fencing_token,
                        worker.interruption_notice_s,
                        {}};
    for (const auto& [id, attempts] : worker.tasks) {
        for (const auto& [attempt, task] : attempts) {
            heartbeat.tasks.push_back({id, attempt, task.state, task.exit_reason, task.saved});
        }
    }
    return heartbeat;
}

}  // namespace cranemoor::test

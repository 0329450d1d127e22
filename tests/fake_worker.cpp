#include "fake_worker.hpp"

#include <algorithm>
#include <utility>

#include "fake_cloud.hpp"
#include "invariant_checker.hpp"

namespace cranemoor::test {

namespace {
// Shortest time between two heartbeats of a worker, in s.
constexpr double heartbeat_pause_s = 0.5;

bool is_live(const FakeTask& task) {
    return task.state != TaskState::exited;
}

void exit_task(FakeTask& task, ExitReason why) {
    task.state = TaskState::exited;
    task.exit_reason = why;
}
}  // namespace

void FakeWorker::send_heartbeat_by(double time) {
    next_report = std::min(next_report, time);
}

bool FakeWorkers::step(FakeWorker& worker) {
    double now = simulation_.now();
    if (worker.deleted || worker.is_hung || now < worker.up_at) {
        return false;
    }
    for (const auto& command : std::exchange(worker.held_commands, {})) {
        command();  // as long as fencing token and session match, however late
    }
    expire_lease(worker);
    bool has_changed = false;
    for (auto& [id, attempts] : worker.tasks) {
        for (auto& [attempt, task] : attempts) {
            auto before = task.state;
            step_task(worker, id, task);
            has_changed = has_changed || before != task.state;
        }
    }
    if (has_changed) {
        worker.send_heartbeat_by(std::max(now, worker.sent_at + heartbeat_pause_s));
    }
    return !worker.in_flight && now >= worker.next_report;
}

void FakeWorkers::expire_lease(FakeWorker& worker) const {
    double now = simulation_.now();
    if (now - worker.lease_from > settings_.lease_s) {
        worker.tasks.clear();
        worker.session++;
        worker.lease_from = now;
        worker.next_report = now;
    }
}

void FakeWorkers::step_task(FakeWorker& worker, const TaskId& id, FakeTask& task) {
    double now = simulation_.now();
    if (task.state == TaskState::fetching && now >= task.ready_at) {
        begin_task(worker, id, task);
    }
    if (task.state == TaskState::waiting) {
        await_gang(id, task);
    }
    if (task.state == TaskState::saving) {
        save_gang(id, task);
    }
    if (task.state == TaskState::running && now >= task.ends_at) {
        complete_task(id, task);
    }
}

void FakeWorkers::begin_task(FakeWorker& worker, const TaskId& id, FakeTask& task) {
    const JobSpec& spec = ledger_.specs[id.uid];
    worker.images.insert(spec.image);
    if (worker.fails_tasks || failing_jobs.contains(id.uid)) {
        exit_task(task, ExitReason::error);
    } else if (ledger_.completed_tasks[id.uid].contains(id.index)) {
        exit_task(task, ExitReason::done);
    } else {
        bool needs_others = spec.kind == JobKind::gang && spec.tasks > 1;
        task.state = needs_others ? TaskState::waiting : TaskState::running;
        task.ends_at = spec.kind == JobKind::service ? never_s : simulation_.now() + task_run_s;
    }
}

// Its tasks run once all of them are present.
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
        task.ends_at = simulation_.now() + task_run_s;
    } else if (simulation_.now() > task.ready_at + settings_.gang_start_timeout_s) {
        exit_task(task, ExitReason::incomplete);
    }
}

// A gang's tasks save together: all must be told within gang_stop_window_s of the first.
void FakeWorkers::save_gang(const TaskId& id, FakeTask& task) {
    int told = 0;
    double first = never_s;
    for (const auto& [name, other] : machines_) {
        for (const auto& [other_id, attempts] : other.tasks) {
            auto it = attempts.find(task.attempt);
            if (other_id.uid == id.uid && it != attempts.end()) {
                told += it->second.told_at < never_s ? 1 : 0;
                first = std::min(first, it->second.told_at);
            }
        }
    }
    const JobSpec& spec = ledger_.specs.at(id.uid);
    if (simulation_.now() >= first + settings_.gang_stop_window_s && told < spec.tasks) {
        exit_task(task, ExitReason::peers_gone);
    } else if (simulation_.now() >= task.told_at + spec.save_s && told == spec.tasks) {
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

// Gangs complete together: when one task is done, all are.
void FakeWorkers::complete_gang(const std::string& uid, std::uint64_t attempt) {
    for (int index = 0; index < ledger_.specs[uid].tasks; ++index) {
        ledger_.completed_tasks[uid].insert(index);
    }
    for (auto& [name, worker] : machines_) {
        for (auto& [id, attempts] : worker.tasks) {
            auto it = attempts.find(attempt);
            if (id.uid == uid && it != attempts.end() && it->second.is_present()) {
                exit_task(it->second, ExitReason::done);
                worker.send_heartbeat_by(simulation_.now() + heartbeat_pause_s);
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
    worker.send_heartbeat_by(std::max(simulation_.now(), worker.sent_at + heartbeat_pause_s));
}

void FakeWorkers::stop_task(const JobSpec& spec, const Command& command, FakeTask& task) const {
    bool saves_together = spec.kind == JobKind::gang && spec.tasks > 1 && spec.checkpoint_s > 0;
    bool has_time = command.grace_s >= spec.save_s && command.grace_s > 0;
    bool can_save = task.state == TaskState::running || task.state == TaskState::saving;
    if (saves_together && has_time && can_save) {
        task.state = TaskState::saving;
        task.told_at = std::min(task.told_at, simulation_.now());
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
    Resources left = free_resources(worker);
    auto spec = ledger_.specs.find(command.id.uid);
    if (spec == ledger_.specs.end()) {
        exit_task(task, ExitReason::unknown_task);
    } else if (is_busy) {
        exit_task(task, ExitReason::busy);
    } else if (!spec->second.task_resources.fits_in(left)) {
        exit_task(task, ExitReason::no_room);
    } else {
        bool has_image = worker.images.contains(spec->second.image);
        task.ready_at = simulation_.now() + (has_image ? 0.01 : image_fetch_s);
    }
    return task;
}

Resources FakeWorkers::free_resources(const FakeWorker& worker) {
    Resources left = FakeCloud::machine_type().size;
    for (const auto& [id, attempts] : worker.tasks) {
        for (const auto& [attempt, task] : attempts) {
            if (is_live(task)) {
                left -= ledger_.specs[id.uid].task_resources;
            }
        }
    }
    return left;
}

Heartbeat FakeWorkers::make_heartbeat(FakeWorker& worker) {
    Heartbeat heartbeat{worker.info.name,
                        worker.info.name,
                        "t8",
                        worker.info.zone,
                        worker.info.spot,
                        worker.session,
                        ++worker.seq,
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

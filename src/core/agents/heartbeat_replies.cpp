#include "core/agents/heartbeat_replies.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

void HeartbeatReplies::open(Machine& machine, std::uint64_t request) {
    machine.open_request = request;
    machine.seen_by_scheduler = false;
    machine.reply_held_open = false;
    if (!machine.awaiting_reply) {
        machine.awaiting_reply = true;
        awaiting_reply_.push_back(&machine);
    }
}

void HeartbeatReplies::send(Machine& machine) {
    if (!machine.open_request) {
        return;
    }
    WorkerReply reply;
    reply.request = *machine.open_request;
    machine.open_request.reset();
    if (!membership_.may_answer_workers() || !machine.owned_by_us) {
        reply.status = machine.owned_by_us ? 503 : 421;
        ctx_.actions.emplace_back(reply);
        return;
    }
    reply.status = 200;
    machine.answered_heartbeat_at = machine.last_heartbeat_at;
    reply.token = ctx_.fencing_token;
    if (machine.adopted) {
        std::set<TaskId> live = add_stops_and_forgets(machine, reply);
        add_starts(machine, live, reply);
    }
    ctx_.actions.emplace_back(std::move(reply));
}

std::set<TaskId> HeartbeatReplies::add_stops_and_forgets(Machine& machine,
                                                         WorkerReply& reply) const {
    std::set<TaskId> live;
    for (const auto& [attempt, status] : machine.tasks) {
        const Placement* placement = ctx_.jobs.placement(attempt.task);
        bool is_current = placement != nullptr && placement->machine == machine.name &&
                          placement->attempt == attempt.number;
        if (status.state == TaskState::exited) {
            if (!is_current) {
                reply.commands.push_back({Command::Kind::forget, attempt.task, attempt.number, 0});
                machine.starts_sent.erase(attempt);
                machine.seen_running.erase(attempt);
            }
            continue;
        }
        live.insert(attempt.task);
        auto stop = machine.pending_stops.find(attempt);
        if (!is_current) {
            reply.commands.push_back({Command::Kind::stop, attempt.task, attempt.number, 0});
        } else if (stop != machine.pending_stops.end()) {
            reply.commands.push_back(
                {Command::Kind::stop, attempt.task, attempt.number, stop->second.grace_s});
        }
    }
    return live;
}

void HeartbeatReplies::add_starts(Machine& machine, const std::set<TaskId>& live,
                                  WorkerReply& reply) {
    bool may_start = membership_.may_start_tasks();
    for (const auto& [id, placed] : registry_.placements_on(machine).tasks) {
        if (!may_start || !registry_.should_start(machine, *placed.job)) {
            continue;
        }
        Attempt attempt{id, placed.placement->attempt};
        bool exit_pending = pending_exits_.find(*placed.job, id.index) != nullptr;
        if (machine.tasks.contains(attempt) || live.contains(id) || exit_pending) {
            continue;
        }
        if (machine.starts_sent.insert(attempt).second) {
            ctx_.info("start {} attempt {} on {}", id.text(), attempt.number, machine.name);
        }
        reply.commands.push_back({Command::Kind::start, id, attempt.number, 0});
    }
}

// A held reply is lost if this process ends. Whether an earlier controller answered the worker is
// not known here.
bool HeartbeatReplies::is_lease_fresh(const Machine& machine) const {
    return ctx_.now.steady - machine.answered_heartbeat_at <
           ctx_.settings.lease_s * constants::held_reply_lease_share;
}

void HeartbeatReplies::send_due() {
    // Machines whose heartbeat another function has answered leave the list only here. Until then
    // the registry keeps them, since the list points to them; see `FailureDetector::can_forget`.
    std::size_t kept = 0;
    for (Machine* machine : awaiting_reply_) {
        if (machine->open_request &&
            !(machine->reply_held_open && ctx_.now.steady < machine->reply_deadline)) {
            send_if_due(*machine);
        }
        machine->awaiting_reply = machine->open_request.has_value();
        if (machine->awaiting_reply) {
            awaiting_reply_[kept++] = machine;
        }
    }
    awaiting_reply_.resize(kept);
}

void HeartbeatReplies::send_if_due(Machine& machine) {
    if (!machine.open_request) {
        return;
    }
    bool overdue = ctx_.now.steady >= machine.reply_deadline;
    if (!overdue && machine.claims_in_flight > 0) {
        return;
    }
    // A start that is due is sent at once.
    bool start_due = false;
    bool change_expected = false;  // the worker may soon have a change to report
    for (const auto& [id, placed] : registry_.placements_on(machine).tasks) {
        auto status = machine.tasks.find({id, placed.placement->attempt});
        start_due = start_due ||
                    (status == machine.tasks.end() && registry_.should_start(machine, *placed.job));
        change_expected =
            change_expected || placed.job->cancelled || placed.job->spec.kind != JobKind::service ||
            status == machine.tasks.end() || status->second.state != TaskState::running;
    }
    if (start_due && !overdue && !membership_.may_start_tasks()) {
        return;  // the next reply of the key-value store will arrive shortly
    }
    bool accepts_claims = !start_due && registry_.claimable(machine);
    if (accepts_claims && !overdue && !machine.seen_by_scheduler) {
        return;  // the next scheduling round will run shortly
    }
    change_expected =
        change_expected || machine.tasks.size() > registry_.placements_on(machine).tasks.size();
    if (accepts_claims && !change_expected && !overdue && is_lease_fresh(machine) &&
        registry_.free_resources(machine).cpus > Resources::rounding_tolerance) {
        // No task there ends by itself, so the worker has nothing to report. Its reply is held open
        // so that a job that arrives meanwhile starts without waiting for the next heartbeat.
        machine.reply_deadline =
            std::max(machine.reply_deadline,
                     machine.last_heartbeat_at + constants::idle_heartbeat_reply_hold_s);
        machine.reply_held_open = true;
        return;
    }
    send(machine);
}

}  // namespace cranemoor::core

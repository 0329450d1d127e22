#include "core/agents/machine_adoption.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {
// Direct commands sent to raise one machine's fencing token; the first may name an outdated agent
// epoch.
constexpr int token_raise_attempts_max = 2;
}  // namespace

void MachineAdoption::epoch_changed(const std::optional<Epoch>& previous) {
    const auto& epoch = ctx_.jobs.epoch();
    // Only between consecutive epochs is it certain that no other controller owned a machine in
    // the meantime.
    bool consecutive = previous && epoch && epoch->number == previous->number + 1 &&
                       ctx_.is_member && previous->has(ctx_.self.id);
    int taken_over = 0;
    for (Machine* machine : registry_.all()) {
        bool owned = membership_.owned_by_us(machine->name, machine->zone);
        machine->free_resources_valid = false;
        if (owned && machine->owned_by_us && consecutive) {
            continue;
        }
        if (machine->open_request && !owned) {
            machine->owned_by_us = false;
            replies_.send(*machine);
        }
        machine->owned_by_us = owned;
        machine->adopted = false;
        pending_exits_.forget(machine->name);
        machine->starts_sent.clear();
        machine->seen_running.clear();
        machine->pending_stops.clear();
        if (owned) {
            machine->owned_since = ctx_.now.steady;
            machine->probe_failures = 0;
            ++taken_over;
            token_raise_queue_.push_back(machine->name);
        }
    }
    if (taken_over > 0) {
        ctx_.info("epoch {}: became owner of {} machines", ctx_.fencing_token, taken_over);
    }
}

void MachineAdoption::queue_token_raises(const std::vector<std::string>& names) {
    token_raise_queue_.insert(token_raise_queue_.end(), names.begin(), names.end());
}

// Limited per tick: hundreds of connections at once would keep a slow controller busy for seconds
// while its other workers and its lease wait. Machines whose heartbeats arrive first are adopted by
// them.
void MachineAdoption::raise_queued_tokens() {
    for (int i = 0; i < constants::token_raises_per_tick_max && !token_raise_queue_.empty(); ++i) {
        Machine* machine = registry_.find(token_raise_queue_.front());
        token_raise_queue_.pop_front();
        if (machine != nullptr && machine->owned_by_us && !machine->adopted) {
            raise_token(*machine, token_raise_attempts_max);
        }
    }
}

void MachineAdoption::raise_token(Machine& machine, int attempts_left) {
    if (machine.address.empty() || attempts_left == 0 || registry_.placements_on(machine).cordon) {
        return;
    }
    WorkerCommandCall call;
    call.machine = machine.name;
    call.address = machine.address;
    call.token = ctx_.fencing_token;
    call.agent_epoch = std::max<std::uint64_t>(machine.agent_epoch, 1);
    Token token = ctx_.fencing_token;
    ctx_.call_worker(
        call, [this, name = machine.name, token, attempts_left](const WorkerCommandReply& reply) {
            Machine* machine = registry_.find(name);
            if (machine == nullptr || !reply.heartbeat || !machine->owned_by_us ||
                token != ctx_.fencing_token || machine->adopted) {
                return;
            }
            on_token_reply(*machine, *reply.heartbeat, attempts_left);
        });
}

void MachineAdoption::on_token_reply(Machine& machine, const Heartbeat& heartbeat,
                                     int attempts_left) {
    if (AgentRegistry::is_stale(machine, heartbeat)) {
        return;
    }
    registry_.apply_heartbeat(machine, heartbeat);
    if (heartbeat.token != ctx_.fencing_token) {
        raise_token(machine, attempts_left - 1);  // the command named an outdated agent epoch
        return;
    }
    machine.adopted = true;
    machine.last_heartbeat_at = ctx_.now.steady;
    log_adopted(machine);
    reconciliation_.reconcile(machine, false);
}

void MachineAdoption::adopt_on_heartbeat(Machine& machine, const Heartbeat& heartbeat) {
    if (heartbeat.token == ctx_.fencing_token && !machine.adopted) {
        machine.adopted = true;
        log_adopted(machine);
    }
}

void MachineAdoption::log_adopted(const Machine& machine) {
    ctx_.info("machine {}: adopted at agent epoch {} with {} tasks", machine.name,
              machine.agent_epoch, machine.tasks.size());
}

}  // namespace cranemoor::core

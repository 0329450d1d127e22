#include "core/agents/failure_detector.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cranemoor::core {

// Looks at every machine: the silent, the faulty, the failed, and those that are no more.
void FailureDetector::sweep() {
    fence_cancelled();
    if (membership_.is_leader()) {
        for (const auto& [key, marks] : ctx_.jobs.cordon_batches()) {
            for (const auto& name : marks.released) {
                // Also of claims that came after the machine's end.
                reconciliation_.record_exits_of_released(name);
            }
        }
    }
    SilentMachines silent = count_silent_machines();
    for (std::size_t i = 0; i < registry_.all().size();) {
        Machine& machine = *registry_.all()[i];
        if (can_forget(machine)) {
            registry_.erase(machine);
            continue;
        }
        ++i;
        registry_.note_empty(machine);
        if (ctx_.is_member && machine.owned_by_us) {
            task_stops_.resend(machine);
        }
        if (ctx_.is_member && machine.owned_by_us && !registry_.site(machine).cordon) {
            task_stops_.checkpoint_before_interruption(machine);
            check_liveness(machine, silent);
        }
    }
}

// A cancelled task that is still somewhere well after its user was told: its machine can't be
// reached, and must be released before the time is up. Its owner does it, who knows what has ended.
// Guards against machines released, with all else that ran on them, for ends that only wait to be
// written: their work then came back and made the wait longer.
void FailureDetector::fence_cancelled() {
    for (Machine* machine : machines_with_overdue_cancels()) {
        release_marks_.mark(*machine, "cancelled task still there", true);
    }
}

// Machines that are past the time for a cancelled task and send no heartbeats and answer no probe,
// and those with a mark that says so: what must be released even by somebody who can write nothing
// down.
std::set<std::string> FailureDetector::overdue_and_silent() {
    std::set<std::string> names;
    for (const Machine* machine : machines_with_overdue_cancels()) {
        // Who answers a probe is alive, and only sends its heartbeats to another by now.
        if (machine->probe_failures > 0 &&
            silent_for_s(*machine) > registry_.heartbeat_timeout_s()) {
            names.insert(machine->name);
        }
    }
    for (const auto& [key, marks] : ctx_.jobs.cordon_batches()) {
        for (const auto& name : marks.machines) {
            const Machine* machine = registry_.find(name);
            bool ours = machine != nullptr ? machine->owned_by_us : membership_.is_leader();
            if (marks.fence && !marks.released.contains(name) && ours) {
                names.insert(name);
            }
        }
    }
    return names;
}

std::set<Machine*> FailureDetector::machines_with_overdue_cancels() {
    std::set<Machine*> machines;
    double limit_s = ctx_.settings.cancel_deadline_s * constants::cancel_fence_share;
    double last_limit_s =
        ctx_.settings.cancel_deadline_s * constants::cancel_fence_after_takeover_share;
    for (const auto& uid : ctx_.jobs.cancelled_jobs()) {
        const Job& job = ctx_.jobs.jobs().at(uid);
        double since_s = ctx_.now.wall - job.cancelled_wall;
        if (since_s < limit_s) {
            continue;
        }
        job.each_placement([&](int task, const Placement& placement) {
            Machine* machine = registry_.find(placement.machine);
            const TaskExit* task_exit = pending_exits_.find(job, task);
            bool ended = task_exit != nullptr && task_exit->attempt == placement.attempt;
            // Just taken over: what ended there before is known with its first heartbeat.
            bool recently_taken_over =
                machine != nullptr && !machine->adopted && since_s < last_limit_s &&
                ctx_.now.steady - machine->owned_since < registry_.heartbeat_timeout_s();
            if (machine != nullptr && machine->owned_by_us && !ended && !recently_taken_over) {
                machines.insert(machine);
            }
            return true;
        });
    }
    return machines;
}

bool FailureDetector::SilentMachines::Count::is_suspect() const {
    return silent > constants::partition_silent_machines_tolerated_max &&
           silent > owned * constants::partition_silent_share;
}

// When most machines fall silent at once, this process's own network is the likelier cause; when
// most of another zone do, that zone is partitioned. Inside it work goes on and its images stay:
// releasing hundreds of healthy machines would cost more than waiting for them.
FailureDetector::SilentMachines FailureDetector::count_silent_machines() {
    SilentMachines result;
    int relayed = 0;
    std::map<std::string, SilentMachines::Count> zones;
    for (const Machine* machine : registry_.all()) {
        if (!machine->owned_by_us || !machine->up() || registry_.site(*machine).cordon) {
            continue;
        }
        bool is_silent = silent_for_s(*machine) > registry_.heartbeat_timeout_s();
        zones[machine->zone].add(is_silent);
        if (machine->heartbeat_received && machine->adopted) {
            result.adopted.add(is_silent);
            bool lately_relayed =
                machine->last_heartbeat_relayed &&
                ctx_.now.steady - machine->last_heartbeat_at < constants::relay_failover_s;
            relayed += lately_relayed ? 1 : 0;
        }
    }
    result.partitioned_from_workers = partitioned_from_workers(result.adopted.owned, relayed);
    std::set<std::string> partitioned_zones;
    for (const auto& [zone, count] : zones) {
        if (zone != ctx_.settings.zone && count.is_suspect()) {
            partitioned_zones.insert(zone);
        }
    }
    registry_.set_partitioned_zones(std::move(partitioned_zones));
    return result;
}

double FailureDetector::silent_for_s(const Machine& machine) const {
    return ctx_.now.steady - std::max(machine.last_heartbeat_at, machine.owned_since);
}

// Whether the way between this process and its machines is more likely to be cut than they are to
// be gone: their heartbeats come by way of other controllers, or none has come for much longer than
// there should be between any two.
bool FailureDetector::partitioned_from_workers(int owned, int relayed) const {
    double now = ctx_.now.steady;
    double interval_s = ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor /
                        std::max(1, owned);
    double gap_s = std::max(constants::partition_heartbeat_gap_s,
                            interval_s * constants::partition_heartbeat_gap_factor);
    return owned > constants::partition_silent_machines_tolerated_max &&
           (relayed > owned * constants::partition_relayed_share ||
            now - last_direct_heartbeat_at_ > gap_s);
}

// Whether nothing is left of a machine. Keeps what is known of it in step with its mark.
bool FailureDetector::can_forget(Machine& machine) const {
    const auto& mark = registry_.site(machine).cordon;
    bool placed = !registry_.site(machine).tasks.empty();
    if (mark && mark->released) {
        machine.release_confirmed = true;
    } else if (machine.release_confirmed && !mark && !machine.awaiting_reply) {
        if (!placed) {
            return true;  // its mark was retired
        }
        // A claim came as late as that: its end must be proved once more.
        machine.release_confirmed = false;
        machine.heartbeat_received = machine.adopted = false;
        machine.address.clear();
    }
    return !placed && !mark && !machine.awaiting_reply &&
           silent_for_s(machine) > constants::gone_cordon_ttl_s &&
           ctx_.now.steady - machine.listed_at > constants::gone_cordon_ttl_s;
}

// Seconds without a heartbeat after which a machine is fenced.
double FailureDetector::fence_after_s(const Machine& machine, const SilentMachines& silent) const {
    double limit_s = registry_.heartbeat_timeout_s();
    if (silent.adopted.silent == silent.adopted.owned || silent.partitioned_from_workers) {
        // Perhaps only the way to it is cut: a worker needs this long to come back by way of
        // another controller, which relays its heartbeats. Guards against the release of hundreds
        // of healthy machines by a controller that is cut off from them.
        limit_s = std::max(
            limit_s, constants::relay_failover_s +
                         ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor);
    }
    if (silent.adopted.is_suspect()) {
        limit_s = ctx_.settings.lease_s + registry_.heartbeat_timeout_s();
    }
    if (registry_.zone_partitioned(machine.zone)) {
        // By then every lease there has ended; starting anew costs about a boot.
        limit_s = std::max(limit_s, ctx_.settings.cancel_deadline_s + registry_.longest_boot_s());
    }
    return limit_s;
}

void FailureDetector::check_liveness(Machine& machine, const SilentMachines& silent) {
    double silent_s = silent_for_s(machine);
    bool placed = !registry_.site(machine).tasks.empty();
    if (machine.listed_state == ListedState::failed) {
        release_marks_.mark(machine, "failed", true);
    } else if (placed && machine.address.empty() &&
               silent_s > constants::first_heartbeat_timeout_s) {
        // Placed by a claim on a machine that nobody lists any more: it can't be probed.
        release_marks_.mark(machine, "unknown", true);
    } else if (machine.heartbeat_received || placed) {
        double limit_s = fence_after_s(machine, silent);
        if (silent_s > limit_s && machine.probe_failures > 0) {
            release_marks_.mark(machine, "silent", true);
        } else if (silent_s > limit_s - constants::direct_command_timeout_s) {
            probe(machine);
        }
    } else if (machine.running_since >= 0 && !registry_.zone_partitioned(machine.zone) &&
               ctx_.now.steady - std::max(machine.running_since, machine.owned_since) >
                   constants::first_heartbeat_timeout_s) {
        release_marks_.mark(machine, "never reported", true);
    }
    if (machine.interruption_deadline && !placed && machine.heartbeat_received) {
        release_marks_.mark(machine, "taken away soon", false);
    }
}

void FailureDetector::probe(Machine& machine) {
    if (machine.probe_in_flight || machine.address.empty()) {
        return;
    }
    machine.probe_in_flight = true;
    WorkerCommandCall call;
    call.machine = machine.name;
    call.address = machine.address;
    ctx_.call_worker(call, [this, name = machine.name](const WorkerCommandReply& reply) {
        Machine* machine = registry_.find(name);
        if (machine == nullptr) {
            return;
        }
        machine->probe_in_flight = false;
        if (reply.answered) {
            // Alive, but its heartbeats go elsewhere or don't get through: the raised
            // token makes it turn away from whoever replies to it wrongly.
            machine->probe_failures = 0;
            if (reply.heartbeat) {
                machine->agent_epoch = std::max(machine->agent_epoch, reply.heartbeat->agent_epoch);
            }
            if (machine->owned_by_us) {
                adoption_.raise_token(*machine, 1);
            }
        } else {
            machine->probe_failures++;
        }
    });
}

}  // namespace cranemoor::core

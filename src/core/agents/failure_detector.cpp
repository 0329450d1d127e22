#include "core/agents/failure_detector.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cranemoor::core {

void FailureDetector::sweep() {
    fence_overdue_cancels();
    if (membership_.is_leader()) {
        for (const auto& [key, batch] : ctx_.jobs.cordon_batches()) {
            for (const auto& name : batch.released) {
                // Also the tasks of claims that were made after the machine's release.
                reconciliation_.record_exits_of_released(name);
            }
        }
    }
    SilentMachines silent_machines = count_silent_machines();
    for (std::size_t i = 0; i < registry_.all().size();) {
        Machine& machine = *registry_.all()[i];
        if (can_forget(machine)) {
            registry_.erase(machine);
            continue;
        }
        ++i;
        registry_.update_empty_since(machine);
        if (ctx_.is_member && machine.owned_by_us) {
            task_stops_.resend(machine);
        }
        if (ctx_.is_member && machine.owned_by_us && !registry_.placements_on(machine).cordon) {
            task_stops_.checkpoint_before_interruption(machine);
            check_liveness(machine, silent_machines);
        }
    }
}

// A cancelled task is still placed long after its cancellation was acknowledged: its machine can't
// be reached, and must be released before the cancellation deadline. The machine's owner does this,
// as it knows which tasks have ended. Guards against the release of machines, with all other tasks
// on them, because of exits that only wait to be written: the lost tasks then had to run again and
// made the wait longer.
void FailureDetector::fence_overdue_cancels() {
    for (Machine* machine : machines_with_overdue_cancels()) {
        release_marks_.mark(*machine, "cancelled task still there", true);
    }
}

// Machines that are overdue with a cancelled task, send no heartbeats and answer no probe, and
// machines with a fencing cordon: they must be released even by a controller that can't write to
// the key-value store.
std::set<std::string> FailureDetector::machines_to_release_without_store() {
    std::set<std::string> names;
    for (const Machine* machine : machines_with_overdue_cancels()) {
        // A worker that answers a probe is alive, and only sends its heartbeats to another
        // controller by now.
        if (machine->probe_failures > 0 &&
            silent_for_s(*machine) > registry_.heartbeat_timeout_s()) {
            names.insert(machine->name);
        }
    }
    for (const auto& [key, batch] : ctx_.jobs.cordon_batches()) {
        for (const auto& name : batch.machines) {
            const Machine* machine = registry_.find(name);
            bool responsible = machine != nullptr ? machine->owned_by_us : membership_.is_leader();
            if (batch.fence && !batch.released.contains(name) && responsible) {
                names.insert(name);
            }
        }
    }
    return names;
}

std::set<Machine*> FailureDetector::machines_with_overdue_cancels() {
    std::set<Machine*> machines;
    double limit_s = ctx_.settings.cancel_deadline_s * constants::cancel_fence_share;
    double takeover_limit_s =
        ctx_.settings.cancel_deadline_s * constants::cancel_fence_after_takeover_share;
    for (const auto& uid : ctx_.jobs.cancelled_jobs()) {
        const Job& job = ctx_.jobs.jobs().at(uid);
        double cancelled_for_s = ctx_.now.wall - job.cancelled_wall;
        if (cancelled_for_s < limit_s) {
            continue;
        }
        job.each_placement([&](int task, const Placement& placement) {
            Machine* machine = registry_.find(placement.machine);
            const TaskExit* task_exit = pending_exits_.find(job, task);
            bool exit_known = task_exit != nullptr && task_exit->attempt == placement.attempt;
            // Just taken over: its first heartbeat shows which tasks have already ended there.
            bool recently_taken_over =
                machine != nullptr && !machine->adopted && cancelled_for_s < takeover_limit_s &&
                ctx_.now.steady - machine->owned_since < registry_.heartbeat_timeout_s();
            if (machine != nullptr && machine->owned_by_us && !exit_known && !recently_taken_over) {
                machines.insert(machine);
            }
            return true;
        });
    }
    return machines;
}

bool FailureDetector::SilentMachines::Count::suggests_partition() const {
    return silent > constants::partition_silent_machines_tolerated_max &&
           silent > owned * constants::partition_silent_share;
}

// If most machines fall silent at once, this controller's own network is the more likely cause; if
// most machines of another zone do, that zone is partitioned. Tasks in it keep running and cached
// images stay: releasing hundreds of healthy machines would cost more than waiting for them.
FailureDetector::SilentMachines FailureDetector::count_silent_machines() {
    SilentMachines result;
    int relayed = 0;
    std::map<std::string, SilentMachines::Count> zones;
    for (const Machine* machine : registry_.all()) {
        if (!machine->owned_by_us || !machine->up() || registry_.placements_on(*machine).cordon) {
            continue;
        }
        bool is_silent = silent_for_s(*machine) > registry_.heartbeat_timeout_s();
        zones[machine->zone].add(is_silent);
        if (machine->heartbeat_received && machine->adopted) {
            result.adopted.add(is_silent);
            bool recently_relayed =
                machine->last_heartbeat_relayed &&
                ctx_.now.steady - machine->last_heartbeat_at < constants::relay_failover_s;
            relayed += recently_relayed ? 1 : 0;
        }
    }
    result.partitioned_from_workers = partitioned_from_workers(result.adopted.owned, relayed);
    std::set<std::string> partitioned_zones;
    for (const auto& [zone, count] : zones) {
        if (zone != ctx_.settings.zone && count.suggests_partition()) {
            partitioned_zones.insert(zone);
        }
    }
    registry_.set_partitioned_zones(std::move(partitioned_zones));
    return result;
}

double FailureDetector::silent_for_s(const Machine& machine) const {
    return ctx_.now.steady - std::max(machine.last_heartbeat_at, machine.owned_since);
}

// Whether a partition between this controller and its machines is more likely than their failure:
// their heartbeats are relayed by other controllers, or none has come for much longer than the
// usual interval between any two.
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

// Whether nothing refers to the machine any more, so that it can be dropped. Also updates
// release_confirmed from the machine's cordon.
bool FailureDetector::can_forget(Machine& machine) const {
    const auto& cordon = registry_.placements_on(machine).cordon;
    bool has_placements = !registry_.placements_on(machine).tasks.empty();
    if (cordon && cordon->released) {
        machine.release_confirmed = true;
    } else if (machine.release_confirmed && !cordon && !machine.awaiting_reply) {
        if (!has_placements) {
            return true;  // its cordon record was removed
        }
        // A claim came even after that: the end of its task must be proved anew.
        machine.release_confirmed = false;
        machine.heartbeat_received = machine.adopted = false;
        machine.address.clear();
    }
    return !has_placements && !cordon && !machine.awaiting_reply &&
           silent_for_s(machine) > constants::gone_cordon_ttl_s &&
           ctx_.now.steady - machine.listed_at > constants::gone_cordon_ttl_s;
}

// Seconds without a heartbeat after which a machine is fenced.
double FailureDetector::fence_after_s(const Machine& machine,
                                      const SilentMachines& silent_machines) const {
    double limit_s = registry_.heartbeat_timeout_s();
    if (silent_machines.adopted.silent == silent_machines.adopted.owned ||
        silent_machines.partitioned_from_workers) {
        // Perhaps only the connection to the machine is cut: a worker needs this long to switch to
        // another controller, which relays its heartbeats. Guards against the release of hundreds
        // of healthy machines by a controller that is cut off from them.
        limit_s = std::max(
            limit_s, constants::relay_failover_s +
                         ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor);
    }
    if (silent_machines.adopted.suggests_partition()) {
        limit_s = ctx_.settings.lease_s + registry_.heartbeat_timeout_s();
    }
    if (registry_.zone_partitioned(machine.zone)) {
        // By then every lease in the zone has expired; a replacement machine costs about one boot.
        limit_s = std::max(limit_s, ctx_.settings.cancel_deadline_s + registry_.boot_time_max_s());
    }
    return limit_s;
}

void FailureDetector::check_liveness(Machine& machine, const SilentMachines& silent_machines) {
    double silent_s = silent_for_s(machine);
    bool has_placements = !registry_.placements_on(machine).tasks.empty();
    if (machine.listed_state == ListedState::failed) {
        release_marks_.mark(machine, "failed", true);
    } else if (has_placements && machine.address.empty() &&
               silent_s > constants::first_heartbeat_timeout_s) {
        // Placed by a claim on a machine that is no longer listed: without address, no probe.
        release_marks_.mark(machine, "unknown", true);
    } else if (machine.heartbeat_received || has_placements) {
        double limit_s = fence_after_s(machine, silent_machines);
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
    if (machine.interruption_deadline && !has_placements && machine.heartbeat_received) {
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
            // Alive, but its heartbeats go elsewhere or don't get through: the raised fencing
            // token makes the worker leave any controller that replies to it wrongly.
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

#include "core/scheduling/machine_scoring.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {
// Scores of machines for tasks, see MachineScoring::score. The free share of its CPUs, at most 1,
// is added to the score of a spot machine or a machine in use.
constexpr double score_of_leftover_room = -1;
constexpr double score_of_spot = 0;
constexpr double score_of_ordinary_in_use = 1.5;
constexpr double score_of_ordinary_empty = 3;

// Penalties added to the score of a machine for a gang.
constexpr double gang_penalty_of_other_owner = 2;
constexpr double gang_penalty_without_open_heartbeat = 1;
}  // namespace

double MachineScoring::score(const MachineOffer& offer, const Job& job) const {
    // Spot machines come first for jobs that may use them, machines in use next, and empty ordinary
    // machines last: those are kept whole for gangs that need one. Work goes to the fullest
    // machine, so that the others become empty.
    const Machine& machine = *offer.machine;
    if (job.spec.kind == JobKind::gang && job.done() == 0) {
        return machine.spot ? 0 : 1;
    }
    if (offer.is_empty && !machine.spot) {
        return score_of_ordinary_empty;
    }
    if (PlacementConstraints::is_best_effort_spot(job.spec) && !machine.spot) {
        // Leftover room costs nothing extra, on machines that the cloud doesn't interrupt.
        return score_of_leftover_room;
    }
    const MachineType* type = agents_.type(machine.type);
    double free_share =
        type != nullptr && type->size.cpus > 0 ? offer.room.cpus / type->size.cpus : 0;
    // If the machine's last heartbeat has been replied to, a start has to wait for the next one.
    double reply_penalty = machine.open_request ? 0 : constants::sent_reply_penalty_share;
    return (machine.spot ? score_of_spot : score_of_ordinary_in_use) + free_share + reply_penalty;
}

double MachineScoring::score_for_gang(const MachineOffer& offer) {
    // Machines of this controller come first; among equals, those whose heartbeat waits for its
    // reply.
    return (offer.owned_by_us ? 0 : gang_penalty_of_other_owner) +
           (offer.machine->open_request ? 0 : gang_penalty_without_open_heartbeat);
}

bool MachineScoring::fits_machine_in_use(SchedulingRound& round, const MachineOffer& offer,
                                         const PendingJob& pending) const {
    if (!offer.is_empty || offer.machine->spot) {
        return false;
    }
    FleetQuery question{FleetQuery::Kind::fits_machine_in_use, pending.equivalence_class, 0, 0};
    auto [answer, is_new] = round.query_results.try_emplace(question, false);
    if (is_new) {
        answer->second = any_machine_in_use_fits(*pending.job);
    }
    return answer->second;
}

bool MachineScoring::any_machine_in_use_fits(const Job& job) const {
    const auto& machines = agents_.all();
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        return agents_.schedulable(*machine) && !agents_.placements_on(*machine).tasks.empty() &&
               job.spec.task_resources.fits_in(agents_.free_resources(*machine)) &&
               constraints_.allows(job, *machine);
    });
}

bool MachineScoring::fits_spot_machine(SchedulingRound& round, const MachineOffer& offer,
                                       const PendingJob& pending) const {
    const JobSpec& spec = pending.job->spec;
    if (offer.machine->spot || !spec.spot || spec.checkpoint_s <= 0 ||
        spec.priority > Priority::normal || !offer.is_empty) {
        return false;
    }
    FleetQuery question{FleetQuery::Kind::fits_spot_machine, pending.equivalence_class, 0, 0};
    auto [answer, is_new] = round.query_results.try_emplace(question, false);
    if (is_new) {
        answer->second = any_spot_machine_fits(*pending.job);
    }
    return answer->second;
}

bool MachineScoring::any_spot_machine_fits(const Job& job) const {
    const auto& machines = agents_.all();
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        const MachineType* type = machine->spot ? agents_.type(machine->type) : nullptr;
        return type != nullptr && is_coming_up_or_up(*machine, *type) &&
               job.spec.task_resources.fits_in(agents_.free_resources(*machine)) &&
               !agents_.placements_on(*machine).cordon && constraints_.allows(job, *machine);
    });
}

bool MachineScoring::is_coming_up_or_up(const Machine& machine, const MachineType& type) const {
    bool is_booting =
        ctx_.now.steady - machine.launched_at < type.boot_s * constants::boot_late_factor;
    return !machine.interruption_deadline && (machine.up() || is_booting);
}

bool MachineScoring::may_use_empty_machine(SchedulingRound& round,
                                           const PendingJob& pending) const {
    double waited_s = ctx_.now.steady - pending.last_progress_at_s;
    if (!PlacementConstraints::is_best_effort_spot(pending.job->spec) ||
        waited_s < constants::best_effort_spot_wait_s) {
        return false;
    }
    if (pending.job->spec.same_zone) {
        return !any_spot_machine(*pending.job);  // depends on where its other tasks are placed
    }
    FleetQuery question{FleetQuery::Kind::has_spot_machine, pending.equivalence_class, 0, 0};
    auto [answer, is_new] = round.query_results.try_emplace(question, false);
    if (is_new) {
        answer->second = any_spot_machine(*pending.job);
    }
    return !answer->second;
}

// Whether a spot machine on which the job could run, once it has room, is up or booting.
bool MachineScoring::any_spot_machine(const Job& job) const {
    const auto& machines = agents_.all();
    return std::any_of(machines.begin(), machines.end(), [&](const Machine* machine) {
        const MachineType* type = machine->spot ? agents_.type(machine->type) : nullptr;
        return type != nullptr && is_coming_up_or_up(*machine, *type) &&
               job.spec.task_resources.fits_in(type->size) &&
               !agents_.placements_on(*machine).cordon && constraints_.allows(job, *machine);
    });
}

bool MachineScoring::may_find_image(SchedulingRound& round, const PendingJob& pending) const {
    const Job& job = *pending.job;
    bool is_unstarted_gang = job.spec.kind == JobKind::gang && job.done() == 0;
    int needed = is_unstarted_gang ? job.spec.tasks : 1;
    int image = agents_.image_number(job.spec.image);
    FleetQuery question{FleetQuery::Kind::finds_image, pending.equivalence_class, image, needed};
    auto [answer, is_new] = round.query_results.try_emplace(question, false);
    if (is_new) {
        answer->second = enough_machines_with_image(job, image, needed);
    }
    return answer->second;
}

bool MachineScoring::enough_machines_with_image(const Job& job, int image, int needed) const {
    int found = 0;
    for (const Machine* machine : agents_.all()) {
        if (!AgentRegistry::has_image(*machine, image) || agents_.zone_partitioned(machine->zone) ||
            agents_.placements_on(*machine).cordon || !constraints_.allows(job, *machine)) {
            continue;
        }
        found += job.spec.task_resources.fits_in(room_within_wait(*machine)) ? 1 : 0;
        if (found >= needed) {
            return true;
        }
    }
    return false;
}

// The room that a machine has, or is expected to have within the delay scheduling wait W.
Resources MachineScoring::room_within_wait(const Machine& machine) const {
    Resources room = agents_.free_resources(machine);
    for (const auto& [id, placed] : agents_.placements_on(machine).tasks) {
        const JobSpec& spec = placed.job->spec;
        double remaining_s = spec.estimate_s - (ctx_.now.steady - agents_.placed_at(id));
        if (spec.kind != JobKind::service && remaining_s < ctx_.tunables.locality_wait_s) {
            room += spec.task_resources;
        }
    }
    return room;
}

bool MachineScoring::is_fetch_contended(const MachineOffer& offer, int image) const {
    auto is_other = [image](int other) { return other != image; };
    if (std::any_of(offer.images_claimed.begin(), offer.images_claimed.end(), is_other)) {
        return true;
    }
    agents_.free_resources(*offer.machine);  // also updates images_pulling
    const auto& pulling = offer.machine->images_pulling;
    return std::any_of(pulling.begin(), pulling.end(), is_other);
}

}  // namespace cranemoor::core

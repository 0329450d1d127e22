#include "core/scheduling/gang_reservations.hpp"

#include <algorithm>

namespace cranemoor::core {

const GangReservations::Reservation* GangReservations::find(const std::string& machine) const {
    auto found = reservations_.find(machine);
    bool in_force = found != reservations_.end() && found->second.expires_at_s >= ctx_.now.steady;
    return in_force ? &found->second : nullptr;
}

bool GangReservations::is_reserved_for_other(const std::string& machine,
                                             const std::string& uid) const {
    const Reservation* reservation = find(machine);
    return reservation != nullptr && reservation->uid != uid;
}

void GangReservations::reserve(const std::string& machine, const JobSpec& spec, double seconds) {
    reservations_[machine] = {spec.uid, ctx_.now.steady + seconds, spec.priority};
}

bool GangReservations::may_reserve(SchedulingRound& round, const PendingJob& pending) const {
    if (pending.job->fails_repeatedly() || pending.shard_rank != 0) {
        return false;
    }
    // Gangs of flows below their minimum share need whole machines, and serving one gang of a team
    // after the other would give the flow too few.
    bool may_reserve_more =
        pending.below_min_share &&
        (is_reserving(pending.uid) ||
         reserving_since_s_.size() < constants::min_share_gang_reservations_max);
    bool first_of_team = round.teams_reserving.insert(pending.team).second;
    return first_of_team || may_reserve_more;
}

void GangReservations::reserve_for_gang(SchedulingRound& round, const PendingJob& pending) {
    if (!may_reserve(round, pending)) {
        return;
    }
    const JobSpec& spec = pending.job->spec;
    double since = reserving_since_s_.try_emplace(spec.uid, ctx_.now.steady).first->second;
    double elapsed_s = ctx_.now.steady - since;
    // A gang of a flow below its minimum share waits longer for running work to end: while room is
    // scarce, the tasks that other jobs start on these machines run for minutes.
    double duration_s = pending.below_min_share ? constants::min_share_gang_reservation_s
                                                : ctx_.tunables.gang_reservation_s;
    if (elapsed_s > duration_s) {
        if (elapsed_s > duration_s + ctx_.tunables.gang_reservation_s) {
            reserving_since_s_.erase(spec.uid);
        }
        return;
    }
    int reserved = count_reserved(spec.uid);
    if (reserved >= spec.tasks) {
        return;
    }
    for (const Reservable& reservable : reservable_machines(*pending.job)) {
        if (reserved >= spec.tasks) {
            break;
        }
        ++reserved;
        const std::string& name = reservable.machine->name;
        reservations_[name] = {spec.uid, since + duration_s, spec.priority};
        ctx_.debug("machine {} reserved for gang {}", name, spec.uid);
    }
}

int GangReservations::count_reserved(const std::string& uid) const {
    return static_cast<int>(
        std::count_if(reservations_.begin(), reservations_.end(), [&](const auto& entry) {
            return entry.second.uid == uid && entry.second.expires_at_s >= ctx_.now.steady;
        }));
}

bool GangReservations::is_reservable(const Machine& machine, const Job& job) const {
    const MachineType* type = agents_.type(machine.type);
    return machine.owned_by_us && find(machine.name) == nullptr && agents_.claimable(machine) &&
           type != nullptr && job.spec.task_resources.fits_in(type->size) &&
           constraints_.allows(job, machine);
}

// Machines without services, since these never end; those that will be empty soonest come first.
std::vector<GangReservations::Reservable> GangReservations::reservable_machines(
    const Job& job) const {
    std::vector<Reservable> machines;
    for (const Machine* machine : agents_.all()) {
        if (!is_reservable(*machine, job)) {
            continue;
        }
        double remaining_work_s = 0;
        bool runs_service = false;
        for (const auto& [id, placed] : agents_.placements_on(*machine).tasks) {
            const JobSpec& spec = placed.job->spec;
            runs_service = runs_service || spec.kind == JobKind::service;
            double elapsed_s = ctx_.now.steady - agents_.placed_at(id);
            remaining_work_s = std::max(remaining_work_s, spec.estimate_s - elapsed_s);
        }
        if (!runs_service) {
            machines.push_back({remaining_work_s, machine});
        }
    }
    std::stable_sort(machines.begin(), machines.end(),
                     [](const Reservable& a, const Reservable& b) {
                         return a.remaining_work_s < b.remaining_work_s;
                     });
    return machines;
}

void GangReservations::on_jobs_placed(const std::set<std::string>& uids) {
    for (const auto& uid : uids) {
        reserving_since_s_.erase(uid);
    }
    if (!uids.empty()) {
        std::erase_if(reservations_, [&](const auto& entry) {
            return entry.second.expires_at_s < ctx_.now.steady || uids.count(entry.second.uid) != 0;
        });
    }
}

}  // namespace cranemoor::core

#include "core/scheduling/preemption.hpp"

#include <algorithm>

namespace cranemoor::core {

void Preemption::records_changed(const std::set<std::string>& changed_uids) {
    for (const auto& uid : changed_uids) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || job->open() == 0) {
            preempted_at_s_.erase(uid);
        }
    }
}

void Preemption::tick() {
    if (ctx_.is_member && membership_.has_store_contact() && ctx_.now.steady >= next_search_at_s_) {
        next_search_at_s_ = ctx_.now.steady + constants::preemption_interval_s *
                                                  pending_queue_.round_interval_factor(
                                                      constants::preemption_slowdown_factor_max);
        preempt_for_pending_jobs();
    }
}

bool Preemption::within_guarantee(const std::string& name, const Resources& additional) const {
    const Team* team = quota_.team(name);
    if (team == nullptr) {
        return false;
    }
    Resources total = ctx_.jobs.used(name) + additional;
    bool cpus_within = team->guarantee.cpus <= 0 ||
                       total.cpus <= team->guarantee.cpus + Resources::rounding_tolerance;
    bool gpus_within = team->guarantee.gpus <= 0 ||
                       total.gpus <= team->guarantee.gpus + Resources::rounding_tolerance;
    return (team->guarantee.cpus > 0 || team->guarantee.gpus > 0) && cpus_within && gpus_within;
}

bool Preemption::may_preempt(const Job& job, const Job& victim, double waited_s) const {
    if (pending_queue_.min_share_deficit(victim.spec.team, victim.spec.job_class) > 0) {
        return false;  // the victim's flow is below its own minimum share
    }
    if (victim.spec.kind == JobKind::gang && victim.spec.tasks > 1 &&
        (!GangPreemption::can_checkpoint(victim) || victim.gang_stop_requested() ||
         waited_s < constants::gang_victim_wait_s)) {
        return false;  // a gang can only be stopped whole, not just the task that is in the way
    }
    if (victim.spec.priority < job.spec.priority) {
        // Clearing a whole machine is costly: a gang first waits for one to become free or to be
        // launched.
        return job.spec.kind != JobKind::gang || waited_s > constants::gang_preemption_wait_s;
    }
    // The paper's minimum share timeout, applied to guarantees: a team below its guarantee preempts
    // work that another team runs beyond its own.
    return victim.spec.team != job.spec.team && waited_s > ctx_.tunables.guarantee_timeout_s &&
           victim.spec.priority != Priority::production &&
           within_guarantee(job.spec.team, job.spec.task_resources) &&
           !within_guarantee(victim.spec.team, {});
}

std::optional<Preemption::Victims> Preemption::find_victims(Machine& machine, const Job& job,
                                                            double waited_s) const {
    Victims victims;
    victims.machine = &machine;
    victims.has_image = AgentRegistry::has_image(machine, agents_.image_number(job.spec.image));
    std::vector<std::tuple<double, TaskId, const Job*>> candidates;
    for (const auto& [id, placed] : agents_.placements_on(machine).tasks) {
        const Job* victim = placed.job;
        if (!victim->cancelled && may_preempt(job, *victim, waited_s)) {
            double ran_s = ctx_.now.steady - agents_.placed_at(id);
            // A job that checkpoints loses at most one checkpoint interval, however long it ran.
            double lost_s =
                victim->spec.checkpoint_s > 0 ? std::min(ran_s, victim->spec.checkpoint_s) : ran_s;
            if (victim->spec.kind == JobKind::gang && victim->spec.tasks > 1) {
                lost_s = gang_preemption_.cost_s(*victim);
            }
            candidates.emplace_back(lost_s, id, victim);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return std::get<0>(a) < std::get<0>(b); });
    Resources room = agents_.free_resources(machine);
    for (const auto& [lost_s, id, victim] : candidates) {
        if (job.spec.task_resources.fits_in(room)) {
            break;
        }
        room += victim->spec.task_resources;
        victims.tasks.push_back(id);
        victims.lost_s += lost_s;
    }
    if (victims.tasks.empty() || !job.spec.task_resources.fits_in(room)) {
        return std::nullopt;
    }
    return victims;
}

void Preemption::stop_victim(Machine& machine, const Job& job, const TaskId& id) {
    const Placement* placement = ctx_.jobs.placement(id);
    const Job* victim = ctx_.jobs.find(id.uid);
    if (placement == nullptr || victim == nullptr) {
        return;
    }
    if (victim->spec.kind != JobKind::gang || victim->spec.tasks == 1) {
        task_stops_.stop(machine, {id, placement->attempt}, 0);
        return;
    }
    // The room becomes free only after the gang has saved its checkpoint.
    gang_preemption_.request_preemption(*victim, "preempted for job " + job.spec.uid);
    double save_time_s = victim->spec.save_s + ctx_.settings.gang_stop_window_s;
    scheduler_.reservations().reserve(machine.name, job.spec,
                                      save_time_s + constants::preemption_cooldown_s);
}

void Preemption::preempt_for_pending_jobs() {
    int jobs_searched = 0;
    pending_queue_.for_each_in_order(scheduler_.is_write_limited(), [&](const PendingJob& pending) {
        if (may_preempt_for(pending)) {
            ++jobs_searched;
            make_room(pending);
        }
        return jobs_searched < constants::preemption_jobs_per_round_max;
    });
}

bool Preemption::may_preempt_for(const PendingJob& pending) const {
    const Job& job = *pending.job;
    const JobSpec& spec = job.spec;
    double stagger_s = constants::preemption_cooldown_s * static_cast<double>(pending.shard_rank);
    double waited_s = ctx_.now.steady - pending.pending_since_s;
    if (waited_s < stagger_s || waited_s < constants::preemption_wait_s) {
        return false;  // the shard owner preempts first, other controllers only if it can't
    }
    if ((spec.tasks > 1 && spec.kind == JobKind::gang) || job.fails_repeatedly()) {
        return false;
    }
    if (spec.priority <= Priority::normal && !within_guarantee(spec.team, spec.task_resources)) {
        return false;
    }
    auto last_preemption = preempted_at_s_.find(spec.uid);
    bool is_cooling_down =
        last_preemption != preempted_at_s_.end() &&
        ctx_.now.steady - last_preemption->second < constants::preemption_cooldown_s;
    return !is_cooling_down && quota_.within_limit(spec.team, spec.task_resources);
}

// Whether a task of the block may run on the machine once it has room. Room that is made for one
// job isn't used for another.
bool Preemption::may_run_on(const Job& job, int block, const Machine& machine) const {
    return machine.up() && !machine.interruption_deadline && !machine.cordon_write_pending &&
           !machine.release_confirmed && scheduler_.constraints().allows(job, machine) &&
           !agents_.placements_on(machine).cordon &&
           !scheduler_.reservations().is_reserved_for_other(machine.name, job.spec.uid) &&
           PlacementConstraints::spread_allowance(job, block, machine.zone) > 0;
}

// Stops the tasks that lose least, if possible on a machine with the job's image.
void Preemption::make_room(const PendingJob& pending) {
    const Job& job = *pending.job;
    const JobSpec& spec = job.spec;
    double waited_s = ctx_.now.steady - pending.pending_since_s;
    preempted_at_s_[spec.uid] = ctx_.now.steady;
    int image = agents_.image_number(spec.image);
    int block = 0;
    while (block + 1 < job.block_count() && !job.first_open(block)) {
        ++block;
    }
    // Whether some machine has room already, and whether one of these has the job's image.
    bool has_room = false;
    bool has_room_with_image = false;
    std::optional<Victims> best;
    bool fetch_matters = spec.priority == Priority::production && spec.image_gb > 0;
    for (Machine* candidate : agents_.all()) {
        Machine& machine = *candidate;
        bool fits = spec.task_resources.fits_in(agents_.free_resources(machine));
        bool has_image = AgentRegistry::has_image(machine, image);
        // The cheapest checks come first, since they rule out most machines.
        bool may_be_better = machine.owned_by_us && (!best || has_image || !best->has_image);
        if (!(fits || may_be_better) || !may_run_on(job, block, machine)) {
            continue;
        }
        if (fits) {
            has_room = true;
            has_room_with_image = has_room_with_image || has_image;
            if (has_room_with_image || !fetch_matters) {
                return;
            }
            continue;
        }
        if (!agents_.claimable(machine)) {
            continue;
        }
        auto victims = find_victims(machine, job, waited_s);
        if (victims && (!best || std::make_tuple(!victims->has_image, victims->lost_s) <
                                     std::make_tuple(!best->has_image, best->lost_s))) {
            best = victims;
        }
    }
    // Room on a machine without the image costs a production job the fetch time. Stopping a newer
    // task of lower priority on a machine with the image loses less than that.
    bool avoids_fetch = fetch_matters && best && best->has_image;
    if (!best || (has_room && !avoids_fetch)) {
        return;
    }
    Machine& machine = *best->machine;
    scheduler_.reservations().reserve(machine.name, spec, constants::preemption_cooldown_s);
    ctx_.info("preempting {} tasks on machine {} for job {}", best->tasks.size(), machine.name,
              spec.uid);
    for (const auto& id : best->tasks) {
        stop_victim(machine, job, id);
    }
}

}  // namespace cranemoor::core

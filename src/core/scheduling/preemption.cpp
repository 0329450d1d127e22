#include "core/scheduling/preemption.hpp"

#include <algorithm>

namespace cranemoor::core {

void Preemption::records_changed(const std::set<std::string>& touched) {
    for (const auto& uid : touched) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || job->open() == 0) {
            preempted_at_.erase(uid);
        }
    }
}

void Preemption::tick() {
    if (ctx_.is_member && membership_.has_store_contact() && ctx_.now.steady >= next_look_) {
        next_look_ = ctx_.now.steady + constants::preemption_interval_s *
                                           pending_queue_.round_interval_factor(
                                               constants::preemption_slowdown_factor_max);
        look();
    }
}

bool Preemption::below_guarantee(const std::string& name, const Resources& more) const {
    const Team* t = quota_.team(name);
    if (t == nullptr) {
        return false;
    }
    Resources sum = ctx_.jobs.used(name) + more;
    bool cpus =
        t->guarantee.cpus <= 0 || sum.cpus <= t->guarantee.cpus + Resources::rounding_tolerance;
    bool gpus =
        t->guarantee.gpus <= 0 || sum.gpus <= t->guarantee.gpus + Resources::rounding_tolerance;
    return (t->guarantee.cpus > 0 || t->guarantee.gpus > 0) && cpus && gpus;
}

bool Preemption::may_preempt(const Job& job, const Job& victim, double waited) const {
    if (pending_queue_.min_share_deficit(victim.spec.team, victim.spec.job_class) > 0) {
        return false;  // it has less than its floor
    }
    if (victim.spec.kind == JobKind::gang && victim.spec.tasks > 1 &&
        (!GangPreemption::would_save(victim) || victim.gang_stop_requested() ||
         waited < constants::gang_victim_wait_s)) {
        return false;  // all of it would have to be stopped with the one task that is in the way
    }
    if (victim.spec.priority < job.spec.priority) {
        // Whole machines are costly to clear: a gang first waits for one to be free or rented.
        return job.spec.kind != JobKind::gang || waited > constants::gang_preemption_wait_s;
    }
    // The paper's minimum share timeout: work that another team runs beyond its own guarantee.
    return victim.spec.team != job.spec.team && waited > ctx_.tunables.min_share_timeout_s &&
           victim.spec.priority != Priority::production &&
           below_guarantee(job.spec.team, job.spec.task_resources) &&
           !below_guarantee(victim.spec.team, {});
}

std::optional<Preemption::Victims> Preemption::victims_on(Machine& m, const Job& job,
                                                          double waited) const {
    Victims v;
    v.machine = &m;
    v.local = AgentRegistry::has_image(m, agents_.image_number(job.spec.image));
    std::vector<std::tuple<double, TaskId, const Job*>> candidates;
    for (const auto& [id, on] : agents_.placements_on(m).tasks) {
        const Job* other = on.job;
        if (!other->cancelled && may_preempt(job, *other, waited)) {
            double ran = ctx_.now.steady - agents_.placed_at(id);
            // What has a checkpoint loses little, however long it ran.
            double lost =
                other->spec.checkpoint_s > 0 ? std::min(ran, other->spec.checkpoint_s) : ran;
            if (other->spec.kind == JobKind::gang && other->spec.tasks > 1) {
                lost = gang_preemption_.cost_s(*other);
            }
            candidates.emplace_back(lost, id, other);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return std::get<0>(a) < std::get<0>(b); });
    Resources room = agents_.free_resources(m);
    for (const auto& [lost, id, other] : candidates) {
        if (job.spec.task_resources.fits_in(room)) {
            break;
        }
        room += other->spec.task_resources;
        v.tasks.push_back(id);
        v.lost_s += lost;
    }
    if (v.tasks.empty() || !job.spec.task_resources.fits_in(room)) {
        return std::nullopt;
    }
    return v;
}

void Preemption::stop(Machine& m, const Job& job, const TaskId& id) {
    const Placement* p = ctx_.jobs.placement(id);
    const Job* victim = ctx_.jobs.find(id.uid);
    if (p == nullptr || victim == nullptr) {
        return;
    }
    if (victim->spec.kind != JobKind::gang || victim->spec.tasks == 1) {
        task_stops_.stop(m, {id, p->attempt}, 0);
        return;
    }
    // The room is there only when the gang has saved.
    gang_preemption_.request_preemption(*victim, "makes room for " + job.spec.uid);
    double saved = victim->spec.save_s + ctx_.settings.gang_stop_window_s;
    scheduler_.reservations().reserve(m.name, job.spec, saved + constants::preemption_cooldown_s);
}

void Preemption::look() {
    int looked = 0;
    pending_queue_.for_each_in_order(scheduler_.is_write_limited(), [&](const PendingJob& waiting) {
        if (may_look(waiting)) {
            ++looked;
            make_room(waiting);
        }
        return looked < constants::preemption_jobs_per_round_max;
    });
}

bool Preemption::may_look(const PendingJob& waiting) const {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    double stagger = constants::preemption_cooldown_s * static_cast<double>(waiting.shard_rank);
    double waited = ctx_.now.steady - waiting.pending_since;
    if (waited < stagger || waited < constants::preemption_wait_s) {
        return false;  // its first member makes room, the others only if it has none to make
    }
    if ((s.tasks > 1 && s.kind == JobKind::gang) || job.fails_repeatedly()) {
        return false;
    }
    if (s.priority <= Priority::normal && !below_guarantee(s.team, s.task_resources)) {
        return false;
    }
    auto recent = preempted_at_.find(s.uid);
    bool pause = recent != preempted_at_.end() &&
                 ctx_.now.steady - recent->second < constants::preemption_cooldown_s;
    return !pause && quota_.within_limit(s.team, s.task_resources);
}

// Whether a task of the block may run on the machine once there is room. Room made for one job
// serves no second one.
bool Preemption::may_serve(const Job& job, int block, const Machine& m) const {
    return m.up() && !m.interruption_deadline && !m.cordon_write_pending && !m.release_confirmed &&
           scheduler_.constraints().allows(job, m) && !agents_.placements_on(m).cordon &&
           !scheduler_.reservations().is_reserved_for_other(m.name, job.spec.uid) &&
           PlacementConstraints::spread_allowance(job, block, m.zone) > 0;
}

// Stops what loses least, where it helps the job most.
void Preemption::make_room(const PendingJob& waiting) {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    double waited = ctx_.now.steady - waiting.pending_since;
    preempted_at_[s.uid] = ctx_.now.steady;
    int image = agents_.image_number(s.image);
    int block = 0;
    while (block + 1 < job.block_count() && !job.first_open(block)) {
        ++block;
    }
    // Room that is there already, or a machine that has it without the image.
    bool room = false;
    bool local_room = false;
    std::optional<Victims> best;
    bool fetch_counts = s.priority == Priority::production && s.image_gb > 0;
    for (Machine* each : agents_.all()) {
        Machine& m = *each;
        bool fits = s.task_resources.fits_in(agents_.free_resources(m));
        bool local = AgentRegistry::has_image(m, image);
        // Most machines are left out by what costs least to see.
        bool better = m.owned_by_us && (!best || local || !best->local);
        if (!(fits || better) || !may_serve(job, block, m)) {
            continue;
        }
        if (fits) {
            room = true;
            local_room = local_room || local;
            if (local_room || !fetch_counts) {
                return;
            }
            continue;
        }
        if (!agents_.claimable(m)) {
            continue;
        }
        auto v = victims_on(m, job, waited);
        if (v && (!best || std::make_tuple(!v->local, v->lost_s) <
                               std::make_tuple(!best->local, best->lost_s))) {
            best = v;
        }
    }
    // Room without the image costs a production job its fetch time: less than that is lost
    // by stopping a newer, lower task where the image is.
    bool fetch_hurts = fetch_counts && best && best->local;
    if (!best || (room && !fetch_hurts)) {
        return;
    }
    Machine& m = *best->machine;
    scheduler_.reservations().reserve(m.name, s, constants::preemption_cooldown_s);
    ctx_.info("preempt {} tasks on {} for {}", best->tasks.size(), m.name, s.uid);
    for (const auto& id : best->tasks) {
        stop(m, job, id);
    }
}

}  // namespace cranemoor::core

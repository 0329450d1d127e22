#include "core/autoscaling/scale_out_plan.hpp"

#include <algorithm>
#include <utility>

#include "core/scheduling/placement_constraints.hpp"

namespace cranemoor::core {

ScaleOutPlan::ScaleOutPlan(const Context& ctx, const AgentManager& agent_manager,
                           const Quota& quota, const MachineLauncher& launcher)
    : ctx_(ctx),
      agent_manager_(agent_manager),
      quota_(quota),
      launcher_(launcher),
      constraints_(ctx, agent_manager.registry()),
      packing_(agent_manager.registry(),
               collect_bins(ctx, agent_manager.registry(), launcher.pending())) {
    for (const auto& bin : packing_.bins()) {
        machines_by_zone_[bin.kind.zone]++;
    }
}

void ScaleOutPlan::add_job(const PendingJob& pending_job) {
    const Job& job = *pending_job.job;
    const JobSpec& spec = job.spec;
    // Best-effort work gets on-demand machines only while it finds no spot instance, and then one
    // at a time; a gang needs as many as it has tasks.
    bool lacks_spot = PlacementConstraints::is_best_effort_spot(spec) && finds_no_spot(pending_job);
    bool best_effort = PlacementConstraints::is_best_effort_spot(spec) && !lacks_spot;
    const LaunchOptions& options = options_for(pending_job, best_effort);
    // Nothing is launched for a job that is likely to fail again, unless it has been pending for
    // long: it must get its retries.
    bool likely_to_fail = job.fails_repeatedly() && ctx_.now.steady - pending_job.pending_since_s <
                                                        constants::job_backoff_max_s;
    if (options.in_order.empty() || likely_to_fail) {
        return;
    }
    TaskDemand demand = demand_of(pending_job, options, best_effort);
    // Without zone constraints, all tasks of a demand class can go to the same bins.
    bool any_zone = !spec.zone_spread && !spec.same_zone && !spec.zone;
    if (any_zone && unplaceable_.contains(demand.demand_class)) {
        return;
    }
    int tasks = lacks_spot && spec.kind != JobKind::gang ? 1 : job.open();
    for (int i = 0; i < tasks; ++i) {
        Resources planned = planned_by_team_[spec.team] + spec.task_resources;
        if (!quota_.within_limit(spec.team, planned)) {
            return;
        }
        planned_by_team_[spec.team] = planned;
        if (!place_task(demand)) {
            if (any_zone) {
                unplaceable_.insert(demand.demand_class);
            }
            return;
        }
    }
}

// Jobs of one equivalence class differ in nothing that their options depend on.
const LaunchOptions& ScaleOutPlan::options_for(const PendingJob& pending_job, bool spot_only) {
    auto [entry, is_new] =
        options_by_class_.try_emplace({pending_job.equivalence_class, spot_only});
    if (is_new) {
        entry->second =
            launch_options_for(agent_manager_.registry().types(), pending_job.job->spec, spot_only);
    }
    return entry->second;
}

// Whether the job has made no progress for long and no spot instance on which it could run is up,
// booting or requested. See MachineScoring::may_use_empty_machine, which places its tasks.
bool ScaleOutPlan::finds_no_spot(const PendingJob& pending_job) {
    if (ctx_.now.steady - pending_job.last_progress_at_s < constants::best_effort_spot_wait_s) {
        return false;
    }
    auto zone = constraints_.fixed_zone(*pending_job.job);
    auto [entry, is_new] = has_spot_.try_emplace({pending_job.equivalence_class, zone});
    if (is_new) {
        entry->second = has_spot_bin(options_for(pending_job, /*spot_only=*/true), zone);
    }
    return !entry->second;
}

bool ScaleOutPlan::has_spot_bin(const LaunchOptions& options,
                                const std::optional<std::string>& zone) const {
    auto is_allowed_type = [&](const Bin& bin) {
        return std::any_of(
            options.in_order.begin(), options.in_order.end(),
            [&](const LaunchOption& option) { return option.type->name == bin.kind.type; });
    };
    return std::any_of(packing_.bins().begin(), packing_.bins().end(), [&](const Bin& bin) {
        return bin.kind.spot && (!zone || *zone == bin.kind.zone) && is_allowed_type(bin);
    });
}

TaskDemand ScaleOutPlan::demand_of(const PendingJob& pending_job, const LaunchOptions& options,
                                   bool best_effort) const {
    const Job& job = *pending_job.job;
    const JobSpec& spec = job.spec;
    TaskDemand demand;
    demand.spec = &spec;
    demand.options = &options;
    demand.demand_class.equivalence_class = pending_job.equivalence_class;
    demand.demand_class.best_effort = best_effort;
    demand.required_zone = constraints_.fixed_zone(job);
    bool has_fixed_zone = demand.required_zone.has_value();
    if (spec.zone_spread || spec.same_zone) {
        job.each_placement([&](int, const Placement& placement) {
            demand.tasks_by_zone[placement.zone]++;
            if (spec.same_zone && !has_fixed_zone) {
                demand.required_zone = placement.zone;
            }
            return true;
        });
    }
    if (spec.same_zone && !demand.required_zone && spec.tasks > 1) {
        demand.required_zone = choose_shared_zone(demand, job);
    }
    demand.demand_class.prefers_spot = prefers_spot(demand, {});
    return demand;
}

// The zone for a job whose tasks must all run in one; null if nothing can be done for it now. Only
// zones come into question in which the job can run: a gang needs room for all of its tasks at
// once, so what is missing must be available from the provider; other jobs start with any room.
// Among these, the one in which most tasks fit already, so that little is launched.
std::optional<std::string> ScaleOutPlan::choose_shared_zone(TaskDemand demand,
                                                            const Job& job) const {
    int needed = job.spec.kind == JobKind::gang ? job.open() : 1;
    std::optional<std::string> best;
    std::pair<bool, int> best_rank{false, 0};  // whether the job can run there, tasks that fit
    for (const auto& zone : demand.options->zones) {
        demand.required_zone = zone;
        demand.demand_class.prefers_spot = prefers_spot(demand, {});
        int fits = packing_.count_fits(demand, zone, job.open());
        bool can_run = fits >= needed || first_available(*demand.options, zone).has_value();
        if (std::pair(can_run, fits) > best_rank) {
            best_rank = {can_run, fits};
            best = zone;
        }
    }
    if (best_rank.first && best_rank.second == 0) {
        return first_available(*demand.options, std::nullopt)->zone;
    }
    return best;
}

// Places one task in a bin, or else in that of a new machine; false if none can be launched now.
bool ScaleOutPlan::place_task(TaskDemand& demand) {
    const JobSpec& spec = *demand.spec;
    Zones excluded;
    if (spec.zone_spread) {
        excluded = full_zones(demand);
        demand.demand_class.prefers_spot = prefers_spot(demand, excluded);
    }
    std::size_t index = first_fit(demand, excluded);
    if (index == packing_.bins().size() && !launch_for(demand, excluded)) {
        return false;
    }
    packing_.place(index, spec.task_resources);
    const std::string& zone = packing_.bins()[index].kind.zone;
    demand.tasks_by_zone[zone]++;
    if (spec.same_zone && !demand.required_zone) {
        demand.required_zone = zone;
    }
    return true;
}

// The zones in which the job already has as many tasks as its zone spread allows.
ScaleOutPlan::Zones ScaleOutPlan::full_zones(const TaskDemand& demand) {
    Zones full;
    for (const auto& [zone, tasks] : demand.tasks_by_zone) {
        if (tasks >= (demand.spec->tasks + 1) / 2) {
            full.insert(zone);
        }
    }
    return full;
}

// The first bin that accepts a task, or the number of bins.
std::size_t ScaleOutPlan::first_fit(const TaskDemand& demand, const Zones& excluded) {
    std::size_t found = packing_.bins().size();
    for (const auto& zone : demand.options->zones) {
        bool is_other_zone = demand.required_zone && *demand.required_zone != zone;
        if (!is_other_zone && !excluded.contains(zone)) {
            found = std::min(found, packing_.first_fit(demand, zone));
        }
    }
    return found;
}

// Plans one more machine for the job, as the last bin; false if none can be launched now.
bool ScaleOutPlan::launch_for(const TaskDemand& demand, const Zones& excluded) {
    auto kind = first_available(*demand.options, demand.required_zone, excluded);
    if (!kind || ++launches_[*kind] > constants::launch_machines_per_plan_max) {
        return false;
    }
    machines_by_zone_[kind->zone]++;
    packing_.add(*kind, agent_manager_.registry().type(kind->type)->size);
    return true;
}

// A job that may use spot instances takes an empty on-demand machine only if no spot instance can
// be launched for it.
bool ScaleOutPlan::prefers_spot(const TaskDemand& demand, const Zones& excluded) const {
    if (!demand.spec->spot || demand.demand_class.best_effort) {
        return demand.demand_class.best_effort;
    }
    auto kind = first_available(*demand.options, demand.required_zone, excluded);
    return kind && kind->spot;
}

// The first of the options that is not known to be out of capacity in all allowed zones.
std::optional<InstanceKind> ScaleOutPlan::first_available(
    const LaunchOptions& options, const std::optional<std::string>& required_zone,
    const Zones& excluded) const {
    for (const auto& option : options.in_order) {
        if (auto zone = pick_zone(option, required_zone, excluded)) {
            return InstanceKind{option.type->name, *zone, option.spot};
        }
    }
    return std::nullopt;
}

// The allowed zone with the fewest machines, without those known to be out of capacity; null: none.
std::optional<std::string> ScaleOutPlan::pick_zone(const LaunchOption& option,
                                                   const std::optional<std::string>& required_zone,
                                                   const Zones& excluded) const {
    std::optional<std::string> best;
    for (const auto& zone : option.type->zones) {
        if ((required_zone && *required_zone != zone) ||
            agent_manager_.registry().zone_partitioned(zone) || excluded.contains(zone) ||
            launcher_.out_of_capacity({option.type->name, zone, option.spot})) {
            continue;
        }
        if (!best || machines_in(zone) < machines_in(*best)) {
            best = zone;
        }
    }
    return best;
}

int ScaleOutPlan::machines_in(const std::string& zone) const {
    auto machines = machines_by_zone_.find(zone);
    return machines == machines_by_zone_.end() ? 0 : machines->second;
}

void ScaleOutPlan::add_headroom(int machines) {
    LaunchOptions options =
        launch_options_for_headroom(agent_manager_.registry().types(), /*spot=*/false);
    int empty = 0;
    for (const auto& bin : packing_.bins()) {
        empty += bin.empty && !bin.kind.spot ? 1 : 0;
    }
    for (; empty < machines; ++empty) {
        auto kind = first_available(options, std::nullopt);
        if (!kind) {
            break;
        }
        launches_[*kind]++;
        machines_by_zone_[kind->zone]++;
    }
}

void ScaleOutPlan::add_spot_headroom() {
    double free_machines = 0;  // free room on spot instances, in machines, counted by CPUs
    for (const auto& bin : packing_.bins()) {
        const MachineType* type = agent_manager_.registry().type(bin.kind.type);
        bool is_spot_room = bin.kind.spot && type != nullptr && type->size.cpus > 0;
        free_machines += is_spot_room ? bin.free.cpus / type->size.cpus : 0;
    }
    if (free_machines >= constants::spot_headroom_machines ||
        agent_manager_.job_arrivals().spot_arrivals(ctx_.now.wall -
                                                    constants::arrivals_history_s) <= 0) {
        return;
    }
    LaunchOptions options =
        launch_options_for_headroom(agent_manager_.registry().types(), /*spot=*/true);
    if (auto kind = first_available(options, std::nullopt)) {
        launches_[*kind]++;
    }
}

}  // namespace cranemoor::core

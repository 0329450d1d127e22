#include "core/autoscaling/scale_out_plan.hpp"

#include <algorithm>

#include "core/scheduling/placement_constraints.hpp"

namespace cranemoor::core {

ScaleOutPlan::ScaleOutPlan(const Context& ctx, const AgentManager& agent_manager,
                           const Quota& quota, const MachineLauncher& launcher)
    : ctx_(ctx),
      agent_manager_(agent_manager),
      quota_(quota),
      launcher_(launcher),
      packing_(agent_manager.registry(),
               collect_bins(ctx, agent_manager.registry(), launcher.pending())) {
    for (const auto& bin : packing_.bins()) {
        machines_by_zone_[bin.kind.zone]++;
    }
}

void ScaleOutPlan::add_job(const PendingJob& pending_job) {
    const Job& job = *pending_job.job;
    const JobSpec& spec = job.spec;
    const MachineType* type = cheapest_type_for(spec);
    // Nothing is launched for a job that is likely to fail again, unless it has been pending for
    // long: it must get its retries.
    bool likely_to_fail = job.fails_repeatedly() && ctx_.now.steady - pending_job.pending_since_s <
                                                        constants::job_backoff_max_s;
    if (type == nullptr || likely_to_fail) {
        return;
    }
    TaskDemand demand = demand_of(pending_job, *type);
    // Without zone constraints, all tasks of a demand class can go to the same bins.
    bool any_zone = !spec.zone_spread && !spec.same_zone && !spec.zone;
    if (any_zone && unplaceable_.contains(demand.demand_class)) {
        return;
    }
    for (int i = 0; i < job.open(); ++i) {
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

TaskDemand ScaleOutPlan::demand_of(const PendingJob& pending_job, const MachineType& type) {
    const Job& job = *pending_job.job;
    const JobSpec& spec = job.spec;
    TaskDemand demand;
    demand.spec = &spec;
    demand.type = &type;
    // For best-effort jobs spot instances are launched; on-demand ones only if the job may not use
    // spot instances.
    demand.best_effort = PlacementConstraints::is_best_effort_spot(spec);
    demand.required_zone = spec.zone;
    if (spec.zone_spread || spec.same_zone) {
        job.each_placement([&](int, const Placement& placement) {
            demand.tasks_by_zone[placement.zone]++;
            if (spec.same_zone) {
                demand.required_zone = placement.zone;
            }
            return true;
        });
    }
    // A job that may use spot instances takes an empty on-demand machine only if no spot instance
    // can be launched.
    bool prefers_spot =
        spec.spot && (demand.best_effort || pick_zone(type.name, true, demand.required_zone));
    demand.demand_class = {pending_job.equivalence_class, prefers_spot};
    if (spec.same_zone && !demand.required_zone && spec.tasks > 1) {
        // Uses as much of the existing free room as possible, so that little is launched.
        demand.required_zone = packing_.zone_with_most_fits(demand);
    }
    return demand;
}

// Places one task in a bin, or else in that of a new machine; false if none can be launched now.
bool ScaleOutPlan::place_task(TaskDemand& demand) {
    const JobSpec& spec = *demand.spec;
    Zones excluded;
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

// The first bin that accepts a task, or the number of bins. Adds to `excluded` the zones in which
// the job already has as many tasks as its zone spread allows.
std::size_t ScaleOutPlan::first_fit(TaskDemand& demand, Zones& excluded) {
    const JobSpec& spec = *demand.spec;
    std::size_t found = packing_.bins().size();
    for (const auto& zone : demand.type->zones) {
        if (spec.zone_spread && demand.tasks_by_zone[zone] >= (spec.tasks + 1) / 2) {
            excluded.insert(zone);
            continue;
        }
        if (demand.required_zone && *demand.required_zone != zone) {
            continue;
        }
        found = std::min(found, packing_.first_fit(demand, zone));
    }
    return found;
}

// Plans one more machine for the job, as the last bin; false if none can be launched now.
bool ScaleOutPlan::launch_for(const TaskDemand& demand, const Zones& excluded) {
    bool spot = demand.spec->spot;
    const std::string& type = demand.type->name;
    auto zone = pick_zone(type, spot, demand.required_zone, excluded);
    if (!zone && spot && !demand.best_effort) {
        spot = false;
        zone = pick_zone(type, spot, demand.required_zone, excluded);
    }
    if (!zone) {
        return false;
    }
    InstanceKind kind{type, *zone, spot};
    if (++launches_[kind] > constants::launch_machines_per_plan_max) {
        return false;
    }
    machines_by_zone_[*zone]++;
    packing_.add(kind, demand.type->size);
    return true;
}

// The allowed zone with the fewest machines, without those known to be out of capacity; null: none.
std::optional<std::string> ScaleOutPlan::pick_zone(const std::string& type, bool spot,
                                                   const std::optional<std::string>& required_zone,
                                                   const Zones& excluded) {
    std::optional<std::string> best;
    for (const auto& zone : agent_manager_.registry().type(type)->zones) {
        if ((required_zone && *required_zone != zone) ||
            agent_manager_.registry().zone_partitioned(zone) || excluded.contains(zone) ||
            launcher_.out_of_capacity({type, zone, spot})) {
            continue;
        }
        if (!best || machines_by_zone_[zone] < machines_by_zone_[*best]) {
            best = zone;
        }
    }
    return best;
}

const MachineType* ScaleOutPlan::cheapest_type_for(const JobSpec& spec) const {
    const MachineType* best = nullptr;
    for (const auto& type : agent_manager_.registry().types()) {
        bool allowed =
            !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                             type.name) != spec.machine_types->end();
        if (allowed && spec.task_resources.fits_in(type.size) &&
            (best == nullptr || type.price < best->price)) {
            best = &type;
        }
    }
    return best;
}

const MachineType* ScaleOutPlan::cheapest_type() const {
    const MachineType* best = nullptr;
    for (const auto& type : agent_manager_.registry().types()) {
        best = best == nullptr || type.price < best->price ? &type : best;
    }
    return best;
}

void ScaleOutPlan::add_headroom(int machines) {
    const MachineType* type = cheapest_type();
    int empty = 0;
    for (const auto& bin : packing_.bins()) {
        empty += bin.empty && !bin.kind.spot ? 1 : 0;
    }
    for (; type != nullptr && empty < machines; ++empty) {
        auto zone = pick_zone(type->name, false, std::nullopt);
        if (!zone) {
            break;
        }
        launches_[{type->name, *zone, false}]++;
        machines_by_zone_[*zone]++;
    }
}

void ScaleOutPlan::add_spot_headroom() {
    const MachineType* launch_type = cheapest_type();
    double free_machines = 0;  // free room on spot instances, in machines, counted by CPUs
    for (const auto& bin : packing_.bins()) {
        const MachineType* type = agent_manager_.registry().type(bin.kind.type);
        bool is_spot_room = bin.kind.spot && type != nullptr && type->size.cpus > 0;
        free_machines += is_spot_room ? bin.free.cpus / type->size.cpus : 0;
    }
    if (launch_type != nullptr && free_machines < constants::spot_headroom_machines &&
        agent_manager_.job_arrivals().spot_arrivals(ctx_.now.wall - constants::arrivals_history_s) >
            0) {
        if (auto zone = pick_zone(launch_type->name, true, std::nullopt)) {
            launches_[{launch_type->name, *zone, true}]++;
        }
    }
}

}  // namespace cranemoor::core

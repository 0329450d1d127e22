#include "core/autoscaling/bin_packing.hpp"

#include <algorithm>
#include <tuple>

#include "core/scheduling/placement_constraints.hpp"

namespace cranemoor::core {

namespace {

// Whether pending tasks may be packed into the machine.
bool counts_as_bin(const Context& ctx, const AgentRegistry& agents, const Machine& machine) {
    const MachineType* type = agents.type(machine.type);
    if (type == nullptr || machine.interruption_deadline || agents.placements_on(machine).cordon ||
        agents.zone_partitioned(machine.zone) || machine.listed_state == ListedState::failed) {
        return false;
    }
    // A machine that boots for too long may still come up, but no task should wait for it.
    double age_s = ctx.now.steady - machine.launched_at;
    return machine.up() || age_s <= type->boot_s * constants::boot_late_factor;
}

}  // namespace

std::vector<Bin> collect_bins(const Context& ctx, const AgentRegistry& agents,
                              const std::vector<PendingLaunch>& pending) {
    std::vector<Bin> bins;
    for (const auto& [name, machine] : agents.machines()) {
        if (counts_as_bin(ctx, agents, machine)) {
            bins.push_back({{machine.type, machine.zone, machine.spot},
                            agents.placements_on(machine).tasks.empty(),
                            agents.free_resources(machine)});
        }
    }
    for (const auto& launch : pending) {
        if (const MachineType* type = agents.type(launch.kind.type)) {
            for (int i = 0; i < launch.count; ++i) {
                bins.push_back({launch.kind, true, type->size});
            }
        }
    }
    std::stable_sort(bins.begin(), bins.end(), [](const Bin& a, const Bin& b) {
        return std::tie(b.kind.spot, a.empty, a.free.gpus) <
               std::tie(a.kind.spot, b.empty, b.free.gpus);
    });
    return bins;
}

std::size_t BinPacking::first_fit(const TaskDemand& demand, const std::string& zone) {
    std::size_t& cursor = cursors_[{demand.demand_class, zone}];
    cursor = find_fit_from(demand, zone, cursor);
    return cursor;
}

int BinPacking::count_fits(const TaskDemand& demand, const std::string& zone, int tasks_max) const {
    auto cursor = cursors_.find({demand.demand_class, zone});
    std::size_t from = cursor == cursors_.end() ? 0 : cursor->second;
    int fits = 0;
    for (std::size_t i = find_fit_from(demand, zone, from); i < bins_.size() && fits < tasks_max;
         i = find_fit_from(demand, zone, i + 1)) {
        Bin bin = bins_[i];
        while (fits < tasks_max && accepts(bin, demand)) {
            bin.free -= demand.spec->task_resources;
            bin.empty = false;
            ++fits;
        }
    }
    return fits;
}

void BinPacking::add(const InstanceKind& kind, const Resources& size) {
    bins_.push_back({kind, true, size});
}

void BinPacking::place(std::size_t index, const Resources& task) {
    bins_[index].free -= task;
    bins_[index].empty = false;
}

bool BinPacking::accepts(const Bin& bin, const TaskDemand& demand) const {
    const JobSpec& spec = *demand.spec;
    bool type_allowed =
        !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                         bin.kind.type) != spec.machine_types->end();
    bool spot = bin.kind.spot;
    const MachineType* type = agents_.type(bin.kind.type);
    bool leftovers_only = demand.demand_class.best_effort && !spot &&
                          spec.task_resources.gpus <= 0 && type != nullptr;
    return type_allowed && (!spot || spec.spot) &&
           (!demand.demand_class.prefers_spot || spot || !bin.empty) &&
           spec.task_resources.fits_in(
               leftovers_only ? PlacementConstraints::leftover_room(*type, bin.free) : bin.free);
}

std::size_t BinPacking::find_fit_from(const TaskDemand& demand, const std::string& zone,
                                      std::size_t from) const {
    while (from < bins_.size() &&
           (bins_[from].kind.zone != zone || !accepts(bins_[from], demand))) {
        ++from;
    }
    return from;
}

}  // namespace cranemoor::core

// Bin packing of waiting tasks into machines: first fit over the free room of machines that are
// there or coming. Pure bookkeeping without input or output; ScaleOutPlan decides what to launch
// for tasks that fit no bin.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/autoscaling/instance_kind.hpp"
#include "core/autoscaling/machine_launcher.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The free room of one machine that is there, booting or asked for.
struct Bin {
    InstanceKind kind;
    bool empty = true;  ///< no task is placed on it
    Resources room;
};

/// Equal for tasks that the same bins take.
struct DemandClass {
    int number = 0;             ///< PendingJob::equivalence_class
    bool prefers_spot = false;  ///< takes an empty on-demand machine for nothing but lack of spot

    friend bool operator<(const DemandClass& a, const DemandClass& b) {
        return std::tie(a.number, a.prefers_spot) < std::tie(b.number, b.prefers_spot);
    }
};

/// What the tasks of one job demand of their machines.
struct TaskDemand {
    const JobSpec* spec = nullptr;
    const MachineType* type = nullptr;  ///< the cheapest type that takes a task
    bool best_effort = false;           ///< idle work: takes only leftovers of on-demand machines
    DemandClass demand_class;
    std::optional<std::string> only_zone;      ///< the zone that all tasks must be in
    std::map<std::string, int> tasks_by_zone;  ///< tasks placed so far
};

/// The bins of the machines that new work can count on and of the pending launches, in the order in
/// which they are to be filled: fuller ones first, so that empty machines stay whole.
std::vector<Bin> collect_bins(const Context& ctx, const AgentRegistry& agents,
                              const std::vector<PendingLaunch>& pending);

/// First-fit packing. Room only shrinks while tasks are packed, so for each demand class and zone
/// the search goes on where the last one ended.
class BinPacking {
  public:
    /// `agents` must outlive the BinPacking.
    BinPacking(const AgentRegistry& agents, std::vector<Bin> bins)
        : agents_(agents), bins_(std::move(bins)) {}

    /// All bins, in the order in which they are filled.
    const std::vector<Bin>& bins() const { return bins_; }
    /// Index of the first bin in the zone that takes a task, or `bins().size()`.
    std::size_t first_fit(const TaskDemand& demand, const std::string& zone);
    /// The zone in which most of the job's tasks fit, if any fits.
    std::optional<std::string> zone_with_most_room(const TaskDemand& demand) const;
    /// Adds an empty machine as the last bin.
    void add(const InstanceKind& kind, const Resources& size);
    /// Takes the room of one task from a bin.
    void place(std::size_t index, const Resources& task);

  private:
    struct CursorKey {
        DemandClass demand_class;
        std::string zone;

        friend bool operator<(const CursorKey& a, const CursorKey& b) {
            return std::tie(a.demand_class, a.zone) < std::tie(b.demand_class, b.zone);
        }
    };

    bool accepts(const Bin& bin, const TaskDemand& demand) const;
    std::size_t next_fit(const TaskDemand& demand, const std::string& zone, std::size_t from) const;

    const AgentRegistry& agents_;
    std::vector<Bin> bins_;
    std::map<CursorKey, std::size_t> cursors_;
};

}  // namespace cranemoor::core

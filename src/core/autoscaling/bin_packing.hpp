// Bin packing of pending tasks into machines: first fit over the free resources of machines that
// exist or are being launched. Does no input or output; ScaleOutPlan decides what to launch for
// tasks that fit no bin.
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
#include "core/autoscaling/launch_options.hpp"
#include "core/autoscaling/machine_launcher.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// One machine that is up, booting or requested, with its free resources.
struct Bin {
    InstanceKind kind;
    bool empty = true;  ///< no task is placed on it
    Resources free;
};

/// Equal for tasks that are accepted by the same bins.
struct DemandClass {
    int equivalence_class = 0;  ///< PendingJob::equivalence_class
    bool prefers_spot = false;  ///< empty on-demand machines only for lack of spot
    bool best_effort = false;   ///< only leftover resources of on-demand machines

    friend bool operator<(const DemandClass& a, const DemandClass& b) {
        return std::tie(a.equivalence_class, a.prefers_spot, a.best_effort) <
               std::tie(b.equivalence_class, b.prefers_spot, b.best_effort);
    }
};

/// The requirements of one job's tasks on their machines.
struct TaskDemand {
    const JobSpec* spec = nullptr;
    const LaunchOptions* options = nullptr;  ///< what may be launched for a task
    DemandClass demand_class;
    std::optional<std::string> required_zone;  ///< all tasks must be in it; null: no restriction
    std::map<std::string, int> tasks_by_zone;  ///< tasks placed so far
};

/// The bins of the machines available to pending tasks and of the pending launches, in the order in
/// which they are filled: spot instances first, then fuller machines before emptier ones, so that
/// empty machines stay whole.
std::vector<Bin> collect_bins(const Context& ctx, const AgentRegistry& agents,
                              const std::vector<PendingLaunch>& pending);

/// First-fit packing. Free resources only shrink while tasks are packed, so for each demand class
/// and zone a search continues where the last one ended.
class BinPacking {
  public:
    /// `agents` must outlive the BinPacking.
    BinPacking(const AgentRegistry& agents, std::vector<Bin> bins)
        : agents_(agents), bins_(std::move(bins)) {}

    /// All bins, in the order in which they are filled.
    const std::vector<Bin>& bins() const { return bins_; }
    /// Index of the first bin in the zone that accepts a task; `bins().size()` if none does.
    std::size_t first_fit(const TaskDemand& demand, const std::string& zone);
    /// How many tasks fit in the zone's bins together, counted up to `tasks_max`.
    int count_fits(const TaskDemand& demand, const std::string& zone, int tasks_max) const;
    /// Adds an empty machine as the last bin.
    void add(const InstanceKind& kind, const Resources& size);
    /// Subtracts the resources of one task from a bin.
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
    std::size_t find_fit_from(const TaskDemand& demand, const std::string& zone,
                              std::size_t from) const;

    const AgentRegistry& agents_;
    std::vector<Bin> bins_;
    std::map<CursorKey, std::size_t> cursors_;
};

}  // namespace cranemoor::core

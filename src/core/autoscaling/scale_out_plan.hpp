// ScaleOutPlan: decides which machines to launch for pending jobs and as headroom. Packs the
// pending tasks into machines that exist or are being launched, and plans new machines for tasks
// that fit none.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/agents/agent_manager.hpp"
#include "core/autoscaling/bin_packing.hpp"
#include "core/autoscaling/instance_kind.hpp"
#include "core/autoscaling/launch_options.hpp"
#include "core/autoscaling/machine_launcher.hpp"
#include "core/context/context.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/placement_constraints.hpp"

namespace cranemoor::core {

/// One planning pass; a new object is made for each. The order of the calls to `add_job` decides
/// which job gets the free resources.
class ScaleOutPlan {
  public:
    /// All arguments must outlive the plan. The pending launches of `launcher` count as machines.
    ScaleOutPlan(const Context& ctx, const AgentManager& agent_manager, const Quota& quota,
                 const MachineLauncher& launcher);

    /// Packs the open tasks of a job, and plans machines for those that fit none.
    void add_job(const PendingJob& pending_job);
    /// Plans on-demand machines until at least `machines` are empty, or none can be launched.
    void add_headroom(int machines);
    /// Plans one spot instance if little room is left on the existing ones while jobs that may use
    /// them keep arriving.
    void add_spot_headroom();
    /// Machines to launch, by kind. A count may exceed `constants::launch_machines_per_plan_max`,
    /// beyond which nothing is planned: the next plans cover what a larger job needs.
    const std::map<InstanceKind, int>& launches() const { return launches_; }

  private:
    using Zones = std::set<std::string>;

    const LaunchOptions& options_for(const PendingJob& pending_job, bool spot_only);
    bool finds_no_spot(const PendingJob& pending_job);
    bool has_spot_bin(const LaunchOptions& options, const std::optional<std::string>& zone) const;
    TaskDemand demand_of(const PendingJob& pending_job, const LaunchOptions& options,
                         bool best_effort) const;
    std::optional<std::string> choose_shared_zone(TaskDemand demand, const Job& job) const;
    bool place_task(TaskDemand& demand);
    static Zones full_zones(const TaskDemand& demand);
    std::size_t first_fit(const TaskDemand& demand, const Zones& excluded);
    bool launch_for(const TaskDemand& demand, const Zones& excluded);
    bool prefers_spot(const TaskDemand& demand, const Zones& excluded) const;
    std::optional<InstanceKind> first_available(const LaunchOptions& options,
                                                const std::optional<std::string>& required_zone,
                                                const Zones& excluded = {}) const;
    std::optional<std::string> pick_zone(const LaunchOption& option,
                                         const std::optional<std::string>& required_zone,
                                         const Zones& excluded) const;
    int machines_in(const std::string& zone) const;

    const Context& ctx_;
    const AgentManager& agent_manager_;
    const Quota& quota_;
    const MachineLauncher& launcher_;
    const PlacementConstraints constraints_;
    BinPacking packing_;
    std::map<std::string, int> machines_by_zone_;
    std::map<InstanceKind, int> launches_;
    // By PendingJob::equivalence_class, and whether only spot instances are launched.
    std::map<std::pair<int, bool>, LaunchOptions> options_by_class_;
    // Results of `has_spot_bin`, by PendingJob::equivalence_class and fixed zone.
    std::map<std::pair<int, std::optional<std::string>>, bool> has_spot_;
    std::map<std::string, Resources> planned_by_team_;  // resources of the tasks considered so far
    // Demand classes that fit no bin, and for which nothing more can be launched.
    std::set<DemandClass> unplaceable_;
};

}  // namespace cranemoor::core

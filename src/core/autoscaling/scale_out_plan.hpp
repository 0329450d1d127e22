// ScaleOutPlan: which machines to launch for the jobs that wait, and as headroom. Packs the waiting
// tasks into the machines that are there or coming, and counts a new machine for each task that
// fits none.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/agents/agent_manager.hpp"
#include "core/autoscaling/bin_packing.hpp"
#include "core/autoscaling/instance_kind.hpp"
#include "core/autoscaling/machine_launcher.hpp"
#include "core/context/context.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"

namespace cranemoor::core {

/// One planning pass. Made anew for each; the order of the calls to `add_job` decides who gets the
/// room that is there.
class ScaleOutPlan {
  public:
    /// All arguments must outlive the plan. The pending launches of `launcher` count as machines.
    ScaleOutPlan(const Context& ctx, const AgentManager& agent_manager, const Quota& quota,
                 const MachineLauncher& launcher);

    /// Packs the open tasks of a job, and launches machines for those that fit none.
    void add_job(const PendingJob& pending_job);
    /// Launches on-demand machines until `machines` are empty.
    void add_headroom(int machines);
    /// Launches one spot instance if little room is left on them while jobs for them keep coming.
    void add_spot_headroom();
    /// Machines to launch. A count may exceed `constants::launch_machines_per_plan_max`, beyond
    /// which nothing is planned: what a larger job needs is seen by the next plans.
    const std::map<InstanceKind, int>& launches() const { return launches_; }

  private:
    using Zones = std::set<std::string>;

    TaskDemand demand_of(const PendingJob& pending_job, const MachineType& type);
    bool place_task(TaskDemand& demand);
    std::size_t first_fit(TaskDemand& demand, Zones& excluded);
    bool launch_for(const TaskDemand& demand, const Zones& excluded);
    std::optional<std::string> pick_zone(const std::string& type, bool spot,
                                         const std::optional<std::string>& only_zone,
                                         const Zones& excluded = {});
    const MachineType* cheapest_type_for(const JobSpec& spec) const;
    const MachineType* cheapest_type() const;

    const Context& ctx_;
    const AgentManager& agent_manager_;
    const Quota& quota_;
    const MachineLauncher& launcher_;
    BinPacking packing_;
    std::map<std::string, int> machines_by_zone_;
    std::map<InstanceKind, int> launches_;
    std::map<std::string, Resources> planned_;  // by team
    // Demands for which no room was found and nothing more can be launched.
    std::set<DemandClass> unplaceable_;
};

}  // namespace cranemoor::core

// Autoscaler: keeps the fleet at the size that the jobs need. The leader launches machines for
// pending jobs and headroom (scale out) and releases those not needed (scale in); every controller
// keeps its list of machines up to date.
#pragma once

#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/autoscaling/cloud_inventory.hpp"
#include "core/autoscaling/machine_launcher.hpp"
#include "core/autoscaling/machine_release.hpp"
#include "core/autoscaling/scale_in.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/scheduler.hpp"

namespace cranemoor::core {

/// Runs the steps of scaling out and in, in a fixed order. Does no input or output of its own: all
/// of it goes through the Context.
class Autoscaler {
  public:
    /// All arguments must outlive the Autoscaler.
    Autoscaler(Context& ctx, Membership& membership, AgentManager& agent_manager,
               Scheduler& scheduler, Quota& quota, const PendingQueue& pending_queue)
        : ctx_(ctx),
          membership_(membership),
          agent_manager_(agent_manager),
          scheduler_(scheduler),
          quota_(quota),
          pending_queue_(pending_queue),
          inventory_(ctx, membership, agent_manager),
          launcher_(ctx, membership, agent_manager),
          release_(ctx, membership, agent_manager),
          scale_in_(ctx, agent_manager) {}

    /// Periodic work: machine types on every controller; the cloud listing and releases without a
    /// record on every member; all the rest on the leader.
    void tick();
    /// The membership epoch changed, and with it possibly the leader.
    void epoch_changed();
    /// Stores the leader's notices of its launch requests, for a failover.
    void handle_launch_notices(const std::vector<LaunchNotice>& notices) {
        launcher_.handle_notices(notices);
    }

  private:
    void scale_out();

    Context& ctx_;
    const Membership& membership_;
    const AgentManager& agent_manager_;
    const Scheduler& scheduler_;
    const Quota& quota_;
    const PendingQueue& pending_queue_;
    CloudInventory inventory_;
    MachineLauncher launcher_;
    MachineRelease release_;
    ScaleIn scale_in_;
    double next_plan_at_s_ = 0;
};

}  // namespace cranemoor::core

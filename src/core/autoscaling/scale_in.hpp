// ScaleIn: marks machines that are not needed for release: those that never came up, and those
// that have been empty for long beyond the headroom.
#pragma once

#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The leader's decision which machines to give back to the cloud provider. It only marks them:
/// MachineRelease releases what is marked.
class ScaleIn {
  public:
    /// `ctx` and `agent_manager` must outlive the ScaleIn.
    ScaleIn(Context& ctx, AgentManager& agent_manager) : ctx_(ctx), agent_manager_(agent_manager) {}

    /// Marks machines that never came up and idle ones; logs the size of the fleet now and then.
    void mark_unneeded();

  private:
    void mark_never_up();
    std::vector<Machine*> idle_machines() const;
    void mark_idle(std::vector<Machine*> idle);
    void log_fleet(std::size_t idle);

    Context& ctx_;
    AgentManager& agent_manager_;
    double next_log_at_ = 0;
};

}  // namespace cranemoor::core

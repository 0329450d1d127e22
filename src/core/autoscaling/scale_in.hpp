// ScaleIn: cordons machines that are not needed, for their release: those that never came up, and
// those beyond the headroom that have been empty for long.
#pragma once

#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The leader's decision which machines are not needed any more. It only cordons them:
/// MachineRelease releases cordoned machines.
class ScaleIn {
  public:
    /// `ctx` and `agent_manager` must outlive the ScaleIn.
    ScaleIn(Context& ctx, AgentManager& agent_manager) : ctx_(ctx), agent_manager_(agent_manager) {}

    /// Cordons machines that never came up and idle ones; logs the size of the fleet every
    /// `constants::fleet_log_interval_s` seconds.
    void cordon_unneeded();

  private:
    void cordon_never_up();
    std::vector<Machine*> idle_machines() const;
    void cordon_idle(std::vector<Machine*> idle);
    void log_fleet(std::size_t idle);

    Context& ctx_;
    AgentManager& agent_manager_;
    double next_log_at_s_ = 0;
};

}  // namespace cranemoor::core

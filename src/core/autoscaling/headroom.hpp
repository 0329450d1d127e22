// Headroom: how many empty machines are kept for work that has not been submitted yet.
#pragma once

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Empty on-demand machines to keep: as many as jobs that take whole machines may ask for during
/// one boot, forecast from the arrivals of the last `constants::arrivals_history_s` seconds, and at
/// most the operators' `headroom_machines_max`.
int headroom_machines(const Context& ctx, const AgentManager& agent_manager);

}  // namespace cranemoor::core

// Headroom: how many empty machines are kept for jobs that have not been submitted yet.
#pragma once

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Number of empty on-demand machines to keep: as many as jobs that need whole machines may request
/// during one boot, forecast from the arrivals of the last `constants::arrivals_history_s` seconds,
/// and at most the tunable `headroom_machines_max`.
int headroom_machines(const Context& ctx, const AgentManager& agent_manager);

}  // namespace cranemoor::core

// Submission validation: whether a job could ever run under the settings and on the machine types.
#pragma once

#include <optional>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/quota/quota.hpp"
#include "core/requests/rejection.hpp"

namespace cranemoor::core {

/// Why a well-formed job can't be accepted; std::nullopt if it can. Checks in this order: the team
/// exists, a task fits on a machine type, the team's quota limit, the largest gang.
std::optional<Rejection> validate(const JobSpec& spec, const Context& ctx, const Quota& quota,
                                  const AgentRegistry& agents);

}  // namespace cranemoor::core

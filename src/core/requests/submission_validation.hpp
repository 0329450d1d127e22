// Submission validation: whether a job could ever run with the settings and the machine types.
#pragma once

#include <optional>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/quota/quota.hpp"
#include "core/requests/rejection.hpp"

namespace cranemoor::core {

/// Why a well-formed job can't be accepted; std::nullopt if it can. Checks in this order: its team,
/// a machine type that a task fits on, the team's quota limit, the largest gang.
std::optional<Rejection> validate(const JobSpec& spec, const Context& ctx, const Quota& quota,
                                  const Fleet& fleet);

}  // namespace cranemoor::core

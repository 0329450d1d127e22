/// How many tasks fit in a block record and in one transaction, under the limits of the key-value
/// store that apply after their announced change.
#pragma once

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Most tasks of a block whose record fits under the value limit. Even, so that a job keeps to its
/// zone spread rule if each of its blocks does.
int tasks_per_block(const Context& ctx);
/// Tasks of the largest gang that one transaction can claim: a larger gang could never be claimed
/// as a whole, and so never start.
int gang_tasks_max(const Context& ctx);

}  // namespace cranemoor::core

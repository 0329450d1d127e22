// How many tasks fit in a block record and in one transaction, under the limits of the key-value
// store that apply after their announced change.
#pragma once

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Tasks of one block whose record fits under the value limit. Even, so that spread rules within a
/// block add up.
int tasks_per_block(const Context& ctx);
/// Tasks of the largest gang that one transaction can claim: a larger one can never start whole.
int gang_tasks_max(const Context& ctx);

}  // namespace cranemoor::core

/// Shard owner: which member may claim tasks from a block of a job while claims are batched.
/// Computed in integers from what all members know, so that no two members ever both take a block
/// for their own.
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemoor::admission {

/// Returns the id of the member that owns the block, or 0 without members. `hash`: of the block's
/// name, the same on every member; `members`: id and weight (at least 1), in the same order on
/// every member.
std::uint64_t shard_owner(std::uint64_t hash,
                          const std::vector<std::pair<std::uint64_t, int>>& members);

}  // namespace cranemoor::admission

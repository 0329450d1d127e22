// Homes: which member claims from a block of a job while records are shared. A function of what all
// members know, in whole numbers, so that two members never both take a block for theirs.
#pragma once

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemoor::admission {

// hash: of the block's name, the same on every member. members: id and weight (at least 1), in the
// same order on every member. Returns the id of one of them, 0 without members.
std::uint64_t shard_owner(std::uint64_t hash,
                          const std::vector<std::pair<std::uint64_t, int>>& members);

}  // namespace cranemoor::admission

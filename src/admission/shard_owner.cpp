#include "admission/shard_owner.hpp"

#include <numeric>

namespace cranemoor::admission {

std::uint64_t shard_owner(std::uint64_t hash,
                          const std::vector<std::pair<std::uint64_t, int>>& members) {
    auto sum = std::accumulate(members.begin(), members.end(), std::uint64_t{0},
                               [](std::uint64_t all, const auto& m) {
                                   return all + static_cast<std::uint64_t>(m.second);
                               });
    if (sum == 0) {
        return 0;
    }
    std::uint64_t at = hash % sum;
    for (const auto& [id, weight] : members) {
        if (at < static_cast<std::uint64_t>(weight)) {
            return id;
        }
        at -= static_cast<std::uint64_t>(weight);
    }
    return 0;
}

}  // namespace cranemoor::admission

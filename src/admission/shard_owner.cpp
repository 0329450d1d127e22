#include "admission/shard_owner.hpp"

#include <numeric>

namespace cranemoor::admission {

std::uint64_t shard_owner(std::uint64_t hash,
                          const std::vector<std::pair<std::uint64_t, int>>& members) {
    auto total_weight = std::accumulate(members.begin(), members.end(), std::uint64_t{0},
                                        [](std::uint64_t sum, const auto& member) {
                                            return sum + static_cast<std::uint64_t>(member.second);
                                        });
    if (total_weight == 0) {
        return 0;
    }
    std::uint64_t offset = hash % total_weight;
    for (const auto& [id, weight] : members) {
        if (offset < static_cast<std::uint64_t>(weight)) {
            return id;
        }
        offset -= static_cast<std::uint64_t>(weight);
    }
    return 0;
}

}  // namespace cranemoor::admission

#include "core/jobs/block_limits.hpp"

#include <algorithm>
#include <cstddef>

namespace cranemoor::core {

namespace {
// Bytes that a placed task takes at the most.
std::size_t task_bytes(const Context& ctx) {
    std::size_t longest_zone = 0;
    for (const auto& zone : ctx.settings.zones) {
        longest_zone = std::max(longest_zone, zone.size());
    }
    return constants::placement_bytes + longest_zone;
}
}  // namespace

int tasks_per_block(const Context& ctx) {
    std::size_t each = task_bytes(ctx);
    std::size_t room =
        ctx.value_bytes_max() -
        std::min<std::size_t>(ctx.value_bytes_max() / 2, constants::block_overhead_bytes);
    int fits = static_cast<int>(room / each);
    return std::max(2, std::min(constants::block_tasks_max, fits) / 2 * 2);
}

int max_gang_tasks(const Context& ctx) {
    // Its blocks and its team's slices are one transaction.
    int blocks = static_cast<int>(ctx.txn_ops_max()) - 1;
    auto room = static_cast<std::size_t>(constants::txn_bytes_max * constants::value_limit_share);
    std::size_t frames = constants::block_overhead_bytes * ctx.txn_ops_max();
    auto fit = static_cast<int>((room - std::min(room / 2, frames)) / task_bytes(ctx));
    return std::min(tasks_per_block(ctx) * blocks, fit);
}

}  // namespace cranemoor::core

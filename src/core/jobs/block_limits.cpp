#include "core/jobs/block_limits.hpp"

#include <algorithm>
#include <cstddef>

namespace cranemoor::core {

namespace {
// Upper estimate of the bytes of a placed task.
std::size_t task_bytes(const Context& ctx) {
    std::size_t longest_zone = 0;
    for (const auto& zone : ctx.settings.zones) {
        longest_zone = std::max(longest_zone, zone.size());
    }
    return constants::placement_bytes + longest_zone;
}
}  // namespace

int tasks_per_block(const Context& ctx) {
    std::size_t bytes_per_task = task_bytes(ctx);
    std::size_t available_bytes =
        ctx.value_bytes_max() -
        std::min<std::size_t>(ctx.value_bytes_max() / 2, constants::block_overhead_bytes);
    int tasks_max = static_cast<int>(available_bytes / bytes_per_task);
    return std::max(2, std::min(constants::block_tasks_max, tasks_max) / 2 * 2);
}

int gang_tasks_max(const Context& ctx) {
    // All of its blocks and the quota record of its team are written in one transaction.
    int blocks_max = static_cast<int>(ctx.txn_ops_max()) - 1;
    auto available_bytes =
        static_cast<std::size_t>(constants::txn_bytes_max * constants::value_limit_share);
    std::size_t overhead_bytes = constants::block_overhead_bytes * ctx.txn_ops_max();
    auto tasks_max = static_cast<int>(
        (available_bytes - std::min(available_bytes / 2, overhead_bytes)) / task_bytes(ctx));
    return std::min(tasks_per_block(ctx) * blocks_max, tasks_max);
}

}  // namespace cranemoor::core

#include "core/autoscaling/headroom.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

int headroom_machines(const Context& ctx, const AgentManager& agent_manager) {
    // About as many machines become free as are requested, so only the deviation from that must
    // be kept. It is large where one job takes many machines.
    auto [sum, squares] = agent_manager.job_arrivals().whole_machine_arrivals(
        ctx.now.wall - constants::arrivals_history_s);
    double deviation = std::sqrt(squares / constants::arrivals_history_s *
                                 agent_manager.registry().boot_time_max_s());
    double expected = std::min(sum, deviation * constants::headroom_deviation_factor);
    return static_cast<int>(std::ceil(std::min(expected, ctx.tunables.headroom_machines_max)));
}

}  // namespace cranemoor::core

#include "core/autoscaling/capacity_backoff.hpp"

#include <algorithm>

namespace cranemoor::core {

void CapacityBackoff::set_refused(const InstanceKind& kind, double now_s) {
    double& refused_at_s = refused_at_s_.try_emplace(kind, now_s).first->second;
    refused_at_s = std::max(refused_at_s, now_s);
}

bool CapacityBackoff::is_backing_off(const InstanceKind& kind, double now_s) const {
    auto refused = refused_at_s_.find(kind);
    return refused != refused_at_s_.end() && now_s - refused->second < duration_s();
}

double CapacityBackoff::duration_s() const {
    double all_refused_kinds_s =
        static_cast<double>(refused_at_s_.size()) * (plan_interval_s_ + constants::launch_reply_s);
    return std::max(constants::no_capacity_backoff_s, all_refused_kinds_s);
}

}  // namespace cranemoor::core

#include "core/scheduling/delay_scheduling.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

void DelayScheduling::begin_round(double elapsed_s) {
    for (const auto& uid : std::exchange(skipped_, {})) {
        if (auto found = states_.find(uid); found != states_.end()) {
            found->second.waited_s += elapsed_s;
            found->second.is_skipped = false;
        }
    }
}

DelayScheduling::JobState DelayScheduling::state_of(const std::string& uid) const {
    auto found = states_.find(uid);
    return found == states_.end() ? JobState{} : found->second;
}

void DelayScheduling::skip(const std::string& uid) {
    JobState& state = states_[uid];
    if (!state.is_skipped) {
        state.is_skipped = true;
        skipped_.push_back(uid);
    }
}

void DelayScheduling::on_claimed(const std::string& uid, bool has_image) {
    JobState& state = states_[uid];
    state.waited_s = 0;
    state.level = has_image ? LocalityLevel::image_local : LocalityLevel::any;
}

double DelayScheduling::longest_wait_s(const Machine& machine, const JobSpec& spec,
                                       bool fetch_contended) const {
    const MachineType* type = agents_.type(machine.type);
    double fetch_s =
        type != nullptr && type->fetch_gb_per_s > 0 ? spec.image_gb / type->fetch_gb_per_s : 0;
    // The wait is a certain loss, while the fetch that it may save is only a possible gain: waiting
    // pays only while the wait is short compared with the fetch, except for a better machine.
    double wait_s =
        std::min(ctx_.tunables.locality_wait_s, fetch_s * constants::locality_wait_fetch_share);
    return fetch_contended
               ? std::min(constants::contended_fetch_wait_max_s, std::max(fetch_s, wait_s))
               : wait_s;
}

}  // namespace cranemoor::core

#include "admission/hysteresis_switch.hpp"

namespace cranemoor::admission {

void HysteresisSwitch::set(bool on) {
    if (on != on_) {
        on_ = on;
        condition_since_s_ = -1;
    }
}

bool HysteresisSwitch::update(double now, double wait_s, double demand_share) {
    bool condition_holds =
        on_ ? wait_s < thresholds_.off_wait_s && demand_share < thresholds_.off_demand_share
            : wait_s >= thresholds_.on_wait_s;
    if (!condition_holds) {
        condition_since_s_ = -1;
        return on_;
    }
    if (condition_since_s_ < 0) {
        condition_since_s_ = now;
    }
    if (now - condition_since_s_ >=
        (on_ ? thresholds_.off_duration_s : thresholds_.on_duration_s)) {
        on_ = !on_;
        condition_since_s_ = -1;
    }
    return on_;
}

}  // namespace cranemoor::admission

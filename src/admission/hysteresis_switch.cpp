#include "admission/hysteresis_switch.hpp"

namespace cranemoor::admission {

void HysteresisSwitch::set(bool on) {
    if (on != on_) {
        on_ = on;
        since_ = -1;
    }
}

bool HysteresisSwitch::look(double now, double wait_s, double demand) {
    bool turn = on_ ? wait_s < bounds_.off_wait_s && demand < bounds_.off_demand
                    : wait_s >= bounds_.on_wait_s;
    if (!turn) {
        since_ = -1;
        return on_;
    }
    if (since_ < 0) {
        since_ = now;
    }
    if (now - since_ >= (on_ ? bounds_.off_after_s : bounds_.on_after_s)) {
        on_ = !on_;
        since_ = -1;
    }
    return on_;
}

}  // namespace cranemoor::admission

// A token bucket: what may still be sent within a limit per second.
#pragma once

#include <algorithm>

namespace cranemoor::core {

class RateBudget {
  public:
    RateBudget(double per_s, double burst) : per_s_(per_s), burst_(burst), tokens_(burst) {}

    bool has(double now, double amount) {
        refill(now);
        // More than a whole burst is allowed when the bucket is full: it would never go out.
        return tokens_ >= std::min(amount, burst_);
    }
    void take(double amount) { tokens_ -= amount; }
    // s until `has` may hold
    double wait(double now, double amount) {
        refill(now);
        double missing = std::min(amount, burst_) - tokens_;
        return missing <= 0 ? 0 : missing / per_s_;
    }

  private:
    void refill(double now) {
        if (now > last_) {
            tokens_ = std::min(burst_, tokens_ + (now - last_) * per_s_);
            last_ = now;
        }
    }
    double per_s_;
    double burst_;
    double tokens_;
    double last_ = 0;
};

}  // namespace cranemoor::core

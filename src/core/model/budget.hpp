/// Token bucket that limits a rate of calls or writes.
#pragma once

#include <algorithm>

namespace cranemoor::core {

/// A token bucket that starts full. Times are seconds on the steady clock, amounts are tokens.
class TokenBucket {
  public:
    /// `per_s`: tokens added per second, above 0; `burst`: capacity of the bucket.
    TokenBucket(double per_s, double burst) : per_s_(per_s), burst_(burst), tokens_(burst) {}

    /// Whether `amount` may be taken now.
    bool can_take(double now, double amount) {
        refill(now);
        // A full bucket allows more than the burst: such an amount would otherwise never be sent.
        return tokens_ >= std::min(amount, burst_);
    }
    /// Takes `amount` without a check. The bucket may become negative, which delays later calls.
    void take(double amount) { tokens_ -= amount; }
    /// Seconds until `can_take` may hold, if nothing else is taken meanwhile; 0: it holds now.
    double wait_s(double now, double amount) {
        refill(now);
        double missing = std::min(amount, burst_) - tokens_;
        return missing <= 0 ? 0 : missing / per_s_;
    }

  private:
    void refill(double now) {
        if (now > last_refill_) {
            tokens_ = std::min(burst_, tokens_ + (now - last_refill_) * per_s_);
            last_refill_ = now;
        }
    }
    double per_s_;
    double burst_;
    double tokens_;
    double last_refill_ = 0;
};

}  // namespace cranemoor::core

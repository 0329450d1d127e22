/// A switch with hysteresis for overload: it turns on soon after waits become long, and off only
/// after waits and demand have been low for long, so that it doesn't flap.
#pragma once

namespace cranemoor::admission {

class HysteresisSwitch {
  public:
    struct Thresholds {
        double on_wait_s = 0;         ///< waits of at least this turn it on
        double on_duration_s = 0;     ///< how long waits must be that long
        double off_wait_s = 0;        ///< waits below this may turn it off
        double off_demand_share = 0;  ///< demand below this share of the limit may turn it off
        double off_duration_s = 0;    ///< how long both must be that low
    };

    explicit HysteresisSwitch(Thresholds thresholds) : thresholds_(thresholds) {}

    /// Takes a new measurement and returns whether the switch is on from here on. `now`: steady
    /// time in seconds; `wait_s`: the longest wait; `demand_share`: the total demand as a share of
    /// the limit.
    bool update(double now, double wait_s, double demand_share);
    bool on() const { return on_; }
    /// Takes over the state that another switch had.
    void set(bool on);

  private:
    Thresholds thresholds_;
    bool on_ = false;
    // Since when the condition for turning it over has held; -1: it doesn't hold.
    double condition_since_s_ = -1;
};

}  // namespace cranemoor::admission

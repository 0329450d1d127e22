// A switch that follows a pressure without flapping: on soon, off late.
#pragma once

namespace cranemoor::admission {

class HysteresisSwitch {
  public:
    struct Bounds {
        double on_wait_s = 0;    // s waited from which on it is short
        double on_after_s = 0;   // s for which that must hold
        double off_wait_s = 0;   // s waited below which it is not
        double off_demand = 0;   // share of the limit asked for below which it is not
        double off_after_s = 0;  // s for which both must hold
    };

    explicit HysteresisSwitch(Bounds bounds) : bounds_(bounds) {}

    // wait_s: what the worst off waits, in s; demand: what all ask for, as a share of the limit.
    // Returns whether it is on from here on.
    bool look(double now, double wait_s, double demand);
    bool on() const { return on_; }
    // Takes over from another one that was on or off.
    void set(bool on);

  private:
    Bounds bounds_;
    bool on_ = false;
    double since_ = -1;  // of what would turn it over; -1: nothing does
};

}  // namespace cranemoor::admission

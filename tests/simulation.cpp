#include "simulation.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::test {

namespace {
// Wall clock time of the simulation's start, in s since 1970: arbitrary, but clearly not 0.
constexpr double wall_clock_start_s = 1.7e9;
}  // namespace

Now Simulation::time() const {
    return {now_, wall_clock_start_s + now_};
}

void Simulation::schedule_after(double seconds, std::function<void()> event) {
    queue_.push({now_ + seconds, ++last_order_, std::move(event)});
}

bool Simulation::run_next_event(double limit) {
    if (queue_.empty() || queue_.top().time_s > limit) {
        return false;
    }
    TimedEvent event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.time_s);
    event.run();
    return true;
}

bool Simulation::chance(double probability) {
    return probability > 0 && uniform(0, 1) < probability;
}

double Simulation::uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
}

double Simulation::message_delay() {
    double delay = uniform(0.001, 0.008);
    return chance(slow_message_probability) ? delay + uniform(0.2, 6) : delay;
}

}  // namespace cranemoor::test

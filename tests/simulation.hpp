/// Simulated time for tests: a clock, a queue of timed events and one seeded random source, so that
/// equal seeds give equal runs.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

#include "core/model/types.hpp"

namespace cranemoor::test {

using namespace core;

/// The clock, the event queue and the random source that all fakes of one cluster share.
class Simulation {
  public:
    explicit Simulation(unsigned seed) : random_(seed) {}

    /// Seconds since the start of the simulation.
    double now() const { return now_; }
    /// The current time on the monotonic and on the wall clock, as controllers receive it.
    Now time() const;
    /// Schedules an event `seconds` from now; events at the same time run in the order of
    /// scheduling.
    void schedule_after(double seconds, std::function<void()> event);
    /// Advances the clock to the next event up to `limit` and runs it; false if there is none.
    bool run_next_event(double limit);
    /// Sets the clock to `time_s`.
    void advance_to(double time_s) { now_ = time_s; }

    /// True with the given probability; draws no random number if that is 0.
    bool chance(double probability);
    /// A random number, uniformly distributed from `low` to `high`.
    double uniform(double low, double high);
    /// Draws the delay of a message, in s.
    double message_delay();
    /// Probability that the delay of a message is seconds instead of milliseconds.
    double slow_message_probability = 0;

    /// An id for a request of a user or a worker, unique in the cluster.
    std::uint64_t new_request_id() { return ++last_request_id_; }
    /// The id that new_request_id() returns next.
    std::uint64_t next_request_id() const { return last_request_id_ + 1; }

  private:
    struct TimedEvent {
        double time_s;
        std::uint64_t order;
        std::function<void()> run;
        // Inverted, since the top of std::priority_queue is its greatest element.
        bool operator<(const TimedEvent& other) const {
            return std::tie(time_s, order) > std::tie(other.time_s, other.order);
        }
    };

    double now_ = 0;
    std::priority_queue<TimedEvent> queue_;
    std::uint64_t last_order_ = 0;
    std::uint64_t last_request_id_ = 0;
    std::mt19937 random_;
};

}  // namespace cranemoor::test

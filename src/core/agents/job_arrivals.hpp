// JobArrivals: the recent submissions of jobs that need whole machines or may use spot machines,
// from which the autoscaler estimates how many machines to keep ready.
#pragma once

#include <map>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Whole machines requested by the jobs submitted within some period.
struct WholeMachineArrivals {
    double machines = 0;        // sum over the jobs
    double sum_of_squares = 0;  // sum over the jobs of the square of each job's machines
};

/// The submissions of the last `constants::arrivals_history_s` seconds, as the job records show
/// them.
class JobArrivals {
  public:
    /// `ctx` and `registry` must outlive this object.
    JobArrivals(Context& ctx, const AgentRegistry& registry) : ctx_(ctx), registry_(registry) {}

    /// Records the submission of a job, unless it is too old to count or the job still waits for
    /// its dependencies.
    void note(const std::string& uid, const Job& job);
    /// Whole machines requested by the jobs submitted since this wall time.
    WholeMachineArrivals whole_machine_arrivals(double since_wall) const;
    /// Number of jobs submitted since this wall time that checkpoint and may use spot machines.
    double spot_arrivals(double since_wall) const;
    /// Drops the submissions that are too old to count.
    void forget_old();

  private:
    struct Arrival {
        double submitted_wall = 0;
        int tasks = 0;
    };

    Context& ctx_;
    const AgentRegistry& registry_;
    std::map<std::string, Arrival> whole_machine_jobs_;  // by job
    std::map<std::string, Arrival> spot_jobs_;           // by job
};

}  // namespace cranemoor::core

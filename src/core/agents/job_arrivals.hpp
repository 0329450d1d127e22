// JobArrivals: the recent submissions of jobs that need whole machines or may use spot machines,
// from which the autoscaler estimates how many machines to keep ready.
#pragma once

#include <map>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Machines taken whole by the jobs submitted in some span of time.
struct WholeMachineArrivals {
    double machines = 0;  // sum over the jobs
    double squares = 0;   // sum of the squares of each job's machines
};

/// The submissions of the last `constants::arrivals_history_s` seconds, as the job records show
/// them.
class JobArrivals {
  public:
    /// `ctx` and `registry` must outlive this object.
    JobArrivals(Context& ctx, const AgentRegistry& registry) : ctx_(ctx), registry_(registry) {}

    /// Notes the submission of a job, unless it is old or the job still waits for others.
    void note(const std::string& uid, const Job& job);
    /// Machines that jobs submitted since that wall time take whole.
    WholeMachineArrivals whole_machine_arrivals(double since_wall) const;
    /// Jobs submitted since that wall time that may use spot machines.
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

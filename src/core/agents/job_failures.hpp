// JobFailures: pauses the placement of jobs whose tasks keep failing, for longer with each failure.
#pragma once

#include <map>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The pauses that this controller derives from the failure counts in the jobs' block records.
class JobFailures {
  public:
    /// `ctx` and `registry` must outlive this object.
    JobFailures(Context& ctx, const AgentRegistry& registry) : ctx_(ctx), registry_(registry) {}

    /// Updates the pause from the failure count of a changed job. Once the job fails repeatedly it
    /// is paused, and its failures no longer count against the machines they happened on.
    void note(const std::string& uid, const Job& job);
    /// Drops the pause of a job that no longer exists.
    void forget(const std::string& uid);
    /// Steady time before which the job gets no new claims; `never_s` if it has not been paused.
    double pause_until(const std::string& uid) const;

  private:
    struct Pause {
        int failures = 0;  // failure count that the pause was computed from
        double until = never_s;
    };

    Context& ctx_;
    const AgentRegistry& registry_;
    std::map<std::string, Pause> pauses_;  // by job
};

}  // namespace cranemoor::core

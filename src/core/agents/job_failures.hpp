// JobFailures: pauses the placement of jobs whose tasks keep failing, for longer with each failure.
#pragma once

#include <map>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// What this controller makes of the failures that are counted in the jobs' block records.
class JobFailures {
  public:
    /// `ctx` and `registry` must outlive this object.
    JobFailures(Context& ctx, const AgentRegistry& registry) : ctx_(ctx), registry_(registry) {}

    /// Takes in the failure count of a job that changed. Once the job is doubtful it is paused, and
    /// its failures no longer count against the machines they happened on.
    void note(const std::string& uid, const Job& job);
    /// Drops what is known of a job that is no more.
    void forget(const std::string& uid);
    /// A job whose tasks keep failing gets no new claims before this steady time.
    double pause_until(const std::string& uid) const;

  private:
    struct Pause {
        int failures = 0;  // the count that it was computed from
        double until = never_s;
    };

    Context& ctx_;
    const AgentRegistry& registry_;
    std::map<std::string, Pause> pauses_;  // by job
};

}  // namespace cranemoor::core

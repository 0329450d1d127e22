// Running task counter: the number of a job's running tasks, as returned to polls.
#pragma once

#include <string>
#include <unordered_map>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Counts the running tasks of jobs. Counts are cached for a second: a job may have many thousand
/// tasks, and any number of polls per second.
class RunningTaskCounter {
  public:
    RunningTaskCounter(const Context& ctx, const AgentRegistry& agents)
        : ctx_(ctx), agents_(agents) {}

    /// Number of running tasks of `job`, for display only. A task on a machine that another
    /// controller owns counts as running as soon as it is placed.
    int running_tasks(const Job& job);
    /// Drops the cached counts that have expired.
    void prune();

  private:
    struct CachedCount {
        int running = 0;
        double valid_until = -1e9;  // steady time
    };

    bool is_running(const Job& job, int task, const Placement& placement) const;

    const Context& ctx_;
    const AgentRegistry& agents_;
    std::unordered_map<std::string, CachedCount> counts_;  // by uid
};

}  // namespace cranemoor::core

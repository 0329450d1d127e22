// Running task counter: how many tasks of a job run, as polls display it.
#pragma once

#include <string>
#include <unordered_map>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Counts the running tasks of jobs. Counts are cached for a second: a job may have many thousand
/// tasks, and as many polls a second as its users like.
class RunningTaskCounter {
  public:
    RunningTaskCounter(const Context& ctx, const Fleet& fleet) : ctx_(ctx), fleet_(fleet) {}

    /// Tasks of `job` that run, for display only. A task on a machine that another controller owns
    /// counts as running as soon as it is placed.
    int running_tasks(const Job& job);
    /// Drops the cached counts that are out of date.
    void prune();

  private:
    struct CachedCount {
        int running = 0;
        double valid_until = -1e9;  // steady time
    };

    bool is_running(const Job& job, int task, const Placement& placement) const;

    const Context& ctx_;
    const Fleet& fleet_;
    std::unordered_map<std::string, CachedCount> counts_;  // by uid
};

}  // namespace cranemoor::core

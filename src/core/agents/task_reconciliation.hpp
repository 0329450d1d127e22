// TaskReconciliation: compares the tasks that a machine reports with the job records. Tasks that
// have exited, are lost or were never started become pending exits; unwanted tasks are stopped.
#pragma once

#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/agents/release_marks.hpp"
#include "core/agents/task_stops.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Establishes which placed tasks have ended, and counts failures against their machine.
class TaskReconciliation {
  public:
    /// All arguments must outlive this object.
    TaskReconciliation(Context& ctx, const AgentRegistry& registry, PendingTaskExits& pending_exits,
                       ReleaseMarks& release_marks, TaskStops& task_stops)
        : ctx_(ctx),
          registry_(registry),
          pending_exits_(pending_exits),
          release_marks_(release_marks),
          task_stops_(task_stops) {}

    /// Compares the machine's reported tasks with its placements. `from_heartbeat`: the report is a
    /// heartbeat, not the reply to a direct command, which may overtake a start.
    void reconcile(Machine& machine, bool from_heartbeat);
    /// If the cloud provider has confirmed the release of the machine `name`, records an exit
    /// ("machine gone") for every task placed there; does nothing otherwise.
    void record_exits_of_released(const std::string& name);

  private:
    void record_exit(Machine& machine, const TaskStatus& status);
    void record_gang_done(const Job& job, const TaskStatus& status);
    void note_task_failure(Machine& machine, const Job& job);

    Context& ctx_;
    const AgentRegistry& registry_;
    PendingTaskExits& pending_exits_;
    ReleaseMarks& release_marks_;
    TaskStops& task_stops_;
};

}  // namespace cranemoor::core

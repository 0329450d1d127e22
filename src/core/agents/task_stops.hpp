// TaskStops: stops tasks with a grace period, by a direct command and in every heartbeat reply,
// until the task is reported as exited.
#pragma once

#include "core/agents/agent_registry.hpp"
#include "core/agents/gang_preemption.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// Requests, repeats and escalates the stops of tasks on our machines. Stops in progress are held
/// in Machine::pending_stops.
class TaskStops {
  public:
    /// All arguments must outlive this object.
    TaskStops(Context& ctx, const AgentRegistry& registry, HeartbeatReplies& replies,
              GangPreemption& gang_preemption)
        : ctx_(ctx), registry_(registry), replies_(replies), gang_preemption_(gang_preemption) {}

    /// Stops a task with a grace period of `grace_s` seconds: directly, and in every reply until it
    /// has exited. A later call can only shorten the grace period.
    void stop(Machine& machine, const Attempt& attempt, double grace_s);
    /// Stops a placed task that must end: its job was cancelled, its gang is incomplete, or its
    /// gang is being preempted. Does nothing for other tasks.
    void stop_unwanted(Machine& machine, const Job& job, const TaskId& id,
                       const Placement& placement);
    /// Repeats the machine's pending stops that have had no effect for a while, without a grace
    /// period once the task should have checkpointed.
    void resend(Machine& machine);
    /// Stops the tasks that can checkpoint on a spot machine that is about to be interrupted.
    void checkpoint_before_interruption(Machine& machine);

  private:
    void send(Machine& machine, const Attempt& attempt, Machine::PendingStop& stop);

    Context& ctx_;
    const AgentRegistry& registry_;
    HeartbeatReplies& replies_;
    GangPreemption& gang_preemption_;
};

}  // namespace cranemoor::core

// AgentManager: composes the modules that look after the worker machines (agents) and passes inputs
// and ticks on to them.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/failure_detector.hpp"
#include "core/agents/gang_preemption.hpp"
#include "core/agents/heartbeat_handler.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/agents/job_arrivals.hpp"
#include "core/agents/job_failures.hpp"
#include "core/agents/machine_adoption.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/agents/release_marks.hpp"
#include "core/agents/task_reconciliation.hpp"
#include "core/agents/task_stops.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"

namespace cranemoor::core {

/// The worker machines as this controller handles them. Pure core: all input and output goes
/// through the Context (ctx.actions, ctx.call_worker, ctx.send_txn, ctx.call_peer). Users of one
/// concern take the module for it, not the manager.
class AgentManager {
  public:
    /// All arguments must outlive this object.
    AgentManager(Context& ctx, const Membership& membership, const Quota& quota,
                 BatchedClaims& batched_claims);

    /// Takes in one heartbeat of a worker; see HeartbeatHandler::handle().
    void handle_heartbeat(std::uint64_t request, const Heartbeat& report, bool relayed);
    /// The membership epoch changed from `before`; see MachineAdoption::epoch_changed().
    void epoch_changed(const std::optional<Epoch>& before);
    /// The job records changed; `touched` holds the uids of the jobs that changed.
    void records_changed(const std::set<std::string>& touched);
    /// Merges the cloud provider's listing of machines and queues those newly ours for adoption.
    void apply_cloud_listing(const std::vector<ListedMachine>& listing);
    /// Periodic work: token raises, release marks, the sweep of all machines, writes of task exits
    /// and the heartbeat replies that have become due.
    void tick();

    /// The machines, their types, free room and cached images.
    AgentRegistry& registry() { return registry_; }
    const AgentRegistry& registry() const { return registry_; }
    /// Recent submissions of jobs that need whole machines or may use spot machines.
    const JobArrivals& job_arrivals() const { return job_arrivals_; }
    /// The pauses of jobs whose tasks keep failing.
    const JobFailures& job_failures() const { return job_failures_; }
    /// The graceful preemption of whole gangs.
    GangPreemption& gang_preemption() { return gang_preemption_; }
    /// Task exits known here, not all of them durable yet.
    const PendingTaskExits& pending_exits() const { return pending_exits_; }
    /// Marks machines for release.
    ReleaseMarks& release_marks() { return release_marks_; }
    /// The heartbeats that wait for their replies.
    HeartbeatReplies& replies() { return replies_; }
    /// Stops tasks.
    TaskStops& task_stops() { return task_stops_; }
    /// Finds silent and failed machines.
    FailureDetector& failure_detector() { return failure_detector_; }

  private:
    void machine_records_changed(const std::string& name);
    void job_changed(const std::string& uid);
    void prune_expired();

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry registry_;
    JobArrivals job_arrivals_;
    JobFailures job_failures_;
    GangPreemption gang_preemption_;
    PendingTaskExits pending_exits_;
    ReleaseMarks release_marks_;
    HeartbeatReplies replies_;
    TaskStops task_stops_;
    TaskReconciliation reconciliation_;
    MachineAdoption adoption_;
    FailureDetector failure_detector_;
    HeartbeatHandler heartbeat_handler_;
    double next_sweep_ = 0;  // steady times, in seconds
    double next_prune_ = 0;
};

}  // namespace cranemoor::core

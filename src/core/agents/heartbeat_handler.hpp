/// HeartbeatHandler: handles the heartbeats of workers. Workers of another controller's machines
/// are redirected to the owner; if a worker can't reach it, its heartbeat is relayed.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/agents/failure_detector.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/agents/machine_adoption.hpp"
#include "core/agents/task_reconciliation.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Rejects, redirects, relays or accepts each heartbeat.
class HeartbeatHandler {
  public:
    /// All arguments must outlive this object.
    HeartbeatHandler(Context& ctx, const Membership& membership, AgentRegistry& registry,
                     HeartbeatReplies& replies, TaskReconciliation& reconciliation,
                     MachineAdoption& adoption, FailureDetector& failure_detector)
        : ctx_(ctx),
          membership_(membership),
          registry_(registry),
          replies_(replies),
          reconciliation_(reconciliation),
          adoption_(adoption),
          failure_detector_(failure_detector) {}

    /// Handles the heartbeat of request id `request`. Replies at once with 503 (this controller may
    /// not answer workers, or the machine is released), 421 (newer fencing token, or another owner)
    /// or 200 (stale heartbeat), relays it to the owner, or accepts it and may hold its reply open.
    /// `relayed`: it came from a peer controller and is never relayed again.
    void handle(std::uint64_t request, const Heartbeat& heartbeat, bool relayed);
    /// Drops the records of old redirects.
    void forget_old_redirects();

  private:
    // The last redirect of a worker; times are steady-clock seconds.
    struct Redirect {
        std::uint64_t owner_id = 0;
        double last_received_at = never_s;  // last heartbeat that was redirected or relayed
        double redirected_at = never_s;     // last redirect to this owner
    };

    void accept(Machine& machine, std::uint64_t request, const Heartbeat& heartbeat, bool relayed);
    void reject(std::uint64_t request, int status, const std::string& owner_name = "");
    void acknowledge_stale(std::uint64_t request);
    void redirect(std::uint64_t request, const Heartbeat& heartbeat, const Member* owner,
                  bool relayed);
    void relay(std::uint64_t request, const Heartbeat& heartbeat, const Member& owner);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    HeartbeatReplies& replies_;
    TaskReconciliation& reconciliation_;
    MachineAdoption& adoption_;
    FailureDetector& failure_detector_;
    std::map<std::string, Redirect> redirects_;  // by machine name
};

}  // namespace cranemoor::core

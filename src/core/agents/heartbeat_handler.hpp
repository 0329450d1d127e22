// HeartbeatHandler: takes in the heartbeats of workers. Those of another controller's machines are
// redirected to their owner, or relayed to it if the worker can't reach it.
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

/// Decides what becomes of each heartbeat: rejected, redirected, relayed or taken in.
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

    /// Takes in one heartbeat with request id `request`. Replies at once with 503 (may not answer
    /// workers), 421 (newer fencing token, or another owner: redirect or relay), with 200 at once
    /// to a stale one, or holds the reply open until something is due. `relayed`: it came by way
    /// of a peer controller and is never passed on again.
    void handle(std::uint64_t request, const Heartbeat& report, bool relayed);
    /// Drops what is known of redirects that were long ago.
    void forget_old_redirects();

  private:
    // When a worker was last redirected to its owner, and when first to this owner.
    struct Redirect {
        std::uint64_t owner_id = 0;
        double last_at = never_s;
        double first_at = never_s;
    };

    void accept(Machine& machine, std::uint64_t request, const Heartbeat& report, bool relayed);
    void reject(std::uint64_t request, int status, const std::string& home = "");
    void acknowledge_stale(std::uint64_t request);
    void redirect(std::uint64_t request, const Heartbeat& report, const Member* owner,
                  bool relayed);
    void relay(std::uint64_t request, const Heartbeat& report, const Member& owner);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    HeartbeatReplies& replies_;
    TaskReconciliation& reconciliation_;
    MachineAdoption& adoption_;
    FailureDetector& failure_detector_;
    std::map<std::string, Redirect> redirects_;  // by machine
};

}  // namespace cranemoor::core

/// MachineAdoption: adopts machines after a change of the membership. A machine is adopted once its
/// worker has accepted this controller's fencing token; until then it is sent nothing else.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/agents/task_reconciliation.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Raises the fencing tokens of machines that this controller has become the owner of.
class MachineAdoption {
  public:
    /// All arguments must outlive this object.
    MachineAdoption(Context& ctx, const Membership& membership, AgentRegistry& registry,
                    PendingTaskExits& pending_exits, HeartbeatReplies& replies,
                    TaskReconciliation& reconciliation)
        : ctx_(ctx),
          membership_(membership),
          registry_(registry),
          pending_exits_(pending_exits),
          replies_(replies),
          reconciliation_(reconciliation) {}

    /// The membership epoch changed from `previous`: machines whose owner may have changed are no
    /// longer adopted, and those now owned here are queued for a fencing-token raise.
    void epoch_changed(const std::optional<Epoch>& previous);
    /// Queues machines that this controller has become the owner of, by name.
    void queue_token_raises(const std::vector<std::string>& names);
    /// Raises the fencing tokens of the next few queued machines; called once per tick.
    void raise_queued_tokens();
    /// Raises one machine's fencing token by a direct command. Retries, up to `attempts_left`
    /// commands in total, if the machine proves to have another agent epoch.
    void raise_token(Machine& machine, int attempts_left);
    /// Adopts the machine if this heartbeat shows that it has accepted our fencing token.
    void adopt_on_heartbeat(Machine& machine, const Heartbeat& heartbeat);

  private:
    void on_token_reply(Machine& machine, const Heartbeat& heartbeat, int attempts_left);
    void log_adopted(const Machine& machine);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    PendingTaskExits& pending_exits_;
    HeartbeatReplies& replies_;
    TaskReconciliation& reconciliation_;
    std::deque<std::string> token_raise_queue_;  // machine names
};

}  // namespace cranemoor::core

// HeartbeatReplies: the replies to heartbeats, with the commands that are due (start, stop,
// forget). A reply is held open (long poll) while there is nothing to say and something may still
// come.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// The heartbeats of our machines that wait for their replies.
class HeartbeatReplies {
  public:
    /// All arguments must outlive this object.
    HeartbeatReplies(Context& ctx, const Membership& membership, AgentRegistry& registry,
                     const PendingTaskExits& pending_exits)
        : ctx_(ctx), membership_(membership), registry_(registry), pending_exits_(pending_exits) {}

    /// From now on heartbeat request `request` of the machine waits for its reply.
    void open(Machine& machine, std::uint64_t request);
    /// Replies to the open heartbeat now, with all commands due; does nothing if none is open.
    void send(Machine& machine);
    /// Replies if there is something to say or nothing to wait for; else holds the reply open.
    void send_if_due(Machine& machine);
    /// Runs send_if_due() over the machines whose heartbeat waits for its reply.
    void send_due();

  private:
    // Returns the tasks that are reported there and have not exited.
    std::set<TaskId> add_stops_and_forgets(Machine& machine, WorkerReply& reply) const;
    void add_starts(Machine& machine, const std::set<TaskId>& live, WorkerReply& reply);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    const PendingTaskExits& pending_exits_;
    std::vector<Machine*> awaiting_reply_;  // with an open request, or whose reply just went out
};

}  // namespace cranemoor::core

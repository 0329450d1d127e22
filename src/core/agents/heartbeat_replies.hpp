/// HeartbeatReplies: the replies to heartbeats, with the commands that are due (start, stop,
/// forget). A reply is held open (long poll) while no command is due and one may still become due.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// The heartbeats of this controller's machines that have not been answered yet.
class HeartbeatReplies {
  public:
    /// All arguments must outlive this object.
    HeartbeatReplies(Context& ctx, const Membership& membership, AgentRegistry& registry,
                     const PendingTaskExits& pending_exits)
        : ctx_(ctx), membership_(membership), registry_(registry), pending_exits_(pending_exits) {}

    /// Registers heartbeat request `request` of the machine as the one to answer.
    void open(Machine& machine, std::uint64_t request);
    /// Replies to the open heartbeat now, with all commands that are due; no effect if none is
    /// open.
    void send(Machine& machine);
    /// Replies if a command is due or there is nothing to wait for; otherwise holds the reply open.
    void send_if_due(Machine& machine);
    /// Calls `send_if_due` for the machines with an open heartbeat, except those whose reply is
    /// held open until a later time.
    void send_due();

  private:
    // Returns the tasks that the worker reports and that have not exited.
    std::set<TaskId> add_stops_and_forgets(Machine& machine, WorkerReply& reply) const;
    void add_starts(Machine& machine, const std::set<TaskId>& live, WorkerReply& reply);

    // Whether this process has renewed the worker's lease a short while ago.
    bool is_lease_fresh(const Machine& machine) const;

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    const PendingTaskExits& pending_exits_;
    std::vector<Machine*> awaiting_reply_;  // see `Machine::awaiting_reply`
};

}  // namespace cranemoor::core

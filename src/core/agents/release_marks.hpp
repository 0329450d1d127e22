// ReleaseMarks: marks machines for release in the key-value store (cordon). A marked machine gets
// no new tasks, and the leader releases it: once it is empty, or at once if it is to be fenced.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// The cordons (release marks) made by this controller, collected and written once per tick.
class ReleaseMarks {
  public:
    /// `ctx`, `membership` and `registry` must outlive this object.
    ReleaseMarks(Context& ctx, const Membership& membership, AgentRegistry& registry)
        : ctx_(ctx), membership_(membership), registry_(registry) {}

    /// Marks the machine for release (`fence`: also for fencing); `why` goes into the record and
    /// the log. Does nothing while this controller can't write, or if such a cordon exists already.
    void mark(Machine& machine, const std::string& why, bool fence);
    /// Writes the cordons made since the last call: one record per reason, or several if one would
    /// be too large.
    void write();

  private:
    // Machines with the same reason are cordoned by the same record.
    struct Reason {
        std::string why;
        bool fence = false;
        friend bool operator<(const Reason& a, const Reason& b) {
            return std::tie(a.why, a.fence) < std::tie(b.why, b.fence);
        }
    };
    // A transaction that is being built, and the machines that it cordons.
    struct Batch {
        Txn txn;
        std::set<std::string> machines;
    };

    void send(Batch& batch);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    std::map<Reason, std::set<std::string>> pending_;
};

}  // namespace cranemoor::core

// FailureDetector: finds machines that are silent, faulty, failed or gone. A silent machine is
// probed, then marked for release and fencing; more slowly if a network partition is the likelier
// cause.
#pragma once

#include <set>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/agents/machine_adoption.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/agents/release_marks.hpp"
#include "core/agents/task_reconciliation.hpp"
#include "core/agents/task_stops.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// The periodic sweep of all machines.
class FailureDetector {
  public:
    /// All arguments must outlive this object.
    FailureDetector(Context& ctx, const Membership& membership, AgentRegistry& registry,
                    const PendingTaskExits& pending_exits, ReleaseMarks& release_marks,
                    TaskStops& task_stops, TaskReconciliation& reconciliation,
                    MachineAdoption& adoption)
        : ctx_(ctx),
          membership_(membership),
          registry_(registry),
          pending_exits_(pending_exits),
          release_marks_(release_marks),
          task_stops_(task_stops),
          reconciliation_(reconciliation),
          adoption_(adoption) {}

    /// Looks at every machine: drops those that are gone, repeats stops, probes the silent and
    /// marks for release what has failed.
    void sweep();
    /// Notes that a heartbeat came from one of our machines itself, not relayed by a peer.
    void note_direct_heartbeat() { last_direct_heartbeat_at_ = ctx_.now.steady; }
    /// Names of machines that must be released even by a controller that cannot write to the
    /// key-value store: silent ones past the deadline of a cancelled task, and fenced marks.
    std::set<std::string> overdue_and_silent();

  private:
    // How many of this controller's machines are silent, as one sweep finds them.
    struct SilentMachines {
        struct Count {
            int owned = 0;
            int silent = 0;
            void add(bool is_silent) {
                ++owned;
                silent += is_silent ? 1 : 0;
            }
            // Whether too many are silent at once to be the machines' own doing.
            bool is_suspect() const;
        };
        Count adopted;  // of the machines that it has adopted
        bool partitioned_from_workers = false;
    };

    SilentMachines count_silent_machines();
    double silent_for_s(const Machine& machine) const;
    bool partitioned_from_workers(int owned, int relayed) const;
    bool can_forget(Machine& machine) const;
    std::set<Machine*> machines_with_overdue_cancels();
    void fence_cancelled();
    double fence_after_s(const Machine& machine, const SilentMachines& silent) const;
    void check_liveness(Machine& machine, const SilentMachines& silent);
    void probe(Machine& machine);

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& registry_;
    const PendingTaskExits& pending_exits_;
    ReleaseMarks& release_marks_;
    TaskStops& task_stops_;
    TaskReconciliation& reconciliation_;
    MachineAdoption& adoption_;
    double last_direct_heartbeat_at_ = never_s;
};

}  // namespace cranemoor::core

// FailureDetector: finds machines that send no heartbeats, have failed or are gone. A silent
// machine is probed, then marked for release and fencing; later than usual if a network partition
// is the more likely cause.
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

/// Checks the liveness of all machines in a periodic sweep, and marks those to be released.
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

    /// Checks every machine: drops those that are gone, repeats stops, probes silent machines and
    /// marks failed ones for release.
    void sweep();
    /// Notes that a heartbeat came directly from one of our machines, not relayed by a peer.
    void note_direct_heartbeat() { last_direct_heartbeat_at_ = ctx_.now.steady; }
    /// Names of machines that must be released even by a controller that can't write to the
    /// key-value store: silent ones overdue with a cancelled task, and those with a fencing cordon.
    std::set<std::string> machines_to_release_without_store();

  private:
    // How many of this controller's machines are silent, counted once per sweep.
    struct SilentMachines {
        struct Count {
            int owned = 0;
            int silent = 0;
            void add(bool is_silent) {
                ++owned;
                silent += is_silent ? 1 : 0;
            }
            // Whether so many are silent at once that a partition is likelier than their failure.
            bool suggests_partition() const;
        };
        Count adopted;  // among the machines that this controller has adopted
        bool partitioned_from_workers = false;
    };

    SilentMachines count_silent_machines();
    double silent_for_s(const Machine& machine) const;
    bool partitioned_from_workers(int owned, int relayed) const;
    bool can_forget(Machine& machine) const;
    std::set<Machine*> machines_with_overdue_cancels();
    void fence_overdue_cancels();
    double fence_after_s(const Machine& machine, const SilentMachines& silent_machines) const;
    void check_liveness(Machine& machine, const SilentMachines& silent_machines);
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

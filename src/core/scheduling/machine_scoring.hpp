// Machine scoring: which of the machines that a job's tasks fit on are used first, and whether a
// better machine than the one offered is there or will be soon, so that waiting for it pays.
#pragma once

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// Scores offers for a job, and answers what the whole fleet has for it. The answers are kept in
/// the round, since they are the same for all jobs of an equivalence class.
class MachineScoring {
  public:
    /// All arguments must outlive this object.
    MachineScoring(const Context& ctx, const Fleet& fleet, const PlacementConstraints& constraints)
        : ctx_(ctx), fleet_(fleet), constraints_(constraints) {}

    /// The score of an offer for a job's tasks; the least is best. Spot machines come first, then
    /// the fullest of the machines in use (bin packing), and empty ordinary machines last.
    double score(const MachineOffer& offer, const Job& job) const;
    /// The score of an offer for a gang, which starts whole.
    static double score_for_gang(const MachineOffer& offer);

    /// Whether the offer is an empty ordinary machine and a machine in use has room for the job's
    /// tasks, which would otherwise take a machine that a gang may need whole.
    bool fits_machine_in_use(SchedulingRound& round, const MachineOffer& offer,
                             const PendingJob& pending) const;
    /// Whether the offer is an empty ordinary machine, the job may use spot machines, and one with
    /// room for it is up or booting.
    bool fits_spot_machine(SchedulingRound& round, const MachineOffer& offer,
                           const PendingJob& pending) const;
    /// Whether waiting may find the job machines with its image, for a gang as many as it has
    /// tasks: such that have room, or where work is expected to end before W is over. Waiting for
    /// others would cost a start its time. (Section 3.5.1 of the paper: long tasks and hotspots.)
    bool may_find_image(SchedulingRound& round, const PendingJob& pending) const;
    /// Whether the machine is fetching another image already: two fetches share its rate, and both
    /// images would be late.
    bool is_fetch_contended(const MachineOffer& offer, int image) const;

  private:
    bool any_machine_in_use_fits(const Job& job) const;
    bool any_spot_machine_fits(const Job& job) const;
    bool enough_machines_with_image(const Job& job, int image, int needed) const;
    Resources room_within_wait(const Machine& machine) const;

    const Context& ctx_;
    const Fleet& fleet_;
    const PlacementConstraints& constraints_;
};

}  // namespace cranemoor::core

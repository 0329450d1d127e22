// Machine scoring: in which order the machines that fit a job's tasks are used, and whether a
// better machine than the offered one is available now or soon, so that the job should wait for it.
#pragma once

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// Scores offers for a job, and answers questions about all machines for it. The answers are cached
/// in the scheduling round, since they are the same for all jobs of an equivalence class.
class MachineScoring {
  public:
    /// All arguments must outlive this object.
    MachineScoring(const Context& ctx, const AgentRegistry& agents,
                   const PlacementConstraints& constraints)
        : ctx_(ctx), agents_(agents), constraints_(constraints) {}

    /// The score of an offer for a job's tasks; the lowest is best. Spot machines come first, then
    /// the machines in use, the fullest first (bin packing), and empty ordinary machines last.
    double score(const MachineOffer& offer, const Job& job) const;
    /// The score of an offer for a gang all of whose tasks start together; the lowest is best.
    static double score_for_gang(const MachineOffer& offer);

    /// Whether the offer is an empty ordinary machine while some machine in use has room for one of
    /// the job's tasks: an empty machine may be needed whole by a gang.
    bool fits_machine_in_use(SchedulingRound& round, const MachineOffer& offer,
                             const PendingJob& pending) const;
    /// Whether the offer is an empty ordinary machine while the job may use spot machines and one
    /// with room for it is up or booting.
    bool fits_spot_machine(SchedulingRound& round, const MachineOffer& offer,
                           const PendingJob& pending) const;
    /// Whether best-effort work that prefers spot machines may use an empty ordinary one: it has
    /// made no progress for `constants::best_effort_spot_wait_s`, and no spot machine on which it
    /// could run is up or booting.
    bool may_use_empty_machine(SchedulingRound& round, const PendingJob& pending) const;
    /// Whether enough machines with the job's image (for a gang, one for each task) have room or
    /// are expected to have it within the delay scheduling wait W. Otherwise waiting only delays
    /// the start (section 3.5.1 of the delay scheduling paper, on long tasks and hotspots).
    bool may_find_image(SchedulingRound& round, const PendingJob& pending) const;
    /// Whether the machine is already fetching another image, or will for tasks claimed on it in
    /// this round: concurrent fetches share its rate, which delays both. `image` is the number of
    /// the job's image.
    bool is_fetch_contended(const MachineOffer& offer, int image) const;

  private:
    bool any_machine_in_use_fits(const Job& job) const;
    bool any_spot_machine_fits(const Job& job) const;
    bool any_spot_machine(const Job& job) const;
    bool is_coming_up_or_up(const Machine& machine, const MachineType& type) const;
    bool enough_machines_with_image(const Job& job, int image, int needed) const;
    Resources room_within_wait(const Machine& machine) const;

    const Context& ctx_;
    const AgentRegistry& agents_;
    const PlacementConstraints& constraints_;
};

}  // namespace cranemoor::core

// Scheduler: one scheduling round after the other. The machines that reported free room since the
// last round are served together: the jobs are visited in fair-share order, the machines are
// filtered by the job's constraints, scored, and claimed. A job without its image on a machine lets
// it pass for a limited time (delay scheduling: Zaharia et al., EuroSys 2010, section 4.1). Gangs
// reserve machines and start whole.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/claim_writer.hpp"
#include "core/scheduling/delay_scheduling.hpp"
#include "core/scheduling/gang_placement.hpp"
#include "core/scheduling/gang_reservations.hpp"
#include "core/scheduling/machine_scoring.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"
#include "core/scheduling/task_claims.hpp"

namespace cranemoor::core {

/// Places the tasks of pending jobs on this controller's machines, and gangs on any controller's.
class Scheduler {
  public:
    /// All arguments must outlive the scheduler.
    Scheduler(Context& ctx, Membership& membership, Fleet& fleet, Quota& quota,
              const PendingQueue& pending_queue, BatchedClaims& batched_claims);

    /// The membership epoch changed: machines may have changed their owner.
    void epoch_changed();
    /// The records changed; `touched` holds the uids of the jobs that changed.
    void records_changed(const std::set<std::string>& touched);
    /// Runs a round if one is due. Called once per controller tick.
    void tick();

    /// Whether claims wait for the write limit of the key-value store.
    bool is_write_limited() const { return claim_writer_.is_write_limited(); }
    /// The constraints of jobs on machines.
    const PlacementConstraints& constraints() const { return constraints_; }
    /// The machines that are kept for one job each.
    GangReservations& reservations() { return reservations_; }

  private:
    // The machines that one job's tasks may be claimed on now.
    struct Filtered {
        std::vector<Candidate> candidates;
        bool fits_any = false;  // also a machine that the job lets pass, or that is reserved
    };
    // What speaks against a machine that fits.
    struct Drawbacks {
        bool has_image = false;
        bool fetch_contended = false;
        bool spot_machine_fits = false;  // another, which is cheaper
        bool machine_in_use_fits = false;
    };

    void run_round();
    void collect_offers(SchedulingRound& round, bool owned_by_us) const;
    bool may_place_now(const PendingJob& pending) const;
    void place_job(SchedulingRound& round, const PendingJob& pending);
    Filtered filter_and_score(SchedulingRound& round, const PendingJob& pending);
    Drawbacks find_drawbacks(SchedulingRound& round, const MachineOffer& offer,
                             const PendingJob& pending, bool is_gang) const;
    bool lets_pass(SchedulingRound& round, const MachineOffer& offer, const PendingJob& pending,
                   const Drawbacks& drawbacks) const;
    bool place_gang(SchedulingRound& round, const PendingJob& pending);
    bool gang_lets_pass(SchedulingRound& round, const PendingJob& pending,
                        const GangPlacement::Places& places) const;
    void claim_gang(const Job& job, const GangPlacement::Places& places,
                    const std::map<int, Block>& blocks);

    Context& ctx_;
    Membership& membership_;
    Fleet& fleet_;
    Quota& quota_;
    const PendingQueue& pending_queue_;
    BatchedClaims& batched_claims_;
    PlacementConstraints constraints_;
    MachineScoring scoring_;
    DelayScheduling delay_scheduling_;
    GangReservations reservations_;
    GangPlacement gang_placement_;
    ClaimWriter claim_writer_;
    TaskClaims task_claims_;
    double last_round_at_ = 0;  // steady s
};

}  // namespace cranemoor::core

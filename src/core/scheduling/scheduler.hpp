/// Scheduler: runs scheduling rounds, each over all machines with free room at that time. A round
/// visits the pending jobs in fair-share order and, for each job, filters the machines by its
/// constraints, scores them and claims them. A job skips a machine that lacks its image for a
/// limited time (delay scheduling: Zaharia et al., EuroSys 2010, section 4.1). Gangs reserve
/// machines and start all their tasks at once.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/agents/pending_task_exits.hpp"
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
    Scheduler(Context& ctx, Membership& membership, AgentRegistry& agents,
              const PendingTaskExits& pending_exits, HeartbeatReplies& replies, Quota& quota,
              const PendingQueue& pending_queue, BatchedClaims& batched_claims);

    /// The membership epoch changed: machines may have changed their owner.
    void epoch_changed();
    /// The records changed; `changed_uids` holds the uids of the jobs that changed.
    void records_changed(const std::set<std::string>& changed_uids);
    /// Runs a round if one is due. Called once per controller tick.
    void tick();

    /// Whether claims are delayed by the write limit of the key-value store.
    bool is_write_limited() const { return claim_writer_.is_write_limited(); }
    /// The placement constraints of jobs.
    const PlacementConstraints& constraints() const { return constraints_; }
    /// The reservations of this controller's machines, each for one job.
    GangReservations& reservations() { return reservations_; }

  private:
    // The machines on which one job's tasks may be claimed now.
    struct FilterResult {
        std::vector<Candidate> candidates;
        bool any_fits = false;  // a machine fits, even if the job skips it or it is reserved
    };
    // What decides whether a job skips a machine that fits.
    struct OfferAssessment {
        bool has_image = false;
        bool fetch_contended = false;
        bool spot_machine_fits = false;    // a cheaper spot machine would fit
        bool machine_in_use_fits = false;  // this one is empty, and a machine in use would fit
    };

    void run_round();
    void collect_offers(SchedulingRound& round, bool owned_by_us) const;
    bool may_place_now(const PendingJob& pending) const;
    void place_job(SchedulingRound& round, const PendingJob& pending);
    FilterResult filter_and_score(SchedulingRound& round, const PendingJob& pending,
                                  bool may_use_empty);
    OfferAssessment assess_offer(SchedulingRound& round, const MachineOffer& offer,
                                 const PendingJob& pending, bool is_gang) const;
    bool should_skip_offer(SchedulingRound& round, const MachineOffer& offer,
                           const PendingJob& pending, const OfferAssessment& assessment) const;
    bool place_gang(SchedulingRound& round, const PendingJob& pending);
    bool should_delay_gang(SchedulingRound& round, const PendingJob& pending,
                           const GangPlacement::Places& places) const;
    void claim_gang(const Job& job, const GangPlacement::Places& places,
                    const std::map<int, Block>& blocks);

    Context& ctx_;
    Membership& membership_;
    AgentRegistry& agents_;
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
    double last_round_at_ = 0;  // steady time, in seconds
};

}  // namespace cranemoor::core

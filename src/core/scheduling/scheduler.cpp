#include "core/scheduling/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

Scheduler::Scheduler(Context& ctx, Membership& membership, AgentRegistry& agents,
                     const PendingTaskExits& pending_exits, HeartbeatReplies& replies, Quota& quota,
                     const PendingQueue& pending_queue, BatchedClaims& batched_claims)
    : ctx_(ctx),
      membership_(membership),
      agents_(agents),
      quota_(quota),
      pending_queue_(pending_queue),
      batched_claims_(batched_claims),
      constraints_(ctx, agents),
      scoring_(ctx, agents, constraints_),
      delay_scheduling_(ctx, agents),
      reservations_(ctx, agents, constraints_),
      gang_placement_(ctx, agents, constraints_),
      claim_writer_(ctx, agents, replies, quota, batched_claims),
      task_claims_(ctx, agents, pending_exits, quota, batched_claims, constraints_, claim_writer_) {
}

void Scheduler::tick() {
    if (!ctx_.is_member || !membership_.has_store_contact()) {
        return;
    }
    double interval_s =
        constants::scheduling_round_interval_s *
        pending_queue_.round_interval_factor(constants::scheduling_round_slowdown_factor_max);
    if (ctx_.now.steady - last_round_at_ >= interval_s) {
        run_round();
    }
}

void Scheduler::run_round() {
    delay_scheduling_.begin_round(ctx_.now.steady - last_round_at_);
    last_round_at_ = ctx_.now.steady;
    SchedulingRound round;
    collect_offers(round, /*owned_by_us=*/true);
    if (ctx_.jobs.open_jobs().empty()) {
        return;
    }
    pending_queue_.for_each_in_order(is_write_limited(), [&](const PendingJob& pending) {
        if (claim_writer_.is_full()) {
            return false;
        }
        if (may_place_now(pending)) {
            place_job(round, pending);
        }
        return true;
    });
    claim_writer_.send_block_claims();
    claim_writer_.send_batched_claims();
}

// Adds the machines with free room to the round: this controller's, or those of other controllers.
void Scheduler::collect_offers(SchedulingRound& round, bool owned_by_us) const {
    for (Machine* machine : agents_.all()) {
        if (machine->owned_by_us != owned_by_us) {
            continue;
        }
        // Set also for a machine without usable room: its heartbeat reply need not wait for a
        // round.
        machine->seen_by_scheduler = true;
        if (agents_.free_resources(*machine).cpus < Resources::rounding_tolerance ||
            !(owned_by_us ? agents_.claimable(*machine) : agents_.schedulable(*machine))) {
            continue;
        }
        MachineOffer offer;
        offer.machine = machine;
        offer.room = agents_.free_resources(*machine) - claim_writer_.claimed_on(machine->name);
        if (offer.room.cpus < Resources::rounding_tolerance) {
            continue;
        }
        offer.owned_by_us = owned_by_us;
        offer.is_empty = agents_.placements_on(*machine).tasks.empty();
        if (const auto* reservation = reservations_.find(machine->name)) {
            offer.reserved_for = reservation->uid;
            offer.reserved_priority = reservation->priority;
        }
        round.offers.push_back(std::move(offer));
    }
}

// Whether this controller may claim from the job now. Claims of several controllers on the same job
// at once would fail each other, so each controller starts some time after the one ranked before
// it. From a job with batched claims it claims only the blocks that it owns, without that delay.
bool Scheduler::may_place_now(const PendingJob& pending) const {
    const Job& job = *pending.job;
    bool is_batched = batched_claims_.is_batched(job);
    double stagger_s =
        is_batched ? 0 : constants::shard_stagger_s * static_cast<double>(pending.shard_rank);
    bool has_other_shard_owner =
        is_batched && job.block_count() == 1 && !batched_claims_.may_claim(job, 0);
    return !has_other_shard_owner && ctx_.now.steady - pending.pending_since_s >= stagger_s;
}

// Filters and scores the machines for the job and claims tasks on them. A gang that does not fit
// reserves machines instead.
void Scheduler::place_job(SchedulingRound& round, const PendingJob& pending) {
    const Job& job = *pending.job;
    const JobSpec& spec = job.spec;
    bool is_gang = spec.kind == JobKind::gang && job.done() == 0;
    // A gang of one task that needs a whole machine is placed as larger gangs are: on a machine of
    // any controller.
    if (is_gang && (spec.tasks > 1 || agents_.needs_whole_machine(spec))) {
        if (!place_gang(round, pending)) {
            reservations_.reserve_for_gang(round, pending);
        }
        return;
    }
    bool may_use_empty = scoring_.may_use_empty_machine(round, pending);
    std::set<int>& unplaceable_classes =
        may_use_empty ? round.unplaceable_on_empty_classes : round.unplaceable_classes;
    if (unplaceable_classes.contains(pending.equivalence_class)) {
        if (is_gang) {
            reservations_.reserve_for_gang(round, pending);
        }
        return;
    }
    auto [candidates, any_fits] = filter_and_score(round, pending, may_use_empty);
    // Jobs whose tasks must share a zone are each bound to another one: what does not fit there
    // says nothing of the next job.
    if (!any_fits && !spec.same_zone) {
        unplaceable_classes.insert(pending.equivalence_class);
    }
    sort_candidates(candidates);
    if (!candidates.empty() && task_claims_.claim(job, candidates) > 0) {
        delay_scheduling_.on_claimed(spec.uid, candidates.front().has_image);
    } else if (is_gang && !any_fits) {
        reservations_.reserve_for_gang(round, pending);
    }
}

// `may_use_empty` allows best-effort work one empty ordinary machine.
Scheduler::FilterResult Scheduler::filter_and_score(SchedulingRound& round,
                                                    const PendingJob& pending, bool may_use_empty) {
    const Job& job = *pending.job;
    bool is_gang = job.spec.kind == JobKind::gang && job.done() == 0;
    FilterResult filtered;
    for (auto& offer : round.offers) {
        bool takes_all_room = may_use_empty && offer.is_empty && !offer.machine->spot;
        bool fits = takes_all_room ? job.spec.task_resources.fits_in(offer.room) &&
                                         constraints_.allows(job, *offer.machine)
                                   : constraints_.fits(offer, job);
        if (!offer.owned_by_us || !fits) {
            continue;
        }
        filtered.any_fits = true;
        if (offer.is_reserved_against(job.spec)) {
            continue;
        }
        OfferAssessment assessment = assess_offer(round, offer, pending, is_gang);
        if (should_skip_offer(round, offer, pending, assessment)) {
            delay_scheduling_.skip(job.spec.uid);
            continue;
        }
        filtered.candidates.push_back(
            {&offer, assessment.has_image, scoring_.score(offer, job), takes_all_room});
        may_use_empty = may_use_empty && !takes_all_room;
    }
    return filtered;
}

Scheduler::OfferAssessment Scheduler::assess_offer(SchedulingRound& round,
                                                   const MachineOffer& offer,
                                                   const PendingJob& pending, bool is_gang) const {
    const JobSpec& spec = pending.job->spec;
    int image = agents_.image_number(spec.image);
    const auto& claimed = offer.images_claimed;
    OfferAssessment assessment;
    assessment.has_image = spec.image_gb <= 0 || AgentRegistry::has_image(*offer.machine, image) ||
                           std::count(claimed.begin(), claimed.end(), image) != 0;
    assessment.fetch_contended = !assessment.has_image && scoring_.is_fetch_contended(offer, image);
    assessment.spot_machine_fits = scoring_.fits_spot_machine(round, offer, pending);
    assessment.machine_in_use_fits =
        !is_gang && scoring_.fits_machine_in_use(round, offer, pending);
    return assessment;
}

// Whether the job skips the machine and waits for a better one (Algorithm 3 of the paper, with
// reasons to wait besides locality).
bool Scheduler::should_skip_offer(SchedulingRound& round, const MachineOffer& offer,
                                  const PendingJob& pending,
                                  const OfferAssessment& assessment) const {
    const JobSpec& spec = pending.job->spec;
    bool has_reason = assessment.spot_machine_fits || assessment.fetch_contended ||
                      assessment.machine_in_use_fits ||
                      (!assessment.has_image && scoring_.may_find_image(round, pending));
    if (!has_reason) {
        return false;
    }
    double longest_wait_s =
        delay_scheduling_.longest_wait_s(*offer.machine, spec, assessment.fetch_contended);
    if (assessment.machine_in_use_fits) {
        longest_wait_s = std::max(longest_wait_s, ctx_.tunables.locality_wait_s);
    }
    if (assessment.spot_machine_fits) {
        longest_wait_s = std::max(longest_wait_s, constants::spot_machine_wait_s);
    }
    auto state = delay_scheduling_.state_of(spec.uid);
    bool may_wait = state.level == LocalityLevel::image_local || assessment.spot_machine_fits;
    return may_wait && state.waited_s < longest_wait_s;
}

// Claims all tasks of the gang or none. Returns true if the gang has room or lacks something other
// than room, false if machines should be reserved for it.
bool Scheduler::place_gang(SchedulingRound& round, const PendingJob& pending) {
    const Job& job = *pending.job;
    const JobSpec& spec = job.spec;
    GangSize size{spec.tasks, pending.equivalence_class};
    bool is_reserving = reservations_.is_reserving(spec.uid);
    if (!is_reserving && round.unplaceable_gangs.contains(size)) {
        return false;
    }
    auto blocks = gang_placement_.next_attempt(job);
    if (blocks.empty()) {
        return false;
    }
    if (!round.includes_other_owners) {
        round.includes_other_owners = true;
        collect_offers(round, /*owned_by_us=*/false);
    }
    GangPlacement::Places places = gang_placement_.find(round, job);
    if (places.tasks.empty()) {
        if (!is_reserving) {
            round.unplaceable_gangs.insert(size);
        }
        return false;
    }
    if (should_delay_gang(round, pending, places)) {
        delay_scheduling_.skip(spec.uid);
        return true;  // the gang has room: no reservation is needed
    }
    if (!gang_placement_.add_placements(job, places, blocks)) {
        // The job's blocks were laid out by an older version and outgrow their records.
        ctx_.jobs_to_split.insert(spec.uid);
        return true;
    }
    claim_gang(job, places, blocks);
    return true;
}

// Whether the gang waits for machines with its image, see should_skip_offer.
bool Scheduler::should_delay_gang(SchedulingRound& round, const PendingJob& pending,
                                  const GangPlacement::Places& places) const {
    const JobSpec& spec = pending.job->spec;
    double longest_wait_s = delay_scheduling_.longest_wait_s(*places.tasks.front().offer->machine,
                                                             spec, /*fetch_contended=*/false);
    auto state = delay_scheduling_.state_of(spec.uid);
    return places.with_image < spec.tasks && state.level == LocalityLevel::image_local &&
           state.waited_s < longest_wait_s && scoring_.may_find_image(round, pending);
}

// Sends the gang's claim in a transaction of its own, unless the team's quota does not allow it.
void Scheduler::claim_gang(const Job& job, const GangPlacement::Places& places,
                           const std::map<int, Block>& blocks) {
    const JobSpec& spec = job.spec;
    claim_writer_.send_block_claims();
    Resources amount = spec.task_resources * spec.tasks;
    if (!quota_.within_limit(spec.team, amount) ||
        !claim_writer_.cover_quota(ClaimTarget::block_record, spec.team, amount)) {
        return;
    }
    for (const auto& place : places.tasks) {
        place.offer->room -= spec.task_resources;
    }
    auto machines = mark_offers_claimed(places.tasks, agents_.image_number(spec.image));
    claim_writer_.add_block_claim(job, blocks, machines, spec.tasks);
    claim_writer_.send_block_claims();
    delay_scheduling_.on_claimed(spec.uid, places.with_image == spec.tasks);
}

void Scheduler::epoch_changed() {
    reservations_.epoch_changed();
}

void Scheduler::records_changed(const std::set<std::string>& changed_uids) {
    claim_writer_.records_changed();
    std::set<std::string> uids_without_open_tasks;
    for (const auto& uid : changed_uids) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || job->open() == 0) {
            delay_scheduling_.forget(uid);
            uids_without_open_tasks.insert(uid);
        }
    }
    reservations_.on_jobs_placed(uids_without_open_tasks);
}

}  // namespace cranemoor::core

#include "core/scheduling/task_claims.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace cranemoor::core {

namespace {

// Iterates over the candidates in their order and finds an offer for each task of one block.
class CandidateCursor {
  public:
    CandidateCursor(const Job& job, int block, const std::vector<Candidate>& candidates,
                    const PlacementConstraints& constraints)
        : job_(job),
          block_(block),
          constraints_(constraints),
          current_(candidates.begin()),
          end_(candidates.end()) {}

    // The offer for the next task, or nullptr if no candidate accepts it. `first_offer` is the
    // offer of the claim's first task, nullptr if this is the first.
    MachineOffer* next(const MachineOffer* first_offer) {
        while (current_ != end_ && !accepts(*current_, first_offer)) {
            ++current_;
        }
        return current_ == end_ ? nullptr : current_->offer;
    }

  private:
    bool accepts(const Candidate& candidate, const MachineOffer* first_offer) {
        const MachineOffer& offer = *candidate.offer;
        // The candidates of one claim may be in several zones: the first task of a job whose tasks
        // must run in one zone decides the zone, even if that task belongs to this claim.
        const std::string& zone = offer.machine->zone;
        if (job_.spec.same_zone && first_offer != nullptr && first_offer->machine->zone != zone) {
            return false;
        }
        auto [allowance, is_new] = spread_allowances_.try_emplace(zone, 0);
        if (is_new) {
            allowance->second = PlacementConstraints::spread_allowance(job_, block_, zone);
        }
        Resources room =
            candidate.may_use_all_room ? offer.room : constraints_.usable_room(offer, job_.spec);
        if (allowance->second <= 0 || !job_.spec.task_resources.fits_in(room)) {
            return false;
        }
        --allowance->second;
        return true;
    }

    const Job& job_;
    int block_;
    const PlacementConstraints& constraints_;
    std::vector<Candidate>::const_iterator current_;
    std::vector<Candidate>::const_iterator end_;
    std::map<std::string, int> spread_allowances_;  // tasks that the spread rule allows, by zone
};

}  // namespace

std::vector<std::string> mark_offers_claimed(const std::vector<TaskPlace>& places, int image) {
    std::vector<std::string> machines;
    for (const auto& place : places) {
        machines.push_back(place.offer->machine->name);
        place.offer->is_empty = false;
        place.offer->images_claimed.push_back(image);
    }
    return machines;
}

int TaskClaims::claim(const Job& job, const std::vector<Candidate>& candidates) {
    const JobSpec& spec = job.spec;
    std::size_t claimed = 0;
    for (int block = 0; block < job.block_count(); ++block) {
        if (!is_claimable(job, block)) {
            continue;
        }
        bool is_batched = batched_claims_.is_batched(job);
        if (is_batched && claim_writer_.is_batched_full()) {
            break;  // wait until some of the writes in flight are settled
        }
        Block next = next_block(job, block, is_batched);
        std::vector<TaskPlace> places = choose_places(job, block, next, candidates, claimed);
        bool to_batched_record = is_batched &&
                                 places.size() < constants::block_record_claim_tasks_min &&
                                 !claim_writer_.has_unresolved_claim(job.block_key(block));
        ClaimTarget target =
            to_batched_record ? ClaimTarget::claim_batch : ClaimTarget::block_record;
        reduce_to_quota(job, target, places);
        if (places.empty()) {
            if (!spec.zone_spread) {
                break;  // if none of its tasks fits, none of the next block fits either
            }
            continue;
        }
        claimed += places.size();
        write_claim(job, block, std::move(next), target, places);
        if (job.page_size > 0 && (spec.zone_spread || spec.same_zone)) {
            break;  // where the next page's tasks may run depends on these
        }
    }
    return static_cast<int>(claimed);
}

// Whether the block has tasks to place that this controller may claim now.
bool TaskClaims::is_claimable(const Job& job, int block) const {
    const Block& current = job.block(block);
    int not_done = job.block_last(block) - job.block_first(block) + 1 - current.done_count();
    return not_done != static_cast<int>(current.placed.size()) &&
           !ctx_.block_writes_in_flight.contains(job.block_key(block)) &&
           batched_claims_.may_claim(job, block);
}

// The block's record with its next attempt number. The record is written as a whole, so pending
// task exits are included in it.
Block TaskClaims::next_block(const Job& job, int block, bool is_batched) const {
    Block next = job.block(block);
    if (!is_batched) {
        pending_exits_.apply_to_block(job, block, next);
    }
    next.attempt++;
    return next;
}

// Chooses an offer for each open task of the block, in the order of the tasks and of the
// candidates, and deducts the tasks' resources from the offers.
std::vector<TaskPlace> TaskClaims::choose_places(const Job& job, int block, const Block& next,
                                                 const std::vector<Candidate>& candidates,
                                                 std::size_t claimed_before) const {
    const Block& current = job.block(block);
    const std::size_t machines_max = ctx_.txn_ops_max() * 2;
    std::size_t bytes = bytes_of(next);
    std::vector<TaskPlace> places;
    std::set<MachineOffer*> offers_used;
    CandidateCursor cursor(job, block, candidates, constraints_);
    for (int task = job.block_first(block); task <= job.block_last(block); ++task) {
        if (current.placed.contains(task) || next.is_done(task)) {
            continue;  // placed, done, or just ended without success: that is claimed later
        }
        if (!may_claim_another(job, claimed_before, places.size())) {
            break;
        }
        MachineOffer* offer = cursor.next(places.empty() ? nullptr : places.front().offer);
        if (offer == nullptr || offers_used.size() > machines_max) {
            break;
        }
        const Machine& machine = *offer->machine;
        bytes += bytes_of(task, {machine.name, machine.zone, next.attempt, ctx_.self.id});
        if (bytes > ctx_.value_bytes_max()) {
            break;  // the block's record is full
        }
        offer->room -= job.spec.task_resources;
        offers_used.insert(offer);
        places.push_back({task, offer});
    }
    return places;
}

// Whether one more task of the job may be claimed: the team's quota limit must allow it, and a job
// whose tasks fail repeatedly gets one task at a time, until one is done.
bool TaskClaims::may_claim_another(const Job& job, std::size_t claimed_before,
                                   std::size_t chosen) const {
    std::size_t placed_count = static_cast<std::size_t>(job.placed()) + claimed_before + chosen;
    if (job.fails_repeatedly() && placed_count > 0) {
        return false;
    }
    return quota_.within_limit(job.spec.team,
                               job.spec.task_resources * static_cast<double>(chosen + 1));
}

// Drops places, the last one first, until the team's quota covers the remaining ones.
void TaskClaims::reduce_to_quota(const Job& job, ClaimTarget target,
                                 std::vector<TaskPlace>& places) {
    const JobSpec& spec = job.spec;
    while (!places.empty() &&
           !claim_writer_.cover_quota(target, spec.team,
                                      spec.task_resources * static_cast<double>(places.size()))) {
        places.back().offer->room += spec.task_resources;
        places.pop_back();
    }
}

void TaskClaims::write_claim(const Job& job, int block, Block next, ClaimTarget target,
                             const std::vector<TaskPlace>& places) {
    for (const auto& place : places) {
        const Machine& machine = *place.offer->machine;
        next.placed[place.task] = {machine.name, machine.zone, next.attempt, ctx_.self.id};
    }
    auto machines = mark_offers_claimed(places, agents_.image_number(job.spec.image));
    if (target == ClaimTarget::claim_batch) {
        claim_writer_.add_batched_claim(job, block, next, machines);
    } else {
        claim_writer_.add_block_claim(job, {{block, std::move(next)}}, machines,
                                      static_cast<int>(places.size()));
    }
}

}  // namespace cranemoor::core

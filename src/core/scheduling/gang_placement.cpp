#include "core/scheduling/gang_placement.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "core/scheduling/machine_scoring.hpp"

namespace cranemoor::core {

std::map<int, Block> GangPlacement::next_attempt(const Job& job) const {
    // One more write is needed for the team's quota record.
    bool fits_transaction = job.block_count() + 1 <= ctx_.settings.store_txn_ops_max;
    if (!fits_transaction || job.open() != job.spec.tasks) {
        return {};
    }
    std::map<int, Block> blocks;
    std::uint64_t last_attempt = 0;
    for (int index = 0; index < job.block_count(); ++index) {
        if (ctx_.block_writes_in_flight.contains(job.block_key(index))) {
            return {};
        }
        blocks[index] = job.block(index);
        last_attempt = std::max(last_attempt, blocks[index].attempt);
    }
    for (auto& [index, block] : blocks) {
        block.attempt = last_attempt + 1;
        block.stop_attempt = 0;
    }
    return blocks;
}

GangPlacement::Places GangPlacement::find(SchedulingRound& round, const Job& job) const {
    const JobSpec& spec = job.spec;
    int image = agents_.image_number(spec.image);
    // By zone; under the empty name for a gang that may be spread over zones.
    std::map<std::string, std::vector<Candidate>> candidates_by_zone;
    for (auto& offer : round.offers) {
        if (offer.is_reserved_against(spec) || !spec.task_resources.fits_in(offer.room) ||
            !constraints_.allows(job, *offer.machine)) {
            continue;
        }
        bool has_image = spec.image_gb <= 0 || AgentRegistry::has_image(*offer.machine, image);
        candidates_by_zone[spec.same_zone ? offer.machine->zone : ""].push_back(
            {&offer, has_image, MachineScoring::score_for_gang(offer)});
    }
    Places best;
    for (auto& [zone, candidates] : candidates_by_zone) {
        sort_candidates(candidates);
        Places places = fill(candidates, spec);
        bool is_our_zone = zone == ctx_.settings.zone;
        bool is_better = places.with_image > best.with_image ||
                         (places.with_image == best.with_image && is_our_zone);
        if (static_cast<int>(places.tasks.size()) == spec.tasks && is_better) {
            best = std::move(places);
        }
    }
    return best;
}

// Places as many of the gang's tasks as the candidates take, in the order of the candidates.
GangPlacement::Places GangPlacement::fill(const std::vector<Candidate>& candidates,
                                          const JobSpec& spec) {
    Places places;
    places.with_image = 0;
    std::map<std::string, int> tasks_in_zone;
    int spread_limit = (spec.tasks + 1) / 2;
    for (const auto& candidate : candidates) {
        MachineOffer& offer = *candidate.offer;
        Resources room = offer.room;
        while (static_cast<int>(places.tasks.size()) < spec.tasks &&
               spec.task_resources.fits_in(room) &&
               (!spec.zone_spread || tasks_in_zone[offer.machine->zone] < spread_limit)) {
            room -= spec.task_resources;
            tasks_in_zone[offer.machine->zone]++;
            places.with_image += candidate.has_image ? 1 : 0;
            places.tasks.push_back({static_cast<int>(places.tasks.size()), &offer});
        }
    }
    return places;
}

bool GangPlacement::add_placements(const Job& job, const Places& places,
                                   std::map<int, Block>& blocks) const {
    std::map<int, std::size_t> bytes_by_block;
    for (const auto& place : places.tasks) {
        int index = job.block_of(place.task);
        Block& block = blocks[index];
        std::size_t& bytes =
            bytes_by_block.try_emplace(index, bytes_of(job.block(index))).first->second;
        const Machine& machine = *place.offer->machine;
        Placement placement{machine.name, machine.zone, block.attempt, ctx_.self.id};
        bytes += bytes_of(place.task, placement);
        if (bytes > ctx_.value_bytes_max()) {
            return false;
        }
        block.placed[place.task] = std::move(placement);
    }
    return true;
}

}  // namespace cranemoor::core

#include "core/scheduling/placement_constraints.hpp"

#include <algorithm>

namespace cranemoor::core {

bool PlacementConstraints::is_best_effort_spot(const JobSpec& spec) {
    return spec.priority == Priority::best_effort && spec.spot;
}

Resources PlacementConstraints::leftover_room(const MachineType& type, Resources room) {
    if (type.size.gpus > 0) {
        room.cpus -= room.gpus * type.size.cpus / type.size.gpus;
        room.memory_gb -= room.gpus * type.size.memory_gb / type.size.gpus;
    }
    return room;
}

Resources PlacementConstraints::usable_room(const MachineOffer& offer, const JobSpec& spec) const {
    if (!is_best_effort_spot(spec) || offer.machine->spot) {
        return offer.room;
    }
    if (offer.is_empty) {
        return {};
    }
    const MachineType* type = agents_.type(offer.machine->type);
    return spec.task_resources.gpus > 0 || type == nullptr ? offer.room
                                                           : leftover_room(*type, offer.room);
}

bool PlacementConstraints::fits(const MachineOffer& offer, const Job& job) const {
    return job.spec.task_resources.fits_in(usable_room(offer, job.spec)) &&
           allows(job, *offer.machine);
}

bool PlacementConstraints::allows(const Job& job, const Machine& machine) const {
    const JobSpec& spec = job.spec;
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                        machine.type) == spec.machine_types->end()) {
        return false;
    }
    if ((spec.zone && *spec.zone != machine.zone) || (machine.spot && !spec.spot)) {
        return false;
    }
    if (spec.same_zone && spec.kind != JobKind::gang && job.record_count() > 1) {
        // Claims on different blocks don't see each other: a fixed zone keeps them together.
        const auto& zones = ctx_.settings.zones;
        std::size_t pick = stable_hash(spec.uid) % std::max<std::size_t>(1, zones.size());
        return !spec.zone && pick < zones.size() ? zones[pick] == machine.zone : true;
    }
    bool in_zone = true;
    if (spec.same_zone) {
        job.each_placement([&](int, const Placement& placement) {
            return in_zone = placement.zone == machine.zone;
        });
    }
    return in_zone;
}

int PlacementConstraints::spread_allowance(const Job& job, int block, const std::string& zone) {
    int first = job.block_first(block);
    int size = job.block_last(block) - first + 1;
    if (!job.spec.zone_spread) {
        return size;
    }
    // Blocks are of even size, all but the last: if each keeps to half of its own tasks, rounded
    // up, then so does the job. That lets a claim be checked under its own block's revision.
    // Pages are looked at together, as the record that they were made from: each alone may hold
    // more than its half already.
    int last = job.block_last(block);
    if (job.page_size > 0) {
        first = first / job.block_record_size * job.block_record_size;
        last = std::min(job.spec.tasks, first + job.block_record_size) - 1;
        size = last - first + 1;
    }
    int placed_in_zone = 0;
    for (int other = job.block_of(first); other <= job.block_of(last); ++other) {
        for (const auto& [task, placement] : job.block(other).placed) {
            placed_in_zone += placement.zone == zone && task >= first && task <= last ? 1 : 0;
        }
    }
    return std::max(0, (size + 1) / 2 - placed_in_zone);
}

}  // namespace cranemoor::core

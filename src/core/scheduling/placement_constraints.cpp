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
    if (machine.spot && !spec.spot) {
        return false;
    }
    if (auto zone = fixed_zone(job)) {
        return *zone == machine.zone;
    }
    bool in_zone = true;
    if (spec.same_zone) {
        job.each_placement([&](int, const Placement& placement) {
            return in_zone = placement.zone == machine.zone;
        });
    }
    return in_zone;
}

std::optional<std::string> PlacementConstraints::fixed_zone(const Job& job) const {
    const JobSpec& spec = job.spec;
    const auto& zones = ctx_.settings.zones;
    bool zone_by_uid = spec.same_zone && spec.kind != JobKind::gang && job.record_count() > 1;
    if (spec.zone || !zone_by_uid || zones.empty()) {
        return spec.zone;
    }
    return zones[stable_hash(spec.uid) % zones.size()];
}

int PlacementConstraints::spread_allowance(const Job& job, int block, const std::string& zone) {
    int first = job.block_first(block);
    int size = job.block_last(block) - first + 1;
    if (!job.spec.zone_spread) {
        return size;
    }
    // All blocks but the last have an even number of tasks: if each block keeps to half of its own
    // tasks, rounded up, then so does the job. A claim can therefore be checked under the revision
    // of its own block. The pages of a split block record are counted together, as that record: a
    // single page may already hold more than its own half.
    int last = job.block_last(block);
    if (job.page_size > 0) {
        first = first / job.block_record_size * job.block_record_size;
        last = std::min(job.spec.tasks, first + job.block_record_size) - 1;
        size = last - first + 1;
    }
    int placed_in_zone = 0;
    for (int index = job.block_of(first); index <= job.block_of(last); ++index) {
        for (const auto& [task, placement] : job.block(index).placed) {
            placed_in_zone += placement.zone == zone && task >= first && task <= last ? 1 : 0;
        }
    }
    return std::max(0, (size + 1) / 2 - placed_in_zone);
}

}  // namespace cranemoor::core

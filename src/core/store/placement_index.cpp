#include "core/store/placement_index.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

namespace {
bool same_task(const std::pair<const TaskId, PlacedTask>& a,
               const std::pair<const TaskId, PlacedTask>& b) {
    return a.first == b.first && a.second.job == b.second.job &&
           a.second.placement == b.second.placement;
}

bool same_placements(const MachinePlacements& a, const MachinePlacements& b) {
    Resources difference = a.used - b.used;
    return std::equal(a.tasks.begin(), a.tasks.end(), b.tasks.begin(), b.tasks.end(), same_task) &&
           std::abs(difference.cpus) < Resources::rounding_tolerance &&
           std::abs(difference.gpus) < Resources::rounding_tolerance &&
           std::abs(difference.memory_gb) < Resources::rounding_tolerance;
}
}  // namespace

const std::shared_ptr<MachinePlacements>& PlacementIndex::entry(const std::string& machine) {
    auto& placements = machines_[machine];
    if (placements == nullptr) {
        placements = std::make_shared<MachinePlacements>();
    }
    return placements;
}

const MachinePlacements& PlacementIndex::find(const std::string& name) const {
    static const MachinePlacements none;
    auto it = machines_.find(name);
    return it == machines_.end() ? none : *it->second;
}

void PlacementIndex::forget_unused_machines() {
    std::erase_if(machines_, [](const auto& machine) {
        const auto& placements = machine.second;
        return placements.use_count() == 1 && placements->tasks.empty() && !placements->cordon;
    });
}

void PlacementIndex::update(const Job& job, const Block& block, int sign) {
    for (const auto& [task, placement] : block.placed) {
        TaskId id{job.spec.uid, task};
        MachinePlacements& machine = *entry(placement.machine);
        if (sign > 0) {
            machine.tasks[id] = {&job, &placement};
            machine.used += job.spec.task_resources;
        } else {
            machine.tasks.erase(id);
            machine.used -= job.spec.task_resources;
        }
        changed_machines_.insert(placement.machine);
        used_by_team_[job.spec.team] += job.spec.task_resources * sign;
        used_by_member_[{job.spec.team, placement.charged_member}] +=
            job.spec.task_resources * sign;
    }
}

void PlacementIndex::put_cordons(const std::string& key, CordonBatch batch) {
    auto changed = std::exchange(cordon_batches_[key].machines, {});
    changed.insert(batch.machines.begin(), batch.machines.end());
    cordon_batches_[key] = std::move(batch);
    update_cordons(changed);
}

void PlacementIndex::drop_cordons(const std::string& key) {
    auto it = cordon_batches_.find(key);
    if (it == cordon_batches_.end()) {
        return;
    }
    auto changed = std::move(it->second.machines);
    cordon_batches_.erase(it);
    update_cordons(changed);
}

// Recomputes the cordons of these machines from all records that name them.
void PlacementIndex::update_cordons(const std::set<std::string>& machines) {
    for (const auto& name : machines) {
        entry(name)->cordon.reset();
        changed_machines_.insert(name);
    }
    for (const auto& [key, batch] : cordon_batches_) {
        for (const auto& name : machines) {
            if (batch.machines.contains(name)) {
                auto& combined = entry(name)->cordon;
                Cordon& cordon = combined ? *combined : combined.emplace();
                cordon.fence = cordon.fence || batch.fence;
                cordon.released = cordon.released || batch.released.contains(name);
            }
        }
    }
}

const Resources& PlacementIndex::used(const std::string& team) const {
    static const Resources none;
    auto it = used_by_team_.find(team);
    return it == used_by_team_.end() ? none : it->second;
}

Resources PlacementIndex::used(const std::string& team, std::uint64_t member_id) const {
    auto it = used_by_member_.find({team, member_id});
    return it == used_by_member_.end() ? Resources{} : it->second;
}

bool PlacementIndex::agrees_with(
    const std::unordered_map<std::string, MachinePlacements>& counted) const {
    auto with_tasks = std::count_if(machines_.begin(), machines_.end(), [](const auto& machine) {
        return !machine.second->tasks.empty();
    });
    return static_cast<std::ptrdiff_t>(counted.size()) == with_tasks &&
           std::all_of(counted.begin(), counted.end(), [&](const auto& machine) {
               return same_placements(find(machine.first), machine.second);
           });
}

}  // namespace cranemoor::core

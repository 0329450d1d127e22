#include "core/store/placement_index.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

namespace {
bool same_task(const std::pair<const TaskId, PlacedTask>& a,
               const std::pair<const TaskId, PlacedTask>& b) {
    return a.first == b.first && a.second.job == b.second.job && a.second.place == b.second.place;
}

bool agree(const MachinePlacements& a, const MachinePlacements& b) {
    Resources gap = a.used - b.used;
    return std::equal(a.tasks.begin(), a.tasks.end(), b.tasks.begin(), b.tasks.end(), same_task) &&
           std::abs(gap.cpus) < Resources::rounding_tolerance &&
           std::abs(gap.gpus) < Resources::rounding_tolerance &&
           std::abs(gap.memory_gb) < Resources::rounding_tolerance;
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
        return placements.use_count() == 1 && placements->tasks.empty() && !placements->mark;
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
        touched_machines_.insert(placement.machine);
        used_by_team_[job.spec.team] += job.spec.task_resources * sign;
        used_by_member_[{job.spec.team, placement.charged_member}] +=
            job.spec.task_resources * sign;
    }
}

void PlacementIndex::put_marks(const std::string& key, CordonBatch marks) {
    auto changed = std::exchange(marks_[key].machines, {});
    changed.insert(marks.machines.begin(), marks.machines.end());
    marks_[key] = std::move(marks);
    update_cordons(changed);
}

void PlacementIndex::drop_marks(const std::string& key) {
    auto it = marks_.find(key);
    if (it == marks_.end()) {
        return;
    }
    auto changed = std::move(it->second.machines);
    marks_.erase(it);
    update_cordons(changed);
}

// Derives the cordon of these machines anew from all records that name them.
void PlacementIndex::update_cordons(const std::set<std::string>& machines) {
    for (const auto& name : machines) {
        entry(name)->mark.reset();
        touched_machines_.insert(name);
    }
    for (const auto& [key, marks] : marks_) {
        for (const auto& name : machines) {
            if (marks.machines.contains(name)) {
                auto& kept = entry(name)->mark;
                Cordon& mark = kept ? *kept : kept.emplace();
                mark.fence = mark.fence || marks.fence;
                mark.released = mark.released || marks.released.contains(name);
            }
        }
    }
}

const Resources& PlacementIndex::used(const std::string& team) const {
    static const Resources none;
    auto it = used_by_team_.find(team);
    return it == used_by_team_.end() ? none : it->second;
}

Resources PlacementIndex::used(const std::string& team, std::uint64_t charge) const {
    auto it = used_by_member_.find({team, charge});
    return it == used_by_member_.end() ? Resources{} : it->second;
}

bool PlacementIndex::agrees_with(
    const std::unordered_map<std::string, MachinePlacements>& counted) const {
    auto with_tasks = std::count_if(machines_.begin(), machines_.end(), [](const auto& machine) {
        return !machine.second->tasks.empty();
    });
    return static_cast<std::ptrdiff_t>(counted.size()) == with_tasks &&
           std::all_of(counted.begin(), counted.end(), [&](const auto& machine) {
               return agree(find(machine.first), machine.second);
           });
}

}  // namespace cranemoor::core

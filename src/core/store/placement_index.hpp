/// PlacementIndex: the tasks placed on each machine, the resources that they take, whether the
/// machine is cordoned, and the resources that each team's placed tasks take.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "core/store/job.hpp"
#include "core/store/records.hpp"

namespace cranemoor::core {

/// The job and the placement of a placed task. The pointers are valid until the records change.
struct PlacedTask {
    const Job* job = nullptr;
    const Placement* placement = nullptr;
};

/// Placements and cordon of one machine.
struct MachinePlacements {
    std::map<TaskId, PlacedTask> tasks;
    Resources used;                ///< total of these tasks
    std::optional<Cordon> cordon;  ///< combined from all records that name the machine; empty: none
};

/// Index of placements by machine and by team, and of cordons by machine. `JobStore` maintains it.
class PlacementIndex {
  public:
    /// Adds the placements of a block. `job` and `block` must stay in place until `remove`.
    void add(const Job& job, const Block& block) { update(job, block, 1); }
    /// Removes the placements of a block, which must have been added before.
    void remove(const Job& job, const Block& block) { update(job, block, -1); }

    /// Placements and cordon of a machine, created empty if unknown. The object is updated in
    /// place, so frequent callers may keep the pointer.
    std::shared_ptr<const MachinePlacements> machine(const std::string& name) {
        return entry(name);
    }
    /// Placements and cordon of a machine without creating an entry; empty for an unknown machine.
    const MachinePlacements& find(const std::string& name) const;
    /// Drops machines without placements and cordon to which nobody else holds a pointer.
    void forget_unused_machines();

    /// Replaces the value of a record of cordoned machines.
    void put_cordons(const std::string& key, CordonBatch batch);
    /// Removes a deleted record of cordoned machines.
    void drop_cordons(const std::string& key);
    /// The records of cordoned machines, by key.
    const std::map<std::string, CordonBatch>& cordon_batches() const { return cordon_batches_; }

    /// Resources of a team's placed tasks.
    const Resources& used(const std::string& team) const;
    /// Resources of a team's placed tasks that are charged to the quota slice of one member.
    Resources used(const std::string& team, std::uint64_t member_id) const;

    /// Returns the machines whose placements or cordon changed since the last call.
    std::set<std::string> take_changed_machines() { return std::exchange(changed_machines_, {}); }
    /// Whether the placements by machine equal this recount. For tests.
    bool agrees_with(const std::unordered_map<std::string, MachinePlacements>& counted) const;

  private:
    struct TeamMember {
        std::string team;
        std::uint64_t member_id = 0;

        friend bool operator<(const TeamMember& a, const TeamMember& b) {
            return std::tie(a.team, a.member_id) < std::tie(b.team, b.member_id);
        }
    };
    const std::shared_ptr<MachinePlacements>& entry(const std::string& machine);
    void update(const Job& job, const Block& block, int sign);
    void update_cordons(const std::set<std::string>& machines);

    std::unordered_map<std::string, std::shared_ptr<MachinePlacements>> machines_;
    std::map<std::string, CordonBatch> cordon_batches_;
    std::set<std::string> changed_machines_;
    std::map<std::string, Resources> used_by_team_;
    std::map<TeamMember, Resources> used_by_member_;
};

}  // namespace cranemoor::core

// What the records say of each machine and of each team: the tasks placed on a machine, the
// resources they take, whether it is cordoned, and the resources that a team's tasks take.
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

/// A task with its placement; valid as long as the records stay as they are.
struct PlacedTask {
    const Job* job = nullptr;
    const Placement* place = nullptr;
};

/// What the records say of one machine.
struct MachinePlacements {
    std::map<TaskId, PlacedTask> tasks;
    Resources used;              ///< by these tasks
    std::optional<Cordon> mark;  ///< the cordon, over all records that name the machine
};

/// Index of placements by machine and by team, and of cordons by machine. `JobStore` keeps it.
class PlacementIndex {
  public:
    /// Adds the placements of a block. `job` and `block` must outlive them in the index.
    void add(const Job& job, const Block& block) { update(job, block, 1); }
    /// Removes the placements of a block that were added before.
    void remove(const Job& job, const Block& block) { update(job, block, -1); }

    /// What is known of a machine, now and after later changes. Whoever asks often keeps the
    /// pointer.
    std::shared_ptr<const MachinePlacements> machine(const std::string& name) {
        return entry(name);
    }
    /// The same as of now; empty for an unknown machine.
    const MachinePlacements& find(const std::string& name) const;
    /// Drops machines of which nothing is known and that nobody keeps a pointer to.
    void forget_unused_machines();

    /// Takes in a record of cordoned machines in place of its earlier value.
    void put_marks(const std::string& key, CordonBatch marks);
    /// Takes in that a record of cordoned machines was deleted.
    void drop_marks(const std::string& key);
    /// The records of cordoned machines, by key.
    const std::map<std::string, CordonBatch>& marks() const { return marks_; }

    /// What the placed tasks of a team take.
    const Resources& used(const std::string& team) const;
    /// What the placed tasks of a team take that are charged to the quota slice of one member.
    Resources used(const std::string& team, std::uint64_t charge) const;

    /// Machines whose placements or cordon changed since the last call.
    std::set<std::string> take_touched_machines() { return std::exchange(touched_machines_, {}); }
    /// Whether the placements by machine equal these, which were counted anew; for tests.
    bool agrees_with(const std::unordered_map<std::string, MachinePlacements>& counted) const;

  private:
    struct TeamMember {
        std::string team;
        std::uint64_t member = 0;

        friend bool operator<(const TeamMember& a, const TeamMember& b) {
            return std::tie(a.team, a.member) < std::tie(b.team, b.member);
        }
    };
    const std::shared_ptr<MachinePlacements>& entry(const std::string& machine);
    void update(const Job& job, const Block& block, int sign);
    void update_cordons(const std::set<std::string>& machines);

    std::unordered_map<std::string, std::shared_ptr<MachinePlacements>> machines_;
    std::map<std::string, CordonBatch> marks_;
    std::set<std::string> touched_machines_;
    std::map<std::string, Resources> used_by_team_;
    std::map<TeamMember, Resources> used_by_member_;
};

}  // namespace cranemoor::core

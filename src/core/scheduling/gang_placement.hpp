// Gang placement: finds machines for all tasks of a gang at once, and fills in its block records
// with all tasks placed. All blocks of a gang are claimed in one transaction, so that one
// controller starts it, also on machines of other controllers, which launch what the records say.
#pragma once

#include <map>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"
#include "core/scheduling/task_claims.hpp"

namespace cranemoor::core {

/// Finds machines for gangs (gang scheduling: all tasks at once or none).
class GangPlacement {
  public:
    /// The machines chosen for a gang's tasks.
    struct Places {
        std::vector<TaskPlace> tasks;
        /// Number of tasks on machines that have the gang's image; -1: no placement was found.
        int with_image = -1;
    };

    /// All arguments must outlive this object.
    GangPlacement(const Context& ctx, const AgentRegistry& agents,
                  const PlacementConstraints& constraints)
        : ctx_(ctx), agents_(agents), constraints_(constraints) {}

    /// The gang's blocks, by index, with the number of its next attempt. Empty if the gang can't be
    /// claimed now: a write of one of its blocks is in flight, some task is placed or done, or it
    /// has more blocks than one transaction can write.
    std::map<int, Block> next_attempt(const Job& job) const;
    /// Machines for the whole gang: those with the image for the most tasks, and among equals those
    /// in this controller's zone. `tasks` is empty if the whole gang fits nowhere.
    Places find(SchedulingRound& round, const Job& job) const;
    /// Adds the placements to the gang's blocks. Returns false if a block would exceed the largest
    /// record of the key-value store.
    bool add_placements(const Job& job, const Places& places, std::map<int, Block>& blocks) const;

  private:
    static Places fill(const std::vector<Candidate>& candidates, const JobSpec& spec);

    const Context& ctx_;
    const AgentRegistry& agents_;
    const PlacementConstraints& constraints_;
};

}  // namespace cranemoor::core

// Gang placement: where a gang could start whole, and its block records with all tasks placed.
// All blocks of a gang are claimed in one transaction, so that one controller starts it, also on
// machines of other controllers, which launch what the records say.
#pragma once

#include <map>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"
#include "core/scheduling/task_claims.hpp"

namespace cranemoor::core {

/// Finds places for gangs (gang scheduling: all tasks at once or none).
class GangPlacement {
  public:
    /// Places for a gang's tasks.
    struct Places {
        std::vector<TaskPlace> tasks;
        /// How many of them are on machines with the gang's image; -1: nothing was found.
        int with_image = -1;
    };

    /// All arguments must outlive this object.
    GangPlacement(const Context& ctx, const Fleet& fleet, const PlacementConstraints& constraints)
        : ctx_(ctx), fleet_(fleet), constraints_(constraints) {}

    /// The gang's blocks with the number of its next attempt, by block; empty if it can't be
    /// claimed now: a write of one of its blocks is in flight, some task is placed or done, or it
    /// has more blocks than a transaction takes.
    std::map<int, Block> next_attempt(const Job& job) const;
    /// Where the whole gang fits: with most of its tasks on machines that have its image, and of
    /// equals in our zone. No tasks if it fits nowhere.
    Places find(SchedulingRound& round, const Job& job) const;
    /// Enters the places into the gang's blocks; false if a block outgrows its record.
    bool enter_places(const Job& job, const Places& places, std::map<int, Block>& blocks) const;

  private:
    static Places fill(const std::vector<Candidate>& candidates, const JobSpec& spec);

    const Context& ctx_;
    const Fleet& fleet_;
    const PlacementConstraints& constraints_;
};

}  // namespace cranemoor::core

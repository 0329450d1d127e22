/// Task claims: chooses machines for the tasks of job arrays and services, block by block, until
/// the candidates have no room left, and passes the claims to the claim writer.
#pragma once

#include <cstddef>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/claim_writer.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// A task and the offer that it is placed on.
struct TaskPlace {
    int task = 0;
    MachineOffer* offer = nullptr;
};

/// Updates the round's offers for claimed tasks: their machines are no longer empty, and will have
/// the image of that number. Returns the machine name of each task, in the order of `places`.
std::vector<std::string> mark_offers_claimed(const std::vector<TaskPlace>& places, int image);

/// Claims tasks that may start independently; see GangPlacement for those that start together.
class TaskClaims {
  public:
    /// All arguments must outlive this object.
    TaskClaims(Context& ctx, AgentRegistry& agents, const PendingTaskExits& pending_exits,
               Quota& quota, BatchedClaims& batched_claims, const PlacementConstraints& constraints,
               ClaimWriter& claim_writer)
        : ctx_(ctx),
          agents_(agents),
          pending_exits_(pending_exits),
          quota_(quota),
          batched_claims_(batched_claims),
          constraints_(constraints),
          claim_writer_(claim_writer) {}

    /// Claims as many of the job's tasks as fit on the candidates, in one write per block, and
    /// deducts their resources from the offers. Returns the number of tasks claimed.
    int claim(const Job& job, const std::vector<Candidate>& candidates);

  private:
    bool is_claimable(const Job& job, int block) const;
    Block next_block(const Job& job, int block, bool is_batched) const;
    std::vector<TaskPlace> choose_places(const Job& job, int block, const Block& next,
                                         const std::vector<Candidate>& candidates,
                                         std::size_t claimed_before) const;
    bool may_claim_another(const Job& job, std::size_t claimed_before, std::size_t chosen) const;
    void reduce_to_quota(const Job& job, ClaimTarget target, std::vector<TaskPlace>& places);
    void write_claim(const Job& job, int block, Block next, ClaimTarget target,
                     const std::vector<TaskPlace>& places);

    Context& ctx_;
    AgentRegistry& agents_;
    const PendingTaskExits& pending_exits_;
    Quota& quota_;
    BatchedClaims& batched_claims_;
    const PlacementConstraints& constraints_;
    ClaimWriter& claim_writer_;
};

}  // namespace cranemoor::core

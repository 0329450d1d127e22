/// Claim writer: collects the claims of a scheduling round into compare-and-swap transactions,
/// keeps their resources reserved while they are in flight, and settles them by their outcome. A
/// claim is the record that a task is placed on a machine. A claim that conflicts with another
/// change fails by its conditions, and a later round tries to place the job again.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/heartbeat_replies.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/quota/quota.hpp"

namespace cranemoor::core {

/// Which record a claim is written to.
enum class ClaimTarget {
    block_record,  ///< the record of the claimed tasks' own block
    claim_batch,   ///< a record shared by many blocks, see BatchedClaims
};

/// Writes claims of tasks, several per transaction: with one claim per transaction, claims of the
/// same team would make each other fail, since each may change the team's quota record.
class ClaimWriter {
  public:
    /// All arguments must outlive this object.
    ClaimWriter(Context& ctx, AgentRegistry& agents, HeartbeatReplies& replies, Quota& quota,
                BatchedClaims& batched_claims)
        : ctx_(ctx),
          agents_(agents),
          replies_(replies),
          quota_(quota),
          batched_claims_(batched_claims) {}

    /// Whether claims are delayed by the write limit of the key-value store.
    bool is_write_limited() const {
        return blocks_in_flight_ >= constants::claim_blocks_per_txn_max;
    }
    /// Whether no more claims may be made until some in flight are settled.
    bool is_full() const { return blocks_in_flight_ >= constants::claim_blocks_in_flight_max; }
    /// The same for claims in claim batches.
    bool is_batched_full() const {
        return batched_writes_in_flight_ >= constants::claim_batch_writes_in_flight_max;
    }
    /// Resources of a machine taken by claims that are in flight or not sent yet.
    Resources claimed_on(const std::string& machine) const;
    /// Whether a claim in that block's own record got no reply and may still be applied. Until that
    /// is resolved, no claim on the block may go into a claim batch: such a claim leaves the
    /// block's revision unchanged, so both would be applied. Of two claims in the block's own
    /// record only one can be.
    bool has_unresolved_claim(const std::string& block_key) const;

    /// Whether the team's quota allows `amount` more. If this controller's quota slice must grow
    /// for that, the change of the quota record is added to the open transaction.
    bool cover_quota(ClaimTarget target, const std::string& team, const Resources& amount);
    /// Adds a claim of `tasks` tasks in the blocks' own records. `blocks` holds the new values of
    /// these records, `machines` the machine name of each task.
    void add_block_claim(const Job& job, const std::map<int, Block>& blocks,
                         const std::vector<std::string>& machines, int tasks);
    /// Adds a claim in a claim batch, of the tasks that `next` places in addition to those in the
    /// block's own record, which stays unchanged. Every write to the block's own record either
    /// comes before the claim, which then fails, or is made with knowledge of the claim.
    void add_batched_claim(const Job& job, int block, const Block& next,
                           const std::vector<std::string>& machines);
    /// Sends the collected claims in blocks' own records as one transaction.
    void send_block_claims();
    /// Sends the collected claims in a claim batch as one transaction.
    void send_batched_claims();

    /// The records changed: releases the quota of claims without a reply whose outcome is now
    /// decided.
    void records_changed();

  private:
    /// A claim whose outcome is not known yet.
    struct Claim {
        std::string key;        // of the record it is written to
        Revision revision = 0;  // that the record must have for the claim to be applied
        Revision epoch = 0;     // revision of the membership epoch at the claim
        std::string team;
        Resources amount;
    };
    /// Resources that one task takes on its machine.
    struct ClaimedResources {
        std::string machine;
        Resources amount;
    };
    /// What must be released once a transaction is settled.
    struct InFlightClaims {
        ClaimTarget target = ClaimTarget::block_record;
        std::vector<std::string> block_keys;
        std::vector<ClaimedResources> claimed_resources;
        std::vector<Claim> claims;
        std::set<std::string> machines;  // whose heartbeat replies are held until then
    };
    /// Claims of a round that are written in one transaction.
    struct OpenTransaction {
        Txn txn;
        std::vector<ClaimBatchEntry> entries;  // of a claim batch
        std::size_t entries_bytes = 0;         // as bytes_of counts them
        InFlightClaims in_flight;
    };

    void track_claim(OpenTransaction& open, const Job& job, Claim claim,
                     const std::vector<std::string>& machines, int tasks);
    void hold_heartbeat_replies(InFlightClaims& in_flight);
    void settle(const InFlightClaims& in_flight, const StoreReply& reply);
    void release_quota(const InFlightClaims& in_flight);
    void release_in_flight(const InFlightClaims& in_flight);
    bool is_unresolved(const Claim& claim) const;

    Context& ctx_;
    AgentRegistry& agents_;
    HeartbeatReplies& replies_;
    Quota& quota_;
    BatchedClaims& batched_claims_;
    std::map<std::string, Resources> claimed_by_machine_;
    std::vector<Claim> unknown_outcomes_;
    OpenTransaction block_transaction_;
    OpenTransaction batched_transaction_;
    std::size_t batched_writes_in_flight_ = 0;  // transactions that write a claim batch
    std::size_t blocks_in_flight_ = 0;          // blocks with a claim in their own record
};

}  // namespace cranemoor::core

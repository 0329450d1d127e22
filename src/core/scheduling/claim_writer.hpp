// Claim writer: gathers the claims of a scheduling round into compare-and-swap transactions, keeps
// what they take reserved while they are in flight, and settles them by their outcome. A claim is
// the record that a task is placed on a machine; that a claim has lost to another change is found
// by its conditions, and the job is looked at again in a later round.
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
    block_record,    ///< the record of the claimed tasks' own block
    batched_record,  ///< a record shared by many blocks, see BatchedClaims
};

/// Writes claims of tasks. One claim per transaction would make claims of the same team fail each
/// other, since they all may change its quota record.
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

    /// Whether claims wait for the write limit of the key-value store.
    bool is_write_limited() const {
        return blocks_in_flight_ >= constants::claim_blocks_per_txn_max;
    }
    /// Whether no more claims may be made before some in flight are settled.
    bool is_full() const { return blocks_in_flight_ >= constants::claim_blocks_in_flight_max; }
    /// The same of claims in batched records.
    bool is_batched_full() const {
        return batched_in_flight_ >= constants::claim_batch_writes_in_flight_max;
    }
    /// What claims in flight, or not sent yet, take of a machine.
    Resources claimed_on(const std::string& machine) const;
    /// Whether a claim in that block's own record had no answer and may still be carried out.
    /// Guards against one in a batched record beside it: that leaves the block's revision as it
    /// is, so that both would hold. In the block's record only one of the two can.
    bool is_in_doubt(const std::string& block_key) const;

    /// Whether the team's quota allows `amount` more; adds the change of its quota record to the
    /// open transaction if one is needed for that.
    bool cover_quota(ClaimTarget target, const std::string& team, const Resources& amount);
    /// Adds a claim of `tasks` tasks in the blocks' own records, as they are to become. `machines`
    /// names the machine of each task.
    void add_block_claim(const Job& job, const std::map<int, Block>& blocks,
                         const std::vector<std::string>& machines, int tasks);
    /// Adds a claim in a batched record, of the tasks that `next` places beyond the block's own
    /// record, which stays as it is: whatever is written to that one comes either before the
    /// claim, which then fails, or knows of it.
    void add_batched_claim(const Job& job, int block, const Block& next,
                           const std::vector<std::string>& machines);
    /// Sends the gathered claims of blocks' own records as one transaction.
    void send_block_claims();
    /// Sends the gathered claims of batched records as one transaction.
    void send_batched_claims();

    /// The records changed: releases the quota of claims without an answer that are now decided.
    void records_changed();

  private:
    /// A claim whose outcome is open.
    struct Claim {
        std::string key;        // of the record it is written to
        Revision revision = 0;  // that the record must have for the claim to be carried out
        Revision epoch = 0;     // revision of the membership epoch at the claim
        std::string team;
        Resources amount;
    };
    /// What one task takes of its machine.
    struct MachineShare {
        std::string machine;
        Resources amount;
    };
    /// What is to be released once a transaction is settled.
    struct InFlight {
        ClaimTarget target = ClaimTarget::block_record;
        std::vector<std::string> block_keys;
        std::vector<MachineShare> shares;
        std::vector<Claim> claims;
        std::set<std::string> machines;  // that hold their heartbeat replies open meanwhile
    };
    /// Claims of a round that are written together.
    struct OpenTransaction {
        Txn txn;
        std::vector<ClaimBatchEntry> entries;  // of a batched record
        std::size_t entries_bytes = 0;         // as bytes_of counts them
        InFlight in_flight;
    };

    void take_claim(OpenTransaction& open, const Job& job, Claim claim,
                    const std::vector<std::string>& machines, int tasks);
    void hold_replies(InFlight& in_flight);
    void settle(const InFlight& in_flight, const StoreReply& reply);
    void release_quota(const InFlight& in_flight);
    void finish(const InFlight& in_flight);
    bool is_undecided(const Claim& claim) const;

    Context& ctx_;
    AgentRegistry& agents_;
    HeartbeatReplies& replies_;
    Quota& quota_;
    BatchedClaims& batched_claims_;
    std::map<std::string, Resources> claimed_;  // by machine
    std::vector<Claim> unknown_outcomes_;
    OpenTransaction block_claims_;
    OpenTransaction batched_entries_;
    std::size_t batched_in_flight_ = 0;  // transactions of batched records
    std::size_t blocks_in_flight_ = 0;   // blocks with a claim in their own record
};

}  // namespace cranemoor::core

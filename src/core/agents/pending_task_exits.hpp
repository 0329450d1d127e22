// Pending task exits: the exits of tasks that the controller owning their machine has learned of
// (from heartbeats, or from a machine that was lost), held until they are written into the task's
// block record, or into a batched record (`BatchedClaims`), by compare-and-swap. Exits of one block
// are collected for a while so that several cost one write.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/quota/quota.hpp"

namespace cranemoor::core {

/// Why an attempt of a task is over, as reported by its worker or established by the machine's
/// owner.
enum class ExitCause {
    done,
    stopped,
    peers_gone,
    gang_incomplete,
    error,
    no_room,
    busy,
    unknown_task,
    other,         // reported by its worker without a known reason
    lost,          // was running and is no longer on its machine
    not_started,   // never started, and will not be started
    machine_gone,  // its machine was released
};

/// How one attempt of a task ended.
struct TaskExit {
    std::uint64_t attempt = 0;  // attempt number the exit belongs to
    ExitCause cause = ExitCause::other;
    bool saved = false;   // it made a checkpoint before it exited
    std::string machine;  // name of the machine it ran on

    /// Whether the task completed; otherwise it must run again.
    bool is_done() const { return cause == ExitCause::done; }
    /// Whether the task itself failed.
    bool is_failure() const {
        return cause == ExitCause::error || cause == ExitCause::unknown_task;
    }
    /// The cause as logged, followed by ", saved" if a checkpoint was made.
    std::string text() const;
};

/// Task exits known to this controller and not yet durable, by job and block.
class PendingTaskExits {
  public:
    /// `registry` knows which machines this controller owns; `batched_claims` writes the exits of
    /// batched jobs. All arguments must outlive this object.
    PendingTaskExits(Context& ctx, const Quota& quota, const AgentRegistry& registry,
                     BatchedClaims& batched_claims)
        : ctx_(ctx), quota_(quota), registry_(registry), batched_claims_(batched_claims) {}

    /// Records the exit of task `id`. Ignored for an unknown job and for an attempt already held.
    void add(const TaskId& id, const TaskExit& task_exit);
    /// The pending exit of task `task` of `job`, or nullptr if none is held.
    const TaskExit* find(const Job& job, int task) const;
    /// Drops the exits learned from `machine`, once this controller no longer owns it: the next
    /// owner must establish them itself.
    void forget(const std::string& machine);
    /// Marks every block of job `uid` for review on the next flush, after the job changed.
    void recheck_job(const std::string& uid);
    /// Applies the pending exits of block `block` of `job` to `next`, the block record about to be
    /// written: removes the placements and counts completions and failures.
    void apply_to_block(const Job& job, int block, Block& next) const;
    /// Writes the exits that are due. Called once per controller tick; does nothing while this
    /// controller is not a member.
    void flush();

  private:
    // One block of a job; ordered by job, then by block.
    struct BlockRef {
        std::string uid;
        int block = 0;
        friend bool operator<(const BlockRef& a, const BlockRef& b) {
            return std::tie(a.uid, a.block) < std::tie(b.uid, b.block);
        }
    };
    // Exits of one block's tasks that have not been written yet.
    struct BlockExits {
        std::map<int, TaskExit> tasks;  // by task index
        double oldest_at = 0;           // steady time at which the first of them was learned
        bool needs_review = true;       // whether something has changed since the last review
    };

    bool is_write_due(const Job& job, const Block& block, const BlockExits& pending) const;
    struct DueBlock {
        bool deferrable = false;  // nothing waits for this write yet
        double oldest_at = 0;
        BlockRef block;
    };
    std::vector<DueBlock> collect_due_blocks();
    bool goes_to_batched_record(const BlockRef& ref) const;
    void write_blocks(const std::vector<BlockRef>& due, bool deferrable);
    void write_batched(const std::vector<BlockRef>& due);
    bool add_block_exit_writes(const BlockRef& ref, Txn& txn,
                               std::vector<std::string>& locked_keys);
    void on_write_settled(const StoreReply& reply, const std::vector<std::string>& locked_keys,
                          const std::vector<BlockRef>& blocks);

    Context& ctx_;
    const Quota& quota_;
    const AgentRegistry& registry_;
    BatchedClaims& batched_claims_;
    bool batched_write_in_flight_ = false;
    double next_batched_write_at_ = 0;  // steady time before which no batched write starts
    std::map<BlockRef, BlockExits> pending_;
    double next_full_scan_at_ = 0;      // steady time of the next review of all pending blocks
    std::size_t blocks_in_flight_ = 0;  // blocks whose exit writes are in flight
};

}  // namespace cranemoor::core

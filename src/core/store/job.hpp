// A job in the local replica of the records: its specification and the state of its tasks, in
// blocks.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/model/actions.hpp"
#include "core/model/constants.hpp"
#include "core/store/records.hpp"

namespace cranemoor::core {

/// One job of the replica. `JobStore` creates and updates it; all other code only reads it.
///
/// The state of the tasks is kept in blocks of `block_size` consecutive tasks. Each block is a
/// record of its own, except in a job whose block records were split into pages (`page_size` > 0):
/// there the block records stay as they are, in `block_records`, each page has a record as soon as
/// it is first written, and `blocks` holds the current state of the tasks by page.
struct Job {
    JobSpec spec;               ///< its priority may be inherited from dependent jobs
    Revision revision = 0;      ///< of the record that lists the job; 0: only its blocks are known
    bool own_record = false;    ///< has a record of its own (`keys::job`), not a shared listing
    double submitted_wall = 0;  ///< wall time of the submission, seconds
    int block_size = 0;         ///< tasks per block, or per page if the block records are split
    double own_cancelled_wall = 0;  ///< wall time of the cancellation in the job's record; 0: none
    Priority submitted_priority = Priority::normal;  ///< without inheritance
    bool waiting = false;                            ///< for the jobs it depends on
    int dependency_part_count = 0;  ///< records that hold its dependencies; 0: its own record does
    double ready_wall = 0;          ///< wall time when its last dependency was done; 0: none
    int page_size = 0;              ///< tasks per page; 0: the block records are not split
    int block_record_size = 0;      ///< tasks per block record
    std::map<int, Block> block_records;      ///< of a job with pages, by block record number
    std::map<int, Revision> page_revisions;  ///< of the pages that have a record, by page
    bool cancelled = false;
    double cancelled_wall = 0;      ///< wall time of the cancellation, from any record; 0: none
    std::optional<Finished> final;  ///< the final state, once written
    Revision final_revision = 0;    ///< revision of the final state
    std::map<int, Block> blocks;    ///< the state of the tasks, by block or page number
    int done_total = 0;             ///< done tasks of all blocks
    int placed_total = 0;           ///< placed tasks of all blocks
    /// The largest `Block::consecutive_failures`; 0 if a block without failures has done tasks.
    int consecutive_failures = 0;

    /// Number of blocks, or of pages if the block records are split.
    int block_count() const { return (spec.tasks + block_size - 1) / block_size; }
    /// Number of block records before any split; the pages of one share its placement constraints.
    int record_count() const {
        int size = page_size > 0 ? block_record_size : block_size;
        return (spec.tasks + size - 1) / size;
    }
    /// The block that a task belongs to.
    int block_of(int task) const { return task / block_size; }
    /// The first task of a block.
    int block_first(int block) const { return block * block_size; }
    /// The last task of a block.
    int block_last(int block) const { return std::min(spec.tasks, (block + 1) * block_size) - 1; }
    /// The state of a block, empty if nothing is known of it.
    const Block& block(int index) const;
    /// Number of tasks that are done.
    int done() const { return done_total; }
    /// Number of tasks that are placed on a machine.
    int placed() const { return placed_total; }
    /// Number of tasks that are neither placed nor done.
    int open() const { return spec.tasks - done() - placed(); }
    /// Whether all tasks are done.
    bool complete() const { return done() == spec.tasks; }
    /// Wall time from which the job may run, and from which its age counts.
    double eligible_wall() const { return ready_wall > 0 ? ready_wall : submitted_wall; }
    /// The contents of the job's own record, whether it has one or not.
    JobRecord record() const;
    /// The first block record, which holds the final state; an empty block if there is none.
    const Block& first_block_record() const;
    /// Keys and revisions of all page records, and of all block records but `first_block_record`.
    std::vector<Condition> other_block_records() const;
    /// The key of the record that a change of a block or page is written to.
    std::string block_key(int index) const;
    /// Adds the write of a block's next state to a transaction, conditional on the records that the
    /// current state comes from being unchanged.
    void add_block_write(int index, const Block& next, Txn& txn) const;
    /// Whether it failed again when retried: an error in the job itself is then more likely than a
    /// second faulty machine.
    bool fails_repeatedly() const {
        return consecutive_failures >= constants::job_backoff_failures_min;
    }
    /// Whether it is a gang whose attempt is to be stopped as a whole, by the owners of all its
    /// machines at the same time, so that it saves a checkpoint.
    bool gang_stop_requested() const;
    /// Calls `visit(task, placement)` for each placed task until it returns false.
    template <typename Visit>
    void each_placement(Visit visit) const {
        for (const auto& [index, block] : blocks) {
            for (const auto& [task, placement] : block.placed) {
                if (!visit(task, placement)) {
                    return;
                }
            }
        }
    }
    /// The first task of a block that is neither placed nor done, or none.
    std::optional<int> first_open(int index) const;
};

}  // namespace cranemoor::core

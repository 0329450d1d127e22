// A job as the local replica of the records shows it: its specification and the state of its tasks,
// in blocks.
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

/// One job of the replica. `JobStore` creates and updates it; everybody else reads it.
///
/// The state of the tasks is kept in blocks of `block_size` consecutive tasks. A block is a record
/// of its own, except in a job whose block records were split (`page_size` > 0): those stay as they
/// are in `whole`, each smaller block has a record as soon as it is first written, and `blocks`
/// holds what is true of the smaller blocks' tasks.
struct Job {
    JobSpec spec;               ///< its priority may be inherited from dependent jobs
    Revision revision = 0;      ///< of the record that lists the job; 0: its blocks arrived first
    bool own_record = false;    ///< listed by `keys::job`, else by a record shared with other jobs
    double submitted_wall = 0;  ///< wall time of the submission, seconds
    int block_size = 0;         ///< tasks of one block
    double own_cancelled_wall = 0;  ///< wall time of the cancellation in its own record; 0: none
    Priority own_priority = Priority::normal;  ///< as submitted
    bool waiting = false;                      ///< for jobs that it depends on
    int follow_parts = 0;           ///< records that hold its dependencies; 0: its own record does
    double ready_wall = 0;          ///< wall time when its last dependency was done; 0: none
    int page_size = 0;              ///< tasks of a split block; 0: the block records are not split
    int record_size = 0;            ///< tasks of a block record
    std::map<int, Block> whole;     ///< block records of a job whose blocks were split
    std::map<int, Revision> pages;  ///< revisions of the split blocks that have a record
    bool cancelled = false;
    double cancelled_wall = 0;      ///< wall time of the cancellation, from any record; 0: none
    std::optional<Finished> final;  ///< the final state, once it is written
    Revision final_at = 0;          ///< revision of the final state
    std::map<int, Block> blocks;    ///< the state of the tasks, by block number
    int done_total = 0;             ///< done tasks of all blocks, kept by `JobStore`
    int placed_total = 0;           ///< placed tasks of all blocks, kept by `JobStore`
    int fails = 0;  ///< most failures in a row of a block; 0 if another block's tasks were done

    /// Number of blocks.
    int block_count() const { return (spec.tasks + block_size - 1) / block_size; }
    /// Number of block records as first written; the split blocks of one share placement rules.
    int record_count() const {
        int size = page_size > 0 ? record_size : block_size;
        return (spec.tasks + size - 1) / size;
    }
    /// The block that a task belongs to.
    int block_of(int task) const { return task / block_size; }
    /// The first task of a block.
    int block_first(int block) const { return block * block_size; }
    /// The last task of a block.
    int block_last(int block) const { return std::min(spec.tasks, (block + 1) * block_size) - 1; }
    /// The state of a block; an empty one if nothing is known of it.
    const Block& block(int index) const;
    /// Number of tasks that are done.
    int done() const { return done_total; }
    /// Number of tasks that have a place on a machine.
    int placed() const { return placed_total; }
    /// Number of tasks that are neither placed nor done.
    int open() const { return spec.tasks - done() - placed(); }
    /// Whether all tasks are done.
    bool complete() const { return done() == spec.tasks; }
    /// Wall time since when the job may run, from which its age counts.
    double came_wall() const { return ready_wall > 0 ? ready_wall : submitted_wall; }
    /// The job as its own record would hold it.
    JobRecord record() const;
    /// The record that holds the final state; an empty block if there is none.
    const Block& first_record() const;
    /// Key and revision of all block records other than `first_record`.
    std::vector<Condition> other_records() const;
    /// The key of the record that a change of a block is written to.
    std::string block_key(int index) const;
    /// Adds the write of a block's next state to a transaction, on condition that the records it
    /// was made from are unchanged.
    void add_block(int index, const Block& next, Txn& txn) const;
    /// Whether it failed again after another try: an error of the job itself is then likelier than
    /// a second faulty machine.
    bool doubtful() const { return fails >= constants::job_backoff_failures_min; }
    /// Whether it is a gang whose attempt is to be stopped whole, by the owners of all its machines
    /// at once, so that it saves a checkpoint.
    bool stopping() const;
    /// Visits all placed tasks as (task, placement), until the visitor returns false.
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
    /// The first task of a block that is neither placed nor done.
    std::optional<int> first_open(int index) const;
};

}  // namespace cranemoor::core

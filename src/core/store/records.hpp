// The types of the durable records in the key-value store. docs/design.md says who writes them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/model/types.hpp"

namespace cranemoor::core {

/// The record formats that a version of the controller understands. Each level includes the lower
/// ones; records of a level are written only after all controllers have run a version that
/// understands it, see `Context::all_controllers_support`.
enum class FeatureLevel : int {
    none = 0,
    dependencies = 1,   // dependent jobs, and jobs whose blocks were split into pages
    claim_batches = 2,  // batched claims and the admission table
};
/// The feature level of this version.
inline constexpr FeatureLevel current_feature_level = FeatureLevel::claim_batches;

/// A controller that is a member of the epoch. A controller writes its own member record, attached
/// to its lease, in the same transaction as the epoch that it joins with.
struct Member {
    std::string name;
    std::string zone;
    std::string boot;      ///< process incarnation id: random, drawn at each process start
    std::uint64_t id = 0;  ///< number of the epoch it joined with: never used twice
    friend bool operator==(const Member& a, const Member& b) { return a.id == b.id; }
};

/// The membership epoch. Its number is the fencing token. A controller that joins or that removes
/// dead members writes the next epoch, conditional on the revision of the current one.
struct Epoch {
    Token number = 0;
    std::vector<Member> members;  ///< oldest first: the first one is the leader
    /// The member of that name, or null.
    const Member* find(const std::string& name) const;
    /// Whether a member has that id.
    bool has(std::uint64_t id) const;
};

/// The machine that a task was claimed for, and the attempt.
struct Placement {
    std::string machine;
    std::string zone;
    std::uint64_t attempt = 0;
    std::uint64_t charged_member = 0;  ///< id of the member whose quota slice it is charged to
};

/// The final state of a job, kept permanently.
struct Finished {
    bool cancelled = false;
    int tasks = 0;
};

/// A range of task numbers, both ends included.
struct TaskRange {
    int first = 0;
    int last = 0;
    /// Number of tasks in the range.
    int size() const { return last - first + 1; }
    /// Whether the task is in the range.
    bool contains(int task) const { return task >= first && task <= last; }
    friend bool operator<(const TaskRange& a, const TaskRange& b) {
        return std::tie(a.first, a.last) < std::tie(b.first, b.last);
    }
    friend bool operator==(const TaskRange& a, const TaskRange& b) {
        return std::tie(a.first, a.last) == std::tie(b.first, b.last);
    }
};

/// The state of a block of consecutive tasks of a job. Its record is written by claims, task exits,
/// preemptions, cancellations and the job's completion.
struct Block {
    Revision revision = 0;  ///< of its record; 0: it has no record yet
    std::uint64_t attempt = 0;
    std::map<int, Placement> placed;  ///< by task number
    std::vector<TaskRange> done;      ///< in order, adjacent ranges joined
    std::uint64_t stop_attempt = 0;   ///< attempt of a gang to be stopped as a whole; 0: none
    int consecutive_failures = 0;     ///< consecutive writes with failures and no task done
    /// Wall time of the cancellation of a job without a record of its own; 0: none.
    double cancelled_wall = 0;
    std::optional<Finished> final;  ///< final state of the whole job; only in its first block
    int done_total = 0;             ///< number of tasks in `done`
    /// Entries of claim batches up to that revision are applied to this state; 0: none.
    Revision applied_batch_revision = 0;
    Revision recorded_batch_revision = 0;  ///< `applied_batch_revision` as its record has it
    /// Whether a task is done.
    bool is_done(int task) const;
    /// Number of done tasks.
    int done_count() const { return done_total; }
    /// Adds a done task. Adding one that is already done changes nothing.
    void add_done(int task);
};

/// The contents of a job's record, or of its part of a record shared with other jobs. Written when
/// the job is accepted; written again when it is cancelled, its dependencies are done or its block
/// records are split.
struct JobRecord {
    JobSpec spec;
    double submitted_wall = 0;  ///< wall time, seconds
    int block_size = 0;         ///< tasks per block record
    double cancelled_wall = 0;  ///< wall time; 0: not cancelled
    /// Tasks per page; 0: the job has no pages. The block records of a job with pages stay as they
    /// are; changes are written to the page, which is authoritative for its tasks as soon as it
    /// exists.
    int page_size = 0;
    /// Whether it waits for the jobs it depends on. The previous version treats the team of such a
    /// job as unknown, and so claims nothing for it.
    bool waiting = false;
    int dependency_part_count = 0;  ///< records that hold its dependencies; 0: this one does
    double ready_wall = 0;          ///< wall time when the last dependency was done; 0: none
};

/// The cordon of a machine. A machine is cordoned before it is returned: no new task is started on
/// it from then on.
struct Cordon {
    bool fence = false;     ///< release it whatever still runs there
    bool released = false;  ///< the cloud provider has confirmed the release
};

/// Machines that were cordoned together in one record. Several hundred may be cordoned at once, and
/// one record for each would use up the write limit of half a minute.
struct CordonBatch {
    Revision revision = 0;
    std::string reason;  ///< for the log
    bool fence = false;
    std::set<std::string> machines;
    std::set<std::string> released;  ///< those whose release the cloud provider has confirmed
};

/// The exit of one attempt of a task.
struct ClaimBatchExit {
    int task = 0;
    std::uint64_t attempt = 0;
};

/// The changes to one block in one write of a claim batch: claimed tasks and task exits.
struct ClaimBatchEntry {
    std::string uid;
    int block = 0;
    /// Revision of the write that first contained the entry; 0: of the write that is being made.
    Revision write_revision = 0;
    std::map<int, Placement> placed;
    std::vector<ClaimBatchExit> done;
    std::vector<ClaimBatchExit> lost;  ///< exited without being done
};

/// Claims and exits of many jobs in one record: while writes are scarce, one record per block would
/// delay all work. An entry applies in addition to the record of its block until a write of the
/// block includes it.
struct ClaimBatch {
    Revision revision = 0;
    std::vector<ClaimBatchEntry> entries;
};

/// A team's quota limit as divided into slices among the members.
struct QuotaSlices {
    Revision revision = 0;
    std::map<std::uint64_t, Resources> by_member;  ///< by member id
    /// The sum of all members' slices.
    Resources total() const;
};

}  // namespace cranemoor::core

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

/// What a version of the controller understands. Each level includes those before it; records of a
/// level are written once all controllers have run it, see `Context::upgraded`.
enum class FeatureLevel : int {
    none = 0,
    dependencies = 1,   // dependent jobs, and jobs whose blocks were split into pages
    claim_batches = 2,  // batched claims and the admission table
};
/// What this version understands.
inline constexpr FeatureLevel current_feature_level = FeatureLevel::claim_batches;

/// A controller that is a member of the epoch.
struct Member {
    std::string name;
    std::string zone;
    std::string boot;      ///< process incarnation id: random, drawn at each process start
    std::uint64_t id = 0;  ///< the epoch number it joined with: never used twice
    friend bool operator==(const Member& a, const Member& b) { return a.id == b.id; }
};

/// The membership epoch. Its number is the fencing token.
struct Epoch {
    Token number = 0;
    std::vector<Member> members;  ///< by age: the first one is the leader
    /// The member of that name, or none.
    const Member* find(const std::string& name) const;
    /// Whether a member has that id.
    bool has(std::uint64_t id) const;
};

/// Where a task was claimed to run.
struct Placement {
    std::string machine;
    std::string zone;
    std::uint64_t attempt = 0;
    std::uint64_t charge = 0;  ///< id of the member whose quota slice carries it
};

/// The final state of a job, kept for good.
struct Finished {
    bool cancelled = false;
    int tasks = 0;
};

/// A range of task numbers, both ends included.
struct TaskRange {
    int first = 0;
    int last = 0;
    /// Number of tasks in it.
    int size() const { return last - first + 1; }
    /// Whether the range holds the task.
    bool contains(int task) const { return task >= first && task <= last; }
    friend bool operator<(const TaskRange& a, const TaskRange& b) {
        return std::tie(a.first, a.last) < std::tie(b.first, b.last);
    }
    friend bool operator==(const TaskRange& a, const TaskRange& b) {
        return std::tie(a.first, a.last) == std::tie(b.first, b.last);
    }
};

/// The state of a block of consecutive tasks of a job.
struct Block {
    Revision revision = 0;  ///< of its record; 0: there is none yet
    std::uint64_t attempt = 0;
    std::map<int, Placement> placed;  ///< by task number
    std::vector<TaskRange> done;      ///< in order, adjacent ranges joined
    std::uint64_t stop = 0;           ///< attempt of a gang that is to be stopped whole; 0: none
    int fails = 0;                    ///< writes in a row with failures and no task done
    double cancelled_wall = 0;        ///< wall time, of a job without a record of its own; 0: none
    std::optional<Finished> final;    ///< of the whole job, in its first block
    int done_total = 0;               ///< tasks in `done`
    Revision merged = 0;    ///< entries of claim batches up to that revision are applied; 0: none
    Revision recorded = 0;  ///< the same of its record
    /// Whether a task is done.
    bool is_done(int task) const;
    /// Number of done tasks.
    int done_count() const { return done_total; }
    /// Adds a done task; one that was done already changes nothing.
    void add_done(int task);
};

/// A job as its record has it.
struct JobRecord {
    JobSpec spec;
    double submitted_wall = 0;  ///< wall time, seconds
    int block_size = 0;         ///< tasks of one block record
    double cancelled_wall = 0;  ///< wall time; 0: not cancelled
    /// Tasks of one page; 0: the job has none. The block records of a job with pages stay as they
    /// are; changes are written to the page, which holds for its tasks as soon as it exists.
    int page_size = 0;
    /// Waits for the jobs it depends on. The version before this one takes its team for unknown,
    /// and so claims nothing for it.
    bool waiting = false;
    int follow_parts = 0;   ///< records that hold its dependencies; 0: this one does
    double ready_wall = 0;  ///< wall time when the last dependency was done; 0: none
};

/// A machine is cordoned before it is returned: no new task is started on it from then on.
struct Cordon {
    bool fence = false;  ///< release it whatever still runs there
    bool gone = false;   ///< the cloud has confirmed the release
};

/// Machines cordoned together: several hundred may be at once, and one record for each would take
/// the write limit of half a minute.
struct CordonBatch {
    Revision revision = 0;
    std::string why;  ///< the reason, for the log
    bool fence = false;
    std::set<std::string> machines;
    std::set<std::string> gone;  ///< those whose release the cloud has confirmed
};

/// The exit of one attempt of a task.
struct BatchedTaskExit {
    int task = 0;
    std::uint64_t attempt = 0;
};

/// What one write of a claim batch says of one block: claimed tasks and task exits.
struct BatchEntry {
    std::string uid;
    int block = 0;
    Revision at = 0;  ///< of the write that said it first; 0: of the one that is being made
    std::map<int, Placement> placed;
    std::vector<BatchedTaskExit> done;
    std::vector<BatchedTaskExit> lost;  ///< exited without being done
};

/// Claims and exits of many jobs in one record: while writes are scarce, one record for each block
/// would make all work wait. Its entries hold beside the blocks' records until a write of the block
/// includes them.
struct ClaimBatch {
    Revision revision = 0;
    std::vector<BatchEntry> entries;
};

/// A team's quota limit as divided among members, by member id.
struct Slices {
    Revision revision = 0;
    std::map<std::uint64_t, Resources> held;
    /// What all members hold together.
    Resources total() const;
};

}  // namespace cranemoor::core

// The batched claims of the replica: what the records of many jobs' claims and task exits say, by
// record and by job, and how an entry of them changes the state of a block.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/store/records.hpp"

namespace cranemoor::core {

/// Entries of batch records, shared between the index by record and the index by job.
using BatchEntries = std::vector<std::shared_ptr<const Entry>>;

/// A range of task numbers, both ends included.
struct TaskRange {
    int first = 0;
    int last = 0;
    /// Whether the range holds the task.
    bool contains(int task) const { return task >= first && task <= last; }
};

/// Applies the claims of an entry to a block, as far as they are newer than what it holds. Applying
/// an entry twice changes nothing, and a task that has ended is never placed again under the same
/// attempt.
void apply_claims(Block& block, const Entry& entry);
/// Applies the task exits of an entry to the tasks of a block that are in `tasks`.
void apply_exits(Block& block, const Entry& entry, const TaskRange& tasks);
/// Applies the claims and the exits of an entry to a block.
void apply_entry(Block& block, const Entry& entry);

/// Index of the entries of all batch records. `JobStore` keeps it.
class ClaimBatchIndex {
  public:
    /// Takes in a batch record in place of its earlier value; an empty one removes the key. Returns
    /// the entries that the earlier value did not hold, in the order of the record.
    BatchEntries put(const std::string& key, const Sheet& batch);
    /// Sorts the entries of each job by the revision of the write that brought them.
    void sort_by_revision();

    /// The entries of each record, by key.
    const std::map<std::string, BatchEntries>& records() const { return by_key_; }
    /// The entries of all jobs, in the order of their writes, by uid.
    const std::unordered_map<std::string, BatchEntries>& by_job() const { return by_job_; }
    /// The entries of one job, in the order of their writes; empty if there are none.
    const BatchEntries& of_job(const std::string& uid) const;

  private:
    void remove_from_job(const std::shared_ptr<const Entry>& entry);

    std::map<std::string, BatchEntries> by_key_;
    std::unordered_map<std::string, BatchEntries> by_job_;
};

}  // namespace cranemoor::core

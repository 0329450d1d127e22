// The batched claims of the replica: the entries of all claim batch records, by record and by job,
// and how an entry changes the state of a block.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/store/records.hpp"

namespace cranemoor::core {

/// Entries of claim batches, shared between the index by record and the index by job.
using ClaimBatchEntries = std::vector<std::shared_ptr<const ClaimBatchEntry>>;

/// Applies those claims of an entry that are newer than what the block holds. Applying an entry
/// twice changes nothing, and a task that has ended is never placed again under the same attempt.
void apply_claims(Block& block, const ClaimBatchEntry& entry);
/// Applies the task exits of an entry to those tasks of a block that are in `tasks`.
void apply_exits(Block& block, const ClaimBatchEntry& entry, const TaskRange& tasks);
/// Applies the claims and the exits of an entry to a block.
void apply_entry(Block& block, const ClaimBatchEntry& entry);

/// Index of the entries of all claim batch records, maintained by `JobStore`.
class ClaimBatchIndex {
  public:
    /// Replaces the earlier value of a claim batch record; an empty batch removes the key. Returns
    /// the entries that the earlier value did not contain, in the order of the record.
    ClaimBatchEntries put(const std::string& key, const ClaimBatch& batch);
    /// Sorts the entries of each job by the revision of the write that first contained them.
    void sort_by_revision();

    /// The entries of each record, by key.
    const std::map<std::string, ClaimBatchEntries>& records() const { return by_key_; }
    /// The entries of all jobs, in the order of their writes, by uid.
    const std::unordered_map<std::string, ClaimBatchEntries>& by_job() const { return by_job_; }
    /// The entries of one job, in the order of their writes; empty if there are none.
    const ClaimBatchEntries& of_job(const std::string& uid) const;

  private:
    void remove_from_job(const std::shared_ptr<const ClaimBatchEntry>& entry);

    std::map<std::string, ClaimBatchEntries> by_key_;
    std::unordered_map<std::string, ClaimBatchEntries> by_job_;
};

}  // namespace cranemoor::core

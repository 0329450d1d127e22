#include "core/store/claim_batch_index.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace cranemoor::core {

namespace {
// Removes the placement of `task` if the task is in `tasks` and still placed under that attempt.
// Returns whether it did.
bool remove_placement(Block& block, int task, std::uint64_t attempt, const TaskRange& tasks) {
    auto placed = block.placed.find(task);
    if (!tasks.contains(task) || placed == block.placed.end() ||
        placed->second.attempt != attempt) {
        return false;
    }
    block.placed.erase(placed);
    return true;
}

bool same_entry(const ClaimBatchEntry& a, const ClaimBatchEntry& b) {
    return a.write_revision == b.write_revision && a.block == b.block && a.uid == b.uid;
}
}  // namespace

void apply_claims(Block& block, const ClaimBatchEntry& entry) {
    block.applied_batch_revision = std::max(block.applied_batch_revision, entry.write_revision);
    for (const auto& [task, placement] : entry.placed) {
        auto known = block.placed.find(task);
        bool newer = known == block.placed.end() || known->second.attempt < placement.attempt;
        if (newer && !block.is_done(task)) {
            block.placed[task] = placement;
            block.attempt = std::max(block.attempt, placement.attempt);
        }
    }
}

void apply_exits(Block& block, const ClaimBatchEntry& entry, const TaskRange& tasks) {
    block.applied_batch_revision = std::max(block.applied_batch_revision, entry.write_revision);
    for (const auto& [task, attempt] : entry.done) {
        if (remove_placement(block, task, attempt, tasks)) {
            block.add_done(task);
        }
    }
    for (const auto& [task, attempt] : entry.lost) {
        remove_placement(block, task, attempt, tasks);
    }
}

void apply_entry(Block& block, const ClaimBatchEntry& entry) {
    apply_claims(block, entry);
    apply_exits(block, entry, {0, std::numeric_limits<int>::max()});
}

ClaimBatchEntries ClaimBatchIndex::put(const std::string& key, const ClaimBatch& batch) {
    ClaimBatchEntries added;
    ClaimBatchEntries earlier = std::exchange(by_key_[key], {});
    ClaimBatchEntries& current = by_key_[key];
    // Entries that a record keeps from its earlier value keep their order.
    auto next = earlier.begin();
    for (const auto& entry : batch.entries) {
        auto known = std::find_if(next, earlier.end(),
                                  [&](const auto& old) { return same_entry(*old, entry); });
        if (known != earlier.end()) {
            current.push_back(std::exchange(*known, nullptr));
            next = std::next(known);
            continue;
        }
        current.push_back(std::make_shared<const ClaimBatchEntry>(entry));
        by_job_[entry.uid].push_back(current.back());
        added.push_back(current.back());
    }
    for (const auto& removed : earlier) {
        if (removed != nullptr) {
            remove_from_job(removed);
        }
    }
    if (current.empty()) {
        by_key_.erase(key);
    }
    return added;
}

void ClaimBatchIndex::remove_from_job(const std::shared_ptr<const ClaimBatchEntry>& entry) {
    auto& entries = by_job_[entry->uid];
    std::erase(entries, entry);
    if (entries.empty()) {
        by_job_.erase(entry->uid);
    }
}

void ClaimBatchIndex::sort_by_revision() {
    for (auto& [uid, entries] : by_job_) {
        std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
            return a->write_revision < b->write_revision;
        });
    }
}

const ClaimBatchEntries& ClaimBatchIndex::of_job(const std::string& uid) const {
    static const ClaimBatchEntries none;
    auto it = by_job_.find(uid);
    return it == by_job_.end() ? none : it->second;
}

}  // namespace cranemoor::core

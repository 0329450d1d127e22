#include "core/store/claim_batch_index.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace cranemoor::core {

namespace {
// Ends `task` if it is in range and still placed under that attempt; false: there is nothing to do.
bool remove_placement(Block& block, int task, std::uint64_t attempt, const TaskRange& tasks) {
    auto placed = block.placed.find(task);
    if (!tasks.contains(task) || placed == block.placed.end() ||
        placed->second.attempt != attempt) {
        return false;
    }
    block.placed.erase(placed);
    return true;
}

bool same_entry(const Entry& a, const Entry& b) {
    return a.at == b.at && a.block == b.block && a.uid == b.uid;
}
}  // namespace

void apply_claims(Block& block, const Entry& entry) {
    block.merged = std::max(block.merged, entry.at);
    for (const auto& [task, placement] : entry.placed) {
        auto known = block.placed.find(task);
        bool newer = known == block.placed.end() || known->second.attempt < placement.attempt;
        if (newer && !block.is_done(task)) {
            block.placed[task] = placement;
            block.attempt = std::max(block.attempt, placement.attempt);
        }
    }
}

void apply_exits(Block& block, const Entry& entry, const TaskRange& tasks) {
    block.merged = std::max(block.merged, entry.at);
    for (const auto& [task, attempt] : entry.done) {
        if (remove_placement(block, task, attempt, tasks)) {
            block.add_done(task);
        }
    }
    for (const auto& [task, attempt] : entry.lost) {
        remove_placement(block, task, attempt, tasks);
    }
}

void apply_entry(Block& block, const Entry& entry) {
    apply_claims(block, entry);
    apply_exits(block, entry, {0, std::numeric_limits<int>::max()});
}

BatchEntries ClaimBatchIndex::put(const std::string& key, const Sheet& batch) {
    BatchEntries added;
    BatchEntries before = std::exchange(by_key_[key], {});
    BatchEntries& now = by_key_[key];
    // Entries that a record keeps from its earlier value stand there in the same order.
    auto next = before.begin();
    for (const auto& entry : batch.entries) {
        auto known = std::find_if(next, before.end(),
                                  [&](const auto& old) { return same_entry(*old, entry); });
        if (known != before.end()) {
            now.push_back(std::exchange(*known, nullptr));
            next = std::next(known);
            continue;
        }
        now.push_back(std::make_shared<const Entry>(entry));
        by_job_[entry.uid].push_back(now.back());
        added.push_back(now.back());
    }
    for (const auto& gone : before) {
        if (gone != nullptr) {
            remove_from_job(gone);
        }
    }
    if (now.empty()) {
        by_key_.erase(key);
    }
    return added;
}

void ClaimBatchIndex::remove_from_job(const std::shared_ptr<const Entry>& entry) {
    auto& entries = by_job_[entry->uid];
    std::erase(entries, entry);
    if (entries.empty()) {
        by_job_.erase(entry->uid);
    }
}

void ClaimBatchIndex::sort_by_revision() {
    for (auto& [uid, entries] : by_job_) {
        std::sort(entries.begin(), entries.end(),
                  [](const auto& a, const auto& b) { return a->at < b->at; });
    }
}

const BatchEntries& ClaimBatchIndex::of_job(const std::string& uid) const {
    static const BatchEntries none;
    auto it = by_job_.find(uid);
    return it == by_job_.end() ? none : it->second;
}

}  // namespace cranemoor::core

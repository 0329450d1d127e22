// Derives the state of a job's blocks from its block records, its page records and the entries of
// claim batch records.
#include <algorithm>
#include <utility>

#include "core/store/job_store.hpp"

namespace cranemoor::core {

namespace {
// Copies the state of the tasks in that range from a block record to `page`.
void copy_tasks(const Block& record, const TaskRange& tasks, Block& page) {
    page.attempt = std::max(page.attempt, record.attempt);
    page.applied_batch_revision =
        std::max(page.applied_batch_revision, record.applied_batch_revision);
    page.consecutive_failures = std::max(page.consecutive_failures, record.consecutive_failures);
    page.placed.insert(record.placed.lower_bound(tasks.first),
                       record.placed.upper_bound(tasks.last));
    for (const auto& range : record.done) {
        int first = std::max(range.first, tasks.first);
        int last = std::min(range.last, tasks.last);
        if (first <= last) {
            page.done.push_back({first, last});
            page.done_total += last - first + 1;
        }
    }
}
}  // namespace

void JobStore::set_block(Job& job, int index, Block next) {
    auto existing = job.blocks.find(index);
    if (existing != job.blocks.end() && job.revision != 0) {
        placements_.remove(job, existing->second);
    }
    for (const auto& [task, placement] : next.placed) {
        const Placement* previous = nullptr;
        if (existing != job.blocks.end()) {
            auto it = existing->second.placed.find(task);
            previous = it == existing->second.placed.end() ? nullptr : &it->second;
        }
        if (previous == nullptr || previous->attempt != placement.attempt) {
            new_placements_.emplace_back(TaskId{job.spec.uid, task}, placement);
        }
    }
    job.blocks[index] = std::move(next);
    if (job.revision != 0) {
        placements_.add(job, job.blocks[index]);
    }
}

void JobStore::remove_block(Job& job, int index) {
    auto it = job.blocks.find(index);
    if (it == job.blocks.end()) {
        return;
    }
    if (job.revision != 0) {
        placements_.remove(job, it->second);
    }
    job.blocks.erase(it);
}

// Applies the claim batch entries that a block record does not include yet: each record says up to
// which revision it includes them. Otherwise a claim or a task exit would be lost if a controller
// that did not know of it yet wrote the record of its block.
void JobStore::apply_batch_entries(const IndexedKey& key, Block& next) const {
    if (next.final || !loaded_) {
        return;
    }
    Revision merged = next.applied_batch_revision;
    for (const auto& entry : claim_batches_.of_job(key.uid)) {
        if (entry->block == key.index && entry->write_revision > merged) {
            apply_entry(next, *entry);
        }
    }
}

void JobStore::apply_batch_entry(const ClaimBatchEntry& entry) {
    auto it = jobs_.find(entry.uid);
    if (!loaded_ || it == jobs_.end() || it->second.revision == 0 || it->second.final) {
        return;  // applied once the job is known; without effect after the final state
    }
    Job& job = it->second;
    if (job.page_size > 0) {
        apply_batch_entry_to_pages(job, entry);
    } else if (job.block(entry.block).applied_batch_revision < entry.write_revision) {
        Block next = job.block(entry.block);
        apply_entry(next, entry);
        set_block(job, entry.block, std::move(next));
    }
    update_indexes(entry.uid, job);
}

// For a job with pages: its blocks may have been split after the entry was written, so the entry is
// applied to the block record, and its exits also to the pages that have a record.
void JobStore::apply_batch_entry_to_pages(Job& job, const ClaimBatchEntry& entry) {
    Block& record = job.block_records[entry.block];
    if (record.applied_batch_revision < entry.write_revision) {
        apply_entry(record, entry);
        derive_missing_pages(job);
    }
    for (const auto& [index, revision] : job.page_revisions) {
        if (job.block(index).applied_batch_revision < entry.write_revision) {
            Block page = job.block(index);
            apply_exits(page, entry, {job.block_first(index), job.block_last(index)});
            set_block(job, index, std::move(page));
        }
    }
}

// Derives the state of a page without a record from the block records that cover its tasks.
void JobStore::derive_page(Job& job, int index) {
    Block page;
    TaskRange tasks{job.block_first(index), job.block_last(index)};
    for (int source = tasks.first / job.block_record_size;
         source <= tasks.last / job.block_record_size; ++source) {
        auto it = job.block_records.find(source);
        if (it != job.block_records.end()) {
            copy_tasks(it->second, tasks, page);
        }
    }
    set_block(job, index, std::move(page));
}

void JobStore::derive_missing_pages(Job& job) {
    if (job.first_block_record().final) {
        return;  // the final state supersedes the state of all tasks
    }
    for (int index = 0; index < job.block_count(); ++index) {
        if (!job.page_revisions.contains(index)) {
            derive_page(job, index);
        }
    }
}

}  // namespace cranemoor::core

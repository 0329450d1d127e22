// How each kind of record changes the replica.
#include <algorithm>
#include <utility>

#include "core/store/job_store.hpp"

namespace cranemoor::core {

void JobStore::put(const std::string& key, const Json& value, Revision revision) {
    revisions_[key] = revision;
    switch (kind_of(key)) {
        case RecordKind::epoch:
            epoch_ = decode_epoch(value);
            break;
        case RecordKind::member:
            member_keys_[key] = decode_member(value);
            break;
        case RecordKind::job:
            put_job(value.at("uid").get<std::string>(), value, revision, true);
            break;
        case RecordKind::listing:
            put_listing(key, value, revision);
            break;
        case RecordKind::block:
            put_block(parse_indexed_key(key), decode_block(value, revision));
            break;
        case RecordKind::page:
            put_page(parse_indexed_key(key), decode_block(value, revision));
            break;
        case RecordKind::dependencies:
            put_dependencies(parse_indexed_key(key), decode_dependencies(value));
            break;
        case RecordKind::feature_level:
            levels_[key] = decode_level(value);
            break;
        case RecordKind::admission_table:
            table_ = decode_table(value, revision);
            break;
        case RecordKind::claim_batch:
            put_claim_batch(key, decode_claim_batch(value, revision));
            break;
        case RecordKind::quota:
            slices_[key] = decode_quota_slices(value, revision);
            break;
        case RecordKind::cordon_batch:
            placements_.put_marks(key, decode_cordon_batch(value, revision));
            break;
        case RecordKind::unknown:
            break;
    }
}

void JobStore::drop(const std::string& key) {
    revisions_.erase(key);
    switch (kind_of(key)) {
        case RecordKind::epoch:
            epoch_.reset();
            break;
        case RecordKind::member:
            member_keys_.erase(key);
            break;
        case RecordKind::job:
            drop_job(uid_of_job_key(key));
            break;
        case RecordKind::listing:
            for (const auto& uid : listings_.drop(key)) {
                remove_if_unlisted(uid);
            }
            break;
        case RecordKind::block:
            drop_block(parse_indexed_key(key));
            break;
        case RecordKind::page:
            drop_page(parse_indexed_key(key));
            break;
        case RecordKind::dependencies:
            drop_dependencies(parse_indexed_key(key));
            break;
        case RecordKind::feature_level:
            levels_.erase(key);
            break;
        case RecordKind::admission_table:
            table_.reset();
            break;
        case RecordKind::claim_batch:
            put_claim_batch(key, {});
            break;
        case RecordKind::quota:
            slices_.erase(key);
            break;
        case RecordKind::cordon_batch:
            placements_.drop_marks(key);
            break;
        case RecordKind::unknown:
            break;
    }
}

// The job as a record lists it: its own, or one that it shares.
void JobStore::put_job(const std::string& uid, const Json& value, Revision revision, bool own) {
    Job& job = jobs_[uid];
    if (!own && job.own_record) {
        return;  // a record of its own goes before one that it shares
    }
    bool first = job.revision == 0;
    JobRecord record = decode_job(value);
    bool newly_split = record.page_size > 0 && job.page_size == 0;
    if (newly_split && !first) {
        for (const auto& [index, block] : job.blocks) {
            placements_.remove(job, block);
        }
    }
    adopt_record(job, std::move(record));
    job.own_record = own;
    job.revision = revision;
    gather_dependencies(uid);
    if (newly_split) {
        job.block_records = std::exchange(job.blocks, {});
        derive_missing_pages(job);
    } else if (first) {
        for (const auto& [index, block] : job.blocks) {
            placements_.add(job, block);
        }
    }
    if (first && loaded_) {
        for (const auto& entry : claim_batches_.of_job(uid)) {
            apply_batch_entry(*entry);
        }
    }
    classify(uid, job);
}

// Copies what a record says of the job itself. A priority that it inherited stays.
void JobStore::adopt_record(Job& job, JobRecord record) {
    Priority priority = record.spec.priority;
    if (job.revision != 0) {
        priority = std::max(priority, job.spec.priority);
    }
    job.submitted_priority = record.spec.priority;
    job.spec = std::move(record.spec);
    job.spec.priority = priority;
    job.submitted_wall = record.submitted_wall;
    job.own_cancelled_wall = record.cancelled_wall;
    job.waiting = record.waiting;
    job.dependency_part_count = record.dependency_part_count;
    job.ready_wall = record.ready_wall;
    job.block_size = record.page_size > 0 ? record.page_size : record.block_size;
    job.block_record_size = record.block_size;
    job.page_size = record.page_size;
}

void JobStore::drop_job(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it != jobs_.end()) {
        it->second.own_record = false;
        it->second.own_cancelled_wall = 0;
        remove_if_unlisted(it->first);
    }
}

void JobStore::put_listing(const std::string& key, const Json& value, Revision revision) {
    ListingChange change = listings_.put(key, value.at("jobs"));
    for (const Json* job : change.added) {
        put_job(job->at("uid").get<std::string>(), *job, revision, false);
    }
    for (const auto& uid : change.removed) {
        remove_if_unlisted(uid);
    }
    listings_.set_bytes(key, value.dump().size());
}

// Takes a job out that no record lists any more.
void JobStore::remove_if_unlisted(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.own_record || listings_.has(uid)) {
        return;
    }
    Job& job = it->second;
    for (const auto& [index, block] : job.blocks) {
        placements_.remove(job, block);
    }
    job.revision = 0;
    after_removal(uid);
}

void JobStore::put_block(const IndexedKey& key, Block next) {
    Job& job = jobs_[key.uid];
    if (job.revision == 0) {
        job.spec.uid = key.uid;
    }
    next.recorded_batch_revision = next.applied_batch_revision;
    apply_batch_entries(key, next);
    if (job.page_size == 0) {
        set_block(job, key.index, std::move(next));
        classify(key.uid, job);
        return;
    }
    bool final = next.final.has_value();
    job.block_records[key.index] = std::move(next);
    if (final) {
        // Old places in records still to be removed must not come back to life.
        while (!job.blocks.empty()) {
            remove_block(job, job.blocks.begin()->first);
        }
    } else {
        derive_missing_pages(job);
    }
    classify(key.uid, job);
}

void JobStore::drop_block(const IndexedKey& key) {
    auto it = jobs_.find(key.uid);
    if (it == jobs_.end()) {
        return;
    }
    Job& job = it->second;
    if (job.page_size == 0) {
        remove_block(job, key.index);
    } else if (job.block_records.erase(key.index) != 0) {
        derive_missing_pages(job);
    }
    after_removal(key.uid);
}

void JobStore::put_page(const IndexedKey& key, Block next) {
    Job& job = jobs_[key.uid];
    job.page_revisions[key.index] = next.revision;
    if (!job.first_block_record().final) {
        if (job.revision != 0 && loaded_) {
            Revision merged = next.applied_batch_revision;
            TaskRange tasks{job.block_first(key.index), job.block_last(key.index)};
            for (const auto& entry : claim_batches_.of_job(key.uid)) {
                if (entry->write_revision > merged) {
                    apply_exits(next, *entry, tasks);
                }
            }
        }
        set_block(job, key.index, std::move(next));
    }
    classify(key.uid, job);
}

void JobStore::drop_page(const IndexedKey& key) {
    auto it = jobs_.find(key.uid);
    if (it == jobs_.end() || it->second.page_revisions.erase(key.index) == 0) {
        return;
    }
    Job& job = it->second;
    remove_block(job, key.index);
    if (job.revision != 0) {
        derive_missing_pages(job);
    }
    after_removal(key.uid);
}

void JobStore::put_dependencies(const IndexedKey& key, std::vector<std::string> part) {
    follow_parts_[key.uid][key.index] = std::move(part);
    gather_dependencies(key.uid);
}

void JobStore::drop_dependencies(const IndexedKey& key) {
    auto it = follow_parts_.find(key.uid);
    if (it == follow_parts_.end()) {
        return;
    }
    it->second.erase(key.index);
    if (it->second.empty()) {
        follow_parts_.erase(it);
    }
}

// Puts a job's dependency list together from the records that hold its parts.
void JobStore::gather_dependencies(const std::string& uid) {
    auto it = jobs_.find(uid);
    auto parts = follow_parts_.find(uid);
    if (it == jobs_.end() || parts == follow_parts_.end() ||
        it->second.dependency_part_count == 0) {
        return;
    }
    auto& follows = it->second.spec.depends_on;
    follows.clear();
    for (const auto& [number, part] : parts->second) {
        if (number >= it->second.dependency_part_count) {
            break;  // left of an earlier try
        }
        follows.insert(follows.end(), part.begin(), part.end());
    }
    touched_jobs_.insert(uid);
}

void JobStore::put_claim_batch(const std::string& key, const ClaimBatch& batch) {
    for (const auto& entry : claim_batches_.put(key, batch)) {
        apply_batch_entry(*entry);
    }
}

// Erases a job of which no record is left.
void JobStore::after_removal(const std::string& uid) {
    Job& job = jobs_.at(uid);
    if (job.revision == 0 && job.blocks.empty() && job.block_records.empty() &&
        job.page_revisions.empty()) {
        erase(uid);
    } else {
        classify(uid, job);
    }
}

}  // namespace cranemoor::core

// Applies the change of a record to the replica, by kind of record.
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
            member_records_[key] = decode_member(value);
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
            feature_levels_[key] = decode_level(value);
            break;
        case RecordKind::admission_table:
            table_ = decode_table(value, revision);
            break;
        case RecordKind::claim_batch:
            put_claim_batch(key, decode_claim_batch(value, revision));
            break;
        case RecordKind::quota:
            quota_slices_[key] = decode_quota_slices(value, revision);
            break;
        case RecordKind::cordon_batch:
            placements_.put_cordons(key, decode_cordon_batch(value, revision));
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
            member_records_.erase(key);
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
            feature_levels_.erase(key);
            break;
        case RecordKind::admission_table:
            table_.reset();
            break;
        case RecordKind::claim_batch:
            put_claim_batch(key, {});
            break;
        case RecordKind::quota:
            quota_slices_.erase(key);
            break;
        case RecordKind::cordon_batch:
            placements_.drop_cordons(key);
            break;
        case RecordKind::unknown:
            break;
    }
}

// Applies a job as a record lists it: the job's own one, or one that it shares with other jobs.
void JobStore::put_job(const std::string& uid, const Json& value, Revision revision, bool own) {
    Job& job = jobs_[uid];
    if (!own && job.own_record) {
        return;  // the job's own record takes precedence over a shared one
    }
    bool newly_listed = job.revision == 0;
    JobRecord record = decode_job(value);
    bool newly_split = record.page_size > 0 && job.page_size == 0;
    if (newly_split && !newly_listed) {
        for (const auto& [index, block] : job.blocks) {
            placements_.remove(job, block);
        }
    }
    apply_job_record(job, std::move(record));
    job.own_record = own;
    job.revision = revision;
    gather_dependencies(uid);
    if (newly_split) {
        job.block_records = std::exchange(job.blocks, {});
        derive_missing_pages(job);
    } else if (newly_listed) {
        for (const auto& [index, block] : job.blocks) {
            placements_.add(job, block);
        }
    }
    if (newly_listed && loaded_) {
        for (const auto& entry : claim_batches_.of_job(uid)) {
            apply_batch_entry(*entry);
        }
    }
    update_indexes(uid, job);
}

// Copies the job's own fields from its record. A higher inherited priority is kept.
void JobStore::apply_job_record(Job& job, JobRecord record) {
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

// Removes a job that no record lists any longer from the placement index, and erases it unless
// blocks or pages of it remain.
void JobStore::remove_if_unlisted(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.own_record || listings_.is_listed(uid)) {
        return;
    }
    Job& job = it->second;
    for (const auto& [index, block] : job.blocks) {
        placements_.remove(job, block);
    }
    job.revision = 0;
    erase_if_no_records(uid);
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
        update_indexes(key.uid, job);
        return;
    }
    bool final = next.final.has_value();
    job.block_records[key.index] = std::move(next);
    if (final) {
        // Outdated placements in records that are yet to be deleted must not become valid again.
        while (!job.blocks.empty()) {
            remove_block(job, job.blocks.begin()->first);
        }
    } else {
        derive_missing_pages(job);
    }
    update_indexes(key.uid, job);
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
    erase_if_no_records(key.uid);
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
    update_indexes(key.uid, job);
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
    erase_if_no_records(key.uid);
}

void JobStore::put_dependencies(const IndexedKey& key, std::vector<std::string> part) {
    dependency_parts_[key.uid][key.index] = std::move(part);
    gather_dependencies(key.uid);
}

void JobStore::drop_dependencies(const IndexedKey& key) {
    auto it = dependency_parts_.find(key.uid);
    if (it == dependency_parts_.end()) {
        return;
    }
    it->second.erase(key.index);
    if (it->second.empty()) {
        dependency_parts_.erase(it);
    }
}

// Assembles a job's dependency list from the records that hold its parts.
void JobStore::gather_dependencies(const std::string& uid) {
    auto it = jobs_.find(uid);
    auto parts = dependency_parts_.find(uid);
    if (it == jobs_.end() || parts == dependency_parts_.end() ||
        it->second.dependency_part_count == 0) {
        return;
    }
    auto& follows = it->second.spec.depends_on;
    follows.clear();
    for (const auto& [number, part] : parts->second) {
        if (number >= it->second.dependency_part_count) {
            break;  // left over from an earlier attempt to write the list
        }
        follows.insert(follows.end(), part.begin(), part.end());
    }
    changed_jobs_.insert(uid);
}

void JobStore::put_claim_batch(const std::string& key, const ClaimBatch& batch) {
    for (const auto& entry : claim_batches_.put(key, batch)) {
        apply_batch_entry(*entry);
    }
}

// Erases a job that has no record left; otherwise updates its totals and indexes.
void JobStore::erase_if_no_records(const std::string& uid) {
    Job& job = jobs_.at(uid);
    if (job.revision == 0 && job.blocks.empty() && job.block_records.empty() &&
        job.page_revisions.empty()) {
        erase(uid);
    } else {
        update_indexes(uid, job);
    }
}

}  // namespace cranemoor::core

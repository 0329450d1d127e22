#include "core/jobs/job_completion.hpp"

#include <algorithm>

namespace cranemoor::core {

// Adds a job's final state to a transaction, and the removal of its other blocks as far as there
// is room for it; returns their keys. The final state takes the place of the first block: one write
// for a job of one block, and every copy knows it without a read.
std::vector<std::string> add_final_state_writes(const Context& ctx, const Job& job, bool cancelled,
                                                Txn& txn) {
    const auto& uid = job.spec.uid;
    for (auto& condition : JobStore::live_conditions(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    const Block& first = job.first_block_record();
    Block last;
    last.attempt = first.attempt;
    last.cancelled_wall = first.cancelled_wall;
    last.final = Finished{cancelled, job.spec.tasks};
    std::vector<std::string> changed = {keys::block(uid, 0)};
    txn.conditions.push_back({changed.front(), first.revision});
    txn.writes.push_back({changed.front(), encode(last)});
    for (const auto& [key, revision] : job.other_block_records()) {
        if (txn.writes.size() < ctx.txn_ops_max()) {
            changed.push_back(key);
            txn.conditions.push_back({key, revision});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    return changed;
}

// Ends the jobs that are over: by their final state, and by removing blocks that outlived them.
// Leader only.
void JobCompletion::complete_finished_jobs() {
    for (const auto& uid : ctx_.jobs.jobs_to_finalize()) {
        if (completions_in_flight_.contains(uid)) {
            continue;
        }
        const Job& job = ctx_.jobs.jobs().at(uid);
        bool busy = std::any_of(job.blocks.begin(), job.blocks.end(), [&](const auto& b) {
            return ctx_.block_writes_in_flight.count(job.block_key(b.first)) != 0;
        });
        if (busy) {
            continue;
        }
        Txn txn;
        txn.purpose = Txn::Purpose::final;
        txn.conditions.push_back(ctx_.epoch_condition());
        if (job.revision != 0 && !job.final) {
            // A cancellation stands even if the last task was done before it could be stopped:
            // its user has been told.
            add_final_state_writes(ctx_, job, job.cancelled, txn);
        } else {
            auto left = job.other_block_records();
            if (!job.final && job.first_block_record().revision != 0) {
                left.push_back({keys::block(uid, 0), job.first_block_record().revision});
            }
            for (const auto& [key, at] : left) {
                if (txn.writes.size() < ctx_.txn_ops_max()) {
                    txn.conditions.push_back({key, at});
                    txn.writes.push_back({key, std::nullopt});
                }
            }
        }
        completions_in_flight_.insert(uid);
        ctx_.send_txn(txn, [this, uid = uid](const StoreReply& r) {
            ctx_.when_settled(r, [this, uid] { completions_in_flight_.erase(uid); });
        });
    }
}

// Takes a job into the batch if all that is to be written for it fits one transaction.
void JobCompletion::add_to_archive(const std::string& uid, ArchiveBatch& batch) const {
    const Job& job = ctx_.jobs.jobs().at(uid);
    if (!job.final || !job.other_block_records().empty() || batch.jobs.contains(uid)) {
        return;
    }
    auto listings = batch.listings;
    for (const auto& [key, listing] : ctx_.jobs.listings()) {
        if (!listing.contains(uid)) {
            continue;
        }
        if (ctx_.jobs.listing_bytes(key) > ctx_.value_bytes_max()) {
            batch.outgrown.insert(key);
            return;
        }
        listings.try_emplace(key, listing).first->second.erase(uid);
    }
    // Its block's deletion, its archived final state and, if it has one, its own record's deletion.
    std::size_t writes = job.own_record ? 3 : 2;
    if (batch.writes + writes + listings.size() > ctx_.txn_ops_max()) {
        return;
    }
    batch.writes += writes;
    batch.listings = std::move(listings);
    batch.jobs.insert(uid);
}

// All of one record at once, so that it is written once: the oldest job says which.
JobCompletion::ArchiveBatch JobCompletion::collect_archive_batch() const {
    ArchiveBatch batch;
    for (const auto& [revision, uid] : ctx_.jobs.final_states()) {
        if (!batch.jobs.empty()) {
            break;
        }
        add_to_archive(uid, batch);
    }
    auto listings = batch.listings;
    for (const auto& [key, remaining] : listings) {
        for (const auto& uid : remaining) {
            add_to_archive(uid, batch);
        }
    }
    return batch;
}

void JobCompletion::add_archive_writes(const ArchiveBatch& batch, Txn& txn) const {
    for (const auto& uid : batch.jobs) {
        const Job& job = ctx_.jobs.jobs().at(uid);
        auto key = keys::block(uid, 0);
        txn.conditions.push_back({key, job.final_revision});
        txn.writes.push_back({key, std::nullopt});
        txn.writes.push_back({keys::final_state(uid), encode(*job.final)});
        if (job.own_record) {
            txn.writes.push_back({keys::job(uid), std::nullopt});
        }
    }
    for (const auto& [key, remaining] : batch.listings) {
        Json jobs = Json::array();
        for (const auto& uid : remaining) {
            const Job& job = ctx_.jobs.jobs().at(uid);
            jobs.push_back(encode(job.record()));
        }
        txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
        auto value =
            remaining.empty() ? std::nullopt : std::optional(encode_listing(std::move(jobs)));
        txn.writes.push_back({key, std::move(value)});
    }
}

// Final states stay among the watched records, where every controller has them in memory, until
// there are many; then the oldest are moved to keys of their own, which are read when somebody
// asks. That costs two writes a job, at a time that is not the rush in which it ended.
void JobCompletion::archive_oldest_final_states() {
    auto keep = static_cast<std::size_t>(ctx_.tunables.final_states_max);
    if (archive_in_flight_ || ctx_.jobs.final_states().size() <= keep ||
        !membership_.has_store_contact() || ctx_.now.steady < next_archive_s_) {
        return;
    }
    ArchiveBatch batch = collect_archive_batch();
    Txn txn;
    txn.purpose = Txn::Purpose::final;
    txn.conditions.push_back(ctx_.epoch_condition());
    if (batch.jobs.empty()) {
        delete_outgrown_listings(batch.outgrown, txn);
        if (txn.writes.empty()) {
            next_archive_s_ = ctx_.now.steady + constants::record_cleanup_interval_s;
            return;
        }
    }
    add_archive_writes(batch, txn);
    archive_in_flight_ = true;
    ctx_.send_txn(txn, [this](const StoreReply& reply) {
        ctx_.when_settled(reply, [this] { archive_in_flight_ = false; });
    });
}

// A record that lists more jobs than can be put again is removed whole, once all of them are over:
// their final states stand in their blocks, as long as they are not moved away one by one.
void JobCompletion::delete_outgrown_listings(const std::set<std::string>& keys, Txn& txn) const {
    for (const auto& key : keys) {
        const auto& listing = ctx_.jobs.listings().at(key);
        bool over = std::all_of(listing.begin(), listing.end(), [&](const auto& uid) {
            return ctx_.jobs.final_state(uid) != nullptr;
        });
        if (over && txn.writes.size() < ctx_.txn_ops_max()) {
            txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
            txn.writes.push_back({key, std::nullopt});
        }
    }
}

void JobCompletion::tick() {
    if (membership_.is_leader()) {
        complete_finished_jobs();
        archive_oldest_final_states();
    }
}

}  // namespace cranemoor::core

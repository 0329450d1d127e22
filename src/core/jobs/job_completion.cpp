#include "core/jobs/job_completion.hpp"

#include <algorithm>

namespace cranemoor::core {

// The final state replaces the first block record, so that a job of one block needs one write and
// every replica learns the final state from the watch, without a read.
std::vector<std::string> add_final_state_writes(const Context& ctx, const Job& job, bool cancelled,
                                                Txn& txn) {
    const auto& uid = job.spec.uid;
    for (auto& condition : JobStore::live_conditions(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    const Block& first = job.first_block_record();
    Block final_record;
    final_record.attempt = first.attempt;
    final_record.cancelled_wall = first.cancelled_wall;
    final_record.final = Finished{cancelled, job.spec.tasks};
    std::vector<std::string> changed_keys = {keys::block(uid, 0)};
    txn.conditions.push_back({changed_keys.front(), first.revision});
    txn.writes.push_back({changed_keys.front(), encode(final_record)});
    for (const auto& [key, revision] : job.other_block_records()) {
        if (txn.writes.size() < ctx.txn_ops_max()) {
            changed_keys.push_back(key);
            txn.conditions.push_back({key, revision});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    return changed_keys;
}

// Writes the final state of ended jobs, and deletes block records that remain after it. Leader
// only.
void JobCompletion::complete_finished_jobs() {
    for (const auto& uid : ctx_.jobs.jobs_to_finalize()) {
        if (completions_in_flight_.contains(uid)) {
            continue;
        }
        const Job& job = ctx_.jobs.jobs().at(uid);
        bool write_in_flight =
            std::any_of(job.blocks.begin(), job.blocks.end(), [&](const auto& block) {
                return ctx_.block_writes_in_flight.count(job.block_key(block.first)) != 0;
            });
        if (write_in_flight) {
            continue;
        }
        Txn txn;
        txn.purpose = Txn::Purpose::final;
        txn.conditions.push_back(ctx_.epoch_condition());
        if (job.revision != 0 && !job.final) {
            // A cancellation holds even if the last task was done before it could be stopped: it
            // has been acknowledged to its user.
            add_final_state_writes(ctx_, job, job.cancelled, txn);
        } else {
            auto leftover = job.other_block_records();
            if (!job.final && job.first_block_record().revision != 0) {
                leftover.push_back({keys::block(uid, 0), job.first_block_record().revision});
            }
            for (const auto& [key, revision] : leftover) {
                if (txn.writes.size() < ctx_.txn_ops_max()) {
                    txn.conditions.push_back({key, revision});
                    txn.writes.push_back({key, std::nullopt});
                }
            }
        }
        completions_in_flight_.insert(uid);
        ctx_.send_txn(txn, [this, uid = uid](const StoreReply& reply) {
            ctx_.when_settled(reply, [this, uid] { completions_in_flight_.erase(uid); });
        });
    }
}

// Adds a job to the batch if all writes that it needs fit into the transaction.
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

// Takes the oldest job that fits, and the other jobs of the records that list it, so that each of
// these records is written once.
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
// there are many; then the oldest are moved to keys of their own, which are read on request. That
// costs two writes per job, later than the peak of writes in which the job ended.
void JobCompletion::archive_oldest_final_states() {
    auto kept_max = static_cast<std::size_t>(ctx_.tunables.final_states_max);
    if (archive_in_flight_ || ctx_.jobs.final_states().size() <= kept_max ||
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

// A record that lists more jobs than fit under the value limit can't be written again, so it is
// deleted as a whole, once all its jobs have ended: their final states are in their block records,
// as long as these are not archived one by one.
void JobCompletion::delete_outgrown_listings(const std::set<std::string>& keys, Txn& txn) const {
    for (const auto& key : keys) {
        const auto& listing = ctx_.jobs.listings().at(key);
        bool all_ended = std::all_of(listing.begin(), listing.end(), [&](const auto& uid) {
            return ctx_.jobs.final_state(uid) != nullptr;
        });
        if (all_ended && txn.writes.size() < ctx_.txn_ops_max()) {
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

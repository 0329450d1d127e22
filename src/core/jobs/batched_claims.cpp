#include "core/jobs/batched_claims.hpp"

#include <algorithm>
#include <iterator>

#include "admission/shard_owner.hpp"

namespace cranemoor::core {

namespace {
std::string claim_batch_prefix(std::uint64_t member) {
    return fmt::format("c/s/{}-", member);
}
}  // namespace

bool BatchedClaims::is_batched(const Job& job) const {
    const auto& table = ctx_.jobs.admission_table();
    const JobSpec& spec = job.spec;
    // The placement rules of other jobs depend on several tasks at once.
    return table && table->write_overload && spec.kind == JobKind::array && !spec.zone_spread &&
           !spec.same_zone && job.page_size == 0;
}

// The members of `zone`, for a job that is bound to it, or all members if that zone has none.
const BatchedClaims::WeightedMembers& BatchedClaims::weighted_members(
    const std::optional<std::string>& zone) const {
    Revision epoch = ctx_.jobs.revision_of(keys::epoch);
    Revision table = ctx_.jobs.revision_of(keys::admission_table);
    if (epoch != weighted_members_epoch_ || table != weighted_members_table_) {
        weighted_members_by_zone_.clear();
        weighted_members_epoch_ = epoch;
        weighted_members_table_ = table;
        if (ctx_.jobs.epoch() && ctx_.jobs.admission_table()) {
            const auto& parts = ctx_.jobs.admission_table()->member_shares;
            for (const auto& member : ctx_.jobs.epoch()->members) {
                auto part = parts.find(member.id);
                // A member that the table doesn't list yet is new and owns few machines.
                int weight = part == parts.end() ? 1 : std::max(1, part->second.weight);
                weighted_members_by_zone_[""].emplace_back(member.id, weight);
                weighted_members_by_zone_[member.zone].emplace_back(member.id, weight);
            }
        }
    }
    auto it = zone ? weighted_members_by_zone_.find(*zone) : weighted_members_by_zone_.end();
    return it != weighted_members_by_zone_.end() ? it->second : weighted_members_by_zone_[""];
}

bool BatchedClaims::may_claim(const Job& job, int block) const {
    if (!is_batched(job)) {
        return true;
    }
    auto hash = stable_hash(fmt::format("{}/{}", job.spec.uid, block));
    return admission::shard_owner(hash, weighted_members(job.spec.zone)) == ctx_.self.id;
}

Condition BatchedClaims::table_condition() const {
    return {keys::admission_table, ctx_.jobs.revision_of(keys::admission_table)};
}

std::size_t BatchedClaims::record_overhead_bytes() const {
    std::size_t bytes = constants::claim_batch_overhead_bytes;
    for (const auto& zone : ctx_.settings.zones) {
        bytes += zone.size() + 3;
    }
    return bytes;
}

std::size_t BatchedClaims::record_bytes_max() const {
    return std::min(ctx_.value_bytes_max(), constants::claim_batch_bytes_max);
}

std::size_t BatchedClaims::entry_bytes_per_write() const {
    auto live = static_cast<std::size_t>(static_cast<double>(record_bytes_max()) *
                                         constants::claim_batch_live_share_max);
    return record_bytes_max() - std::min(record_bytes_max() / 2, live + record_overhead_bytes());
}

std::size_t BatchedClaims::live_bytes(const std::string& key) const {
    Revision revision = ctx_.jobs.revision_of(key);
    LiveBytes& live = live_bytes_cache_[key];
    if (live.revision != revision || ctx_.now.steady >= live.until_s) {
        live = {revision, count_live_bytes(key),
                ctx_.now.steady + constants::claim_batch_live_bytes_ttl_s};
    }
    return live.bytes;
}

std::size_t BatchedClaims::count_live_bytes(const std::string& key) const {
    std::size_t bytes = 0;
    auto it = ctx_.jobs.claim_batches().find(key);
    if (it != ctx_.jobs.claim_batches().end()) {
        for (const auto& entry : it->second) {
            bytes += ctx_.jobs.is_entry_needed(*entry) ? bytes_of(*entry) : 0;
        }
    }
    return bytes;
}

// Of our own records, the one with the fewest live bytes, if they are few enough: its live entries
// are written again together with the new ones.
Condition BatchedClaims::next_record() const {
    for (const auto& [key, outcome] : unknown_outcomes_) {
        // The next write of the record resolves the outcome: only one of the two can be applied.
        if (!writes_in_flight_.contains(key) && !is_resolved(key)) {
            return {key, outcome.revision};
        }
    }
    auto prefix = claim_batch_prefix(ctx_.self.id);
    std::string best;
    auto fewest = static_cast<std::size_t>(static_cast<double>(record_bytes_max()) *
                                           constants::claim_batch_live_share_max);
    for (auto it = ctx_.jobs.claim_batches().lower_bound(prefix);
         it != ctx_.jobs.claim_batches().end() && it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
        if (writes_in_flight_.contains(it->first) || unknown_outcomes_.contains(it->first)) {
            continue;
        }
        std::size_t live = live_bytes(it->first);
        if (live <= fewest) {
            fewest = live;
            best = it->first;
        }
        if (live == 0) {
            break;
        }
    }
    if (!best.empty()) {
        return {best, ctx_.jobs.revision_of(best)};
    }
    std::uint64_t number = 1;  // of a new record
    auto taken = [&](const std::string& key) {
        return ctx_.jobs.revision_of(key) != 0 || writes_in_flight_.contains(key) ||
               unknown_outcomes_.contains(key);
    };
    while (taken(keys::claim_batch(ctx_.self.id, number))) {
        ++number;
    }
    return {keys::claim_batch(ctx_.self.id, number), 0};
}

// Entries that are still needed are written again together with the new ones.
void BatchedClaims::append_live_entries(const std::string& key, ClaimBatch& batch) const {
    if (auto it = ctx_.jobs.claim_batches().find(key); it != ctx_.jobs.claim_batches().end()) {
        for (const auto& entry : it->second) {
            if (ctx_.jobs.is_entry_needed(*entry)) {
                batch.entries.push_back(*entry);
            }
        }
    }
}

// Whether a write with an unknown outcome has been applied or can no longer be.
bool BatchedClaims::is_resolved(const std::string& key) const {
    const UnknownOutcome& outcome = unknown_outcomes_.at(key);
    return ctx_.jobs.revision_of(key) != outcome.revision ||
           ctx_.jobs.revision_of(keys::epoch) != outcome.epoch;
}

// Guards against a claim that is made again in another record while the first write may still be
// applied. A record with an unknown outcome is written once more, without new entries: whichever of
// the two writes is applied first, the other one fails.
void BatchedClaims::resolve_unknown_outcomes() {
    std::vector<std::function<void()>> resolved_waiters;
    for (auto it = unknown_outcomes_.begin(); it != unknown_outcomes_.end();) {
        auto& [key, outcome] = *it;
        if (is_resolved(key)) {
            std::move(outcome.waiters.begin(), outcome.waiters.end(),
                      std::back_inserter(resolved_waiters));
            it = unknown_outcomes_.erase(it);
            continue;
        }
        if (!writes_in_flight_.contains(key) && ctx_.is_member &&
            ctx_.now.steady >= outcome.next_retry_s) {
            outcome.next_retry_s = ctx_.now.steady + constants::store_retry_delay_s;
            ClaimBatch batch;
            append_live_entries(key, batch);
            Txn txn;
            txn.purpose = Txn::Purpose::claim_batch;
            txn.conditions = {ctx_.epoch_condition(), {key, outcome.revision}};
            txn.writes = {{key, encode(batch)}};
            writes_in_flight_.insert(key);
            ctx_.send_txn(std::move(txn), [this, key = key](const StoreReply& reply) {
                ctx_.when_settled(reply, [this, key] { writes_in_flight_.erase(key); });
            });
        }
        ++it;
    }
    for (const auto& notify : resolved_waiters) {
        notify();
    }
}

void BatchedClaims::write(std::vector<ClaimBatchEntry> entries, Txn txn,
                          std::function<void(const StoreReply&)> on_reply) {
    Condition target = next_record();
    ClaimBatch batch;
    append_live_entries(target.key, batch);
    txn.writes_avoided = entries.size() - 1;
    std::move(entries.begin(), entries.end(), std::back_inserter(batch.entries));
    txn.conditions.push_back(ctx_.epoch_condition());
    txn.conditions.push_back(target);
    txn.writes.push_back({target.key, encode(batch)});
    txn.purpose = Txn::Purpose::claim_batch;
    writes_in_flight_.insert(target.key);
    Revision epoch = ctx_.jobs.revision_of(keys::epoch);
    ctx_.send_txn(std::move(txn), [this, target, epoch,
                                   on_reply = std::move(on_reply)](const StoreReply& reply) {
        ctx_.when_settled(reply, [this, key = target.key] { writes_in_flight_.erase(key); });
        if (reply.status == StoreReply::Status::unknown) {
            UnknownOutcome& outcome = unknown_outcomes_[target.key];
            outcome.revision = target.revision;
            outcome.epoch = epoch;
            outcome.waiters.emplace_back([on_reply, reply] { on_reply(reply); });
        } else {
            on_reply(reply);
        }
    });
}

// Whether a claim batch record has no entry that is still needed and will not be written again.
bool BatchedClaims::is_retirable(const std::string& key) const {
    auto prefix = claim_batch_prefix(ctx_.self.id);
    const auto& table = ctx_.jobs.admission_table();
    const auto& epoch = ctx_.jobs.epoch();
    bool is_own_record = key.compare(0, prefix.size(), prefix) == 0;
    bool is_leader = epoch && !epoch->members.empty() && epoch->members.front().id == ctx_.self.id;
    bool no_writer_left = is_own_record ? !table || !table->write_overload
                                        : is_leader && !epoch->has(std::stoull(key.substr(4)));
    return no_writer_left && !writes_in_flight_.contains(key) && !unknown_outcomes_.contains(key) &&
           count_live_bytes(key) == 0;
}

void BatchedClaims::tick() {
    resolve_unknown_outcomes();
    if (!ctx_.is_member || retire_in_flight_ || ctx_.now.steady < next_retire_s_) {
        return;
    }
    next_retire_s_ = ctx_.now.steady + constants::record_cleanup_interval_s;
    std::erase_if(live_bytes_cache_,
                  [&](const auto& cached) { return ctx_.jobs.revision_of(cached.first) == 0; });
    Txn txn;
    txn.urgency = Urgency::low;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, entries] : ctx_.jobs.claim_batches()) {
        if (txn.writes.size() < constants::claim_batch_deletions_per_txn_max && is_retirable(key)) {
            txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    retire_in_flight_ = true;
    ctx_.send_txn(std::move(txn), [this](const StoreReply& reply) {
        ctx_.when_settled(reply, [this] { retire_in_flight_ = false; });
    });
}

}  // namespace cranemoor::core

#include "core/jobs/batched_claims.hpp"

#include <algorithm>
#include <iterator>

#include "admission/shard_owner.hpp"

namespace cranemoor::core {

namespace {
std::string prefix_of(std::uint64_t member) {
    return fmt::format("c/s/{}-", member);
}
}  // namespace

bool BatchedClaims::is_batched(const Job& job) const {
    const auto& table = ctx_.jobs.admission_table();
    const JobSpec& s = job.spec;
    // The rules of placement of others look at more than one task.
    return table && table->shared && s.kind == JobKind::array && !s.zone_spread && !s.same_zone &&
           job.page_size == 0;
}

// By zone: a job that is bound to one is its members', if there are any.
const BatchedClaims::WeightedMembers& BatchedClaims::weighted_members(
    const std::optional<std::string>& zone) const {
    Revision epoch = ctx_.jobs.revision_of(keys::epoch);
    Revision table = ctx_.jobs.revision_of(keys::admission_table);
    if (epoch != weighted_members_epoch_ || table != weighted_members_table_) {
        weighted_members_by_zone_.clear();
        weighted_members_epoch_ = epoch;
        weighted_members_table_ = table;
        if (ctx_.jobs.epoch() && ctx_.jobs.admission_table()) {
            const auto& parts = ctx_.jobs.admission_table()->parts;
            for (const auto& m : ctx_.jobs.epoch()->members) {
                auto part = parts.find(m.id);
                // One that the table doesn't know yet is new, and has few machines.
                int weight = part == parts.end() ? 1 : std::max(1, part->second.weight);
                weighted_members_by_zone_[""].emplace_back(m.id, weight);
                weighted_members_by_zone_[m.zone].emplace_back(m.id, weight);
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
    std::size_t sum = constants::claim_batch_overhead_bytes;
    for (const auto& z : ctx_.settings.zones) {
        sum += z.size() + 3;
    }
    return sum;
}

std::size_t BatchedClaims::max_record_bytes() const {
    return std::min(ctx_.value_bytes_max(), constants::claim_batch_bytes_max);
}

std::size_t BatchedClaims::entry_bytes_per_write() const {
    auto kept = static_cast<std::size_t>(static_cast<double>(max_record_bytes()) *
                                         constants::claim_batch_live_share_max);
    return max_record_bytes() - std::min(max_record_bytes() / 2, kept + record_overhead_bytes());
}

std::size_t BatchedClaims::live_bytes(const std::string& key) const {
    Revision revision = ctx_.jobs.revision_of(key);
    LiveBytes& kept = live_bytes_cache_[key];
    if (kept.revision != revision || ctx_.now.steady >= kept.until_s) {
        kept = {revision, count_live_bytes(key),
                ctx_.now.steady + constants::claim_batch_live_bytes_ttl_s};
    }
    return kept.bytes;
}

std::size_t BatchedClaims::count_live_bytes(const std::string& key) const {
    std::size_t sum = 0;
    auto it = ctx_.jobs.claim_batches().find(key);
    if (it != ctx_.jobs.claim_batches().end()) {
        for (const auto& e : it->second) {
            sum += ctx_.jobs.is_entry_needed(*e) ? bytes_of(*e) : 0;
        }
    }
    return sum;
}

// Of our own records the one of which least is still needed, if that is little enough: what is
// needed is written again with what is new.
Condition BatchedClaims::next_record() const {
    for (const auto& [key, doubt] : unknown_outcomes_) {
        // The next write of the same record decides: only one of the two can be carried out.
        if (!writes_in_flight_.contains(key) && !is_resolved(key)) {
            return {key, doubt.revision};
        }
    }
    auto prefix = prefix_of(ctx_.self.id);
    std::string best;
    auto least = static_cast<std::size_t>(static_cast<double>(max_record_bytes()) *
                                          constants::claim_batch_live_share_max);
    for (auto it = ctx_.jobs.claim_batches().lower_bound(prefix);
         it != ctx_.jobs.claim_batches().end() && it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
        if (writes_in_flight_.contains(it->first) || unknown_outcomes_.contains(it->first)) {
            continue;
        }
        std::size_t kept = live_bytes(it->first);
        if (kept <= least) {
            least = kept;
            best = it->first;
        }
        if (kept == 0) {
            break;
        }
    }
    if (!best.empty()) {
        return {best, ctx_.jobs.revision_of(best)};
    }
    std::uint64_t n = 1;  // a new one
    auto taken = [&](const std::string& key) {
        return ctx_.jobs.revision_of(key) != 0 || writes_in_flight_.contains(key) ||
               unknown_outcomes_.contains(key);
    };
    while (taken(keys::claim_batch(ctx_.self.id, n))) {
        ++n;
    }
    return {keys::claim_batch(ctx_.self.id, n), 0};
}

// What is still needed of a record is written again with what is new.
void BatchedClaims::append_live_entries(const std::string& key, ClaimBatch& sheet) const {
    if (auto it = ctx_.jobs.claim_batches().find(key); it != ctx_.jobs.claim_batches().end()) {
        for (const auto& e : it->second) {
            if (ctx_.jobs.is_entry_needed(*e)) {
                sheet.entries.push_back(*e);
            }
        }
    }
}

// Whether a write without an answer was carried out or can't be any more.
bool BatchedClaims::is_resolved(const std::string& key) const {
    const UnknownOutcome& d = unknown_outcomes_.at(key);
    return ctx_.jobs.revision_of(key) != d.revision ||
           ctx_.jobs.revision_of(keys::epoch) != d.epoch;
}

// Guards against a claim that is made anew in another record while the first may still be carried
// out. A record in doubt is written once more, with nothing new: whichever comes first, the other
// fails.
void BatchedClaims::resolve_unknown_outcomes() {
    std::vector<std::function<void()>> resolved_waiters;
    for (auto it = unknown_outcomes_.begin(); it != unknown_outcomes_.end();) {
        auto& [key, doubt] = *it;
        if (is_resolved(key)) {
            std::move(doubt.waiters.begin(), doubt.waiters.end(),
                      std::back_inserter(resolved_waiters));
            it = unknown_outcomes_.erase(it);
            continue;
        }
        if (!writes_in_flight_.contains(key) && ctx_.is_member &&
            ctx_.now.steady >= doubt.next_retry_s) {
            doubt.next_retry_s = ctx_.now.steady + constants::store_retry_delay_s;
            ClaimBatch sheet;
            append_live_entries(key, sheet);
            Txn txn;
            txn.purpose = Txn::Purpose::claim_batch;
            txn.conditions = {ctx_.epoch_condition(), {key, doubt.revision}};
            txn.writes = {{key, encode(sheet)}};
            writes_in_flight_.insert(key);
            ctx_.send_txn(std::move(txn), [this, key = key](const StoreReply& r) {
                ctx_.when_settled(r, [this, key] { writes_in_flight_.erase(key); });
            });
        }
        ++it;
    }
    for (const auto& each : resolved_waiters) {
        each();
    }
}

void BatchedClaims::write(std::vector<ClaimBatchEntry> entries, Txn txn,
                          std::function<void(const StoreReply&)> on_reply) {
    Condition where = next_record();
    ClaimBatch sheet;
    append_live_entries(where.key, sheet);
    txn.writes_avoided = entries.size() - 1;
    std::move(entries.begin(), entries.end(), std::back_inserter(sheet.entries));
    txn.conditions.push_back(ctx_.epoch_condition());
    txn.conditions.push_back(where);
    txn.writes.push_back({where.key, encode(sheet)});
    txn.purpose = Txn::Purpose::claim_batch;
    writes_in_flight_.insert(where.key);
    Revision epoch = ctx_.jobs.revision_of(keys::epoch);
    ctx_.send_txn(
        std::move(txn), [this, where, epoch, on_reply = std::move(on_reply)](const StoreReply& r) {
            ctx_.when_settled(r, [this, key = where.key] { writes_in_flight_.erase(key); });
            if (r.status == StoreReply::Status::unknown) {
                UnknownOutcome& doubt = unknown_outcomes_[where.key];
                doubt.revision = where.revision;
                doubt.epoch = epoch;
                doubt.waiters.emplace_back([on_reply, r] { on_reply(r); });
            } else {
                on_reply(r);
            }
        });
}

// Whether a record of sheets has nothing that anybody needs, and nobody will write it again.
bool BatchedClaims::is_retirable(const std::string& key) const {
    auto prefix = prefix_of(ctx_.self.id);
    const auto& table = ctx_.jobs.admission_table();
    const auto& epoch = ctx_.jobs.epoch();
    bool own_record = key.compare(0, prefix.size(), prefix) == 0;
    bool leading = epoch && !epoch->members.empty() && epoch->members.front().id == ctx_.self.id;
    bool no_writer_left =
        own_record ? !table || !table->shared : leading && !epoch->has(std::stoull(key.substr(4)));
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
                  [&](const auto& k) { return ctx_.jobs.revision_of(k.first) == 0; });
    Txn txn;
    txn.urgency = Urgency::low;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, said] : ctx_.jobs.claim_batches()) {
        if (txn.writes.size() < constants::claim_batch_deletions_per_txn_max && is_retirable(key)) {
            txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    retire_in_flight_ = true;
    ctx_.send_txn(std::move(txn), [this](const StoreReply& r) {
        ctx_.when_settled(r, [this] { retire_in_flight_ = false; });
    });
}

}  // namespace cranemoor::core

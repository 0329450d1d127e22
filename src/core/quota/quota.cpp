#include "core/quota/quota.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

bool unlimited(const Team& t) {
    return t.limit.cpus <= 0 && t.limit.gpus <= 0;
}

// Whether an amount is within a limit, where 0 means none.
bool within(const Resources& amount, const Team& t) {
    return (t.limit.cpus <= 0 || amount.cpus <= t.limit.cpus + Resources::rounding_tolerance) &&
           (t.limit.gpus <= 0 || amount.gpus <= t.limit.gpus + Resources::rounding_tolerance);
}

Resources at_least_zero(Resources r) {
    return {std::max(0.0, r.cpus), std::max(0.0, r.gpus), std::max(0.0, r.memory_gb)};
}

// What of an amount its team's limit counts: a slice carries nothing else, or every claim would
// outgrow it in what nobody limits.
Resources counted(const Resources& r, const Team& t) {
    return {t.limit.cpus > 0 ? r.cpus : 0, t.limit.gpus > 0 ? r.gpus : 0, 0};
}

bool none(const Resources& r) {
    return r.cpus < Resources::rounding_tolerance && r.gpus < Resources::rounding_tolerance &&
           r.memory_gb < Resources::rounding_tolerance;
}

}  // namespace

const Team* Quota::team(const std::string& name) const {
    for (const auto& t : ctx_.settings.teams) {
        if (t.name == name) {
            return &t;
        }
    }
    return nullptr;
}

QuotaSlices Quota::trimmed(const Team& t) const {
    QuotaSlices next;
    auto it = ctx_.jobs.quota_slices().find(keys::quota(t.name));
    if (it != ctx_.jobs.quota_slices().end()) {
        next = it->second;
    }
    const auto& epoch = ctx_.jobs.epoch();
    for (auto s = next.by_member.begin(); s != next.by_member.end();) {
        if (!epoch || !epoch->has(s->first)) {
            // Claims of a member that left the epoch are all in the records, since each was
            // conditional on an epoch with it: its slice is worth what they still take.
            s->second = at_least_zero(counted(ctx_.jobs.used(t.name, s->first), t));
        }
        bool empty = none(s->second) && s->first != ctx_.self.id;
        s = empty ? next.by_member.erase(s) : std::next(s);
    }
    return next;
}

bool Quota::cover(const std::string& name, const Resources& need, Txn& txn) const {
    const Team* t = team(name);
    if (t == nullptr) {
        return false;
    }
    if (unlimited(*t)) {
        return true;
    }
    Resources wanted = ctx_.jobs.used(name, ctx_.self.id) + need;
    if (auto p = pending_.find(name); p != pending_.end()) {
        wanted += p->second;
    }
    wanted = counted(wanted, *t);
    auto key = keys::quota(name);
    auto it = ctx_.jobs.quota_slices().find(key);
    if (it != ctx_.jobs.quota_slices().end()) {
        auto mine = it->second.by_member.find(ctx_.self.id);
        auto low = ceilings_.find(name);
        bool given_up = low != ceilings_.end() && low->second.revision == it->second.revision &&
                        !wanted.fits_in(low->second.amount);
        if (mine != it->second.by_member.end() && wanted.fits_in(mine->second) && !given_up) {
            return true;
        }
    }
    QuotaSlices next = trimmed(*t);
    Resources& slice = next.by_member[ctx_.self.id];
    const Resources before = slice;
    auto grow = [&](const Resources& to) {
        slice = {std::max(before.cpus, to.cpus), std::max(before.gpus, to.gpus),
                 std::max(before.memory_gb, to.memory_gb)};
        return within(next.total(), *t);
    };
    // More than is needed now, while there is enough for everybody: the next claims then leave
    // the record alone.
    if (!grow(wanted + t->limit * constants::quota_slice_growth_share) && !grow(wanted)) {
        return false;
    }
    for (auto& w : txn.writes) {
        if (w.key == key) {
            w.value = encode(next);  // an earlier claim of the same transaction grew it already
            return true;
        }
    }
    txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
    txn.writes.push_back({key, encode(next)});
    return true;
}

void Quota::reserve(const std::string& name, const Resources& amount) {
    pending_[name] += amount;
}

void Quota::release(const std::string& name, const Resources& amount) {
    pending_[name] = at_least_zero(pending_[name] - amount);
}

bool Quota::within_limit(const std::string& name, const Resources& more) const {
    const Team* t = team(name);
    return t != nullptr && within(ctx_.jobs.used(name) + more, *t);
}

// What the largest start takes that the team waits for: a gang's tasks together, or one task.
Resources Quota::largest_start(const std::string& name) const {
    Resources most;
    for (const Job* job : ctx_.jobs.open_jobs()) {
        const JobSpec& s = job->spec;
        if (s.team == name) {
            Resources r = s.task_resources * (s.kind == JobKind::gang ? s.tasks : 1);
            most = {std::max(most.cpus, r.cpus), std::max(most.gpus, r.gpus), 0};
        }
    }
    return most;
}

void Quota::tick() {
    if (!ctx_.is_member || ctx_.now.steady < next_return_) {
        return;
    }
    next_return_ = ctx_.now.steady + constants::quota_slice_return_interval_s;
    for (const auto& t : ctx_.settings.teams) {
        auto key = keys::quota(t.name);
        auto it = ctx_.jobs.quota_slices().find(key);
        if (unlimited(t) || it == ctx_.jobs.quota_slices().end()) {
            continue;
        }
        auto mine = it->second.by_member.find(ctx_.self.id);
        if (mine == it->second.by_member.end()) {
            continue;
        }
        // What is unused is given back only where the team is near its limit and another member
        // might miss it: a slice in hand saves a write with the next claim. Guards against a job
        // that waits for ever below its team's limit, since the rest lies in others' slices.
        Resources share = t.limit * constants::quota_slice_return_share;
        Resources start = largest_start(t.name);
        Resources near = it->second.total() + Resources{std::max(share.cpus, start.cpus),
                                                        std::max(share.gpus, start.gpus), 0};
        Resources used =
            counted(at_least_zero(ctx_.jobs.used(t.name, ctx_.self.id)) + pending_[t.name], t);
        bool surplus = mine->second.gpus > used.gpus + Resources::rounding_tolerance ||
                       mine->second.cpus > used.cpus + Resources::rounding_tolerance;
        if (within(near, t) || !surplus) {
            continue;
        }
        QuotaSlices next = trimmed(t);
        next.by_member[ctx_.self.id] = used;
        Txn txn;
        txn.conditions = {ctx_.epoch_condition(), {key, it->second.revision}};
        txn.writes = {{key, encode(next)}};
        // From here on no claim may lean on what is given up, whatever becomes of the answer:
        // the write may be executed late, for as long as the record keeps its revision.
        ceilings_[t.name] = {it->second.revision, used};
        ctx_.send_txn(txn, [](const StoreReply&) {});
    }
}

}  // namespace cranemoor::core

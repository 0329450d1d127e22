#include "core/quota/quota.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

bool is_unlimited(const Team& team) {
    return team.limit.cpus <= 0 && team.limit.gpus <= 0;
}

// Whether an amount is within the limit of its team; a limit of 0 means none.
bool fits_limit(const Resources& amount, const Team& team) {
    return (team.limit.cpus <= 0 ||
            amount.cpus <= team.limit.cpus + Resources::rounding_tolerance) &&
           (team.limit.gpus <= 0 || amount.gpus <= team.limit.gpus + Resources::rounding_tolerance);
}

Resources non_negative(Resources amount) {
    return {std::max(0.0, amount.cpus), std::max(0.0, amount.gpus),
            std::max(0.0, amount.memory_gb)};
}

// The part of an amount that the team's limit restricts. A slice contains nothing else, as
// otherwise every claim would exceed it in a resource that has no limit.
Resources limited_part(const Resources& amount, const Team& team) {
    return {team.limit.cpus > 0 ? amount.cpus : 0, team.limit.gpus > 0 ? amount.gpus : 0, 0};
}

bool is_zero(const Resources& amount) {
    return amount.cpus < Resources::rounding_tolerance &&
           amount.gpus < Resources::rounding_tolerance &&
           amount.memory_gb < Resources::rounding_tolerance;
}

}  // namespace

const Team* Quota::team(const std::string& name) const {
    for (const auto& candidate : ctx_.settings.teams) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

QuotaSlices Quota::reclaimed_slices(const Team& team) const {
    QuotaSlices slices;
    auto it = ctx_.jobs.quota_slices().find(keys::quota(team.name));
    if (it != ctx_.jobs.quota_slices().end()) {
        slices = it->second;
    }
    const auto& epoch = ctx_.jobs.epoch();
    for (auto slice = slices.by_member.begin(); slice != slices.by_member.end();) {
        if (!epoch || !epoch->has(slice->first)) {
            // All claims of a member that left the epoch are in the records, since each was
            // conditional on an epoch with that member: its slice shrinks to what they still use.
            slice->second =
                non_negative(limited_part(ctx_.jobs.used(team.name, slice->first), team));
        }
        bool empty = is_zero(slice->second) && slice->first != ctx_.self.id;
        slice = empty ? slices.by_member.erase(slice) : std::next(slice);
    }
    return slices;
}

bool Quota::ensure_slice(const std::string& name, const Resources& additional, Txn& txn) const {
    const Team* team_settings = team(name);
    if (team_settings == nullptr) {
        return false;
    }
    if (is_unlimited(*team_settings)) {
        return true;
    }
    Resources needed = ctx_.jobs.used(name, ctx_.self.id) + additional;
    if (auto pending = pending_claims_.find(name); pending != pending_claims_.end()) {
        needed += pending->second;
    }
    needed = limited_part(needed, *team_settings);
    auto key = keys::quota(name);
    auto it = ctx_.jobs.quota_slices().find(key);
    if (it != ctx_.jobs.quota_slices().end()) {
        auto mine = it->second.by_member.find(ctx_.self.id);
        auto cap = slice_caps_.find(name);
        bool exceeds_cap = cap != slice_caps_.end() &&
                           cap->second.revision == it->second.revision &&
                           !needed.fits_in(cap->second.amount);
        if (mine != it->second.by_member.end() && needed.fits_in(mine->second) && !exceeds_cap) {
            return true;
        }
    }
    QuotaSlices slices = reclaimed_slices(*team_settings);
    Resources& slice = slices.by_member[ctx_.self.id];
    const Resources previous = slice;
    auto grow_slice = [&](const Resources& target) {
        slice = {std::max(previous.cpus, target.cpus), std::max(previous.gpus, target.gpus),
                 std::max(previous.memory_gb, target.memory_gb)};
        return fits_limit(slices.total(), *team_settings);
    };
    // While the limit allows it, the slice grows by more than is needed now, so that the next
    // claims need no write of the record.
    if (!grow_slice(needed + team_settings->limit * constants::quota_slice_growth_share) &&
        !grow_slice(needed)) {
        return false;
    }
    for (auto& write : txn.writes) {
        if (write.key == key) {
            write.value = encode(slices);  // grown already for an earlier claim of the transaction
            return true;
        }
    }
    txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
    txn.writes.push_back({key, encode(slices)});
    return true;
}

void Quota::reserve(const std::string& name, const Resources& amount) {
    pending_claims_[name] += amount;
}

void Quota::release(const std::string& name, const Resources& amount) {
    pending_claims_[name] = non_negative(pending_claims_[name] - amount);
}

bool Quota::within_limit(const std::string& name, const Resources& more) const {
    const Team* team_settings = team(name);
    return team_settings != nullptr && fits_limit(ctx_.jobs.used(name) + more, *team_settings);
}

// Each resource's maximum over the starts that the team waits for: all tasks of a gang, or one
// task.
Resources Quota::largest_start(const std::string& name) const {
    Resources largest;
    for (const Job* job : ctx_.jobs.open_jobs()) {
        const JobSpec& spec = job->spec;
        if (spec.team == name) {
            Resources amount = spec.task_resources * (spec.kind == JobKind::gang ? spec.tasks : 1);
            largest = {std::max(largest.cpus, amount.cpus), std::max(largest.gpus, amount.gpus), 0};
        }
    }
    return largest;
}

void Quota::tick() {
    if (!ctx_.is_member || ctx_.now.steady < next_return_s_) {
        return;
    }
    next_return_s_ = ctx_.now.steady + constants::quota_slice_return_interval_s;
    for (const auto& team : ctx_.settings.teams) {
        auto key = keys::quota(team.name);
        auto it = ctx_.jobs.quota_slices().find(key);
        if (is_unlimited(team) || it == ctx_.jobs.quota_slices().end()) {
            continue;
        }
        auto mine = it->second.by_member.find(ctx_.self.id);
        if (mine == it->second.by_member.end()) {
            continue;
        }
        // The unused part of the slice is returned only if the team is near its limit, where
        // another member may need it: a slice that is kept saves the next claim a write. Guards
        // against a job that waits for ever below its team's limit, because the rest is in the
        // slices of other members.
        Resources margin = team.limit * constants::quota_slice_return_share;
        Resources largest_task_or_gang = largest_start(team.name);
        Resources total_with_margin =
            it->second.total() + Resources{std::max(margin.cpus, largest_task_or_gang.cpus),
                                           std::max(margin.gpus, largest_task_or_gang.gpus), 0};
        Resources used = limited_part(
            non_negative(ctx_.jobs.used(team.name, ctx_.self.id)) + pending_claims_[team.name],
            team);
        bool surplus = mine->second.gpus > used.gpus + Resources::rounding_tolerance ||
                       mine->second.cpus > used.cpus + Resources::rounding_tolerance;
        if (fits_limit(total_with_margin, team) || !surplus) {
            continue;
        }
        QuotaSlices slices = reclaimed_slices(team);
        slices.by_member[ctx_.self.id] = used;
        Txn txn;
        txn.conditions = {ctx_.epoch_condition(), {key, it->second.revision}};
        txn.writes = {{key, encode(slices)}};
        // From here on no claim may use what is returned, whatever the reply is: the write may be
        // applied late, for as long as the record keeps its revision.
        slice_caps_[team.name] = {it->second.revision, used};
        ctx_.send_txn(txn, [](const StoreReply&) {});
    }
}

}  // namespace cranemoor::core

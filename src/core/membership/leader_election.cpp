#include "core/membership/leader_election.hpp"

#include <tuple>

namespace cranemoor::core {

bool LeaderElection::observe_epoch() {
    Revision revision = ctx_.jobs.revision_of(keys::epoch);
    if (revision == observed_revision_) {
        return false;
    }
    bool is_first = observed_revision_ == 0;
    observed_revision_ = revision;
    const auto& epoch = ctx_.jobs.epoch();
    bool is_member = false;
    if (epoch) {
        const Member* member = epoch->find(ctx_.settings.name);
        is_member = member != nullptr && member->boot == ctx_.boot_id;
        if (is_first && member != nullptr && !is_member) {
            ctx_.info(
                "epoch {}: an earlier run of this controller, member since epoch {}, ended "
                "without leaving",
                epoch->number, member->id);
        }
        ctx_.fencing_token = epoch->number;
        if (is_member) {
            ctx_.self = *member;
        }
        log_epoch(*epoch);
    }
    if (ctx_.is_member && !is_member) {
        ctx_.info("epoch {}: this process is no longer a member", ctx_.fencing_token);
        ctx_.is_member = false;
        // The old lease may still be valid; a new one distinguishes the next membership from this.
        lease_.replace();
    }
    ctx_.is_member = is_member;
    observed_epoch_ = epoch;
    return true;
}

void LeaderElection::log_epoch(const Epoch& epoch) {
    std::string names;
    for (const auto& member : epoch.members) {
        names += (names.empty() ? "" : ",") + member.name + "@" + std::to_string(member.id);
    }
    ctx_.info("epoch {}: members {}", epoch.number, names);
}

// Whether the member record, which is attached to the member's lease, still exists.
bool LeaderElection::has_live_record(const Member& member) const {
    const auto& records = ctx_.jobs.member_records();
    auto record = records.find(keys::member(member.name));
    return record != records.end() && record->second.id == member.id;
}

bool LeaderElection::has_joined() const {
    const auto& records = ctx_.jobs.member_records();
    auto record = records.find(keys::member(ctx_.settings.name));
    return ctx_.is_member && record != records.end() && record->second.boot == ctx_.boot_id;
}

void LeaderElection::join() {
    if (join_in_flight_ || lease_.id() == 0 || !ctx_.jobs.loaded() || has_joined()) {
        return;
    }
    write_joined_epoch(next_epoch_with_self());
}

// The next epoch: the live members of the current one, and this process as the newest member.
Epoch LeaderElection::next_epoch_with_self() const {
    const auto& epoch = ctx_.jobs.epoch();
    Epoch next;
    next.number = (epoch ? epoch->number : 0) + 1;
    if (epoch) {
        for (const auto& member : epoch->members) {
            if (member.name != ctx_.settings.name && has_live_record(member)) {
                next.members.push_back(member);
            }
        }
    }
    next.members.push_back({ctx_.settings.name, ctx_.settings.zone, ctx_.boot_id, next.number});
    return next;
}

void LeaderElection::write_joined_epoch(const Epoch& next) {
    const Member& self = next.members.back();
    join_in_flight_ = true;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition()};
    txn.writes = {{keys::epoch, encode(next)},
                  {keys::member(self.name), encode_member(self), lease_.id()}};
    if (ctx_.jobs.feature_level(self.name) < current_feature_level) {
        txn.writes.push_back(
            {keys::feature_level(self.name), encode_level(self.name, current_feature_level)});
    }
    ctx_.send_txn(std::move(txn), [this](const StoreReply& reply) { on_join_reply(reply); });
}

void LeaderElection::on_join_reply(const StoreReply& reply) {
    switch (reply.status) {
        case StoreReply::Status::ok:
        case StoreReply::Status::conflict:
            ctx_.when_replica_reaches(reply.revision, [this] {
                join_in_flight_ = false;
                join();
            });
            break;
        case StoreReply::Status::bad_request:
            // The lease has expired meanwhile.
            join_in_flight_ = false;
            lease_.replace();
            break;
        default:
            // The transaction may still be executed. Then the epoch's revision changes, and the
            // next attempt, conditional on the old revision, fails without effect.
            join_in_flight_ = false;
            store_contact_.delay_retries();
    }
}

void LeaderElection::remove_dead_members() {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch || !ctx_.is_member || removal_in_flight_) {
        return;
    }
    Epoch survivors;
    survivors.number = epoch->number + 1;
    for (const auto& member : epoch->members) {
        if (has_live_record(member)) {
            survivors.members.push_back(member);
        }
    }
    if (survivors.members.size() == epoch->members.size() || !survivors.has(ctx_.self.id)) {
        dead_members_noticed_s_ = -1;
        return;
    }
    if (is_our_turn_to_remove(survivors)) {
        write_epoch_of_survivors(survivors);
    }
}

// The oldest live member removes dead members at once; the others do so only if it doesn't, each
// after a delay by its rank.
bool LeaderElection::is_our_turn_to_remove(const Epoch& survivors) {
    if (dead_members_noticed_s_ < 0) {
        dead_members_noticed_s_ = ctx_.now.steady;
    }
    int rank = 0;
    while (survivors.members[static_cast<std::size_t>(rank)].id != ctx_.self.id) {
        ++rank;
    }
    return ctx_.now.steady >= dead_members_noticed_s_ + rank * constants::member_removal_stagger_s;
}

void LeaderElection::write_epoch_of_survivors(const Epoch& survivors) {
    removal_in_flight_ = true;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition()};
    txn.writes = {{keys::epoch, encode(survivors)}};
    ctx_.send_txn(std::move(txn), [this](const StoreReply& reply) {
        ctx_.when_settled(reply, [this] { removal_in_flight_ = false; });
    });
}

const Member* LeaderElection::owner(const std::string& machine, const std::string& zone) const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch) {
        return nullptr;
    }
    // Rendezvous hashing. Members in the machine's own zone take precedence, so that a partition
    // between zones separates no worker from its controller.
    const Member* best = nullptr;
    std::tuple<bool, std::uint64_t, std::uint64_t> best_rank;
    for (const auto& member : epoch->members) {
        std::tuple<bool, std::uint64_t, std::uint64_t> rank{
            member.zone == zone, stable_hash(machine + "|" + member.name), member.id};
        if (best == nullptr || rank > best_rank) {
            best = &member;
            best_rank = rank;
        }
    }
    return best;
}

bool LeaderElection::owned_by_us(const std::string& machine, const std::string& zone) const {
    const Member* member = owner(machine, zone);
    return ctx_.is_member && member != nullptr && member->id == ctx_.self.id;
}

bool LeaderElection::is_leader() const {
    const auto& epoch = ctx_.jobs.epoch();
    return ctx_.is_member && epoch && !epoch->members.empty() &&
           epoch->members.front().id == ctx_.self.id;
}

}  // namespace cranemoor::core

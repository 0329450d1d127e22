#include "core/membership/membership.hpp"

#include <algorithm>

namespace cranemoor::core {

void Membership::start() {
    std::vector<std::string> peers;
    for (const auto& p : ctx_.settings.peers) {
        peers.push_back(p.name);
    }
    leases_.emplace(peers, ctx_.boot, ctx_.now.steady,
                    read_leases::Times{constants::read_lease_s, constants::read_lease_margin_s,
                                       constants::peer_message_s});
    load("", 0);
    grant();
}

void Membership::on_request_sent(const StoreCall& call) {
    bool names_revision = call.kind == StoreCall::Kind::txn || call.kind == StoreCall::Kind::list ||
                          call.kind == StoreCall::Kind::watch;
    if (names_revision) {
        safe_time_.on_request_sent(call.id, ctx_.now.steady);
    }
}

void Membership::on_reply(std::uint64_t call_id, const StoreReply& reply) {
    bool names_revision =
        reply.status == StoreReply::Status::ok || reply.status == StoreReply::Status::conflict;
    safe_time_.on_reply(call_id, names_revision ? reply.revision : 0);
    if (reply.status != StoreReply::Status::refused &&
        reply.status != StoreReply::Status::unknown) {
        last_contact_ = ctx_.now.steady;
    }
}

void Membership::on_copy_advanced() {
    if (ctx_.jobs.loaded()) {
        safe_time_.on_revision_applied(ctx_.jobs.revision());
    }
}

void Membership::load(const std::string& after, Revision base) {
    if (after.empty()) {
        ctx_.jobs.begin_load();
        ctx_.whole = false;
    }
    loading_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::list;
    call.key = keys::live;
    call.after = after;
    ctx_.state(call, [this, base](const StoreReply& r) {
        if (r.status != StoreReply::Status::ok) {
            loading_ = false;
            retry_at_ = ctx_.now.steady + constants::retry_state_s;
            return;
        }
        // The first page's revision is where the watch begins; later pages may be newer, and
        // the watch then repeats what they already hold.
        Revision first = base == 0 ? r.revision : base;
        ctx_.jobs.load(r.events);
        if (r.more && !r.events.empty()) {
            load(r.events.back().key, first);
            return;
        }
        loading_ = false;
        ctx_.jobs.end_load(first);
        read_once_ = true;
        // Pages that were read at different moments say what was never true together, until the
        // watch has told of all changes between them: it does so at once.
        if (r.revision == first) {
            settle();
        }
        watch();
    });
}

void Membership::watch() {
    watching_ = true;
    ++watch_;
    StoreCall call;
    call.kind = StoreCall::Kind::watch;
    call.key = keys::live;
    call.since = ctx_.jobs.revision();
    ctx_.state(call, [this, number = watch_](const StoreReply& r) {
        if (number != watch_) {
            return;  // another one was opened instead
        }
        watching_ = false;
        if (r.status == StoreReply::Status::compacted) {
            ctx_.info("watch: fell behind, reading everything again");
            load("", 0);
            return;
        }
        if (r.status != StoreReply::Status::ok) {
            retry_at_ = ctx_.now.steady + constants::retry_state_s;
            return;
        }
        for (const auto& event : r.events) {
            ctx_.jobs.apply(event);
        }
        ctx_.jobs.advance(r.revision);
        settle();
        watch();
    });
}

void Membership::settle() {
    Revision revision = ctx_.jobs.revision_of(keys::epoch);
    bool changed = revision != epoch_revision_;
    auto before = epoch_before_;
    if (changed) {
        epoch_revision_ = revision;
        const auto& epoch = ctx_.jobs.epoch();
        bool in = false;
        if (epoch) {
            const Member* m = epoch->find(ctx_.settings.name);
            in = m != nullptr && m->boot == ctx_.boot;
            ctx_.fencing_token = epoch->number;
            if (in) {
                ctx_.me = *m;
            }
            std::string names;
            for (const auto& each : epoch->members) {
                names += (names.empty() ? "" : ",") + each.name + "@" + std::to_string(each.id);
            }
            ctx_.info("epoch {}: members {}", epoch->number, names);
        }
        if (ctx_.member && !in) {
            ctx_.info("epoch {}: this process is no longer a member", ctx_.fencing_token);
            leave();
        }
        ctx_.member = in;
        epoch_before_ = epoch;
    }
    ctx_.whole = true;
    noted_ = false;
    if (on_change) {
        on_change(changed, before);
    }
    ctx_.run_waiting();
    remove_dead();
    join();
}

void Membership::leave() {
    // The lease may live on; a new one tells the two memberships apart.
    ctx_.member = false;
    lease_ = 0;
    grant();
}

void Membership::grant() {
    if (granting_ || lease_ != 0) {
        return;
    }
    granting_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::grant;
    ctx_.state(call, [this](const StoreReply& r) {
        granting_ = false;
        if (r.status == StoreReply::Status::ok) {
            lease_ = r.lease;
            next_renew_ = ctx_.now.steady + constants::renew_every_s;
            join();
        }
    });
}

void Membership::renew() {
    renewing_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::renew;
    call.lease = lease_;
    ctx_.state(call, [this, lease = lease_](const StoreReply& r) {
        renewing_ = false;
        if (r.status == StoreReply::Status::not_found && lease == lease_) {
            ctx_.info("lease {} ended", lease);
            lease_ = 0;
            grant();
            if (watching_) {
                // Guards against seconds outside the epoch: the open watch may be one that the
                // state service stopped serving when it refused this process.
                watch();
            }
        }
    });
}

void Membership::join() {
    if (joining_ || lease_ == 0 || !ctx_.jobs.loaded()) {
        return;
    }
    const auto& epoch = ctx_.jobs.epoch();
    auto key = keys::member(ctx_.settings.name);
    auto mine = ctx_.jobs.member_keys().find(key);
    bool key_ok = mine != ctx_.jobs.member_keys().end() && mine->second.boot == ctx_.boot;
    if (ctx_.member && key_ok) {
        return;
    }
    Epoch next;
    next.number = (epoch ? epoch->number : 0) + 1;
    if (epoch) {
        for (const auto& m : epoch->members) {
            auto it = ctx_.jobs.member_keys().find(keys::member(m.name));
            if (m.name != ctx_.settings.name && it != ctx_.jobs.member_keys().end() &&
                it->second.id == m.id) {
                next.members.push_back(m);
            }
        }
    }
    Member me{ctx_.settings.name, ctx_.settings.zone, ctx_.boot, next.number};
    next.members.push_back(me);
    joining_ = true;
    Txn txn;
    txn.urgency = Urgency::first;
    txn.conditions = {ctx_.epoch_condition()};
    txn.writes = {{keys::epoch, encode(next)}, {key, encode_member(me), lease_}};
    if (ctx_.jobs.level(ctx_.settings.name) < level_now) {
        txn.writes.push_back(
            {keys::version(ctx_.settings.name), Json{{"name", me.name}, {"level", level_now}}});
    }
    ctx_.txn(txn, [this](const StoreReply& r) {
        auto again = [this] {
            joining_ = false;
            join();
        };
        switch (r.status) {
            case StoreReply::Status::ok:
            case StoreReply::Status::conflict:
                ctx_.when_at(r.revision, again);
                break;
            case StoreReply::Status::bad:
                // The lease ended meanwhile.
                joining_ = false;
                lease_ = 0;
                grant();
                break;
            default:
                // It may yet be executed: then the epoch's revision moves on and the next
                // attempt, conditional on the old one, fails harmlessly.
                joining_ = false;
                retry_at_ = ctx_.now.steady + constants::retry_state_s;
        }
    });
}

void Membership::remove_dead() {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch || !ctx_.member || removing_) {
        return;
    }
    Epoch next;
    next.number = epoch->number + 1;
    int rank = 0;
    bool passed_me = false;
    for (const auto& m : epoch->members) {
        auto it = ctx_.jobs.member_keys().find(keys::member(m.name));
        if (it != ctx_.jobs.member_keys().end() && it->second.id == m.id) {
            next.members.push_back(m);
            passed_me = passed_me || m.id == ctx_.me.id;
            rank += passed_me ? 0 : 1;
        }
    }
    if (next.members.size() == epoch->members.size() || !next.has(ctx_.me.id)) {
        dead_since_ = -1;
        return;
    }
    if (dead_since_ < 0) {
        dead_since_ = ctx_.now.steady;
    }
    // The oldest live member acts at once, the others only if it doesn't.
    if (ctx_.now.steady < dead_since_ + rank * constants::removal_stagger_s) {
        return;
    }
    removing_ = true;
    Txn txn;
    txn.urgency = Urgency::first;
    txn.conditions = {ctx_.epoch_condition()};
    txn.writes = {{keys::epoch, encode(next)}};
    ctx_.txn(txn,
             [this](const StoreReply& r) { ctx_.when_settled(r, [this] { removing_ = false; }); });
}

void Membership::tick() {
    double t = ctx_.now.steady;
    if (t >= retry_at_) {
        if (!ctx_.jobs.loaded()) {
            if (!loading_) {
                load("", 0);
            }
        } else if (!watching_ && !loading_) {
            watch();
        }
        if (lease_ == 0) {
            grant();
        }
        join();
        remove_dead();
    }
    if (lease_ != 0 && !renewing_ && t >= next_renew_) {
        next_renew_ = t + constants::renew_every_s;
        renew();
    }
    if (t - safe_time_.complete_as_of() >= constants::safe_time_every_s) {
        request_safe_time();
    }
    look_at_leases();
    if (t >= next_beat_) {
        beat();
    }
    take_in_noted();
}

// A compare-only transaction: its answer names the service's revision. Users' questions make such
// checks many times a second; this one is for times without any.
void Membership::request_safe_time() {
    if (requesting_safe_time_ || !ctx_.jobs.loaded() || ctx_.now.steady < retry_at_) {
        return;
    }
    requesting_safe_time_ = true;
    Txn txn;
    txn.urgency = Urgency::first;
    txn.conditions = {ctx_.epoch_condition()};
    ctx_.txn(txn, [this](const StoreReply& r) {
        requesting_safe_time_ = false;
        if (r.status != StoreReply::Status::ok && r.status != StoreReply::Status::conflict) {
            retry_at_ = std::max(retry_at_, ctx_.now.steady + constants::retry_state_s);
        }
    });
}

// Leases are what this process relies on while nobody has contact, as far as it knows. Peers learn
// of a change at once: some may wait for it to tell users of cancellations.
void Membership::look_at_leases() {
    bool relies = !has_store_contact() && !peers_have_store_contact();
    leases_->rely(relies);
    if (has_store_contact() != had_contact_ || relies != relied_) {
        next_beat_ = ctx_.now.steady;
    }
}

std::optional<std::vector<Cancellation>> Membership::known_cancellations() const {
    std::vector<Cancellation> known;
    std::size_t bytes = 0;
    for (const auto& uid : ctx_.jobs.cancelled()) {
        bytes += uid.size() + constants::handed_over_frame_bytes;
        if (bytes > constants::handed_over_bytes) {
            return std::nullopt;
        }
        known.push_back({uid, ctx_.jobs.jobs().at(uid).cancelled_wall});
    }
    return known;
}

std::optional<LeaseHeartbeat> Membership::lease_heartbeat(
    const std::string& peer, const std::optional<std::vector<Cancellation>>& known) {
    using Knows = read_leases::Self::Knows;
    read_leases::Self self;
    self.contact = has_store_contact();
    // Read since the start, it holds all that the process before told: that was durable first.
    bool read = ctx_.jobs.loaded() && safe_time_.complete_as_of() > -1e9;
    self.knows = read && known ? Knows::all : read_once_ ? Knows::some : Knows::nothing;
    LeaseHeartbeat out;
    out.heartbeat = leases_->next(peer, ctx_.now.steady, self);
    if (out.heartbeat.grant == read_leases::Grant::full) {
        out.cancelled = *known;
    }
    return out;
}

void Membership::beat() {
    double t = ctx_.now.steady;
    next_beat_ = t + constants::peer_beat_s;
    had_contact_ = has_store_contact();
    relied_ = !had_contact_ && !peers_have_store_contact();
    leases_->begin(t);
    auto known = had_contact_ ? std::nullopt : known_cancellations();
    for (const auto& p : ctx_.settings.peers) {
        PeerCall call;
        call.peer = p.name;
        call.state_contact = had_contact_;
        call.pressure = ctx_.overload.sample(t);
        call.lease = lease_heartbeat(p.name, known);
        ctx_.peer(call, [](bool, const std::optional<WorkerReply>&) {});
    }
}

void Membership::peer_message(const std::string& peer, bool contact, bool heartbeat,
                              const std::optional<LeaseHeartbeat>& lease) {
    heard_[peer] = {ctx_.now.steady, contact};
    look_at_leases();
    if (!lease) {
        if (heartbeat) {
            leases_->hear_older(peer);
        }
        return;
    }
    for (const auto& c : lease->cancelled) {
        note_cancelled(c.uid, c.wall);
    }
    if (leases_->hear(peer, lease->heartbeat, ctx_.now.steady, safe_time_.complete_as_of())) {
        // Just started, it may not tell users of cancellations until it has heard from us.
        next_beat_ = ctx_.now.steady;
    }
    take_in_noted();
}

void Membership::note_cancelled(const std::string& uid, double wall) {
    noted_ = ctx_.jobs.note_cancelled(uid, wall) || noted_;
}

void Membership::take_in_noted() {
    if (noted_ && ctx_.whole && on_change) {
        noted_ = false;
        on_change(false, epoch_before_);
    }
}

bool Membership::peers_have_store_contact() const {
    return std::any_of(heard_.begin(), heard_.end(), [&](const auto& w) {
        return w.second.contact && ctx_.now.steady - w.second.at < constants::peer_message_s;
    });
}

bool Membership::peers_lack_store_contact() const {
    // Only a message from every peer tells an outage from a refusal that this process alone meets.
    if (ctx_.settings.peers.empty()) {
        return true;
    }
    return std::all_of(ctx_.settings.peers.begin(), ctx_.settings.peers.end(), [&](const Peer& p) {
        auto w = heard_.find(p.name);
        return w != heard_.end() && !w->second.contact &&
               ctx_.now.steady - w->second.at < constants::peer_message_s;
    });
}

// An answer renews the worker's lease for lease_s from the report on, so a cancelled task may live
// that long although it is unknown here. Hence the rule: every cancellation that users were told of
// more than cancel_s - lease_s ago, less a margin, is known here. As of the safe time the copy has
// all; beyond that the peers' read leases say until when nobody told anything else. Guards against
// the gap: refused alone, while another controller confirms cancellations, and then an outage for
// all, longer than cancel_s, in which "nobody has contact" says nothing of before.
bool Membership::may_answer_workers() const {
    if (!ctx_.member || !ctx_.whole) {
        return false;
    }
    // Refused alone: the sooner its workers move, the sooner their work goes on.
    double lease_time = constants::member_lease_ms / 1000.0;
    if (seconds_without_store() > lease_time && peers_have_store_contact()) {
        return false;
    }
    double limit = ctx_.settings.cancel_s - ctx_.settings.lease_s - constants::cancel_margin_s;
    return unknown_for_s() < std::max(limit, constants::contact_lost_s);
}

// s for which cancellations that users were told of may be unknown here.
double Membership::unknown_for_s() const {
    return ctx_.now.steady - leases_->known_until(safe_time_.complete_as_of());
}

bool Membership::may_start_tasks() const {
    return unknown_for_s() < constants::start_known_s;
}

bool Membership::healthy() const {
    if (!ctx_.member) {
        return false;
    }
    return has_store_contact() || peers_lack_store_contact();
}

const Member* Membership::owner(const std::string& machine, const std::string& zone) const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch) {
        return nullptr;
    }
    // Members in the machine's own zone go first: a cut between zones then separates no worker
    // from its controller.
    const Member* best = nullptr;
    std::tuple<bool, std::uint64_t, std::uint64_t> best_rank;
    for (const auto& m : epoch->members) {
        std::tuple<bool, std::uint64_t, std::uint64_t> rank{
            m.zone == zone, stable_hash(machine + "|" + m.name), m.id};
        if (best == nullptr || rank > best_rank) {
            best = &m;
            best_rank = rank;
        }
    }
    return best;
}

bool Membership::owned_by_us(const std::string& machine, const std::string& zone) const {
    const Member* m = owner(machine, zone);
    return ctx_.member && m != nullptr && m->id == ctx_.me.id;
}

bool Membership::is_leader() const {
    const auto& epoch = ctx_.jobs.epoch();
    return ctx_.member && epoch && !epoch->members.empty() &&
           epoch->members.front().id == ctx_.me.id;
}

}  // namespace cranemoor::core

#include "core/membership/peer_contact.hpp"

#include <algorithm>

namespace cranemoor::core {

void PeerContact::start() {
    std::vector<std::string> names;
    for (const auto& peer : ctx_.settings.peers) {
        names.push_back(peer.name);
    }
    leases_.emplace(names, ctx_.boot_id, ctx_.now.steady,
                    read_leases::Timing{constants::read_lease_s, constants::read_lease_margin_s,
                                        constants::peer_heartbeat_ttl_s});
}

void PeerContact::tick() {
    send_when_changed();
    if (ctx_.now.steady >= next_heartbeat_s_) {
        send_heartbeats();
    }
}

void PeerContact::on_message(const std::string& peer, bool has_store_contact) {
    peers_[peer] = {ctx_.now.steady, has_store_contact};
    send_when_changed();
}

void PeerContact::on_heartbeat_without_leases(const std::string& peer) {
    leases_->on_heartbeat_without_leases(peer);
}

void PeerContact::on_heartbeat(const std::string& peer, const read_leases::Heartbeat& heartbeat) {
    if (leases_->on_heartbeat(peer, heartbeat, ctx_.now.steady, store_contact_.safe_time_s())) {
        // Just started, it may not confirm cancellations until it has heard from us.
        next_heartbeat_s_ = ctx_.now.steady;
    }
}

// Read leases are what this process relies on while nobody has contact, as far as it knows.
bool PeerContact::relies_on_read_leases() const {
    return !store_contact_.has_contact() && !any_has_store_contact();
}

// Peers learn of a change at once: some may wait for it to confirm cancellations.
void PeerContact::send_when_changed() {
    bool relies = relies_on_read_leases();
    leases_->set_relies_on_leases(relies);
    if (store_contact_.has_contact() != sent_store_contact_ || relies != sent_reliance_) {
        next_heartbeat_s_ = ctx_.now.steady;
    }
}

void PeerContact::send_heartbeats() {
    double now = ctx_.now.steady;
    next_heartbeat_s_ = now + constants::peer_heartbeat_interval_s;
    sent_store_contact_ = store_contact_.has_contact();
    sent_reliance_ = relies_on_read_leases();
    leases_->begin_round(now);
    auto known = sent_store_contact_ ? std::nullopt : known_cancellations();
    for (const auto& peer : ctx_.settings.peers) {
        PeerCall call;
        call.peer = peer.name;
        call.has_store_contact = sent_store_contact_;
        call.overload_sample = ctx_.overload.sample(now);
        call.lease = lease_heartbeat(peer.name, known);
        ctx_.peer(call, [](bool, const std::optional<WorkerReply>&) {});
    }
}

// None if they are too many for one heartbeat.
std::optional<std::vector<Cancellation>> PeerContact::known_cancellations() const {
    std::vector<Cancellation> known;
    std::size_t bytes = 0;
    for (const auto& uid : ctx_.jobs.cancelled_jobs()) {
        bytes += uid.size() + constants::peer_cancellation_overhead_bytes;
        if (bytes > constants::peer_cancellations_bytes_max) {
            return std::nullopt;
        }
        known.push_back({uid, ctx_.jobs.jobs().at(uid).cancelled_wall});
    }
    return known;
}

LeaseHeartbeat PeerContact::lease_heartbeat(const std::string& peer,
                                            const std::optional<std::vector<Cancellation>>& known) {
    using Knowledge = read_leases::SenderState::Knowledge;
    read_leases::SenderState self;
    self.has_store_contact = store_contact_.has_contact();
    // Read since the start, the replica holds all that the process before confirmed: that was
    // durable first.
    bool is_complete = ctx_.jobs.loaded() && store_contact_.has_safe_time();
    if (is_complete && known) {
        self.knowledge = Knowledge::complete;
    } else {
        self.knowledge = replica_.has_read_all() ? Knowledge::partial : Knowledge::none;
    }
    LeaseHeartbeat out;
    out.heartbeat = leases_->make_heartbeat(peer, ctx_.now.steady, self);
    if (out.heartbeat.grant == read_leases::Grant::full) {
        out.cancelled = *known;
    }
    return out;
}

bool PeerContact::is_recent(const PeerStatus& status, double now_s) {
    return now_s - status.received_s < constants::peer_heartbeat_ttl_s;
}

bool PeerContact::any_has_store_contact() const {
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
        return entry.second.has_store_contact && is_recent(entry.second, ctx_.now.steady);
    });
}

// Only a message from every peer tells an outage from a refusal that this process alone meets.
bool PeerContact::all_lack_store_contact() const {
    const auto& peers = ctx_.settings.peers;
    return std::all_of(peers.begin(), peers.end(), [this](const Peer& peer) {
        auto entry = peers_.find(peer.name);
        return entry != peers_.end() && !entry->second.has_store_contact &&
               is_recent(entry->second, ctx_.now.steady);
    });
}

double PeerContact::cancellations_known_until_s() const {
    return leases_->cancellations_known_until_s(store_contact_.safe_time_s());
}

}  // namespace cranemoor::core

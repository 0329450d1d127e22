#include "core/membership/peer_contact.hpp"

#include <algorithm>

namespace cranemoor::core {

void PeerContact::start() {
    std::vector<std::string> names;
    for (const auto& peer : ctx_.settings.peers) {
        names.push_back(peer.name);
    }
    read_leases_.emplace(
        names, ctx_.boot_id, ctx_.now.steady,
        read_leases::Timing{constants::read_lease_s, constants::read_lease_margin_s,
                            constants::peer_heartbeat_ttl_s});
}

void PeerContact::tick() {
    schedule_heartbeat_if_changed();
    if (ctx_.now.steady >= next_heartbeat_s_) {
        send_heartbeats();
    }
}

void PeerContact::on_message(const std::string& peer, bool has_store_contact) {
    peer_status_[peer] = {ctx_.now.steady, has_store_contact};
    schedule_heartbeat_if_changed();
}

void PeerContact::on_heartbeat_without_leases(const std::string& peer) {
    read_leases_->on_heartbeat_without_leases(peer);
}

void PeerContact::on_heartbeat(const std::string& peer, const read_leases::Heartbeat& heartbeat) {
    if (read_leases_->on_heartbeat(peer, heartbeat, ctx_.now.steady,
                                   store_contact_.safe_time_s())) {
        // A process that has just started may not confirm cancellations until it has received a
        // heartbeat from this one.
        next_heartbeat_s_ = ctx_.now.steady;
    }
}

// This process relies on read leases while no controller has store contact, as far as it knows.
bool PeerContact::relies_on_read_leases() const {
    return !store_contact_.has_contact() && !any_has_store_contact();
}

// Peers are notified of a change at once: some may be waiting for it before they confirm
// cancellations.
void PeerContact::schedule_heartbeat_if_changed() {
    bool relies_on_leases = relies_on_read_leases();
    read_leases_->set_relies_on_leases(relies_on_leases);
    if (store_contact_.has_contact() != sent_store_contact_ ||
        relies_on_leases != sent_relies_on_read_leases_) {
        next_heartbeat_s_ = ctx_.now.steady;
    }
}

void PeerContact::send_heartbeats() {
    double now = ctx_.now.steady;
    next_heartbeat_s_ = now + constants::peer_heartbeat_interval_s;
    sent_store_contact_ = store_contact_.has_contact();
    sent_relies_on_read_leases_ = relies_on_read_leases();
    read_leases_->begin_round(now);
    auto cancellations = sent_store_contact_ ? std::nullopt : known_cancellations();
    for (const auto& peer : ctx_.settings.peers) {
        PeerCall call;
        call.peer = peer.name;
        call.has_store_contact = sent_store_contact_;
        call.overload_sample = ctx_.overload.sample(now);
        call.lease = lease_heartbeat(peer.name, cancellations);
        ctx_.call_peer(call, [](bool, const std::optional<WorkerReply>&) {});
    }
}

// Null if they are too many for one heartbeat.
std::optional<std::vector<Cancellation>> PeerContact::known_cancellations() const {
    std::vector<Cancellation> cancellations;
    std::size_t bytes = 0;
    for (const auto& uid : ctx_.jobs.cancelled_jobs()) {
        bytes += uid.size() + constants::peer_cancellation_overhead_bytes;
        if (bytes > constants::peer_cancellations_bytes_max) {
            return std::nullopt;
        }
        cancellations.push_back({uid, ctx_.jobs.jobs().at(uid).cancelled_wall});
    }
    return cancellations;
}

LeaseHeartbeat PeerContact::lease_heartbeat(
    const std::string& peer, const std::optional<std::vector<Cancellation>>& cancellations) {
    using Knowledge = read_leases::SenderState::Knowledge;
    read_leases::SenderState self;
    self.has_store_contact = store_contact_.has_contact();
    // A replica that was read since the start holds every cancellation that the previous process of
    // this name confirmed: each was durable before it was confirmed.
    bool is_complete = ctx_.jobs.loaded() && store_contact_.has_safe_time();
    if (is_complete && cancellations) {
        self.knowledge = Knowledge::complete;
    } else {
        self.knowledge = replica_.has_read_all() ? Knowledge::partial : Knowledge::none;
    }
    LeaseHeartbeat message;
    message.heartbeat = read_leases_->make_heartbeat(peer, ctx_.now.steady, self);
    if (message.heartbeat.grant == read_leases::Grant::full) {
        message.cancelled = *cancellations;
    }
    return message;
}

bool PeerContact::is_recent(const PeerStatus& status, double now_s) {
    return now_s - status.received_s < constants::peer_heartbeat_ttl_s;
}

bool PeerContact::any_has_store_contact() const {
    return std::any_of(peer_status_.begin(), peer_status_.end(), [this](const auto& entry) {
        return entry.second.has_store_contact && is_recent(entry.second, ctx_.now.steady);
    });
}

// Only messages from every peer distinguish an outage for all from a refusal of this process alone.
bool PeerContact::all_lack_store_contact() const {
    const auto& peers = ctx_.settings.peers;
    return std::all_of(peers.begin(), peers.end(), [this](const Peer& peer) {
        auto entry = peer_status_.find(peer.name);
        return entry != peer_status_.end() && !entry->second.has_store_contact &&
               is_recent(entry->second, ctx_.now.steady);
    });
}

double PeerContact::cancellations_known_until_s() const {
    return read_leases_->cancellations_known_until_s(store_contact_.safe_time_s());
}

}  // namespace cranemoor::core

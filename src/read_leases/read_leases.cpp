#include "read_leases/read_leases.hpp"

#include <algorithm>

namespace cranemoor::read_leases {

ReadLeases::ReadLeases(const std::vector<std::string>& peers, std::string boot_id, double now,
                       Timing timing)
    : boot_id_(std::move(boot_id)), timing_(timing) {
    for (const auto& name : peers) {
        // An earlier process of this controller may have made a promise.
        peers_[name].promise_ends_s[""] = now + timing_.lease_s;
    }
}

void ReadLeases::set_relies_on_leases(bool relies) {
    if (relies_on_leases_ && !relies) {
        first_valid_request_ = sequence_number_ + 1;
        for (auto& [name, peer] : peers_) {
            peer.covered_until_s = -1e9;
        }
    }
    relies_on_leases_ = relies;
}

void ReadLeases::begin_round(double now) {
    sent_.emplace_back(++sequence_number_, now);
    while (now - sent_.front().second > timing_.lease_s) {
        sent_.pop_front();
    }
}

Heartbeat ReadLeases::make_heartbeat(const std::string& peer_name, double now,
                                     const SenderState& self) {
    Heartbeat heartbeat;
    heartbeat.boot_id = boot_id_;
    heartbeat.sequence_number = sequence_number_;
    heartbeat.relies_on_leases = relies_on_leases_;
    auto it = peers_.find(peer_name);
    if (it == peers_.end() || it->second.boot_id.empty()) {
        return heartbeat;
    }
    Peer& peer = it->second;
    heartbeat.acknowledged_boot_id = peer.boot_id;
    heartbeat.acknowledged_sequence_number = peer.sequence_number;
    bool requests_lease =
        peer.relies_on_leases && now - peer.last_heard_s < timing_.heartbeat_ttl_s;
    if (requests_lease && !self.has_store_contact &&
        self.knowledge != SenderState::Knowledge::partial) {
        heartbeat.grant =
            self.knowledge == SenderState::Knowledge::complete ? Grant::full : Grant::process_only;
        peer.promise_ends_s[peer.boot_id] = now + timing_.lease_s;
    }
    return heartbeat;
}

// Every running process acknowledges newer and newer heartbeats of ours: a heartbeat that
// acknowledges a newer one than any before was sent after them, whichever process sent it.
// Otherwise the sequence numbers decide, and a heartbeat from another process than the last is
// newer only if that process was not heard from before.
bool ReadLeases::is_newer(const Peer& peer, const Heartbeat& heartbeat, bool acknowledges_us) {
    if (heartbeat.boot_id == peer.boot_id) {
        return heartbeat.sequence_number > peer.sequence_number;
    }
    return (acknowledges_us &&
            heartbeat.acknowledged_sequence_number > peer.acknowledged_sequence_number) ||
           !peer.earlier_boot_ids.contains(heartbeat.boot_id);
}

bool ReadLeases::on_heartbeat(const std::string& peer_name, const Heartbeat& heartbeat, double now,
                              double safe_time) {
    auto it = peers_.find(peer_name);
    if (it == peers_.end()) {
        return false;
    }
    Peer& peer = it->second;
    bool acknowledges_us = heartbeat.acknowledged_boot_id == boot_id_;
    if (!is_newer(peer, heartbeat, acknowledges_us)) {
        return false;
    }
    bool is_new_process = heartbeat.boot_id != peer.boot_id;
    if (is_new_process) {
        peer.earlier_boot_ids.insert(peer.boot_id);
        peer.earlier_boot_ids.erase(heartbeat.boot_id);
        peer.boot_id = heartbeat.boot_id;
        peer.first_heard_s = now;
    }
    peer.sequence_number = heartbeat.sequence_number;
    peer.last_heard_s = now;
    peer.relies_on_leases = heartbeat.relies_on_leases;
    if (acknowledges_us) {
        peer.acknowledged_sequence_number =
            std::max(peer.acknowledged_sequence_number, heartbeat.acknowledged_sequence_number);
        if (!heartbeat.relies_on_leases) {
            peer.promise_ends_s.erase("");
            peer.promise_ends_s.erase(heartbeat.boot_id);
        }
        if (relies_on_leases_ && heartbeat.grant != Grant::none) {
            take_lease(peer, heartbeat, now, safe_time);
        }
    }
    return is_new_process;
}

void ReadLeases::on_heartbeat_without_leases(const std::string& peer_name) {
    auto it = peers_.find(peer_name);
    if (it != peers_.end() && it->second.boot_id.empty()) {
        it->second.promise_ends_s.erase("");
    }
}

void ReadLeases::take_lease(Peer& peer, const Heartbeat& heartbeat, double now,
                            double safe_time) const {
    auto request = std::find_if(sent_.begin(), sent_.end(), [&](const auto& sent) {
        return sent.first == heartbeat.acknowledged_sequence_number;
    });
    if (request == sent_.end() || heartbeat.acknowledged_sequence_number < first_valid_request_) {
        return;
    }
    bool is_gapless = now <= peer.covered_until_s || peer.first_heard_s <= safe_time;
    if (heartbeat.grant == Grant::full || is_gapless) {
        peer.covered_until_s =
            std::max(peer.covered_until_s, request->second + timing_.lease_s - timing_.margin_s);
    }
}

double ReadLeases::cancellations_known_until_s(double safe_time) const {
    double known_until_s = 1e18;
    for (const auto& [name, peer] : peers_) {
        known_until_s = std::min(known_until_s, std::max(safe_time, peer.covered_until_s));
    }
    // Without peers, no other controller confirms anything, and the local replica holds all
    // that this process and those before it confirmed: it is read anew after every start.
    return known_until_s;
}

bool ReadLeases::has_active_promise(double now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& promise_ends_s = entry.second.promise_ends_s;
        return std::any_of(promise_ends_s.begin(), promise_ends_s.end(),
                           [&](const auto& promise) { return now < promise.second; });
    });
}

}  // namespace cranemoor::read_leases

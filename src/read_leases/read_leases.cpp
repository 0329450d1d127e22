#include "read_leases/read_leases.hpp"

#include <algorithm>

namespace cranemoor::read_leases {

ReadLeases::ReadLeases(const std::vector<std::string>& peers, std::string boot, double now,
                       Times times)
    : boot_(std::move(boot)), times_(times) {
    for (const auto& name : peers) {
        // The process before this one may have promised.
        peers_[name].promises[""] = now + times_.lease_s;
    }
}

void ReadLeases::rely(bool wants) {
    if (wants_ && !wants) {
        relies_from_ = beat_ + 1;
        for (auto& [name, p] : peers_) {
            p.covered = -1e9;
        }
    }
    wants_ = wants;
}

void ReadLeases::begin(double now) {
    sent_.emplace_back(++beat_, now);
    while (now - sent_.front().second > times_.lease_s) {
        sent_.pop_front();
    }
}

Heartbeat ReadLeases::next(const std::string& peer, double now, const Self& self) {
    Heartbeat w;
    w.boot = boot_;
    w.beat = beat_;
    w.wants = wants_;
    auto it = peers_.find(peer);
    if (it == peers_.end() || it->second.boot.empty()) {
        return w;
    }
    Peer& p = it->second;
    w.heard_boot = p.boot;
    w.heard_beat = p.beat;
    bool asks = p.wants && now - p.heard_at < times_.fresh_s;
    if (asks && !self.contact && self.knows != Self::Knows::some) {
        w.grant = self.knows == Self::Knows::all ? Grant::full : Grant::blank;
        p.promises[p.boot] = now + times_.lease_s;
    }
    return w;
}

// Every living process names newer and newer heartbeats of ours: one that names a newer one than
// any before was written after them, whoever wrote it. Else the numbers decide, and of another
// process than the last only one that was not heard before.
bool ReadLeases::newer(const Peer& p, const Heartbeat& heartbeat, bool echoes) {
    if (heartbeat.boot == p.boot) {
        return heartbeat.beat > p.beat;
    }
    return (echoes && heartbeat.heard_beat > p.echo) || !p.past.contains(heartbeat.boot);
}

bool ReadLeases::hear(const std::string& peer, const Heartbeat& heartbeat, double now,
                      double safe_time) {
    auto it = peers_.find(peer);
    if (it == peers_.end()) {
        return false;
    }
    Peer& p = it->second;
    bool echoes = heartbeat.heard_boot == boot_;
    if (!newer(p, heartbeat, echoes)) {
        return false;
    }
    bool fresh = heartbeat.boot != p.boot;
    if (fresh) {
        p.past.insert(p.boot);
        p.past.erase(heartbeat.boot);
        p.boot = heartbeat.boot;
        p.first_heard = now;
    }
    p.beat = heartbeat.beat;
    p.heard_at = now;
    p.wants = heartbeat.wants;
    if (echoes) {
        p.echo = std::max(p.echo, heartbeat.heard_beat);
        if (!heartbeat.wants) {
            p.promises.erase("");
            p.promises.erase(heartbeat.boot);
        }
        if (wants_ && heartbeat.grant != Grant::none) {
            take_lease(p, heartbeat, now, safe_time);
        }
    }
    return fresh;
}

void ReadLeases::hear_older(const std::string& peer) {
    auto it = peers_.find(peer);
    if (it != peers_.end() && it->second.boot.empty()) {
        it->second.promises.erase("");
    }
}

void ReadLeases::take_lease(Peer& p, const Heartbeat& heartbeat, double now,
                            double safe_time) const {
    auto asked = std::find_if(sent_.begin(), sent_.end(),
                              [&](const auto& s) { return s.first == heartbeat.heard_beat; });
    if (asked == sent_.end() || heartbeat.heard_beat < relies_from_) {
        return;
    }
    bool unbroken = now <= p.covered || p.first_heard <= safe_time;
    if (heartbeat.grant == Grant::full || unbroken) {
        p.covered = std::max(p.covered, asked->second + times_.lease_s - times_.margin_s);
    }
}

double ReadLeases::known_until(double safe_time) const {
    double known = 1e18;
    for (const auto& [name, p] : peers_) {
        known = std::min(known, std::max(safe_time, p.covered));
    }
    // Without peers nobody else tells anything, and of what this process and those before it told,
    // the copy has all: it is read anew after every start.
    return known;
}

bool ReadLeases::promised(double now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        const auto& promises = peer.second.promises;
        return std::any_of(promises.begin(), promises.end(),
                           [&](const auto& promise) { return now < promise.second; });
    });
}

}  // namespace cranemoor::read_leases

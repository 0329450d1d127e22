#include "core/autoscaling/machine_launcher.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

namespace {

// s after which a request of unknown outcome is repeated
constexpr double launch_retry_s = 1.0;

LaunchNotice notice_of(const PendingLaunch& launch, bool open,
                       const std::vector<std::string>& machines) {
    return {launch.request, launch.kind.type, launch.kind.zone, launch.kind.spot, launch.count,
            open,           machines};
}

}  // namespace

void MachineLauncher::epoch_changed() {
    if (membership_.is_leader()) {
        take_over();
    } else {
        // What they may still launch is up to the next leader, which was told of them.
        pending_.clear();
    }
}

// s that the listing may need to show what a request launched
double MachineLauncher::listing_delay_s() const {
    return ctx_.settings.list_lag_s * constants::listing_delay_lag_factor +
           constants::leader_listing_interval_s;
}

void MachineLauncher::expire_notices() {
    std::erase_if(notices_, [&](const auto& entry) {
        return ctx_.now.steady - entry.second.received_at > listing_delay_s();
    });
}

void MachineLauncher::take_notices(const std::vector<LaunchNotice>& notices) {
    expire_notices();
    for (const auto& notice : notices) {
        auto [it, first] =
            notices_.try_emplace(notice.request, ReceivedNotice{notice, ctx_.now.steady});
        if (!first && it->second.notice.open) {
            it->second.notice = notice;
        }
    }
}

// Guards against machines launched twice, or idle until the listing shows them, when the leader
// fails: its open requests are repeated under the same names, which launches nothing that was
// launched before, and the machines that it was given count at once.
void MachineLauncher::take_over() {
    expire_notices();
    for (const auto& [request, received] : std::exchange(notices_, {})) {
        const LaunchNotice& notice = received.notice;
        InstanceKind kind{notice.type, notice.zone, notice.spot};
        if (!notice.open) {
            add_launched(kind, notice.machines, ctx_.now.steady - received.received_at);
            continue;
        }
        bool known = std::any_of(
            pending_.begin(), pending_.end(),
            [&, name = request](const PendingLaunch& launch) { return launch.request == name; });
        if (!known) {
            ctx_.info("rental {}: taken over", request);
            pending_.push_back({request, kind, notice.count, 0, false});
        }
    }
}

// Adds machines that the listing does not show yet.
void MachineLauncher::add_launched(const InstanceKind& kind,
                                   const std::vector<std::string>& machines, double age_s) {
    std::vector<ListedMachine> listed;
    for (const auto& machine : machines) {
        if (ctx_.jobs.cordon(machine) == nullptr) {
            listed.push_back(
                {machine, "", kind.type, kind.zone, kind.spot, ListedState::starting, age_s});
        }
    }
    agent_manager_.apply_cloud_listing(listed);
}

void MachineLauncher::notify_peers(const std::vector<LaunchNotice>& notices) const {
    if (notices.empty()) {
        return;
    }
    for (const auto& peer : ctx_.settings.peers) {
        PeerCall call;
        call.peer = peer.name;
        call.has_store_contact = membership_.has_store_contact();
        call.launches = notices;
        ctx_.call_peer(call, [](bool, const std::optional<WorkerReply>&) {});
    }
}

void MachineLauncher::request(const std::map<InstanceKind, int>& launches) {
    std::vector<LaunchNotice> notices;
    for (const auto& [kind, count] : launches) {
        for (int left = std::min(count, constants::launch_machines_per_plan_max); left > 0;
             left -= constants::launch_machines_max) {
            PendingLaunch launch;
            launch.request =
                fmt::format("{}-{}-{}", ctx_.settings.name, ctx_.fencing_token, ++requests_made_);
            launch.kind = kind;
            launch.count = std::min(left, constants::launch_machines_max);
            pending_.push_back(launch);
            notices.push_back(notice_of(launch, true, {}));
        }
    }
    notify_peers(notices);
}

void MachineLauncher::send_due() {
    for (auto& launch : pending_) {
        if (!launch.in_flight && ctx_.now.steady >= launch.next_attempt) {
            send(launch);
        }
    }
}

void MachineLauncher::send(PendingLaunch& launch) {
    launch.in_flight = true;
    CloudCall call;
    call.kind = CloudCall::Kind::launch;
    call.request = launch.request;
    call.type = launch.kind.type;
    call.zone = launch.kind.zone;
    call.spot = launch.kind.spot;
    call.count = launch.count;
    ctx_.info("rent {}: {} of {} in {}{}", call.request, call.count, call.type, call.zone,
              call.spot ? ", spot" : "");
    ctx_.call_cloud(call, [this, request = launch.request](const CloudReply& reply) {
        handle_reply(request, reply);
    });
}

void MachineLauncher::handle_reply(const std::string& request, const CloudReply& reply) {
    auto launch = std::find_if(pending_.begin(), pending_.end(), [&](const PendingLaunch& other) {
        return other.request == request;
    });
    if (launch == pending_.end()) {
        return;  // of an earlier epoch: the listing will show what it launched
    }
    launch->in_flight = false;
    switch (reply.status) {
        case CloudReply::Status::ok:
            finish_launched(launch, reply.machines);
            break;
        case CloudReply::Status::no_capacity:
            ctx_.info("rental {}: no capacity", request);
            notify_peers({notice_of(*launch, false, {})});
            set_out_of_capacity(launch->kind);
            pending_.erase(launch);
            break;
        case CloudReply::Status::bad_request:
            ctx_.error("rental {}: refused as malformed", request);
            pending_.erase(launch);
            break;
        default:
            // It may have been executed: repeated under its own name, so that it can't launch
            // twice.
            launch->next_attempt = ctx_.now.steady + launch_retry_s;
    }
}

void MachineLauncher::finish_launched(std::vector<PendingLaunch>::iterator launch,
                                      const std::vector<std::string>& machines) {
    ctx_.info("rented {}: {}", launch->request, fmt::join(machines, ","));
    notify_peers({notice_of(*launch, false, machines)});
    if (static_cast<int>(machines.size()) < launch->count) {
        set_out_of_capacity(launch->kind);
    }
    InstanceKind kind = launch->kind;
    pending_.erase(launch);
    add_launched(kind, machines, 0);
}

bool MachineLauncher::out_of_capacity(const InstanceKind& kind) const {
    auto until = no_capacity_until_.find(kind);
    return until != no_capacity_until_.end() && until->second > ctx_.now.steady;
}

void MachineLauncher::set_out_of_capacity(const InstanceKind& kind) {
    no_capacity_until_[kind] = ctx_.now.steady + constants::no_capacity_backoff_s;
}

}  // namespace cranemoor::core

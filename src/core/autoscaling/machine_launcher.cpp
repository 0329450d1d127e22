#include "core/autoscaling/machine_launcher.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

namespace {

// Delay before a request that was refused or has an unknown outcome is repeated.
constexpr double launch_retry_s = 1.0;

LaunchNotice make_notice(const PendingLaunch& launch, bool open,
                         const std::vector<std::string>& machines) {
    return {launch.request, launch.kind.type, launch.kind.zone, launch.kind.spot, launch.count,
            open,           machines};
}

}  // namespace

void MachineLauncher::epoch_changed() {
    if (membership_.is_leader()) {
        take_over_requests();
    } else {
        // The next leader was notified of these requests and handles what they may still launch.
        pending_.clear();
    }
}

// Longest time, in seconds, until the listing shows what a request launched.
double MachineLauncher::listing_delay_s() const {
    return ctx_.settings.list_lag_s * constants::listing_delay_lag_factor +
           constants::leader_listing_interval_s;
}

void MachineLauncher::expire_notices() {
    std::erase_if(notices_, [&](const auto& entry) {
        return ctx_.now.steady - entry.second.received_at_s > listing_delay_s();
    });
}

void MachineLauncher::handle_notices(const std::vector<LaunchNotice>& notices) {
    expire_notices();
    for (const auto& notice : notices) {
        auto [entry, inserted] =
            notices_.try_emplace(notice.request, ReceivedNotice{notice, ctx_.now.steady});
        if (!inserted && entry->second.notice.open) {
            entry->second.notice = notice;
        }
    }
}

// Guards against machines launched twice, or unused until the listing shows them, when the leader
// fails: its open requests are repeated with the same idempotency keys, which launches nothing that
// was launched before, and the machines that it was given count at once.
void MachineLauncher::take_over_requests() {
    expire_notices();
    for (const auto& [request, received] : std::exchange(notices_, {})) {
        const LaunchNotice& notice = received.notice;
        InstanceKind kind{notice.type, notice.zone, notice.spot};
        if (!notice.open) {
            if (static_cast<int>(notice.machines.size()) < notice.count) {
                capacity_backoff_.set_refused(kind, received.received_at_s);
            }
            add_launched_machines(kind, notice.machines, ctx_.now.steady - received.received_at_s);
            continue;
        }
        bool already_pending = std::any_of(
            pending_.begin(), pending_.end(),
            [&, name = request](const PendingLaunch& pending) { return pending.request == name; });
        if (!already_pending) {
            ctx_.info("launch request {}: taken over from an earlier leader", request);
            pending_.push_back({request, kind, notice.count, 0, false});
        }
    }
}

// Adds launched machines, which the listing does not show yet, unless they are cordoned.
void MachineLauncher::add_launched_machines(const InstanceKind& kind,
                                            const std::vector<std::string>& machines,
                                            double age_s) {
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
        for (int remaining = std::min(count, constants::launch_machines_per_plan_max);
             remaining > 0; remaining -= constants::launch_machines_max) {
            PendingLaunch launch;
            launch.request =
                fmt::format("{}-{}-{}", ctx_.settings.name, ctx_.fencing_token, ++requests_made_);
            launch.kind = kind;
            launch.count = std::min(remaining, constants::launch_machines_max);
            pending_.push_back(launch);
            notices.push_back(make_notice(launch, true, {}));
        }
    }
    notify_peers(notices);
}

void MachineLauncher::send_due() {
    for (auto& launch : pending_) {
        if (!launch.in_flight && ctx_.now.steady >= launch.next_send_at_s) {
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
    ctx_.info("launch request {}: requesting {} of {} in {}{}", call.request, call.count, call.type,
              call.zone, call.spot ? ", spot" : "");
    ctx_.call_cloud(call, [this, request = launch.request](const CloudReply& reply) {
        handle_reply(request, reply);
    });
}

void MachineLauncher::handle_reply(const std::string& request, const CloudReply& reply) {
    auto launch = std::find_if(pending_.begin(), pending_.end(), [&](const PendingLaunch& pending) {
        return pending.request == request;
    });
    if (launch == pending_.end()) {
        return;  // from an earlier epoch: the listing will show what it launched
    }
    launch->in_flight = false;
    switch (reply.status) {
        case CloudReply::Status::ok:
            finish_launched(launch, reply.machines);
            break;
        case CloudReply::Status::no_capacity:
            ctx_.info("launch request {}: no capacity at the cloud provider", request);
            finish_refused(launch);
            break;
        case CloudReply::Status::bad_request:
            ctx_.error("launch request {}: rejected as malformed by the cloud provider", request);
            finish_refused(launch);
            break;
        default:
            // It may have been executed: it is repeated with its own idempotency key, so that it
            // can't launch machines twice.
            launch->next_send_at_s = ctx_.now.steady + launch_retry_s;
    }
}

void MachineLauncher::finish_launched(std::vector<PendingLaunch>::iterator launch,
                                      const std::vector<std::string>& machines) {
    ctx_.info("launch request {}: launched {}", launch->request, fmt::join(machines, ","));
    notify_peers({make_notice(*launch, false, machines)});
    InstanceKind kind = launch->kind;
    if (static_cast<int>(machines.size()) < launch->count) {
        set_out_of_capacity(kind);
    } else {
        capacity_backoff_.set_granted(kind);
    }
    pending_.erase(launch);
    add_launched_machines(kind, machines, 0);
}

void MachineLauncher::finish_refused(std::vector<PendingLaunch>::iterator launch) {
    notify_peers({make_notice(*launch, false, {})});
    set_out_of_capacity(launch->kind);
    pending_.erase(launch);
}

void MachineLauncher::set_out_of_capacity(const InstanceKind& kind) {
    capacity_backoff_.set_refused(kind, ctx_.now.steady);
    ctx_.info("no capacity for {} in {}{}: not requested again for {:.0f} s", kind.type, kind.zone,
              kind.spot ? ", spot" : "", capacity_backoff_.duration_s());
}

}  // namespace cranemoor::core

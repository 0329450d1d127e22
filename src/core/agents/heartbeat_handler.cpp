#include "core/agents/heartbeat_handler.hpp"

#include <optional>

namespace cranemoor::core {

namespace {
// Status codes of the worker protocol.
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;  // this controller may not command the machine
constexpr int status_unavailable = 503;  // no reply with commands; the worker tries again
}  // namespace

void HeartbeatHandler::handle(std::uint64_t request, const Heartbeat& report, bool relayed) {
    if (!membership_.may_answer_workers()) {
        reject(request, status_unavailable);
        return;
    }
    if (report.token > ctx_.fencing_token) {
        // A newer epoch exists that this process hasn't heard of: it may not command.
        reject(request, status_misdirected);
        return;
    }
    const Member* owner = membership_.owner(report.machine, report.zone);
    if (owner == nullptr || owner->id != ctx_.self.id) {
        redirect(request, report, owner, relayed);
        return;
    }
    if (!relayed) {
        failure_detector_.note_direct_heartbeat();
    }
    Machine& machine = registry_.find_or_add(report.machine).machine;
    if (AgentRegistry::is_stale(machine, report)) {
        acknowledge_stale(request);
        return;
    }
    if (machine.open_request) {
        // The worker gave up on the earlier heartbeat; nobody reads its reply.
        reject(*machine.open_request, status_unavailable);
        machine.open_request.reset();
    }
    if (const auto& mark = registry_.site(machine).cordon; mark && mark->released) {
        reject(request, status_unavailable);
        return;
    }
    accept(machine, request, report, relayed);
}

void HeartbeatHandler::accept(Machine& machine, std::uint64_t request, const Heartbeat& report,
                              bool relayed) {
    registry_.apply_heartbeat(machine, report);
    machine.last_heartbeat_at = ctx_.now.steady;
    machine.last_heartbeat_relayed = relayed;
    machine.probe_failures = 0;
    replies_.open(machine, request);
    adoption_.adopt_on_heartbeat(machine, report);
    if (!machine.adopted) {
        replies_.send(machine);  // raises its token
        return;
    }
    machine.reply_deadline = ctx_.now.steady + constants::heartbeat_reply_hold_s;
    reconciliation_.reconcile(machine, true);
    if (relayed) {
        // Its peer has few connections for relays and waits less long than a reply is held open
        // for: held, they would fail for hundreds of machines whose owner is cut off from them.
        replies_.send(machine);
        return;
    }
    replies_.send_if_due(machine);
}

void HeartbeatHandler::reject(std::uint64_t request, int status, const std::string& home) {
    WorkerReply reply;
    reply.request = request;
    reply.status = status;
    reply.owner = home;
    ctx_.actions.emplace_back(reply);
}

// A delayed heartbeat: its list of tasks is as old as itself.
void HeartbeatHandler::acknowledge_stale(std::uint64_t request) {
    WorkerReply reply;
    reply.request = request;
    reply.status = status_ok;
    reply.token = ctx_.fencing_token;
    ctx_.actions.emplace_back(reply);
}

void HeartbeatHandler::redirect(std::uint64_t request, const Heartbeat& report, const Member* owner,
                                bool relayed) {
    if (owner == nullptr || relayed) {
        reject(request, status_misdirected);
        return;
    }
    Redirect& redirect = redirects_[report.machine];
    double now = ctx_.now.steady;
    // Relayed once, it stays here and comes again with its next heartbeat.
    double window_s = constants::redirect_return_margin_s +
                      ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor;
    // Guards against workers that came back because their owner changed meanwhile, or could not be
    // reached for a moment, and were relayed for good: now and then they are redirected once more.
    bool came_back = redirect.owner_id == owner->id && now - redirect.last_at < window_s &&
                     now - redirect.first_at < constants::redirect_retry_interval_s;
    redirect.last_at = now;
    if (came_back) {
        // The worker was redirected to its owner a moment ago: it can't reach it, and its lease
        // would run out. The heartbeat goes over the controllers' own network instead.
        relay(request, report, *owner);
        return;
    }
    redirect.owner_id = owner->id;
    redirect.first_at = now;
    reject(request, status_misdirected, owner->name);
}

void HeartbeatHandler::relay(std::uint64_t request, const Heartbeat& report, const Member& owner) {
    PeerCall call;
    call.peer = owner.name;
    call.has_store_contact = membership_.has_store_contact();
    call.relayed_heartbeat = report;
    ctx_.call_peer(call, [this, request](bool answered, const std::optional<WorkerReply>& reply) {
        if (!answered || !reply) {
            reject(request, status_misdirected);
            return;
        }
        WorkerReply relayed_reply = *reply;
        relayed_reply.request = request;
        ctx_.actions.emplace_back(relayed_reply);
    });
}

void HeartbeatHandler::forget_old_redirects() {
    std::erase_if(redirects_, [&](const auto& entry) {
        return ctx_.now.steady - entry.second.last_at > constants::gone_cordon_ttl_s;
    });
}

}  // namespace cranemoor::core

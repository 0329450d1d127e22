#include "core/agents/heartbeat_handler.hpp"

#include <optional>

namespace cranemoor::core {

namespace {
// Status codes of the worker protocol.
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;  // this controller may not command the machine
constexpr int status_unavailable = 503;  // no commands in the reply; the worker retries
}  // namespace

void HeartbeatHandler::handle(std::uint64_t request, const Heartbeat& heartbeat, bool relayed) {
    if (!membership_.may_answer_workers()) {
        reject(request, status_unavailable);
        return;
    }
    if (heartbeat.token > ctx_.fencing_token) {
        // A newer epoch exists that this process does not know of: it must not command the worker.
        reject(request, status_misdirected);
        return;
    }
    const Member* owner = membership_.owner(heartbeat.machine, heartbeat.zone);
    if (owner == nullptr || owner->id != ctx_.self.id) {
        redirect(request, heartbeat, owner, relayed);
        return;
    }
    if (!relayed) {
        failure_detector_.note_direct_heartbeat();
    }
    Machine& machine = registry_.find_or_add(heartbeat.machine).machine;
    if (AgentRegistry::is_stale(machine, heartbeat)) {
        acknowledge_stale(request);
        return;
    }
    if (machine.open_request) {
        // The worker has abandoned the earlier heartbeat; nobody reads its reply.
        reject(*machine.open_request, status_unavailable);
        machine.open_request.reset();
    }
    if (const auto& cordon = registry_.placements_on(machine).cordon; cordon && cordon->released) {
        reject(request, status_unavailable);
        return;
    }
    accept(machine, request, heartbeat, relayed);
}

void HeartbeatHandler::accept(Machine& machine, std::uint64_t request, const Heartbeat& heartbeat,
                              bool relayed) {
    registry_.apply_heartbeat(machine, heartbeat);
    machine.last_heartbeat_at = ctx_.now.steady;
    machine.last_heartbeat_relayed = relayed;
    machine.probe_failures = 0;
    replies_.open(machine, request);
    adoption_.adopt_on_heartbeat(machine, heartbeat);
    if (!machine.adopted) {
        replies_.send(machine);  // raises its fencing token
        return;
    }
    machine.reply_deadline = ctx_.now.steady + constants::heartbeat_reply_hold_s;
    reconciliation_.reconcile(machine, true);
    if (relayed) {
        // The relaying peer has few connections for relays and times out before a held reply is
        // sent: holding replies would fail the heartbeats of hundreds of machines that can't reach
        // their owner.
        replies_.send(machine);
        return;
    }
    replies_.send_if_due(machine);
}

void HeartbeatHandler::reject(std::uint64_t request, int status, const std::string& owner_name) {
    WorkerReply reply;
    reply.request = request;
    reply.status = status;
    reply.owner = owner_name;
    ctx_.actions.emplace_back(reply);
}

// A delayed heartbeat: its task list is out of date, so it is not applied.
void HeartbeatHandler::acknowledge_stale(std::uint64_t request) {
    WorkerReply reply;
    reply.request = request;
    reply.status = status_ok;
    reply.token = ctx_.fencing_token;
    ctx_.actions.emplace_back(reply);
}

void HeartbeatHandler::redirect(std::uint64_t request, const Heartbeat& heartbeat,
                                const Member* owner, bool relayed) {
    if (owner == nullptr || relayed) {
        reject(request, status_misdirected);
        return;
    }
    Redirect& redirect = redirects_[heartbeat.machine];
    double now = ctx_.now.steady;
    // A worker that has been relayed stays with this controller and sends its next heartbeat here.
    double return_window_s =
        constants::redirect_return_margin_s +
        ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor;
    // A worker may have returned only because its owner changed or was briefly unreachable. So that
    // it is not relayed forever, it is redirected again after the retry interval.
    bool returned = redirect.owner_id == owner->id &&
                    now - redirect.last_received_at < return_window_s &&
                    now - redirect.redirected_at < constants::redirect_retry_interval_s;
    redirect.last_received_at = now;
    if (returned) {
        // The worker was redirected to its owner a moment ago and can't reach it, so its lease
        // would expire. The heartbeat is relayed over the network between the controllers.
        relay(request, heartbeat, *owner);
        return;
    }
    redirect.owner_id = owner->id;
    redirect.redirected_at = now;
    reject(request, status_misdirected, owner->name);
}

void HeartbeatHandler::relay(std::uint64_t request, const Heartbeat& heartbeat,
                             const Member& owner) {
    PeerCall call;
    call.peer = owner.name;
    call.has_store_contact = membership_.has_store_contact();
    call.relayed_heartbeat = heartbeat;
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
        return ctx_.now.steady - entry.second.last_received_at > constants::gone_cordon_ttl_s;
    });
}

}  // namespace cranemoor::core

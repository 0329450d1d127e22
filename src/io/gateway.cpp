#include "io/gateway.hpp"

#include <spdlog/spdlog.h>

#include <iterator>
#include <optional>
#include <utility>

#include "core/model/constants.hpp"
#include "io/crash_report.hpp"
#include "io/http_status.hpp"
#include "wire/peer_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr const char* client_listener = "users and workers";
constexpr const char* peer_listener = "controllers";

std::string path_of(const std::string& target) {
    return target.substr(0, target.find('?'));
}

bool is_known_path(const std::string& path) {
    return path == wire::health_path || path == wire::heartbeat_path ||
           path == wire::submission_path || path == wire::peer_path;
}

}  // namespace

Gateway::Gateway(Loop& loop, const core::Settings& settings, core::Controller& controller)
    : loop_(loop),
      settings_(settings),
      controller_(controller),
      client_server_(
          loop, settings.listen_address,
          static_cast<std::size_t>(settings.max_connections * constants::client_connections_share),
          [this](std::uint64_t request, HttpMessage&& message) { serve_client(request, message); }),
      peer_server_(
          loop, settings.peer_listen_address, constants::peer_server_connections_max,
          [this](std::uint64_t request, HttpMessage&& message) { serve_peer(request, message); }),
      store_client_(loop, settings, refused_messages_,
                    [this](std::uint64_t call, const core::StoreReply& reply) {
                        controller_.store_reply(Loop::now(), call, reply);
                        perform_actions();
                    }),
      cloud_client_(loop, settings, refused_messages_,
                    [this](std::uint64_t call, const core::CloudReply& reply) {
                        controller_.cloud_reply(Loop::now(), call, reply);
                        perform_actions();
                    }),
      tick_timer_(loop, [this] { tick(); }),
      prune_timer_(loop, [this] { prune_worker_clients(); }),
      refused_messages_timer_(loop, [this] { log_refused_messages(); }) {
    client_server_.on_reject = [this](const std::string& target, int status) {
        count_rejected(client_listener, target, status);
    };
    peer_server_.on_reject = [this](const std::string& target, int status) {
        count_rejected(peer_listener, target, status);
    };
    for (const auto& peer : settings.peers) {
        peer_clients_[peer.name] =
            std::make_unique<HttpClient>(loop, peer.address, constants::peer_client_connections_max,
                                         constants::peer_response_bytes_max);
    }
}

void Gateway::start() {
    controller_.start(Loop::now());
    perform_actions();
    tick_timer_.start(constants::core_tick_interval_s, constants::core_tick_interval_s);
    prune_timer_.start(constants::worker_client_prune_interval_s,
                       constants::worker_client_prune_interval_s);
    refused_messages_timer_.start(constants::refused_messages_log_interval_s,
                                  constants::refused_messages_log_interval_s);
}

void Gateway::tick() {
    HandledMessage scope({"timer", "", "tick", ""});
    controller_.tick(Loop::now());
    perform_actions();
}

// --- messages that can't be read

void Gateway::log_refused_messages() {
    std::string summary = refused_messages_.take_summary();
    if (!summary.empty()) {
        spdlog::info("messages refused: {}", summary);
    }
}

// Counts a request that the server rejected before it was complete.
void Gateway::count_rejected(const std::string& listener, const std::string& target, int status) {
    std::string path = path_of(target);
    refused_messages_.count(is_known_path(path) ? path : "other path of " + listener,
                            status == http_status::payload_too_large ? "too large" : "not HTTP");
}

// --- requests from users and workers

void Gateway::serve_client(std::uint64_t request, const HttpMessage& message) {
    HandledMessage scope({client_listener, message.method, message.target, message.body});
    route_client(request, message);
}

void Gateway::route_client(std::uint64_t request, const HttpMessage& message) {
    std::string path = path_of(message.target);
    if (path == wire::health_path && message.method == "GET") {
        serve_health(request);
    } else if (path == wire::heartbeat_path && message.method == "POST") {
        serve_heartbeat(request, message.body);
    } else if (path == wire::submission_path && message.method == "POST") {
        serve_submission(request, message.body);
    } else if (wire::is_job_path(path)) {
        serve_job(request, message.method, path);
    } else {
        serve_unrouted(request, path);
    }
}

void Gateway::serve_health(std::uint64_t request) {
    bool healthy = controller_.healthy(Loop::now());
    client_server_.reply(request, healthy ? http_status::ok : http_status::service_unavailable, "");
}

void Gateway::serve_heartbeat(std::uint64_t request, const std::string& body) {
    core::Now now = Loop::now();
    HandledMessage::set_step("decode_heartbeat_body");
    auto heartbeat = wire::decode_heartbeat_body(body);
    if (!heartbeat) {
        refused_messages_.count(wire::heartbeat_path, heartbeat.error().message);
        client_server_.reply(request, http_status::bad_request, "");
        return;
    }
    HandledMessage::set_step("handle_heartbeat");
    spdlog::debug(
        "request {}: heartbeat of machine {}, agent epoch {}, number {}, token {}, {} tasks",
        request, heartbeat->machine, heartbeat->agent_epoch, heartbeat->seq, heartbeat->token,
        heartbeat->tasks.size());
    controller_.handle_heartbeat(now, request, *heartbeat, false);
    perform_actions();
}

void Gateway::serve_submission(std::uint64_t request, const std::string& body) {
    core::Now now = Loop::now();
    HandledMessage::set_step("decode_submission");
    auto spec = wire::decode_submission(body);
    HandledMessage::set_step("submit");
    if (spec) {
        controller_.submit(now, request, *spec);
    } else {
        refused_messages_.count(wire::submission_path, spec.error().error.message);
        controller_.submit_malformed(now, request, spec.error().uid, spec.error().error.message);
    }
    perform_actions();
}

// Serves a status poll or a cancellation of one job.
void Gateway::serve_job(std::uint64_t request, const std::string& method, const std::string& path) {
    core::Now now = Loop::now();
    wire::JobPath job = wire::parse_job_path(path);
    if (method != (job.is_cancellation ? "POST" : "GET")) {
        client_server_.reply(request, http_status::method_not_allowed, "");
    } else if (!wire::is_valid_uid(job.uid)) {
        // No job can have been accepted under an invalid uid.
        client_server_.reply(request, http_status::not_found, "");
    } else if (job.is_cancellation) {
        controller_.cancel(now, request, job.uid);
    } else {
        controller_.poll(now, request, job.uid);
    }
    perform_actions();
}

// Rejects an unknown path, or a known path with the wrong method.
void Gateway::serve_unrouted(std::uint64_t request, const std::string& path) {
    bool is_known = is_known_path(path) && path != wire::peer_path;
    client_server_.reply(request,
                         is_known ? http_status::method_not_allowed : http_status::not_found, "");
    perform_actions();
}

// --- requests from the other controllers

void Gateway::serve_peer(std::uint64_t request, const HttpMessage& message) {
    HandledMessage scope({peer_listener, message.method, message.target, message.body});
    route_peer(request, message);
}

void Gateway::route_peer(std::uint64_t request, const HttpMessage& message) {
    if (message.method != "POST" || message.target != wire::peer_path) {
        peer_server_.reply(request, http_status::not_found, "");
        return;
    }
    HandledMessage::set_step("decode_peer_call");
    auto decoded = wire::decode_peer_call(message.body);
    if (!decoded) {
        refused_messages_.count(wire::peer_path, decoded.error().message);
        peer_server_.reply(request, http_status::bad_request, "");
        return;
    }
    HandledMessage::set_step("peer_message");
    const core::PeerCall& call = decoded->call;
    controller_.peer_message(Loop::now(), decoded->from, call);
    if (call.relayed_heartbeat) {
        controller_.handle_heartbeat(Loop::now(), request, *call.relayed_heartbeat, true);
    } else {
        peer_server_.reply(request, http_status::ok, "");
    }
    perform_actions();
}

// --- the controller's actions

void Gateway::perform_actions() {
    if (is_performing_) {
        return;  // the outer call continues until no action is left
    }
    is_performing_ = true;
    while (true) {
        auto actions = controller_.take_actions();
        if (actions.empty()) {
            break;
        }
        for (const auto& action : actions) {
            std::visit([this](const auto& typed_action) { this->perform(typed_action); }, action);
        }
    }
    is_performing_ = false;
    set_reported_token(controller_.context().fencing_token);
}

void Gateway::perform(const core::UserReply& reply) {
    // A 503 closes the connection, so that the load balancer can choose another controller for the
    // next request.
    bool refused = reply.status == http_status::service_unavailable;
    spdlog::debug("request {}: reply {} to a user, job {} {} {}", reply.request, reply.status,
                  reply.uid, reply.state, reply.error);
    client_server_.reply(reply.request, reply.status, wire::encode_user_reply(reply),
                         refused ? reply.retry_after_s : 0, refused, sockets::ClientKind::user);
}

void Gateway::perform(const core::WorkerReply& reply) {
    spdlog::debug("request {}: reply {} to a worker, token {}, {} commands, owner {}",
                  reply.request, reply.status, reply.token, reply.commands.size(), reply.owner);
    if (peer_server_.is_pending(reply.request)) {
        peer_server_.reply(reply.request, http_status::ok, wire::encode_peer_reply(reply));
    } else {
        client_server_.reply(reply.request, reply.status, wire::encode_worker_reply(reply), 0,
                             false, sockets::ClientKind::worker);
    }
}

void Gateway::perform(const core::StoreCall& call) {
    store_client_.call(call);
}

void Gateway::perform(const core::CloudCall& call) {
    cloud_client_.call(call);
}

void Gateway::perform(const core::WorkerCommandCall& call) {
    wire::HttpRequest request = wire::worker_request(call);
    worker_client(call.address)
        .request(request.method, request.target, request.body, constants::direct_command_timeout_s,
                 [this, id = call.id, address = call.address](const HttpMessage* response) {
                     handle_worker_response(id, address, response);
                 });
}

void Gateway::handle_worker_response(std::uint64_t call, const std::string& address,
                                     const HttpMessage* response) {
    HandledMessage scope({"machine", "", address, body_of(response)});
    core::WorkerCommandReply reply;
    if (response != nullptr) {
        auto decoded = wire::decode_worker_command_reply(response->status, response->body);
        if (decoded) {
            reply = std::move(*decoded);
        } else {
            refused_messages_.count("machine at " + address, decoded.error().message);
        }
    }
    controller_.worker_command_reply(Loop::now(), call, reply);
    perform_actions();
}

void Gateway::perform(const core::PeerCall& call) {
    auto peer = peer_clients_.find(call.peer);
    if (peer == peer_clients_.end()) {
        controller_.peer_reply(Loop::now(), call.id, false, std::nullopt);
        return;
    }
    double timeout_s =
        call.relayed_heartbeat ? constants::relay_timeout_s : constants::peer_heartbeat_interval_s;
    peer->second->request("POST", wire::peer_path, wire::encode_peer_call(settings_.name, call),
                          timeout_s,
                          [this, id = call.id, name = call.peer](const HttpMessage* response) {
                              handle_peer_response(id, name, response);
                          });
}

void Gateway::handle_peer_response(std::uint64_t call, const std::string& peer,
                                   const HttpMessage* response) {
    HandledMessage scope({"controller", "", peer, body_of(response)});
    bool answered = false;
    std::optional<core::WorkerReply> reply;
    if (response != nullptr) {
        auto decoded = wire::decode_peer_response(response->status, response->body);
        if (decoded) {
            answered = true;
            reply = std::move(*decoded);
        } else {
            refused_messages_.count("controller " + peer, decoded.error().message);
        }
    }
    controller_.peer_reply(Loop::now(), call, answered, reply);
    perform_actions();
}

void Gateway::perform(const core::LogLine& line) {
    switch (line.level) {
        case core::LogLine::Level::error:
            spdlog::error("{}", line.text);
            break;
        case core::LogLine::Level::info:
            spdlog::info("{}", line.text);
            break;
        case core::LogLine::Level::debug:
            spdlog::debug("{}", line.text);
            break;
    }
}

// --- connections to workers

HttpClient& Gateway::worker_client(const std::string& address) {
    auto& client = worker_clients_[address];
    if (!client) {
        client =
            std::make_unique<HttpClient>(loop_, address, constants::worker_client_connections_max,
                                         constants::peer_response_bytes_max);
    }
    return *client;
}

// Connections to workers are kept open for the next command up to a limit: after a failover there
// is one to each machine, and the sockets are needed for heartbeats.
void Gateway::prune_worker_clients() {
    double now = Loop::now().steady;
    auto clients_max =
        static_cast<std::size_t>(settings_.max_connections * constants::worker_clients_share);
    for (auto it = worker_clients_.begin(); it != worker_clients_.end();) {
        const HttpClient& client = *it->second;
        bool is_surplus = worker_clients_.size() > clients_max && !client.busy();
        bool is_idle = now - client.last_used() > constants::worker_client_idle_timeout_s;
        it = is_surplus || is_idle ? worker_clients_.erase(it) : std::next(it);
    }
}

}  // namespace cranemoor::io

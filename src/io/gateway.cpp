#include "io/gateway.hpp"

#include <spdlog/spdlog.h>

#include "core/model/constants.hpp"
#include "wire/peer_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor::io {

namespace c = core::constants;

namespace {
const std::string work = "/work";
}  // namespace

Gateway::Gateway(Loop& loop, const core::Settings& settings, core::Controller& controller)
    : loop_(loop),
      settings_(settings),
      controller_(controller),
      front_(loop, settings.serve_on,
             static_cast<std::size_t>(settings.max_connections * c::front_share),
             [this](std::uint64_t r, HttpMessage&& m) { serve(r, std::move(m)); }),
      back_(loop, settings.back, c::back_connections,
            [this](std::uint64_t r, HttpMessage&& m) { serve_back(r, std::move(m)); }),
      store_(loop, settings,
             [this](std::uint64_t id, const core::StoreReply& r) {
                 controller_.store_reply(loop_.now(), id, r);
                 act();
             }),
      cloud_(loop, settings,
             [this](std::uint64_t id, const core::CloudReply& r) {
                 controller_.cloud_reply(loop_.now(), id, r);
                 act();
             }),
      tick_(loop,
            [this] {
                controller_.tick(loop_.now());
                act();
            }),
      pruner_(loop, [this] { prune(); }) {
    for (const auto& p : settings.peers) {
        peers_[p.name] =
            std::make_unique<HttpClient>(loop, p.address, c::peer_connections, c::peer_answer_max);
    }
}

void Gateway::start() {
    controller_.start(loop_.now());
    act();
    tick_.start(c::core_tick_s, c::core_tick_s);
    pruner_.start(c::worker_prune_s, c::worker_prune_s);
}

void Gateway::serve(std::uint64_t request, HttpMessage&& m) {
    core::Now now = loop_.now();
    std::string path = m.target.substr(0, m.target.find('?'));
    if (path == "/healthz" && m.method == "GET") {
        front_.reply(request, controller_.healthy(now) ? 200 : 503, "");
        return;
    }
    if (path == "/hello" && m.method == "POST") {
        auto report = wire::decode_heartbeat_body(m.body);
        if (!report) {
            front_.reply(request, 400, "");
            return;
        }
        controller_.report(now, request, *report, false);
    } else if (path == work && m.method == "POST") {
        auto spec = wire::decode_submission(m.body);
        if (spec) {
            controller_.submit(now, request, *spec);
        } else {
            controller_.invalid(now, request, spec.error().uid, spec.error().error.message);
        }
    } else if (path.compare(0, work.size() + 1, work + "/") == 0) {
        std::string uid = path.substr(work.size() + 1);
        const std::string tail = "/cancel";
        bool cancel = uid.size() > tail.size() &&
                      uid.compare(uid.size() - tail.size(), tail.size(), tail) == 0;
        if (cancel) {
            uid.resize(uid.size() - tail.size());
        }
        if (m.method != (cancel ? "POST" : "GET")) {
            front_.reply(request, 405, "");
        } else if (!wire::is_valid_uid(uid)) {
            front_.reply(request, 404, "");  // nothing can have been accepted under such a name
        } else if (cancel) {
            controller_.cancel(now, request, uid);
        } else {
            controller_.poll(now, request, uid);
        }
    } else {
        bool known = path == "/healthz" || path == "/hello" || path == work;
        front_.reply(request, known ? 405 : 404, "");
    }
    act();
}

void Gateway::serve_back(std::uint64_t request, HttpMessage&& m) {
    if (m.method != "POST" || m.target != "/peer") {
        back_.reply(request, 404, "");
        return;
    }
    auto message = wire::decode_peer_call(m.body);
    if (!message) {
        back_.reply(request, 400, "");
        return;
    }
    controller_.peer_message(loop_.now(), message->from, message->call);
    if (message->call.relay) {
        controller_.report(loop_.now(), request, *message->call.relay, true);
    } else {
        back_.reply(request, 200, "");
    }
    act();
}

void Gateway::act() {
    if (acting_) {
        return;  // the outer call goes on until nothing is left
    }
    acting_ = true;
    while (true) {
        auto actions = controller_.take();
        if (actions.empty()) {
            break;
        }
        for (const auto& action : actions) {
            std::visit([this](const auto& a) { act(a); }, action);
        }
    }
    acting_ = false;
}

void Gateway::act(const core::UserReply& r) {
    // With 503 the connection is closed: the load balancer then picks a node anew.
    bool busy = r.status == 503;
    front_.reply(r.request, r.status, wire::encode_user_reply(r), busy ? r.retry_after_s : 0, busy,
                 sockets::ClientKind::user);
}

void Gateway::act(const core::WorkerReply& r) {
    if (back_.knows(r.request)) {
        back_.reply(r.request, 200, wire::encode_peer_reply(r));
    } else {
        front_.reply(r.request, r.status, wire::encode_worker_reply(r), 0, false,
                     sockets::ClientKind::worker);
    }
}

void Gateway::act(const core::StoreCall& call) {
    store_.call(call);
}

void Gateway::act(const core::CloudCall& call) {
    cloud_.call(call);
}

HttpClient& Gateway::worker(const std::string& address) {
    auto& client = workers_[address];
    if (!client) {
        client =
            std::make_unique<HttpClient>(loop_, address, c::worker_connections, c::peer_answer_max);
    }
    return *client;
}

void Gateway::act(const core::WorkerCommandCall& call) {
    bool status = call.agent_epoch == 0;
    worker(call.address)
        .request(status ? "GET" : "POST", status ? "/status" : "/orders",
                 status ? "" : wire::encode_worker_commands(call), c::order_timeout_s,
                 [this, id = call.id](const HttpMessage* m) {
                     core::WorkerCommandReply reply;
                     if (m != nullptr) {
                         reply.answered = true;
                         reply.executed = m->status == 200;
                         reply.heartbeat = wire::decode_heartbeat_body(m->body).to_optional();
                     }
                     controller_.worker_command_reply(loop_.now(), id, reply);
                     act();
                 });
}

void Gateway::act(const core::PeerCall& call) {
    auto it = peers_.find(call.peer);
    if (it == peers_.end()) {
        controller_.peer_reply(loop_.now(), call.id, false, std::nullopt);
        return;
    }
    it->second->request("POST", "/peer", wire::encode_peer_call(settings_.name, call),
                        call.relay ? c::relay_timeout_s : c::peer_beat_s,
                        [this, id = call.id](const HttpMessage* m) {
                            std::optional<core::WorkerReply> reply;
                            if (m != nullptr && m->status == 200 && !m->body.empty()) {
                                reply = wire::decode_peer_reply(m->body).to_optional();
                            }
                            controller_.peer_reply(loop_.now(), id, m != nullptr, reply);
                            act();
                        });
}

void Gateway::act(const core::LogLine& line) {
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

// Connections to workers are kept for the next command, unless they are many: after a take-over
// there is one to each machine, and the sockets are needed for their reports.
void Gateway::prune() {
    double t = loop_.now().steady;
    auto most = static_cast<std::size_t>(settings_.max_connections * c::orders_share);
    for (auto it = workers_.begin(); it != workers_.end();) {
        bool spare = workers_.size() > most && !it->second->busy();
        bool idle = spare || t - it->second->last_used() > c::worker_idle_s;
        it = idle ? workers_.erase(it) : std::next(it);
    }
}

}  // namespace cranemoor::io

#include "io/http_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <vector>

#include "core/model/constants.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

std::uint64_t HttpServer::next_request_ = 0;

HttpServer::HttpServer(Loop& loop, const std::string& address, std::size_t connections_max,
                       Handler handler)
    : loop_(loop),
      connections_max_(connections_max),
      handler_(std::move(handler)),
      sweeper_(loop, [this] { sweep(); }) {
    int fd = listen_on(address);
    if (fd < 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    listener_ = std::make_unique<Descriptor>(loop_, fd, [this](int) { accept(); });
    listener_->watch(EV_READ);
    sweeper_.start(constants::connection_sweep_s, constants::connection_sweep_s);
}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
    for (int i = 0; i < constants::accept_batch; ++i) {
        int fd = ::accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (connections_.size() >= connections_max_ && !make_room()) {
            ::close(fd);
            continue;
        }
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::uint64_t id = ++next_connection_;
        auto c = std::make_unique<Connection>();
        c->descriptor =
            std::make_unique<Descriptor>(loop_, fd, [this, id](int events) { ready(id, events); });
        c->descriptor->watch(EV_READ);
        c->active = loop_.now().steady;
        await(id, *c);
        connections_[id] = std::move(c);
    }
}

void HttpServer::await(std::uint64_t id, Connection& c) {
    partial_.erase({c.since, id});
    c.partial = true;
    c.since = loop_.now().steady;
    partial_.insert({c.since, id});
}

void HttpServer::complete(std::uint64_t id, Connection& c) {
    partial_.erase({c.since, id});
    c.partial = false;
}

void HttpServer::rest(std::uint64_t id, Connection& c) {
    c.idle = true;
    c.active = loop_.now().steady;
    idle_.insert({c.rank, c.active, id});
}

void HttpServer::wake(std::uint64_t id, Connection& c) {
    if (std::exchange(c.idle, false)) {
        idle_.erase({c.rank, c.active, id});
    }
}

// Guards against senders of half requests, who could hold every socket until their time is over
// while health checks find none: the oldest half makes room. Else the idle ones do, in the order of
// their standing: while two of three controllers stand still, all workers and users come here.
bool HttpServer::make_room() {
    double t = loop_.now().steady;
    if (!partial_.empty() && t - partial_.begin()->first >= constants::half_sent_spare_s) {
        close(partial_.begin()->second);
        return true;
    }
    // The oldest of each rank.
    for (auto it = idle_.begin(); it != idle_.end();
         it = idle_.lower_bound({std::get<0>(*it) + 1, 0, 0})) {
        if (t - std::get<1>(*it) >= constants::idle_spare_s) {
            close(std::get<2>(*it));
            return true;
        }
    }
    return false;
}

void HttpServer::ready(std::uint64_t id, int events) {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    if ((events & EV_WRITE) != 0 && !write(id, *it->second)) {
        return;
    }
    if ((events & EV_READ) != 0) {
        read(id, *it->second);
    }
}

void HttpServer::read(std::uint64_t id, Connection& c) {
    std::array<char, 16384> chunk{};
    ssize_t n = ::recv(c.descriptor->fd(), chunk.data(), chunk.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close(id);
        return;
    }
    wake(id, c);
    c.active = loop_.now().steady;
    if (c.closing) {
        return;  // answered for good; what still comes is not read
    }
    if (c.request == 0 && c.parser.idle()) {
        await(id, c);
    }
    process(id, c.parser.feed({chunk.data(), static_cast<std::size_t>(n)}));
}

void HttpServer::process(std::uint64_t id, HttpParser::State state) {
    Connection& c = *connections_.at(id);
    if (c.request != 0) {
        return;  // the next request waits for this one's answer
    }
    switch (state) {
        case HttpParser::State::more:
            if (c.parser.wants_continue()) {
                c.out += "HTTP/1.1 100 Continue\r\n\r\n";
                write(id, c);
            }
            break;
        case HttpParser::State::bad:
        case HttpParser::State::too_large:
            c.out += http_response(state == HttpParser::State::bad ? 400 : 413, "", false);
            c.closing = true;
            write(id, c);
            break;
        case HttpParser::State::complete: {
            HttpMessage message = c.parser.take();
            complete(id, c);
            c.keep_alive = message.keep_alive;
            c.request = ++next_request_;
            requests_[c.request] = id;
            handler_(c.request, std::move(message));
            break;
        }
    }
}

void HttpServer::reply(std::uint64_t request, int status, const std::string& body,
                       int retry_after_s, bool close, sockets::ClientKind client) {
    auto it = requests_.find(request);
    if (it == requests_.end()) {
        return;  // the asker has gone
    }
    std::uint64_t id = it->second;
    requests_.erase(it);
    auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    Connection& c = *found->second;
    auto policy = sockets::shed_policy(client);
    c.rank = policy.rank;
    bool keep =
        c.keep_alive && !close && sockets::keep_open(policy, connections_.size(), connections_max_);
    c.out += http_response(status, body, keep, retry_after_s);
    c.request = 0;
    c.closing = !keep;
    if (write(id, c) && keep) {
        if (c.parser.idle()) {
            rest(id, c);
        } else {
            await(id, c);
        }
        process(id, c.parser.feed({}));
    }
}

bool HttpServer::write(std::uint64_t id, Connection& c) {
    while (!c.out.empty()) {
        ssize_t n = ::send(c.descriptor->fd(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (n <= 0) {
            close(id);
            return false;
        }
        c.out.erase(0, static_cast<std::size_t>(n));
        if (!c.idle) {
            c.active = loop_.now().steady;
        }
    }
    if (c.out.empty() && c.closing) {
        close(id);
        return false;
    }
    c.descriptor->watch(c.out.empty() ? EV_READ : EV_READ | EV_WRITE);
    return true;
}

void HttpServer::close(std::uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    wake(id, *it->second);
    if (it->second->request != 0) {
        requests_.erase(it->second->request);
    }
    partial_.erase({it->second->since, id});
    connections_.erase(it);
}

void HttpServer::sweep() {
    double t = loop_.now().steady;
    std::vector<std::uint64_t> stale;
    for (const auto& [id, c] : connections_) {
        if (c->request != 0 && c->out.empty()) {
            continue;  // it waits for us
        }
        // A request has its time from its first byte: one more byte now and then buys none.
        bool half = c->partial && !c->parser.idle();
        bool idle = !half && c->out.empty();
        double limit = idle ? constants::idle_timeout_s : constants::request_timeout_s;
        if (t - (half ? c->since : c->active) > limit) {
            stale.push_back(id);
        }
    }
    for (auto id : stale) {
        close(id);
    }
}

}  // namespace cranemoor::io

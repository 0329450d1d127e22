#include "io/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cranemoor::io {

HttpClient::HttpClient(Loop& loop, std::string address, std::size_t connections_max,
                       std::size_t body_max)
    : loop_(loop),
      address_(std::move(address)),
      connections_max_(connections_max),
      body_max_(body_max),
      queue_timer_(loop, [this] { expire(); }) {}

HttpClient::~HttpClient() = default;

void HttpClient::request(const std::string& method, const std::string& target,
                         const std::string& body, double timeout_s, Done done) {
    auto call = std::make_unique<Call>();
    call->method = method;
    call->target = target;
    call->body = body;
    call->deadline = loop_.now().steady + timeout_s;
    call->done = std::move(done);
    last_used_ = loop_.now().steady;
    queue_.push_back(std::move(call));
    pump();
}

bool HttpClient::busy() const {
    return !queue_.empty() || std::any_of(connections_.begin(), connections_.end(),
                                          [](const auto& c) { return c.second->call != nullptr; });
}

void HttpClient::pump() {
    while (!queue_.empty()) {
        std::uint64_t id = 0;
        for (const auto& [n, c] : connections_) {
            if (!c->call) {
                id = n;
                break;
            }
        }
        if (id == 0 && connections_.size() < connections_max_) {
            int fd = connect_to(address_);
            if (fd >= 0) {
                id = ++next_;
                auto c = std::make_unique<Connection>(body_max_);
                c->descriptor = std::make_unique<Descriptor>(
                    loop_, fd, [this, id](int events) { ready(id, events); });
                connections_[id] = std::move(c);
            } else if (connections_.empty()) {
                // No socket to be had, and none that will free up: said at once. The answer is
                // given from the loop, never from inside the call that asked.
                queue_timer_.start(0);
                return;
            }
        }
        if (id == 0) {
            if (!queue_timer_.active()) {
                double wait = queue_.front()->deadline - loop_.now().steady;
                queue_timer_.start(std::max(0.0, wait));
            }
            return;
        }
        auto call = std::move(queue_.front());
        queue_.pop_front();
        start(id, std::move(call));
    }
}

void HttpClient::expire() {
    double t = loop_.now().steady;
    bool no_socket = connections_.empty();
    std::deque<std::unique_ptr<Call>> late;
    for (auto it = queue_.begin(); it != queue_.end();) {
        if (no_socket || (*it)->deadline <= t) {
            late.push_back(std::move(*it));
            it = queue_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto& call : late) {
        call->done(nullptr);
    }
    pump();
}

void HttpClient::start(std::uint64_t id, std::unique_ptr<Call> call) {
    Connection& c = *connections_.at(id);
    c.out = http_request(call->method, call->target, address_, call->body);
    c.answered = false;
    c.timer = std::make_unique<Timer>(loop_, [this, id] { finish(id, nullptr, false); });
    c.timer->start(std::max(0.001, call->deadline - loop_.now().steady));
    c.call = std::move(call);
    c.descriptor->watch(EV_READ | EV_WRITE);
}

void HttpClient::ready(std::uint64_t id, int events) {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    Connection& c = *it->second;
    if ((events & EV_WRITE) != 0 && !c.out.empty()) {
        ssize_t n = ::send(c.descriptor->fd(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
            fail(id);
            return;
        }
        if (n > 0) {
            c.out.erase(0, static_cast<std::size_t>(n));
        }
    }
    if ((events & EV_READ) != 0) {
        std::array<char, 16384> chunk{};
        ssize_t n = ::recv(c.descriptor->fd(), chunk.data(), chunk.size(), 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        HttpParser::State state = HttpParser::State::more;
        if (n <= 0) {
            state = c.call && n == 0 ? c.parser.end() : HttpParser::State::bad;
            if (state != HttpParser::State::complete) {
                fail(id);
                return;
            }
        } else {
            c.answered = true;
            state = c.parser.feed({chunk.data(), static_cast<std::size_t>(n)});
        }
        if (state == HttpParser::State::complete) {
            HttpMessage message = c.parser.take();
            finish(id, &message, message.keep_alive && n > 0);
            return;
        }
        if (state != HttpParser::State::more) {
            fail(id);
            return;
        }
    }
    c.descriptor->watch(c.out.empty() ? EV_READ : EV_READ | EV_WRITE);
}

void HttpClient::fail(std::uint64_t id) {
    Connection& c = *connections_.at(id);
    // A kept connection that the other side closed just as we used it: said again once, on a
    // new one. It may have been executed, but then the answer to the second says so as well as
    // none would; only GETs are repeated.
    if (c.call && !c.fresh && !c.answered && !c.call->retried && c.call->method == "GET") {
        auto call = std::move(c.call);
        call->retried = true;
        connections_.erase(id);
        queue_.push_front(std::move(call));
        pump();
        return;
    }
    finish(id, nullptr, false);
}

void HttpClient::finish(std::uint64_t id, const HttpMessage* message, bool keep) {
    Connection& c = *connections_.at(id);
    auto call = std::move(c.call);
    c.timer.reset();
    c.fresh = false;
    if (keep && message != nullptr) {
        c.out.clear();
        c.descriptor->watch(EV_READ);
    } else {
        connections_.erase(id);
    }
    if (call) {
        call->done(message);
    }
    pump();
}

}  // namespace cranemoor::io

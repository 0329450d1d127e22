#include "io/http_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace cranemoor::io {

namespace {

constexpr std::size_t read_bytes_max = 16384;  // per recv() call
constexpr double timeout_min_s = 0.001;        // a timer must not be set to a past time

bool is_temporary(int error) {
    return error == EAGAIN || error == EINTR;
}

}  // namespace

HttpClient::HttpClient(Loop& loop, std::string address, std::size_t connections_max,
                       std::size_t body_bytes_max)
    : loop_(loop),
      address_(std::move(address)),
      connections_max_(connections_max),
      body_bytes_max_(body_bytes_max),
      queue_timer_(loop, [this] { expire_queued(); }) {}

HttpClient::~HttpClient() = default;

void HttpClient::request(const std::string& method, const std::string& target,
                         const std::string& body, double timeout_s, Callback callback) {
    auto call = std::make_unique<Call>();
    call->method = method;
    call->target = target;
    call->body = body;
    call->deadline = Loop::now().steady + timeout_s;
    call->callback = std::move(callback);
    last_used_ = Loop::now().steady;
    queue_.push_back(std::move(call));
    send_queued();
}

bool HttpClient::busy() const {
    return !queue_.empty() ||
           std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second->call != nullptr; });
}

// --- the queue

// Sends queued calls while connections are idle or can be opened, and sets the expiry timer for the
// rest.
void HttpClient::send_queued() {
    while (!queue_.empty()) {
        std::optional<std::uint64_t> id = find_idle_connection();
        if (!id && connections_.size() < connections_max_) {
            id = open_connection();
            if (!id && connections_.empty()) {
                // No socket is available and none will become idle: all calls fail. They fail from
                // the event loop, because request() must never invoke a callback itself.
                queue_timer_.start(0);
                return;
            }
        }
        if (!id) {
            if (!queue_timer_.active()) {
                double wait_s = queue_.front()->deadline - Loop::now().steady;
                queue_timer_.start(std::max(0.0, wait_s));
            }
            return;
        }
        auto call = std::move(queue_.front());
        queue_.pop_front();
        start(*id, std::move(call));
    }
}

std::optional<std::uint64_t> HttpClient::find_idle_connection() const {
    for (const auto& [id, connection] : connections_) {
        if (!connection->call) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> HttpClient::open_connection() {
    int fd = connect_to(address_);
    if (fd < 0) {
        return std::nullopt;
    }
    std::uint64_t id = ++last_connection_id_;
    auto connection = std::make_unique<Connection>(body_bytes_max_);
    connection->descriptor = std::make_unique<Descriptor>(
        loop_, fd, [this, id](int events) { handle_events(id, events); });
    connections_[id] = std::move(connection);
    return id;
}

// Fails the queued calls whose deadline has passed, or all of them if no connection is open.
void HttpClient::expire_queued() {
    double now = Loop::now().steady;
    bool no_connection = connections_.empty();
    std::deque<std::unique_ptr<Call>> expired;
    for (auto it = queue_.begin(); it != queue_.end();) {
        if (no_connection || (*it)->deadline <= now) {
            expired.push_back(std::move(*it));
            it = queue_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto& call : expired) {
        call->callback(nullptr);
    }
    send_queued();
}

// --- calls in progress

void HttpClient::start(std::uint64_t id, std::unique_ptr<Call> call) {
    Connection& connection = *connections_.at(id);
    connection.output = http_request(call->method, call->target, address_, call->body);
    connection.response_has_begun = false;
    connection.timer = std::make_unique<Timer>(loop_, [this, id] { finish(id, nullptr, false); });
    connection.timer->start(std::max(timeout_min_s, call->deadline - Loop::now().steady));
    connection.call = std::move(call);
    connection.descriptor->watch(EV_READ | EV_WRITE);
}

void HttpClient::handle_events(std::uint64_t id, int events) {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    Connection& connection = *it->second;
    if ((events & EV_WRITE) != 0 && !write(id, connection)) {
        return;
    }
    if ((events & EV_READ) != 0 && !read(id, connection)) {
        return;
    }
    connection.descriptor->watch(connection.output.empty() ? EV_READ : EV_READ | EV_WRITE);
}

bool HttpClient::write(std::uint64_t id, Connection& connection) {
    std::string& output = connection.output;
    if (output.empty()) {
        return true;
    }
    ssize_t size = ::send(connection.descriptor->fd(), output.data(), output.size(), MSG_NOSIGNAL);
    if (size < 0 && !is_temporary(errno) && errno != ENOTCONN) {
        fail(id);
        return false;
    }
    if (size > 0) {
        output.erase(0, static_cast<std::size_t>(size));
    }
    return true;
}

bool HttpClient::read(std::uint64_t id, Connection& connection) {
    std::array<char, read_bytes_max> bytes{};
    ssize_t size = ::recv(connection.descriptor->fd(), bytes.data(), bytes.size(), 0);
    if (size < 0 && is_temporary(errno)) {
        return false;  // the watched events stay unchanged
    }
    HttpParser::State state = HttpParser::State::bad;
    if (size > 0) {
        connection.response_has_begun = true;
        state = connection.parser.feed({bytes.data(), static_cast<std::size_t>(size)});
    } else if (size == 0 && connection.call &&
               connection.parser.end() == HttpParser::State::complete) {
        state = HttpParser::State::complete;
    }
    if (state == HttpParser::State::complete) {
        HttpMessage response = connection.parser.take();
        finish(id, &response, response.keep_alive && size > 0);
        return false;
    }
    if (state != HttpParser::State::incomplete) {
        fail(id);
        return false;
    }
    return true;
}

void HttpClient::fail(std::uint64_t id) {
    Connection& connection = *connections_.at(id);
    // The server closed a keep-alive connection just as it was reused: the call is retried once, on
    // another connection. The first request may have been executed nevertheless, so only GETs are
    // retried.
    bool was_stale_connection =
        connection.call && !connection.is_new && !connection.response_has_begun;
    if (was_stale_connection && !connection.call->is_retry && connection.call->method == "GET") {
        auto call = std::move(connection.call);
        call->is_retry = true;
        connections_.erase(id);
        queue_.push_front(std::move(call));
        send_queued();
        return;
    }
    finish(id, nullptr, false);
}

void HttpClient::finish(std::uint64_t id, const HttpMessage* response, bool keep) {
    Connection& connection = *connections_.at(id);
    auto call = std::move(connection.call);
    connection.timer.reset();
    connection.is_new = false;
    if (keep && response != nullptr) {
        connection.output.clear();
        connection.descriptor->watch(EV_READ);
    } else {
        connections_.erase(id);
    }
    if (call) {
        call->callback(response);
    }
    send_queued();
}

}  // namespace cranemoor::io

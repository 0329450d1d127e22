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
#include "io/http_status.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr std::size_t read_bytes_max = 16384;  // per recv() call
constexpr const char* continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

std::uint64_t last_request_id = 0;  // request ids are unique within the process

}  // namespace

HttpServer::HttpServer(Loop& loop, const std::string& address, std::size_t connections_max,
                       Handler handler)
    : loop_(loop),
      connections_max_(connections_max),
      handler_(std::move(handler)),
      timeout_timer_(loop, [this] { close_timed_out(); }) {
    int fd = listen_on(address);
    if (fd < 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    listener_ = std::make_unique<Descriptor>(loop_, fd, [this](int) { accept_batch(); });
    listener_->watch(EV_READ);
    timeout_timer_.start(constants::connection_check_interval_s,
                         constants::connection_check_interval_s);
}

HttpServer::~HttpServer() = default;

// --- connections

void HttpServer::accept_batch() {
    for (int i = 0; i < constants::accept_batch_connections_max; ++i) {
        int fd = ::accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (connections_.size() >= connections_max_ && !shed_one()) {
            ::close(fd);
            continue;
        }
        accept(fd);
    }
}

void HttpServer::accept(int fd) {
    int enable = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    std::uint64_t id = ++last_connection_id_;
    auto connection = std::make_unique<Connection>();
    connection->descriptor = std::make_unique<Descriptor>(
        loop_, fd, [this, id](int events) { handle_events(id, events); });
    connection->descriptor->watch(EV_READ);
    connection->last_active = Loop::now().steady;
    begin_request(id, *connection);
    connections_[id] = std::move(connection);
}

void HttpServer::begin_request(std::uint64_t id, Connection& connection) {
    incomplete_.erase({connection.request_started, id});
    connection.awaits_request = true;
    connection.request_started = Loop::now().steady;
    incomplete_.insert({connection.request_started, id});
}

void HttpServer::complete_request(std::uint64_t id, Connection& connection) {
    incomplete_.erase({connection.request_started, id});
    connection.awaits_request = false;
}

void HttpServer::mark_idle(std::uint64_t id, Connection& connection) {
    connection.is_idle = true;
    connection.last_active = Loop::now().steady;
    idle_.insert({connection.shed_rank, connection.last_active, id});
}

void HttpServer::mark_active(std::uint64_t id, Connection& connection) {
    if (std::exchange(connection.is_idle, false)) {
        idle_.erase({connection.shed_rank, connection.last_active, id});
    }
}

// Closes one connection to make room for a new one. Guards against clients that send incomplete
// requests and could occupy every socket until their timeout, so that health checks fail: the
// oldest incomplete request is closed first. Otherwise an idle connection is closed, in the order
// of the shedding policy: while two of three controllers are out of service, all workers and users
// connect to this one.
bool HttpServer::shed_one() {
    double now = Loop::now().steady;
    if (!incomplete_.empty() &&
        now - incomplete_.begin()->started >= constants::shed_incomplete_min_s) {
        close(incomplete_.begin()->id);
        return true;
    }
    // Considers the longest idle connection of each rank.
    for (auto it = idle_.begin(); it != idle_.end();
         it = idle_.lower_bound({it->shed_rank + 1, 0, 0})) {
        if (now - it->since >= constants::shed_idle_min_s) {
            close(it->id);
            return true;
        }
    }
    return false;
}

void HttpServer::close(std::uint64_t id) {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    Connection& connection = *it->second;
    mark_active(id, connection);
    if (connection.request != 0) {
        requests_.erase(connection.request);
    }
    incomplete_.erase({connection.request_started, id});
    connections_.erase(it);
}

void HttpServer::close_timed_out() {
    double now = Loop::now().steady;
    std::vector<std::uint64_t> timed_out;
    for (const auto& [id, connection] : connections_) {
        if (is_timed_out(*connection, now)) {
            timed_out.push_back(id);
        }
    }
    for (auto id : timed_out) {
        close(id);
    }
}

bool HttpServer::is_timed_out(const Connection& connection, double now) {
    if (connection.request != 0 && connection.output.empty()) {
        return false;  // the client is waiting for our response
    }
    // The timeout of a request counts from its first byte, so that a client cannot extend it by
    // trickling bytes.
    bool is_incomplete = connection.awaits_request && !connection.parser.idle();
    bool is_idle = !is_incomplete && connection.output.empty();
    double timeout_s = is_idle ? constants::idle_timeout_s : constants::request_timeout_s;
    double since = is_incomplete ? connection.request_started : connection.last_active;
    return now - since > timeout_s;
}

// --- requests and responses

void HttpServer::handle_events(std::uint64_t id, int events) {
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

void HttpServer::read(std::uint64_t id, Connection& connection) {
    std::array<char, read_bytes_max> bytes{};
    ssize_t size = ::recv(connection.descriptor->fd(), bytes.data(), bytes.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size <= 0) {
        close(id);
        return;
    }
    mark_active(id, connection);
    connection.last_active = Loop::now().steady;
    if (connection.is_closing) {
        return;  // the last response is queued; further input is discarded
    }
    if (connection.request == 0 && connection.parser.idle()) {
        begin_request(id, connection);
    }
    process(id, connection.parser.feed({bytes.data(), static_cast<std::size_t>(size)}));
}

void HttpServer::process(std::uint64_t id, HttpParser::State state) {
    Connection& connection = *connections_.at(id);
    if (connection.request != 0) {
        return;  // pipelined requests wait for this one's response
    }
    switch (state) {
        case HttpParser::State::incomplete:
            if (connection.parser.wants_continue()) {
                connection.output += continue_response;
                write(id, connection);
            }
            break;
        case HttpParser::State::bad:
            reject(id, connection, http_status::bad_request);
            break;
        case HttpParser::State::too_large:
            reject(id, connection, http_status::payload_too_large);
            break;
        case HttpParser::State::complete:
            dispatch(id, connection);
            break;
    }
}

void HttpServer::dispatch(std::uint64_t id, Connection& connection) {
    HttpMessage message = connection.parser.take();
    complete_request(id, connection);
    connection.keep_alive = message.keep_alive;
    connection.request = ++last_request_id;
    requests_[connection.request] = id;
    handler_(connection.request, std::move(message));
}

void HttpServer::reject(std::uint64_t id, Connection& connection, int status) {
    if (on_reject) {
        on_reject(connection.parser.target(), status);
    }
    connection.output += http_response(status, "", false);
    connection.is_closing = true;
    write(id, connection);
}

void HttpServer::reply(std::uint64_t request, int status, const std::string& body,
                       int retry_after_s, bool close, sockets::ClientKind client) {
    auto it = requests_.find(request);
    if (it == requests_.end()) {
        return;  // the client has disconnected
    }
    std::uint64_t id = it->second;
    requests_.erase(it);
    auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    Connection& connection = *found->second;
    auto policy = sockets::shed_policy(client);
    connection.shed_rank = policy.rank;
    bool keep = connection.keep_alive && !close &&
                sockets::keep_open(policy, connections_.size(), connections_max_);
    connection.output += http_response(status, body, keep, retry_after_s);
    connection.request = 0;
    connection.is_closing = !keep;
    if (!write(id, connection) || !keep) {
        return;
    }
    if (connection.parser.idle()) {
        mark_idle(id, connection);
    } else {
        begin_request(id, connection);
    }
    process(id, connection.parser.feed({}));
}

bool HttpServer::write(std::uint64_t id, Connection& connection) {
    std::string& output = connection.output;
    while (!output.empty()) {
        ssize_t size =
            ::send(connection.descriptor->fd(), output.data(), output.size(), MSG_NOSIGNAL);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (size <= 0) {
            close(id);
            return false;
        }
        output.erase(0, static_cast<std::size_t>(size));
        if (!connection.is_idle) {
            connection.last_active = Loop::now().steady;
        }
    }
    if (output.empty() && connection.is_closing) {
        close(id);
        return false;
    }
    connection.descriptor->watch(output.empty() ? EV_READ : EV_READ | EV_WRITE);
    return true;
}

}  // namespace cranemoor::io

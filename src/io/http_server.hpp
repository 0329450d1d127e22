/// HTTP/1.1 server on one address. Each connection has one request in progress at a time; responses
/// are asynchronous and may be sent in any order across connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "core/model/constants.hpp"
#include "io/http_parser.hpp"
#include "io/loop.hpp"
#include "sockets/connection_shedding.hpp"

namespace cranemoor::io {

/// Passes requests to a handler and closes idle connections when the limit on connections is
/// reached (sockets/connection_shedding.hpp).
class HttpServer {
  public:
    /// Called with each complete request and the id to pass to `reply()`; ids are unique within the
    /// process. The handler may reply immediately or later.
    using Handler = std::function<void(std::uint64_t request, HttpMessage&& message)>;

    /// Listens on `address` (IPv4, "host:port") with at most `connections_max` connections. Throws
    /// `std::runtime_error` if it cannot listen.
    HttpServer(Loop& loop, const std::string& address, std::size_t connections_max,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Responds to a request; does nothing if its connection has closed. A `retry_after_s` of 0
    /// omits the Retry-After header, `close` closes the connection afterwards, and `client` selects
    /// the shedding policy of the connection.
    void reply(std::uint64_t request, int status, const std::string& body, int retry_after_s = 0,
               bool close = false, sockets::ClientKind client = sockets::ClientKind::unknown);
    /// Whether a request of this server still awaits its response.
    bool is_pending(std::uint64_t request) const { return requests_.contains(request); }
    /// Called with the target and the status of each request that is rejected before it reaches the
    /// handler; the target is empty if it was not read. Optional.
    std::function<void(const std::string& target, int status)> on_reject;
    /// Number of open connections.
    std::size_t connections() const { return connections_.size(); }

  private:
    // Times are in seconds on the steady clock.
    struct Connection {
        Connection() : parser(HttpParser::Role::request, core::constants::request_body_bytes_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string output;         // not yet sent
        std::uint64_t request = 0;  // id of the request in progress; 0: none
        bool keep_alive = true;
        bool is_closing = false;     // close once the output is sent
        double last_active = 0;      // when bytes were last sent or received
        double request_started = 0;  // start of the incomplete request, or the time of accept
        bool awaits_request = true;  // a request is incomplete, or the first has not arrived
        int shed_rank = 0;           // set by the last response, see sockets::ShedPolicy
        bool is_idle = false;        // the last response is queued and no new request has started
    };

    void accept_batch();
    void accept(int fd);
    void handle_events(std::uint64_t id, int events);
    void read(std::uint64_t id, Connection& connection);
    void process(std::uint64_t id, HttpParser::State state);
    void dispatch(std::uint64_t id, Connection& connection);
    void reject(std::uint64_t id, Connection& connection, int status);
    // Sends as much as the socket accepts. Returns false if the connection was closed.
    bool write(std::uint64_t id, Connection& connection);
    void close(std::uint64_t id);
    void close_timed_out();
    static bool is_timed_out(const Connection& connection, double now);

    void begin_request(std::uint64_t id, Connection& connection);
    void complete_request(std::uint64_t id, Connection& connection);
    void mark_idle(std::uint64_t id, Connection& connection);
    void mark_active(std::uint64_t id, Connection& connection);
    bool shed_one();

    // Key of an idle connection, in shedding order: by rank, then by the start of the idle time.
    struct IdleConnection {
        int shed_rank = 0;
        double since = 0;
        std::uint64_t id = 0;
        friend bool operator<(const IdleConnection& a, const IdleConnection& b) {
            return std::tie(a.shed_rank, a.since, a.id) < std::tie(b.shed_rank, b.since, b.id);
        }
    };
    // Key of a connection with an incomplete request, ordered by the start of the request.
    struct IncompleteRequest {
        double started = 0;
        std::uint64_t id = 0;
        friend bool operator<(const IncompleteRequest& a, const IncompleteRequest& b) {
            return std::tie(a.started, a.id) < std::tie(b.started, b.id);
        }
    };

    Loop& loop_;
    std::size_t connections_max_;
    Handler handler_;
    std::unique_ptr<Descriptor> listener_;
    Timer timeout_timer_;
    std::uint64_t last_connection_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::map<std::uint64_t, std::uint64_t> requests_;  // request id to connection id
    std::set<IncompleteRequest> incomplete_;
    std::set<IdleConnection> idle_;
};

}  // namespace cranemoor::io

// An HTTP/1.1 server on one address. One request at a time per connection; responses may come later
// and in any order between connections.
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

/// Serves requests through a handler and sheds connections when they run short
/// (sockets/connection_shedding.hpp).
class HttpServer {
  public:
    /// Called with each whole request and the id by which to reply; ids are unique within the
    /// process. It may reply at once or later.
    using Handler = std::function<void(std::uint64_t request, HttpMessage&& message)>;

    /// Listens on `address` ("host:port") with at most `connections_max` connections. Throws
    /// `std::runtime_error` if it can't listen.
    HttpServer(Loop& loop, const std::string& address, std::size_t connections_max,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Responds to a request; does nothing if its connection has gone. `retry_after_s` of 0 gives
    /// no Retry-After header, `close` ends the connection, and `client` decides how long it is
    /// kept.
    void reply(std::uint64_t request, int status, const std::string& body, int retry_after_s = 0,
               bool close = false, sockets::ClientKind client = sockets::ClientKind::unknown);
    /// Whether a request of this server waits for its response.
    bool knows(std::uint64_t request) const { return requests_.contains(request); }
    /// How many connections are open.
    std::size_t connections() const { return connections_.size(); }

  private:
    // Times are in seconds on the steady clock.
    struct Connection {
        Connection() : parser(HttpParser::Role::request, core::constants::request_body_bytes_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string output;         // still to be sent
        std::uint64_t request = 0;  // being served; 0: none
        bool keep_alive = true;
        bool is_closing = false;     // closed as soon as the output is sent
        double last_active = 0;      // when bytes last went either way
        double request_began = 0;    // when the request that is still incomplete began
        bool awaits_request = true;  // a request has begun, or is the first
        int shed_rank = 0;           // of its last response, see sockets::ShedPolicy
        bool is_idle = false;        // has its response, and nothing new has begun
    };

    void accept_batch();
    void accept(int fd);
    void handle_events(std::uint64_t id, int events);
    void read(std::uint64_t id, Connection& connection);
    void process(std::uint64_t id, HttpParser::State state);
    void dispatch(std::uint64_t id, Connection& connection);
    void reject(std::uint64_t id, Connection& connection, int status);
    // Sends what it can. False: the connection is gone.
    bool write(std::uint64_t id, Connection& connection);
    void close(std::uint64_t id);
    void close_timed_out();
    static bool is_timed_out(const Connection& connection, double now);

    void begin_request(std::uint64_t id, Connection& connection);
    void complete_request(std::uint64_t id, Connection& connection);
    void mark_idle(std::uint64_t id, Connection& connection);
    void mark_active(std::uint64_t id, Connection& connection);
    bool shed_one();

    // Idle connections by rank, then by the time since when, in the order in which they are shed.
    struct IdleConnection {
        int shed_rank = 0;
        double since = 0;
        std::uint64_t id = 0;
        friend bool operator<(const IdleConnection& a, const IdleConnection& b) {
            return std::tie(a.shed_rank, a.since, a.id) < std::tie(b.shed_rank, b.since, b.id);
        }
    };
    // Connections with an incomplete request, by the time when it began.
    struct IncompleteRequest {
        double began = 0;
        std::uint64_t id = 0;
        friend bool operator<(const IncompleteRequest& a, const IncompleteRequest& b) {
            return std::tie(a.began, a.id) < std::tie(b.began, b.id);
        }
    };

    Loop& loop_;
    std::size_t connections_max_;
    Handler handler_;
    std::unique_ptr<Descriptor> listener_;
    Timer timeout_timer_;
    std::uint64_t next_connection_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::map<std::uint64_t, std::uint64_t> requests_;  // request to connection
    std::set<IncompleteRequest> incomplete_;
    std::set<IdleConnection> idle_;
};

}  // namespace cranemoor::io

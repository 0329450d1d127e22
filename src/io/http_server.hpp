// An HTTP server on one address. One request at a time per connection; answers may come later
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

class HttpServer {
  public:
    using Handler = std::function<void(std::uint64_t request, HttpMessage&& message)>;

    HttpServer(Loop& loop, const std::string& address, std::size_t connections_max,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Requests carry ids that are unique within the process.
    void reply(std::uint64_t request, int status, const std::string& body, int retry_after_s = 0,
               bool close = false, sockets::ClientKind client = sockets::ClientKind::unknown);
    bool knows(std::uint64_t request) const { return requests_.count(request) != 0; }
    std::size_t connections() const { return connections_.size(); }

  private:
    struct Connection {
        Connection() : parser(HttpParser::Role::request, core::constants::body_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string out;
        std::uint64_t request = 0;  // being answered
        bool keep_alive = true;
        bool closing = false;
        double active = 0;    // when bytes last went either way
        double since = 0;     // when the request that is still to come whole began
        bool partial = true;  // such a one is awaited: it has begun, or is the first
        int rank = 0;         // of its last answer, see sockets::ShedPolicy
        bool idle = false;    // answered, and nothing new has begun
    };

    void accept();
    void ready(std::uint64_t id, int events);
    void read(std::uint64_t id, Connection& c);
    void process(std::uint64_t id, HttpParser::State state);
    bool write(std::uint64_t id, Connection& c);  // false: the connection is gone
    void close(std::uint64_t id);
    void sweep();
    // A request has begun, or is whole.
    void await(std::uint64_t id, Connection& c);
    void complete(std::uint64_t id, Connection& c);
    bool make_room();
    void rest(std::uint64_t id, Connection& c);
    void wake(std::uint64_t id, Connection& c);

    Loop& loop_;
    std::size_t connections_max_;
    Handler handler_;
    std::unique_ptr<Descriptor> listener_;
    Timer sweeper_;
    std::uint64_t next_connection_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::map<std::uint64_t, std::uint64_t> requests_;     // request to connection
    std::set<std::pair<double, std::uint64_t>> partial_;  // connections with such, oldest first
    // Idle connections by rank and by since when, in the order in which they make room.
    std::set<std::tuple<int, double, std::uint64_t>> idle_;
    static std::uint64_t next_request_;
};

}  // namespace cranemoor::io

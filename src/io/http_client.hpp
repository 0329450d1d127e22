/// HTTP client for one address: a small pool of keep-alive connections, each with one request in
/// flight.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "io/http_parser.hpp"
#include "io/loop.hpp"

namespace cranemoor::io {

/// Sends requests to one address and queues them while no connection is idle. A GET that fails
/// because a keep-alive connection was closed is retried once; nothing else is retried.
class HttpClient {
  public:
    /// Called with the response, or nullptr if there was none (timeout or connection error). Never
    /// called from inside `request()`.
    using Callback = std::function<void(const HttpMessage*)>;

    /// Opens at most `connections_max` connections to `address` ("host:port"). A response with a
    /// body over `body_bytes_max` bytes is treated as no response.
    HttpClient(Loop& loop, std::string address, std::size_t connections_max,
               std::size_t body_bytes_max);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request. `timeout_s` includes the time in the queue.
    void request(const std::string& method, const std::string& target, const std::string& body,
                 double timeout_s, Callback callback);
    /// Whether there are neither connections nor queued requests.
    bool unused() const { return connections_.empty() && queue_.empty(); }
    /// Whether a request is queued or in flight.
    bool busy() const;
    /// When the last request was made, in seconds on the steady clock.
    double last_used() const { return last_used_; }
    /// The server's address, "host:port".
    const std::string& address() const { return address_; }

  private:
    struct Call {
        std::string method;
        std::string target;
        std::string body;
        double deadline = 0;  // seconds on the steady clock
        Callback callback;
        bool is_retry = false;
    };
    struct Connection {
        explicit Connection(std::size_t body_bytes_max)
            : parser(HttpParser::Role::response, body_bytes_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string output;          // not yet sent
        std::unique_ptr<Call> call;  // in flight; null: the connection is idle
        std::unique_ptr<Timer> timer;
        bool is_new = true;               // has not completed a call yet
        bool response_has_begun = false;  // at least one byte was received
    };

    void send_queued();
    std::optional<std::uint64_t> find_idle_connection() const;
    std::optional<std::uint64_t> open_connection();
    void start(std::uint64_t id, std::unique_ptr<Call> call);
    void handle_events(std::uint64_t id, int events);
    // Both return false if event handling must stop: the connection may be gone, or the watched
    // events must stay as they are.
    bool write(std::uint64_t id, Connection& connection);
    bool read(std::uint64_t id, Connection& connection);
    void finish(std::uint64_t id, const HttpMessage* response, bool keep);
    void fail(std::uint64_t id);
    void expire_queued();

    Loop& loop_;
    std::string address_;
    std::size_t connections_max_;
    std::size_t body_bytes_max_;
    std::uint64_t last_connection_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::deque<std::unique_ptr<Call>> queue_;
    Timer queue_timer_;
    double last_used_ = 0;
};

}  // namespace cranemoor::io

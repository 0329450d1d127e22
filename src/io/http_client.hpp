// An HTTP client to one address: a few kept connections, each with one request at a time.
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

/// Sends requests to one address and queues what finds no free connection. A GET that fails because
/// a kept connection was closed is sent once more; nothing else is repeated.
class HttpClient {
  public:
    /// Called with the response, or nullptr if none came in time. Never called from inside
    /// `request()`.
    using Done = std::function<void(const HttpMessage*)>;

    /// Opens at most `connections_max` connections to `address` ("host:port"). A response with a
    /// body over `body_max` bytes counts as none.
    HttpClient(Loop& loop, std::string address, std::size_t connections_max, std::size_t body_max);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request; `timeout_s` includes the time in the queue.
    void request(const std::string& method, const std::string& target, const std::string& body,
                 double timeout_s, Done done);
    /// Whether it has no connection and no request.
    bool unused() const { return connections_.empty() && queue_.empty(); }
    /// Whether a request waits or is in progress.
    bool busy() const;
    /// When the last request was made, in seconds on the steady clock.
    double last_used() const { return last_used_; }
    /// The address it connects to.
    const std::string& address() const { return address_; }

  private:
    struct Call {
        std::string method;
        std::string target;
        std::string body;
        double deadline = 0;  // seconds on the steady clock
        Done done;
        bool is_retry = false;
    };
    struct Connection {
        explicit Connection(std::size_t body_max) : parser(HttpParser::Role::response, body_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string output;          // still to be sent
        std::unique_ptr<Call> call;  // in progress
        std::unique_ptr<Timer> timer;
        bool is_new = true;               // has not completed a call yet
        bool response_has_begun = false;  // bytes of a response have come
    };

    void send_queued();
    std::optional<std::uint64_t> free_connection() const;
    std::optional<std::uint64_t> open_connection();
    void start(std::uint64_t id, std::unique_ptr<Call> call);
    void handle_events(std::uint64_t id, int events);
    // Both return false if there is nothing more to do for the event.
    bool write(std::uint64_t id, Connection& connection);
    bool read(std::uint64_t id, Connection& connection);
    void finish(std::uint64_t id, const HttpMessage* response, bool keep);
    void fail(std::uint64_t id);
    void expire_queued();

    Loop& loop_;
    std::string address_;
    std::size_t connections_max_;
    std::size_t body_max_;
    std::uint64_t last_connection_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::deque<std::unique_ptr<Call>> queue_;
    Timer queue_timer_;
    double last_used_ = 0;
};

}  // namespace cranemoor::io

// An HTTP client to one address: a few kept connections, each with one request at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "io/http_parser.hpp"
#include "io/loop.hpp"

namespace cranemoor::io {

class HttpClient {
  public:
    // Called with the response, or nullptr when none came in time.
    using Done = std::function<void(const HttpMessage*)>;

    HttpClient(Loop& loop, std::string address, std::size_t connections_max, std::size_t body_max);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void request(const std::string& method, const std::string& target, const std::string& body,
                 double timeout_s, Done done);
    bool unused() const { return connections_.empty() && queue_.empty(); }
    // Whether a call waits or is under way.
    bool busy() const;
    double last_used() const { return last_used_; }
    const std::string& address() const { return address_; }

  private:
    struct Call {
        std::string method;
        std::string target;
        std::string body;
        double deadline = 0;
        Done done;
        bool retried = false;
    };
    struct Connection {
        explicit Connection(std::size_t body_max) : parser(HttpParser::Role::response, body_max) {}
        std::unique_ptr<Descriptor> descriptor;
        HttpParser parser;
        std::string out;
        std::unique_ptr<Call> call;
        std::unique_ptr<Timer> timer;
        bool fresh = true;      // has not served a request yet
        bool answered = false;  // bytes of an answer have come
    };

    void pump();
    void start(std::uint64_t id, std::unique_ptr<Call> call);
    void ready(std::uint64_t id, int events);
    void finish(std::uint64_t id, const HttpMessage* message, bool keep);
    void fail(std::uint64_t id);
    void expire();

    Loop& loop_;
    std::string address_;
    std::size_t connections_max_;
    std::size_t body_max_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::deque<std::unique_ptr<Call>> queue_;
    Timer queue_timer_;
    double last_used_ = 0;
};

}  // namespace cranemoor::io

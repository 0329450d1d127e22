// An incremental HTTP/1.1 parser for requests and responses: fed with bytes as they come, it
// yields one message at a time and never buffers more than its limits.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cranemoor::io {

struct HttpMessage {
    // requests
    std::string method;
    std::string target;
    // responses
    int status = 0;

    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;
    bool keep_alive = true;

    const std::string* header(std::string_view name) const;
};

class HttpParser {
  public:
    enum class Role { request, response };
    enum class State { more, complete, bad, too_large };

    HttpParser(Role role, std::size_t body_max) : role_(role), body_max_(body_max) {}

    // Takes bytes and returns how far the message is. After `complete`, take() yields it and the
    // parser goes on with what came behind it.
    State feed(std::string_view bytes);
    HttpMessage take();
    bool idle() const { return stage_ == Stage::start && buffer_.empty(); }
    // bytes held: of the message so far, and of what came behind it
    std::size_t held() const { return message_.body.size() + buffer_.size(); }
    // A client that waits for 100 Continue before it sends its body.
    bool wants_continue();
    // The peer closed: completes a response whose body ends with the connection.
    State end();

  private:
    enum class Stage {
        start,
        headers,
        body,
        chunk_size,
        chunk,
        chunk_end,
        trailers,
        until_close,
        complete,
        bad,
        too_large
    };

    State advance();
    bool line(std::string& out);
    bool start_line(const std::string& text);
    bool header_line(const std::string& text);
    void headers_done();
    State state() const;

    Role role_;
    std::size_t body_max_;
    Stage stage_ = Stage::start;
    std::string buffer_;
    std::size_t head_bytes_ = 0;
    std::size_t left_ = 0;
    bool continue_ = false;
    bool http_1_0_ = false;
    HttpMessage message_;
};

std::string http_request(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& body);
std::string http_response(int status, const std::string& body, bool keep_alive,
                          int retry_after_s = 0);

}  // namespace cranemoor::io

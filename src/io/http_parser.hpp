// An incremental HTTP/1.1 parser for requests and responses: fed with bytes as they come, it yields
// one message at a time and never buffers more than its limits.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemoor::io {

/// One request or response.
struct HttpMessage {
    std::string method;  ///< of a request
    std::string target;  ///< of a request: path and query
    int status = 0;      ///< of a response

    std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
    std::string body;
    bool keep_alive = true;  ///< whether the connection stays open behind it

    /// The value of the first header with this name, in lower case; nullptr if there is none.
    const std::string* header(std::string_view name) const;
};

/// Parses the messages of one connection (RFC 9112). Limits: `constants::head_bytes_max` bytes of
/// start line, headers and trailers, and `body_max` bytes of body.
class HttpParser {
  public:
    /// Which kind of messages it parses.
    enum class Role { request, response };
    /// How far the message is.
    enum class State { more, complete, bad, too_large };

    /// `body_max` is in bytes.
    HttpParser(Role role, std::size_t body_max) : role_(role), body_max_(body_max) {}

    /// Takes bytes and returns how far the message is. After `complete`, `take()` yields it and the
    /// parser goes on with what came behind it.
    State feed(std::string_view bytes);
    /// The complete message.
    HttpMessage take();
    /// Whether nothing of a message has come.
    bool idle() const { return stage_ == Stage::start && buffer_.empty(); }
    /// The bytes held: of the message so far, and of what came behind it.
    std::size_t held() const { return message_.body.size() + buffer_.size(); }
    /// Whether the client waits for "100 Continue" before it sends its body; true only once.
    bool wants_continue();
    /// The peer closed: completes a response whose body ends with the connection.
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
    // How the headers frame the body.
    struct Framing {
        bool is_chunked = false;
        const std::string* length = nullptr;
    };

    State advance();
    bool advance_stage();
    bool next_line(std::string& out);
    void parse_line(const std::string& line);
    bool parse_start_line(const std::string& text);
    bool parse_header_line(const std::string& text);
    void finish_headers();
    bool read_framing(Framing& framing);
    Stage body_stage(const Framing& framing);
    void parse_chunk_size(const std::string& line);
    bool take_body();
    void take_until_close();
    State state() const;

    Role role_;
    std::size_t body_max_;
    Stage stage_ = Stage::start;
    std::string buffer_;
    std::size_t head_bytes_ = 0;  // of start line and headers, or of the lines around chunks
    std::size_t remaining_ = 0;   // bytes still to come of the body or chunk
    bool expects_continue_ = false;
    bool is_http_1_0_ = false;
    HttpMessage message_;
};

/// The bytes of a request with a CBOR body. `host` is "host:port".
std::string http_request(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& body);

/// The bytes of a response with a CBOR body. `retry_after_s` of 0 gives no Retry-After header.
std::string http_response(int status, const std::string& body, bool keep_alive,
                          int retry_after_s = 0);

}  // namespace cranemoor::io

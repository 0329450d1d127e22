/// Incremental HTTP/1.1 parser for requests and responses. It yields one message at a time from the
/// bytes received so far and never buffers more than its limits.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranemoor::io {

/// A request or response.
struct HttpMessage {
    std::string method;  ///< requests only
    std::string target;  ///< requests only: path and query
    int status = 0;      ///< responses only

    std::vector<std::pair<std::string, std::string>> headers;  ///< names in lower case
    std::string body;
    bool keep_alive = true;  ///< whether the connection stays open after it

    /// The value of the first header with this name, or nullptr. `name` is in lower case.
    const std::string* header(std::string_view name) const;
};

/// The body of a response; empty if there is none.
inline std::string_view body_of(const HttpMessage* response) {
    return response == nullptr ? std::string_view() : std::string_view(response->body);
}

/// Parses the messages of one connection (RFC 9112). Limits: `constants::head_bytes_max` bytes of
/// start line, headers and trailers, and `body_bytes_max` bytes of body.
class HttpParser {
  public:
    /// The kind of messages to parse.
    enum class Role { request, response };
    /// Progress of the current message.
    enum class State { incomplete, complete, bad, too_large };

    /// `body_bytes_max` limits the body of each message.
    HttpParser(Role role, std::size_t body_bytes_max)
        : role_(role), body_bytes_max_(body_bytes_max) {}

    /// Parses more bytes and returns the progress of the message. After `complete`, `take()`
    /// returns the message and the next `feed()` continues with the bytes that followed it.
    State feed(std::string_view bytes);
    /// Returns the complete message and resets the parser for the next one.
    HttpMessage take();
    /// The target of the message so far; empty before its start line was read.
    const std::string& target() const { return message_.target; }
    /// Whether no byte of the next message has been received.
    bool idle() const { return stage_ == Stage::start && buffer_.empty(); }
    /// Bytes in memory: the body so far and the unparsed input.
    std::size_t buffered_bytes() const { return message_.body.size() + buffer_.size(); }
    /// Whether the client waits for "100 Continue" before it sends the body. Returns true only once
    /// per request.
    bool wants_continue();
    /// Call when the peer has closed the connection: completes a response whose body is delimited
    /// by the close.
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
    // Headers that determine the length of the body.
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
    std::size_t body_bytes_max_;
    Stage stage_ = Stage::start;
    std::string buffer_;
    std::size_t head_bytes_ = 0;  // of start line and headers, or of the chunk framing lines
    std::size_t remaining_ = 0;   // bytes of the body or chunk not yet received
    bool expects_continue_ = false;
    bool is_http_1_0_ = false;
    HttpMessage message_;
};

/// Encodes a request with a CBOR body. `host` is "host:port".
std::string http_request(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& body);

/// Encodes a response with a CBOR body. A `retry_after_s` of 0 omits the Retry-After header.
std::string http_response(int status, const std::string& body, bool keep_alive,
                          int retry_after_s = 0);

}  // namespace cranemoor::io

#include "io/http_parser.hpp"

#include <algorithm>
#include <cctype>

#include "core/model/constants.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr std::size_t content_length_digits_max = 12;  // keeps the parsed length from overflowing

// A `tchar` of RFC 9110, section 5.6.2.
bool is_token_char(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

std::string trim(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    while (!text.empty() && blanks.find(text.front()) != std::string_view::npos) {
        text.remove_prefix(1);
    }
    while (!text.empty() && blanks.find(text.back()) != std::string_view::npos) {
        text.remove_suffix(1);
    }
    return std::string(text);
}

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Whether a comma-separated list contains an element, ignoring case. `element` is in lower case.
bool list_contains(const std::string& list, std::string_view element) {
    std::string text = to_lower(list);
    std::size_t begin = 0;
    while (begin <= text.size()) {
        std::size_t comma = std::min(text.find(',', begin), text.size());
        if (trim(std::string_view(text).substr(begin, comma - begin)) == element) {
            return true;
        }
        begin = comma + 1;
    }
    return false;
}

bool is_digits(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Payload Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

}  // namespace

const std::string* HttpMessage::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (key == name) {
            return &value;
        }
    }
    return nullptr;
}

HttpParser::State HttpParser::state() const {
    switch (stage_) {
        case Stage::complete:
            return State::complete;
        case Stage::bad:
            return State::bad;
        case Stage::too_large:
            return State::too_large;
        default:
            return State::incomplete;
    }
}

HttpParser::State HttpParser::feed(std::string_view bytes) {
    buffer_.append(bytes);
    return advance();
}

HttpMessage HttpParser::take() {
    HttpMessage message = std::move(message_);
    message_ = HttpMessage();
    stage_ = Stage::start;
    head_bytes_ = 0;
    expects_continue_ = false;
    return message;
}

bool HttpParser::wants_continue() {
    bool is_waiting =
        expects_continue_ && stage_ == Stage::body && message_.body.empty() && buffer_.empty();
    if (is_waiting) {
        expects_continue_ = false;
    }
    return is_waiting;
}

HttpParser::State HttpParser::end() {
    if (stage_ == Stage::until_close) {
        stage_ = Stage::complete;
    }
    return state();
}

// Reads the next line into `out` without its line terminator. Returns false if the line is
// incomplete or the limit on header bytes is exceeded.
bool HttpParser::next_line(std::string& out) {
    std::size_t end = buffer_.find('\n');
    std::size_t line_bytes = end == std::string::npos ? buffer_.size() : end + 1;
    if (head_bytes_ + line_bytes > constants::head_bytes_max) {
        stage_ = Stage::bad;
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    head_bytes_ += line_bytes;
    out = buffer_.substr(0, end > 0 && buffer_[end - 1] == '\r' ? end - 1 : end);
    buffer_.erase(0, end + 1);
    return true;
}

bool HttpParser::parse_start_line(const std::string& text) {
    auto first_space = text.find(' ');
    if (first_space == std::string::npos) {
        return false;
    }
    std::string version;
    if (role_ == Role::request) {
        auto second_space = text.find(' ', first_space + 1);
        if (second_space == std::string::npos) {
            return false;
        }
        message_.method = text.substr(0, first_space);
        message_.target = text.substr(first_space + 1, second_space - first_space - 1);
        version = text.substr(second_space + 1);
        if (message_.method.empty() || message_.target.empty() ||
            !std::all_of(message_.method.begin(), message_.method.end(), is_token_char) ||
            std::any_of(message_.target.begin(), message_.target.end(),
                        [](unsigned char c) { return c <= ' ' || c == 0x7f; })) {
            return false;
        }
    } else {
        version = text.substr(0, first_space);
        std::string code = text.substr(first_space + 1, 3);
        if (code.size() != 3 || !std::all_of(code.begin(), code.end(), [](unsigned char c) {
                return std::isdigit(c) != 0;
            })) {
            return false;
        }
        message_.status = std::stoi(code);
    }
    is_http_1_0_ = version == "HTTP/1.0";
    return version == "HTTP/1.1" || is_http_1_0_;
}

bool HttpParser::parse_header_line(const std::string& text) {
    auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string name = text.substr(0, colon);
    if (!std::all_of(name.begin(), name.end(), is_token_char)) {
        return false;  // also rejects folded lines (obs-fold), which begin with white space
    }
    std::string value = trim(std::string_view(text).substr(colon + 1));
    if (std::any_of(value.begin(), value.end(),
                    [](unsigned char c) { return c < ' ' && c != '\t'; })) {
        return false;
    }
    message_.headers.emplace_back(to_lower(name), std::move(value));
    return true;
}

// Reads the headers that determine the length of the body. Returns false if they contradict each
// other.
bool HttpParser::read_framing(Framing& framing) {
    message_.keep_alive = !is_http_1_0_;
    for (const auto& [name, value] : message_.headers) {
        if (name == "connection") {
            if (list_contains(value, "close")) {
                message_.keep_alive = false;
            } else if (list_contains(value, "keep-alive")) {
                message_.keep_alive = true;
            }
        } else if (name == "transfer-encoding") {
            if (to_lower(value) != "chunked" || framing.is_chunked) {
                return false;
            }
            framing.is_chunked = true;
        } else if (name == "content-length") {
            // Two different lengths are a sign of request smuggling.
            if (framing.length != nullptr && *framing.length != value) {
                return false;
            }
            framing.length = &value;
        } else if (name == "expect" && to_lower(value) == "100-continue") {
            expects_continue_ = true;
        }
    }
    return !framing.is_chunked || framing.length == nullptr;
}

// The stage that follows the headers.
HttpParser::Stage HttpParser::body_stage(const Framing& framing) {
    bool is_response = role_ == Role::response;
    if (is_response &&
        (message_.status < 200 || message_.status == 204 || message_.status == 304)) {
        return Stage::complete;
    }
    if (framing.is_chunked) {
        return Stage::chunk_size;
    }
    if (framing.length == nullptr) {
        return is_response ? Stage::until_close : Stage::complete;
    }
    const std::string& length = *framing.length;
    if (length.empty() || !is_digits(length)) {
        return Stage::bad;
    }
    if (length.size() > content_length_digits_max || std::stoull(length) > body_bytes_max_) {
        return Stage::too_large;
    }
    remaining_ = std::stoull(length);
    return remaining_ == 0 ? Stage::complete : Stage::body;
}

void HttpParser::finish_headers() {
    Framing framing;
    stage_ = read_framing(framing) ? body_stage(framing) : Stage::bad;
}

HttpParser::State HttpParser::advance() {
    while (advance_stage()) {
    }
    return state();
}

// Processes the part of the buffer that the current stage can use. Returns false if it needs more
// bytes or the message has ended.
bool HttpParser::advance_stage() {
    switch (stage_) {
        case Stage::start:
        case Stage::headers:
        case Stage::chunk_end:
        case Stage::chunk_size:
        case Stage::trailers: {
            std::string line;
            if (!next_line(line)) {
                return false;
            }
            parse_line(line);
            return true;
        }
        case Stage::body:
        case Stage::chunk:
            return take_body();
        case Stage::until_close:
            take_until_close();
            return false;
        case Stage::complete:
            // Guards against a client that keeps sending while its request is being served: at most
            // one more request of the maximum size is buffered.
            if (buffer_.size() > constants::head_bytes_max + body_bytes_max_) {
                stage_ = Stage::too_large;
                return true;
            }
            return false;
        case Stage::bad:
        case Stage::too_large:
            buffer_.clear();  // the rest is never parsed
            return false;
    }
    return false;
}

// Handles a complete line in one of the line-based stages.
void HttpParser::parse_line(const std::string& line) {
    switch (stage_) {
        case Stage::start:
            // An empty line before a request is tolerated (RFC 9112, section 2.2).
            if (!line.empty() || role_ == Role::response) {
                stage_ = parse_start_line(line) ? Stage::headers : Stage::bad;
            }
            break;
        case Stage::headers:
            if (line.empty()) {
                finish_headers();
            } else if (!parse_header_line(line)) {
                stage_ = Stage::bad;
            }
            break;
        case Stage::chunk_end:
            head_bytes_ = 0;
            stage_ = line.empty() ? Stage::chunk_size : Stage::bad;
            break;
        case Stage::chunk_size:
            parse_chunk_size(line);
            break;
        case Stage::trailers:
            if (line.empty()) {
                stage_ = Stage::complete;
            }
            break;
        default:
            break;
    }
}

// Parses the size in hexadecimal digits; chunk extensions after a semicolon are ignored.
void HttpParser::parse_chunk_size(const std::string& line) {
    std::string digits = trim(line.substr(0, line.find(';')));
    bool is_valid = !digits.empty() && digits.size() <= constants::chunk_size_digits_max &&
                    std::all_of(digits.begin(), digits.end(),
                                [](unsigned char c) { return std::isxdigit(c) != 0; });
    if (!is_valid) {
        stage_ = Stage::bad;
        return;
    }
    remaining_ = std::stoul(digits, nullptr, 16);
    if (message_.body.size() + remaining_ > body_bytes_max_) {
        stage_ = Stage::too_large;
    } else {
        stage_ = remaining_ == 0 ? Stage::trailers : Stage::chunk;
    }
}

// Moves up to `remaining_` bytes to the body. Returns false if some are still outstanding.
bool HttpParser::take_body() {
    std::size_t size = std::min(remaining_, buffer_.size());
    message_.body.append(buffer_, 0, size);
    buffer_.erase(0, size);
    remaining_ -= size;
    if (remaining_ > 0) {
        return false;
    }
    stage_ = stage_ == Stage::body ? Stage::complete : Stage::chunk_end;
    return true;
}

// Moves all buffered bytes to a body that is delimited by the close of the connection.
void HttpParser::take_until_close() {
    message_.body += buffer_;
    buffer_.clear();
    if (message_.body.size() > body_bytes_max_) {
        stage_ = Stage::too_large;
    }
    message_.keep_alive = false;
}

std::string http_request(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& body) {
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!body.empty() || method != "GET") {
        out += "Content-Type: application/cbor\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n";
    }
    return out + "\r\n" + body;
}

std::string http_response(int status, const std::string& body, bool keep_alive, int retry_after_s) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    if (!body.empty()) {
        out += "Content-Type: application/cbor\r\n";
    }
    if (retry_after_s > 0) {
        out += "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
    }
    if (!keep_alive) {
        out += "Connection: close\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace cranemoor::io

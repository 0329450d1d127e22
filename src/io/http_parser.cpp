#include "io/http_parser.hpp"

#include <algorithm>
#include <cctype>

#include "core/model/constants.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

bool token_char(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

std::string trim(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) {
        s.remove_prefix(1);
    }
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) {
        s.remove_suffix(1);
    }
    return std::string(s);
}

std::string lower(std::string s) {
    std::transform(s.begin(), s.end(), s.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return s;
}

bool has_word(const std::string& list, std::string_view word) {
    std::string text = lower(list);
    std::size_t at = 0;
    while (at <= text.size()) {
        std::size_t comma = std::min(text.find(',', at), text.size());
        if (trim(std::string_view(text).substr(at, comma - at)) == word) {
            return true;
        }
        at = comma + 1;
    }
    return false;
}

const char* reason(int status) {
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
            return State::more;
    }
}

HttpParser::State HttpParser::feed(std::string_view bytes) {
    buffer_.append(bytes);
    return advance();
}

HttpMessage HttpParser::take() {
    HttpMessage done = std::move(message_);
    message_ = HttpMessage();
    stage_ = Stage::start;
    head_bytes_ = 0;
    continue_ = false;
    return done;
}

bool HttpParser::wants_continue() {
    bool now = continue_ && stage_ == Stage::body && message_.body.empty() && buffer_.empty();
    if (now) {
        continue_ = false;
    }
    return now;
}

HttpParser::State HttpParser::end() {
    if (stage_ == Stage::until_close) {
        stage_ = Stage::complete;
    }
    return state();
}

// The next line without its end; false if it isn't whole yet.
bool HttpParser::line(std::string& out) {
    std::size_t end = buffer_.find('\n');
    std::size_t seen = end == std::string::npos ? buffer_.size() : end + 1;
    if (head_bytes_ + seen > constants::head_max) {
        stage_ = Stage::bad;
        return false;
    }
    if (end == std::string::npos) {
        return false;
    }
    head_bytes_ += seen;
    out = buffer_.substr(0, end > 0 && buffer_[end - 1] == '\r' ? end - 1 : end);
    buffer_.erase(0, end + 1);
    return true;
}

bool HttpParser::start_line(const std::string& text) {
    auto first = text.find(' ');
    if (first == std::string::npos) {
        return false;
    }
    std::string version;
    if (role_ == Role::request) {
        auto second = text.find(' ', first + 1);
        if (second == std::string::npos) {
            return false;
        }
        message_.method = text.substr(0, first);
        message_.target = text.substr(first + 1, second - first - 1);
        version = text.substr(second + 1);
        if (message_.method.empty() || message_.target.empty() ||
            !std::all_of(message_.method.begin(), message_.method.end(), token_char) ||
            std::any_of(message_.target.begin(), message_.target.end(),
                        [](unsigned char c) { return c <= ' ' || c == 0x7f; })) {
            return false;
        }
    } else {
        version = text.substr(0, first);
        std::string code = text.substr(first + 1, 3);
        if (code.size() != 3 || !std::all_of(code.begin(), code.end(), [](unsigned char c) {
                return std::isdigit(c) != 0;
            })) {
            return false;
        }
        message_.status = std::stoi(code);
    }
    http_1_0_ = version == "HTTP/1.0";
    return version == "HTTP/1.1" || http_1_0_;
}

bool HttpParser::header_line(const std::string& text) {
    auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string name = text.substr(0, colon);
    if (!std::all_of(name.begin(), name.end(), token_char)) {
        return false;  // also a folded line, which begins with a blank
    }
    std::string value = trim(std::string_view(text).substr(colon + 1));
    if (std::any_of(value.begin(), value.end(),
                    [](unsigned char c) { return c < ' ' && c != '\t'; })) {
        return false;
    }
    message_.headers.emplace_back(lower(name), std::move(value));
    return true;
}

void HttpParser::headers_done() {
    message_.keep_alive = !http_1_0_;
    bool chunked = false;
    const std::string* length = nullptr;
    for (const auto& [name, value] : message_.headers) {
        if (name == "connection") {
            if (has_word(value, "close")) {
                message_.keep_alive = false;
            } else if (has_word(value, "keep-alive")) {
                message_.keep_alive = true;
            }
        } else if (name == "transfer-encoding") {
            if (lower(value) != "chunked" || chunked) {
                stage_ = Stage::bad;
                return;
            }
            chunked = true;
        } else if (name == "content-length") {
            // Two lengths that differ are how one message is smuggled inside another.
            if (length != nullptr && *length != value) {
                stage_ = Stage::bad;
                return;
            }
            length = &value;
        } else if (name == "expect" && lower(value) == "100-continue") {
            continue_ = true;
        }
    }
    if (chunked && length != nullptr) {
        stage_ = Stage::bad;
        return;
    }
    if (role_ == Role::response &&
        (message_.status < 200 || message_.status == 204 || message_.status == 304)) {
        stage_ = Stage::complete;
        return;
    }
    if (chunked) {
        stage_ = Stage::chunk_size;
        return;
    }
    if (length == nullptr) {
        stage_ = role_ == Role::response ? Stage::until_close : Stage::complete;
        return;
    }
    if (length->empty() || !std::all_of(length->begin(), length->end(),
                                        [](unsigned char c) { return std::isdigit(c) != 0; })) {
        stage_ = Stage::bad;
        return;
    }
    if (length->size() > 12 || std::stoull(*length) > body_max_) {
        stage_ = Stage::too_large;
        return;
    }
    left_ = std::stoull(*length);
    stage_ = left_ == 0 ? Stage::complete : Stage::body;
}

HttpParser::State HttpParser::advance() {
    std::string text;
    while (true) {
        switch (stage_) {
            case Stage::start:
                if (!line(text)) {
                    return state();
                }
                if (text.empty() && role_ == Role::request) {
                    break;  // a stray line end before a request is tolerated
                }
                stage_ = start_line(text) ? Stage::headers : Stage::bad;
                break;
            case Stage::headers:
                if (!line(text)) {
                    return state();
                }
                if (text.empty()) {
                    headers_done();
                } else if (!header_line(text)) {
                    stage_ = Stage::bad;
                }
                break;
            case Stage::body:
            case Stage::chunk: {
                std::size_t n = std::min(left_, buffer_.size());
                message_.body.append(buffer_, 0, n);
                buffer_.erase(0, n);
                left_ -= n;
                if (left_ > 0) {
                    return state();
                }
                stage_ = stage_ == Stage::body ? Stage::complete : Stage::chunk_end;
                break;
            }
            case Stage::chunk_end:
                if (!line(text)) {
                    return state();
                }
                head_bytes_ = 0;
                stage_ = text.empty() ? Stage::chunk_size : Stage::bad;
                break;
            case Stage::chunk_size: {
                if (!line(text)) {
                    return state();
                }
                std::string digits = trim(text.substr(0, text.find(';')));
                bool ok = !digits.empty() && digits.size() <= constants::chunk_digits_max &&
                          std::all_of(digits.begin(), digits.end(),
                                      [](unsigned char c) { return std::isxdigit(c) != 0; });
                if (!ok) {
                    stage_ = Stage::bad;
                    break;
                }
                left_ = std::stoul(digits, nullptr, 16);
                if (message_.body.size() + left_ > body_max_) {
                    stage_ = Stage::too_large;
                } else {
                    stage_ = left_ == 0 ? Stage::trailers : Stage::chunk;
                }
                break;
            }
            case Stage::trailers:
                if (!line(text)) {
                    return state();
                }
                if (text.empty()) {
                    stage_ = Stage::complete;
                }
                break;
            case Stage::until_close:
                message_.body += buffer_;
                buffer_.clear();
                if (message_.body.size() > body_max_) {
                    stage_ = Stage::too_large;
                }
                message_.keep_alive = false;
                return state();
            case Stage::complete:
                // Guards against a sender that goes on while its request is being answered: what
                // waits here is never more than one more request may be.
                if (buffer_.size() > constants::head_max + body_max_) {
                    stage_ = Stage::too_large;
                    break;
                }
                return state();
            case Stage::bad:
            case Stage::too_large:
                buffer_.clear();  // nothing of it will be read
                return state();
        }
    }
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
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
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

#include "io/crash_report.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <exception>
#include <system_error>

namespace cranemoor::io {

namespace {

constexpr std::size_t signal_stack_bytes = 64UL * 1024;
constexpr std::size_t target_bytes_max = 96;  // longer targets are cut off in the line
constexpr std::size_t label_bytes_max = 32;   // of a source or a method
constexpr std::size_t body_edge_bytes = 8;    // shown of the start and of the end of a body
constexpr std::size_t line_bytes_max = 640;
constexpr std::size_t scopes_max = 4;
constexpr auto fatal_signals = std::to_array<int>({SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT});

// A text of bounded size that can be copied without allocation.
template <std::size_t capacity>
struct FixedText {
    std::array<char, capacity> bytes;
    std::size_t size = 0;

    void assign(std::string_view text) {
        size = std::min(text.size(), capacity);
        std::copy_n(text.begin(), size, bytes.begin());
    }
    std::string_view view() const { return {bytes.data(), size}; }
};

// What the line shows of a message.
struct Summary {
    FixedText<label_bytes_max> source;
    FixedText<label_bytes_max> method;
    FixedText<target_bytes_max> target;
    std::size_t body_bytes = 0;
    FixedText<body_edge_bytes> body_start;
    FixedText<body_edge_bytes> body_end;
    const char* step = "";
};

// The signal handler reads these: plain memory without locks.
std::array<Summary, scopes_max> summaries;  // outermost first; deeper scopes are not recorded
std::size_t scopes = 0;
Summary abandoned;  // the scope that an exception has left
bool has_abandoned = false;
std::uint64_t reported_token = 0;
alignas(std::max_align_t) std::array<char, signal_stack_bytes> signal_stack;

// Builds a line with async-signal-safe means only.
class Line {
  public:
    Line& text(std::string_view text) {
        std::size_t size = std::min(text.size(), bytes_.size() - size_);
        std::copy_n(text.begin(), size, bytes_.begin() + static_cast<std::ptrdiff_t>(size_));
        size_ += size;
        return *this;
    }
    Line& number(std::uint64_t number) {
        std::array<char, 20> digits{};  // of 2^64 - 1
        std::size_t first = digits.size();
        do {
            digits[--first] = static_cast<char>('0' + number % 10);
            number /= 10;
        } while (number != 0);
        return text({digits.data() + first, digits.size() - first});
    }
    Line& hex(std::string_view bytes) {
        static constexpr std::string_view hex_digits = "0123456789abcdef";
        for (unsigned char byte : bytes) {
            text(hex_digits.substr(byte >> 4, 1)).text(hex_digits.substr(byte & 15, 1));
        }
        return *this;
    }
    // Bytes that could break the line or a terminal are replaced.
    Line& printable(std::string_view text_from_outside) {
        for (char c : text_from_outside) {
            bool is_printable = c > ' ' && c < '\x7f';
            text(is_printable ? std::string_view(&c, 1) : "?");
        }
        return *this;
    }
    void write() {
        text("\n");
        bytes_[size_ - 1] = '\n';  // also if the line was cut off
        const char* from = bytes_.data();
        while (size_ > 0) {
            ssize_t written = ::write(STDERR_FILENO, from, size_);
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return;
            }
            from += written;
            size_ -= static_cast<std::size_t>(written);
        }
    }

  private:
    std::array<char, line_bytes_max> bytes_{};
    std::size_t size_ = 0;
};

const Summary* reported_summary() {
    if (has_abandoned) {
        return &abandoned;
    }
    return scopes == 0 ? nullptr : &summaries[std::min(scopes, scopes_max) - 1];
}

void append_message(Line& line) {
    const Summary* message = reported_summary();
    if (message == nullptr) {
        line.text(" between messages");
    } else {
        line.text(" while handling ").printable(message->method.view());
        line.text(" ").printable(message->target.view());
        line.text(" from ").text(message->source.view());
        line.text(" in ").text(message->step);
        line.text(", body of ").number(message->body_bytes).text(" bytes");
        if (message->body_bytes > 0) {
            line.text(", first ").hex(message->body_start.view());
            line.text(", last ").hex(message->body_end.view());
        }
    }
    line.text(", token ").number(reported_token);
}

std::string_view signal_name(int signal) {
    switch (signal) {
        case SIGSEGV:
            return "SIGSEGV";
        case SIGBUS:
            return "SIGBUS";
        case SIGILL:
            return "SIGILL";
        case SIGFPE:
            return "SIGFPE";
        case SIGABRT:
            return "SIGABRT";
        default:
            return "signal";
    }
}

extern "C" void report_fatal_signal(int signal) {
    Line line;
    line.text("cranemoor: fatal signal ").number(static_cast<std::uint64_t>(signal));
    line.text(" (").text(signal_name(signal)).text(")");
    append_message(line);
    line.write();
    ::raise(signal);  // with its default action, once this handler has returned
}

}  // namespace

void install_crash_report() {
    stack_t stack{};
    stack.ss_sp = signal_stack.data();
    stack.ss_size = signal_stack.size();
    if (::sigaltstack(&stack, nullptr) != 0) {
        throw std::system_error(errno, std::generic_category(), "sigaltstack");
    }
    struct sigaction action {};
    action.sa_handler = report_fatal_signal;
    action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
    ::sigemptyset(&action.sa_mask);
    for (int signal : fatal_signals) {
        if (::sigaction(signal, &action, nullptr) != 0) {
            throw std::system_error(errno, std::generic_category(), "sigaction");
        }
    }
}

void report_fatal_error(std::string_view error) {
    Line line;
    line.text("cranemoor: fatal error: ").text(error.substr(0, line_bytes_max / 2));
    append_message(line);
    line.write();
}

void set_reported_token(std::uint64_t token) {
    reported_token = token;
}

HandledMessage::HandledMessage(const MessageInProgress& message)
    : exceptions_at_start_(std::uncaught_exceptions()) {
    has_abandoned = false;
    if (scopes++ >= scopes_max) {
        return;
    }
    Summary& summary = summaries[scopes - 1];
    std::size_t edge = std::min(message.body.size(), body_edge_bytes);
    summary.source.assign(message.source);
    summary.method.assign(message.method);
    summary.target.assign(message.target);
    summary.body_bytes = message.body.size();
    summary.body_start.assign(message.body.substr(0, edge));
    summary.body_end.assign(message.body.substr(message.body.size() - edge));
    summary.step = "dispatch";
}

HandledMessage::~HandledMessage() {
    if (std::uncaught_exceptions() > exceptions_at_start_ && !has_abandoned) {
        abandoned = *reported_summary();
        has_abandoned = true;
    }
    --scopes;
}

void HandledMessage::set_step(const char* step) {
    if (scopes > 0 && scopes <= scopes_max) {
        summaries[scopes - 1].step = step;
    }
}

}  // namespace cranemoor::io

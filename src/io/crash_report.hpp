/// One line on standard error when the process is about to end by itself, with the message that it
/// was handling. Works after a stack overflow too: the signal handler has a stack of its own.
#pragma once

#include <cstdint>
#include <string_view>

namespace cranemoor::io {

/// Installs the handlers of fatal signals. Each writes the line, and then the process ends with
/// that signal. Call once, before threads are started. Throws `std::system_error` if it cannot.
void install_crash_report();

/// Writes the line for an error that ends the process without a signal.
void report_fatal_error(std::string_view error);

/// The fencing token for the line.
void set_reported_token(std::uint64_t token);

/// A message from another process, or an expired timer.
struct MessageInProgress {
    std::string_view source;  ///< the listener, or the role of the process that answered
    std::string_view method;  ///< of the request, or of the request that was answered
    std::string_view target;  ///< its path and query
    std::string_view body;    ///< of the message that has arrived
};

/// Names what is being handled for as long as it exists. Scopes nest: the innermost is reported. A
/// scope that an exception leaves stays reported until another one begins. The texts must outlive
/// the scope; their bytes are copied as far as the line shows them.
class HandledMessage {
  public:
    explicit HandledMessage(const MessageInProgress& message);
    ~HandledMessage();
    HandledMessage(const HandledMessage&) = delete;
    HandledMessage& operator=(const HandledMessage&) = delete;

    /// Names what is done with the message now, such as "decode_heartbeat". A string literal.
    static void set_step(const char* step);

  private:
    int exceptions_at_start_;
};

}  // namespace cranemoor::io

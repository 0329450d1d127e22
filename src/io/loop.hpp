/// RAII wrappers over libev (event loop, timers, file descriptor watchers) and helpers that open
/// sockets.
#pragma once

#include <ev.h>

#include <functional>
#include <string>
#include <utility>

#include "core/model/types.hpp"

namespace cranemoor::io {

/// The event loop. All callbacks run on the thread that calls `run()`.
class Loop {
  public:
    /// Throws `std::runtime_error` if libev finds no usable backend.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Runs until `stop()` is called or no watcher is active.
    void run() { ev_run(loop_, 0); }
    /// Makes `run()` return after the current callbacks.
    void stop() { ev_break(loop_, EVBREAK_ALL); }
    /// The underlying libev loop.
    struct ev_loop* raw() {
        return loop_;
    }
    /// The current time on the steady and the system clock, in seconds.
    static core::Now now();

  private:
    struct ev_loop* loop_;
};

/// Calls a function once or repeatedly, until it is stopped or destroyed.
class Timer {
  public:
    /// Creates a stopped timer. `on_fire` may destroy it.
    Timer(Loop& loop, std::function<void()> on_fire);
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Starts or restarts the timer: it fires after `after_s` seconds and, unless `repeat_s` is 0,
    /// every `repeat_s` seconds after that.
    void start(double after_s, double repeat_s = 0);
    void stop() { ev_timer_stop(loop_.raw(), &timer_); }
    /// Whether the timer is running.
    bool active() const { return ev_is_active(&timer_) != 0; }

  private:
    Loop& loop_;
    std::function<void()> on_fire_;
    ev_timer timer_{};
};

/// Owns a file descriptor and watches it for events.
class Descriptor {
  public:
    /// Takes ownership of `fd`; no events are watched yet. `on_ready` receives the pending events
    /// (EV_READ, EV_WRITE) and may destroy the descriptor.
    Descriptor(Loop& loop, int fd, std::function<void(int events)> on_ready);
    ~Descriptor();
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    /// Watches for exactly these events, a combination of EV_READ and EV_WRITE; 0 stops watching.
    void watch(int events);
    int fd() const { return fd_; }

  private:
    Loop& loop_;
    int fd_;
    std::function<void(int)> on_ready_;
    ev_io io_{};
};

/// Opens a non-blocking socket that listens on an IPv4 address such as "10.0.0.1:8080". Returns the
/// descriptor, or -1 with errno set.
int listen_on(const std::string& address);

/// Opens a non-blocking socket and starts to connect it to an IPv4 address such as
/// "10.0.0.1:8080". Returns the descriptor, whose connection may still be in progress, or -1 with
/// errno set.
int connect_to(const std::string& address);

}  // namespace cranemoor::io

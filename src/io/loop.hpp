// Thin RAII over libev: the event loop, timers, watched descriptors, and sockets.
#pragma once

#include <ev.h>

#include <functional>
#include <string>
#include <utility>

#include "core/model/types.hpp"

namespace cranemoor::io {

/// The event loop. All callbacks run on the thread that runs it.
class Loop {
  public:
    /// Throws `std::runtime_error` if the system offers no event loop.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Runs until `stop()` is called, or until nothing is watched.
    void run() { ev_run(loop_, 0); }
    /// Makes `run()` return after the current callbacks.
    void stop() { ev_break(loop_, EVBREAK_ALL); }
    /// The loop of libev.
    struct ev_loop* raw() {
        return loop_;
    }
    /// The time by both clocks.
    static core::Now now();

  private:
    struct ev_loop* loop_;
};

/// Calls a function once or repeatedly, until it is stopped or destroyed.
class Timer {
  public:
    /// A stopped timer. `fire` may destroy it.
    Timer(Loop& loop, std::function<void()> fire);
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Starts it anew: fires after `after_s` and, unless `repeat_s` is 0, again every `repeat_s`.
    void start(double after_s, double repeat_s = 0);
    /// Stops it.
    void stop() { ev_timer_stop(loop_.raw(), &timer_); }
    /// Whether it is started and will fire.
    bool active() const { return ev_is_active(&timer_) != 0; }

  private:
    Loop& loop_;
    std::function<void()> fire_;
    ev_timer timer_{};
};

/// Owns a file descriptor and watches it for events.
class Descriptor {
  public:
    /// Takes ownership of `fd`; nothing is watched yet. `ready` gets the events that have come,
    /// EV_READ and EV_WRITE, and may destroy the descriptor.
    Descriptor(Loop& loop, int fd, std::function<void(int events)> ready);
    ~Descriptor();
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    /// Watches for these events, EV_READ and EV_WRITE, and no others.
    void watch(int events);
    /// The file descriptor.
    int fd() const { return fd_; }

  private:
    Loop& loop_;
    int fd_;
    std::function<void(int)> ready_;
    ev_io io_{};
};

/// Opens a non-blocking socket that listens on an IPv4 address, "10.0.0.1:8080". Returns the
/// descriptor, or -1 with errno set.
int listen_on(const std::string& address);

/// Opens a non-blocking socket that connects to an IPv4 address, "10.0.0.1:8080". Returns the
/// descriptor while the connection may still be in progress, or -1 with errno set.
int connect_to(const std::string& address);

}  // namespace cranemoor::io

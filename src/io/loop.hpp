// Thin RAII over libev: the loop, timers, watched descriptors and sockets.
#pragma once

#include <ev.h>

#include <functional>
#include <string>
#include <utility>

#include "core/model/types.hpp"

namespace cranemoor::io {

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    void run() { ev_run(loop_, 0); }
    void stop() { ev_break(loop_, EVBREAK_ALL); }
    struct ev_loop* raw() {
        return loop_;
    }
    core::Now now() const;

  private:
    struct ev_loop* loop_;
};

class Timer {
  public:
    Timer(Loop& loop, std::function<void()> fire);
    ~Timer() { stop(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void start(double after_s, double repeat_s = 0);
    void stop() { ev_timer_stop(loop_.raw(), &timer_); }
    bool active() const { return ev_is_active(&timer_) != 0; }

  private:
    Loop& loop_;
    std::function<void()> fire_;
    ev_timer timer_{};
};

class Descriptor {
  public:
    Descriptor(Loop& loop, int fd, std::function<void(int events)> ready);
    ~Descriptor();
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    void watch(int events);
    int fd() const { return fd_; }

  private:
    Loop& loop_;
    int fd_;
    std::function<void(int)> ready_;
    ev_io io_{};
};

// "10.0.0.1:8080" to a listening or connecting non-blocking socket; -1 with errno on failure.
int listen_on(const std::string& address);
int connect_to(const std::string& address);

}  // namespace cranemoor::io

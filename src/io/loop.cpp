#include "io/loop.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

#include "core/model/constants.hpp"

namespace cranemoor::io {

namespace {

// Parses "10.0.0.1:8080". False if the address is none.
bool parse_address(const std::string& address, sockaddr_in& out) {
    auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    out = {};
    out.sin_family = AF_INET;
    int port = std::atoi(address.c_str() + colon + 1);
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

// Opens a non-blocking IPv4 socket; -1 with errno set if it can't.
int open_socket() {
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

// Closes a socket that failed and keeps the error for the caller.
int close_failed(int fd) {
    int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

}  // namespace

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV)) {
    if (loop_ == nullptr) {
        throw std::runtime_error("no event loop can be made on this system");
    }
}

Loop::~Loop() {
    ev_loop_destroy(loop_);
}

core::Now Loop::now() {
    using namespace std::chrono;
    auto seconds = [](auto time) { return duration<double>(time.time_since_epoch()).count(); };
    return {seconds(steady_clock::now()), seconds(system_clock::now())};
}

Timer::Timer(Loop& loop, std::function<void()> fire) : loop_(loop), fire_(std::move(fire)) {
    ev_timer_init(
        &timer_,
        [](struct ev_loop*, ev_timer* timer, int) {
            // Called through a copy: what it does may destroy this timer.
            auto fire = static_cast<Timer*>(timer->data)->fire_;
            fire();
        },
        0, 0);
    timer_.data = this;
}

void Timer::start(double after_s, double repeat_s) {
    ev_timer_stop(loop_.raw(), &timer_);
    ev_now_update(loop_.raw());
    ev_timer_set(&timer_, after_s, repeat_s);
    ev_timer_start(loop_.raw(), &timer_);
}

Descriptor::Descriptor(Loop& loop, int fd, std::function<void(int)> ready)
    : loop_(loop), fd_(fd), ready_(std::move(ready)) {
    ev_io_init(
        &io_,
        [](struct ev_loop*, ev_io* io, int events) {
            // Called through a copy: what it does may destroy this descriptor.
            auto ready = static_cast<Descriptor*>(io->data)->ready_;
            ready(events);
        },
        fd, EV_READ);
    io_.data = this;
}

Descriptor::~Descriptor() {
    ev_io_stop(loop_.raw(), &io_);
    ::close(fd_);
}

void Descriptor::watch(int events) {
    if (ev_is_active(&io_) != 0 && (io_.events & (EV_READ | EV_WRITE)) == events) {
        return;
    }
    ev_io_stop(loop_.raw(), &io_);
    ev_io_set(&io_, fd_, events);
    if (events != 0) {
        ev_io_start(loop_.raw(), &io_);
    }
}

int listen_on(const std::string& address) {
    sockaddr_in endpoint{};
    if (!parse_address(address, endpoint)) {
        errno = EINVAL;
        return -1;
    }
    int fd = open_socket();
    if (fd < 0) {
        return -1;
    }
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 ||
        ::listen(fd, core::constants::listen_backlog_max) != 0) {
        return close_failed(fd);
    }
    return fd;
}

int connect_to(const std::string& address) {
    sockaddr_in endpoint{};
    if (!parse_address(address, endpoint)) {
        errno = EINVAL;
        return -1;
    }
    int fd = open_socket();
    if (fd < 0) {
        return -1;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 &&
        errno != EINPROGRESS) {
        return close_failed(fd);
    }
    return fd;
}

}  // namespace cranemoor::io

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

// Parses an IPv4 address and port such as "10.0.0.1:8080". Returns false if the port is
// missing or the IPv4 address is invalid.
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

// Opens a non-blocking IPv4 socket; returns -1 with errno set on failure.
int open_socket() {
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

// Closes a socket after a failed call and preserves errno for the caller.
int close_failed(int fd) {
    int error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

}  // namespace

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV)) {
    if (loop_ == nullptr) {
        throw std::runtime_error("cannot create an event loop: libev found no usable backend");
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

Timer::Timer(Loop& loop, std::function<void()> on_fire)
    : loop_(loop), on_fire_(std::move(on_fire)) {
    ev_timer_init(
        &timer_,
        [](struct ev_loop*, ev_timer* timer, int) {
            // Called through a copy, because the callback may destroy this timer.
            auto on_fire = static_cast<Timer*>(timer->data)->on_fire_;
            on_fire();
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

Descriptor::Descriptor(Loop& loop, int fd, std::function<void(int)> on_ready)
    : loop_(loop), fd_(fd), on_ready_(std::move(on_ready)) {
    ev_io_init(
        &io_,
        [](struct ev_loop*, ev_io* io, int events) {
            // Called through a copy, because the callback may destroy this descriptor.
            auto on_ready = static_cast<Descriptor*>(io->data)->on_ready_;
            on_ready(events);
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
    int enable = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
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
    int enable = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 &&
        errno != EINPROGRESS) {
        return close_failed(fd);
    }
    return fd;
}

}  // namespace cranemoor::io

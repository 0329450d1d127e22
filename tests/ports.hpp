// Loopback addresses for tests that run a real program.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace cranemoor {

// A port that was free a moment ago.
inline int free_port() {
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    socklen_t n = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    ::close(fd);
    return ntohs(a.sin_port);
}

inline std::string local(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

}  // namespace cranemoor

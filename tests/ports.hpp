/// Loopback addresses for tests that open real sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace cranemoor {

/// A TCP port that was free at the time of the call; another process may take it afterwards.
inline int free_port() {
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// The address of a loopback port, as in settings.
inline std::string loopback_address(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

}  // namespace cranemoor

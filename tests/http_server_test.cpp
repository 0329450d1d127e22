// The HTTP server on loopback when all of its sockets are taken by idle or unfinished clients.
#include "io/http_server.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "io/http_client.hpp"
#include "ports.hpp"

namespace cranemoor::io {
namespace {

// One more client that retries until it gets status 200; returns the last status. Bounded by tries:
// while no connection is shed, each try is refused at once.
int request_until_answered(Loop& loop, const std::string& address, int tries) {
    int status = 0;
    HttpClient client(loop, address, 1, 1000);
    Timer retry(loop, [&] {
        client.request("GET", "/healthz", "", 5, [&](const HttpMessage* message) {
            status = message != nullptr ? message->status : 0;
            if (status == 200 || --tries == 0) {
                loop.stop();
            } else {
                retry.start(0.05);
            }
        });
    });
    retry.start(0);
    loop.run();
    return status;
}

TEST(HttpServer, ConnectionsWithUnfinishedRequestsAreShedForANewRequest) {
    Loop loop;
    auto address = loopback_address(free_port());
    constexpr std::size_t sockets = 4;
    HttpServer server(loop, address, sockets, [&](std::uint64_t request, HttpMessage&&) {
        server.reply(request, 200, "");
    });
    std::vector<std::unique_ptr<Descriptor>> unfinished;
    for (std::size_t i = 0; i < sockets; ++i) {
        int fd = connect_to(address);
        ASSERT_GE(fd, 0);
        unfinished.push_back(std::make_unique<Descriptor>(loop, fd, [](int) {}));
        ASSERT_GT(::send(fd, "GET ", 4, MSG_NOSIGNAL), 0);
    }
    EXPECT_EQ(request_until_answered(loop, address, 40), 200);
    EXPECT_LE(server.connections(), sockets);
}

TEST(HttpServer, UserConnectionsCloseEarlyAndIdleOnesAreShedForANewRequest) {
    Loop loop;
    auto address = loopback_address(free_port());
    constexpr std::size_t sockets = 4;
    HttpServer server(loop, address, sockets, [&](std::uint64_t request, HttpMessage&& message) {
        bool worker = message.target == "/hello";
        // With half of the sockets in use a user's connection closes with its reply.
        // The first one stays open.
        server.reply(request, 200, "", 0, false,
                     worker ? sockets::ClientKind::worker : sockets::ClientKind::user);
    });
    std::vector<std::unique_ptr<HttpClient>> clients;
    int answered = 0;
    auto send_request = [&](const std::string& target) {
        clients.push_back(std::make_unique<HttpClient>(loop, address, 1, 1000));
        clients.back()->request("POST", target, "", 5, [&](const HttpMessage* message) {
            answered += message != nullptr && message->status == 200 ? 1 : 0;
            loop.stop();
        });
        loop.run();
    };
    send_request("/work");
    send_request("/hello");
    send_request("/work");  // the third: its connection is not kept
    send_request("/hello");
    EXPECT_EQ(answered, 4);
    EXPECT_EQ(server.connections(), 2U);  // one user's and one worker's
    std::vector<std::unique_ptr<Descriptor>> open;
    for (std::size_t i = server.connections(); i < sockets; ++i) {
        open.push_back(std::make_unique<Descriptor>(loop, connect_to(address), [](int) {}));
    }
    EXPECT_EQ(request_until_answered(loop, address, 40), 200);
    EXPECT_LE(server.connections(), sockets);
}

}  // namespace
}  // namespace cranemoor::io

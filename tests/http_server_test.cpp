// The HTTP server on loopback, with senders that don't finish what they begin.
#include "io/http_server.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "io/http_client.hpp"
#include "ports.hpp"

namespace cranemoor::io {
namespace {

// One more asker that tries until it is answered. Bounded by tries: while nothing makes room each
// is refused at once.
int ask_until_answered(Loop& loop, const std::string& address, int tries) {
    int status = 0;
    HttpClient client(loop, address, 1, 1000);
    Timer again(loop, [&] {
        client.request("GET", "/healthz", "", 5, [&](const HttpMessage* m) {
            status = m != nullptr ? m->status : 0;
            if (status == 200 || --tries == 0) {
                loop.stop();
            } else {
                again.start(0.05);
            }
        });
    });
    again.start(0);
    loop.run();
    return status;
}

TEST(HttpServer, HalfSentRequestsMakeRoomForAWholeOne) {
    Loop loop;
    auto address = loopback_address(free_port());
    constexpr std::size_t sockets = 4;
    HttpServer server(loop, address, sockets, [&](std::uint64_t request, HttpMessage&&) {
        server.reply(request, 200, "");
    });
    std::vector<std::unique_ptr<Descriptor>> half;
    for (std::size_t i = 0; i < sockets; ++i) {
        int fd = connect_to(address);
        ASSERT_GE(fd, 0);
        half.push_back(std::make_unique<Descriptor>(loop, fd, [](int) {}));
        ASSERT_GT(::send(fd, "GET ", 4, MSG_NOSIGNAL), 0);
    }
    EXPECT_EQ(ask_until_answered(loop, address, 40), 200);
    EXPECT_LE(server.connections(), sockets);
}

TEST(HttpServer, IdleUsersMakeRoomBeforeIdleWorkers) {
    Loop loop;
    auto address = loopback_address(free_port());
    constexpr std::size_t sockets = 4;
    HttpServer server(loop, address, sockets, [&](std::uint64_t request, HttpMessage&& m) {
        bool worker = m.target == "/hello";
        // With half of them taken a user's connection ends with its answer: the first is kept.
        server.reply(request, 200, "", 0, false,
                     worker ? sockets::ClientKind::worker : sockets::ClientKind::user);
    });
    std::vector<std::unique_ptr<HttpClient>> clients;
    int answered = 0;
    auto ask = [&](const std::string& target) {
        clients.push_back(std::make_unique<HttpClient>(loop, address, 1, 1000));
        clients.back()->request("POST", target, "", 5, [&](const HttpMessage* m) {
            answered += m != nullptr && m->status == 200 ? 1 : 0;
            loop.stop();
        });
        loop.run();
    };
    ask("/work");
    ask("/hello");
    ask("/work");  // the third: its connection is not kept
    ask("/hello");
    EXPECT_EQ(answered, 4);
    EXPECT_EQ(server.connections(), 2U);  // a user's and a worker's
    std::vector<std::unique_ptr<Descriptor>> open;
    for (std::size_t i = server.connections(); i < sockets; ++i) {
        open.push_back(std::make_unique<Descriptor>(loop, connect_to(address), [](int) {}));
    }
    EXPECT_EQ(ask_until_answered(loop, address, 40), 200);
    EXPECT_LE(server.connections(), sockets);
}

}  // namespace
}  // namespace cranemoor::io

// Which connections are kept open and which are shed when sockets run short.
#include <gtest/gtest.h>

#include "sockets/connection_shedding.hpp"

namespace cranemoor::sockets {
namespace {

TEST(ConnectionShedding, WorkerConnectionsAreKeptLongestAndShedLast) {
    auto unknown = shed_policy(ClientKind::unknown);
    auto user = shed_policy(ClientKind::user);
    auto worker = shed_policy(ClientKind::worker);
    EXPECT_LT(unknown.rank, user.rank);
    EXPECT_LT(user.rank, worker.rank);
    constexpr std::size_t sockets_max = 2000;
    for (std::size_t sockets_used = 0; sockets_used <= sockets_max; ++sockets_used) {
        EXPECT_TRUE(!keep_open(user, sockets_used, sockets_max) ||
                    keep_open(worker, sockets_used, sockets_max));
    }
    EXPECT_TRUE(keep_open(user, 0, sockets_max));
    // At the limit no connection is kept open.
    EXPECT_FALSE(keep_open(worker, sockets_max, sockets_max));
}

}  // namespace
}  // namespace cranemoor::sockets

// Who keeps a connection when sockets run short.
#include <gtest/gtest.h>

#include "sockets/connection_shedding.hpp"

namespace cranemoor::sockets {
namespace {

TEST(ConnectionShedding, WorkersKeepTheirsLongestAndGoLast) {
    auto unknown = shed_policy(ClientKind::unknown);
    auto user = shed_policy(ClientKind::user);
    auto worker = shed_policy(ClientKind::worker);
    EXPECT_LT(unknown.rank, user.rank);
    EXPECT_LT(user.rank, worker.rank);
    constexpr std::size_t most = 2000;
    for (std::size_t taken = 0; taken <= most; ++taken) {
        EXPECT_TRUE(!keep_open(user, taken, most) || keep_open(worker, taken, most));
    }
    EXPECT_TRUE(keep_open(user, 0, most));
    EXPECT_FALSE(keep_open(worker, most, most));  // a full house keeps nobody
}

}  // namespace
}  // namespace cranemoor::sockets

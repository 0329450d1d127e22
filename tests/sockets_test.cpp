// Who keeps a connection when sockets run short.
#include <gtest/gtest.h>

#include "sockets/connection_shedding.hpp"

namespace cranemoor::sockets {
namespace {

TEST(Standing, WorkersKeepTheirsLongestAndGoLast) {
    auto nobody = standing(Asker::nobody);
    auto user = standing(Asker::user);
    auto worker = standing(Asker::worker);
    EXPECT_LT(nobody.rank, user.rank);
    EXPECT_LT(user.rank, worker.rank);
    constexpr std::size_t most = 2000;
    for (std::size_t taken = 0; taken <= most; ++taken) {
        EXPECT_TRUE(!keeps(user, taken, most) || keeps(worker, taken, most));
    }
    EXPECT_TRUE(keeps(user, 0, most));
    EXPECT_FALSE(keeps(worker, most, most));  // a full house keeps nobody
}

}  // namespace
}  // namespace cranemoor::sockets

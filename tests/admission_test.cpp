// The admission table's parts: when it turns over, and whose a block is.
#include <gtest/gtest.h>

#include <map>

#include "admission/hysteresis_switch.hpp"
#include "admission/shard_owner.hpp"

namespace cranemoor::admission {
namespace {

TEST(HysteresisSwitch, TurnsOnSoonAndOffLate) {
    HysteresisSwitch valve({0.4, 1.0, 0.2, 0.6, 15.0});
    EXPECT_FALSE(valve.update(0, 0.5, 1.0));
    EXPECT_FALSE(valve.update(0.5, 0.3, 1.0));  // a moment's relief
    EXPECT_FALSE(valve.update(1.0, 0.5, 1.0));
    EXPECT_TRUE(valve.update(2.0, 0.5, 1.0));
    EXPECT_TRUE(valve.update(3.0, 0.0, 0.9));  // little waits, but only since much is shared
    EXPECT_TRUE(valve.update(17.0, 0.0, 0.5));
    EXPECT_TRUE(valve.update(31.0, 0.0, 0.5));
    EXPECT_FALSE(valve.update(32.0, 0.0, 0.5));
}

TEST(Homes, EachBlockHasOneMemberByWeight) {
    std::vector<std::pair<std::uint64_t, int>> members = {{3, 100}, {5, 300}, {9, 1}};
    std::map<std::uint64_t, int> blocks;
    for (std::uint64_t hash = 0; hash < 401; ++hash) {
        blocks[shard_owner(hash, members)]++;
    }
    EXPECT_EQ(blocks, (std::map<std::uint64_t, int>{{3, 100}, {5, 300}, {9, 1}}));
    EXPECT_EQ(shard_owner(7, {}), 0U);
}

}  // namespace
}  // namespace cranemoor::admission

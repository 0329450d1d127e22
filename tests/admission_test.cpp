// Parts of the admission table: when it is turned on and off, and which member owns a block.
#include <gtest/gtest.h>

#include <map>

#include "admission/hysteresis_switch.hpp"
#include "admission/shard_owner.hpp"

namespace cranemoor::admission {
namespace {

TEST(HysteresisSwitch, TurnsOnAfterShortDelayAndOffAfterLongDelay) {
    HysteresisSwitch hysteresis({0.4, 1.0, 0.2, 0.6, 15.0});
    EXPECT_FALSE(hysteresis.update(0, 0.5, 1.0));
    EXPECT_FALSE(hysteresis.update(0.5, 0.3, 1.0));  // a short drop restarts the delay
    EXPECT_FALSE(hysteresis.update(1.0, 0.5, 1.0));
    EXPECT_TRUE(hysteresis.update(2.0, 0.5, 1.0));
    EXPECT_TRUE(
        hysteresis.update(3.0, 0.0, 0.9));  // little waiting, but only due to shared records
    EXPECT_TRUE(hysteresis.update(17.0, 0.0, 0.5));
    EXPECT_TRUE(hysteresis.update(31.0, 0.0, 0.5));
    EXPECT_FALSE(hysteresis.update(32.0, 0.0, 0.5));
}

TEST(ShardOwner, AssignsEachBlockToOneMemberByWeight) {
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

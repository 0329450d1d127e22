// Minimum shares: no flow is left without machines for long, whatever the others ask for.
#include "admission/min_share.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cranemoor::admission {
namespace {

constexpr MinShareSettings settings{0.5, 0.01, 60};

WaitingFlow flow(const std::string& team, const std::string& name, double weight, double holds,
                 double waited) {
    return {{team, name}, weight, false, false, holds, waited};
}

TEST(MinShareTest, OnlyThoseLackThatWaitLongAndHoldLittle) {
    auto found =
        min_share_deficits({flow("red", "sweep", 1, 10, 100), flow("red", "gang", 1, 30, 100),
                            flow("blue", "sweep", 1, 0, 59)},
                           100, settings);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_DOUBLE_EQ(found.at({"red", "sweep"}), 2.5);  // half of a half of a half, less 10
}

TEST(MinShareTest, WhoIsAheadStaysSoUpToItsFloor) {
    auto one = flow("red", "sweep", 1, 24, 1);
    EXPECT_TRUE(min_share_deficits({one, flow("red", "gang", 1, 30, 1)}, 100, settings).empty());
    one.was_below_min_share = true;
    EXPECT_DOUBLE_EQ(
        min_share_deficits({one, flow("red", "gang", 1, 30, 1)}, 100, settings).at(one.name), 1);
    one.machines_held = 25;
    EXPECT_TRUE(min_share_deficits({one, flow("red", "gang", 1, 30, 1)}, 100, settings).empty());
}

TEST(MinShareTest, IdleWorkTakesNothingFromOthersFloorsButHasItsOwn) {
    WaitingFlow idle{{"guest", "night"}, 50, false, true, 0, 100};
    auto found = min_share_deficits({flow("red", "sweep", 1, 0, 100), idle}, 100, settings);
    EXPECT_DOUBLE_EQ(found.at({"red", "sweep"}), 50);
    EXPECT_DOUBLE_EQ(found.at({"guest", "night"}), 1);
}

// Drawn flows: floors together leave room for the ordinary order, more weight never means less, and
// a flow gains nothing for its team by being parted into two classes.
TEST(MinShareTest, HoldForDrawnFlows) {
    std::mt19937 rng(7);
    auto draw = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
    for (int round = 0; round < 500; ++round) {
        std::vector<WaitingFlow> flows;
        for (int t = 0; t < 1 + draw(4); ++t) {
            double weight = 1 + draw(20);
            for (int c = 0; c < 1 + draw(4); ++c) {
                flows.push_back(flow(std::to_string(t), std::to_string(c), weight, 0, 100));
            }
        }
        auto total = [](const auto& all, const std::string& team) {
            double sum = 0;
            for (const auto& [name, lack] : all) {
                sum += team.empty() || name.first == team ? lack : 0;
            }
            return sum;
        };
        auto found = min_share_deficits(flows, 1000, settings);
        EXPECT_EQ(found.size(), flows.size());
        EXPECT_NEAR(total(found, ""), 500, 1e-6);
        auto heavier = flows;
        for (auto& f : heavier) {
            f.team_weight *= f.name.first == "0" ? 2 : 1;
        }
        EXPECT_GE(total(min_share_deficits(heavier, 1000, settings), "0"),
                  total(found, "0") - 1e-9);
        auto parted = flows;
        parted.push_back(flow("0", "another", flows.front().team_weight, 0, 100));
        EXPECT_NEAR(total(min_share_deficits(parted, 1000, settings), "0"), total(found, "0"),
                    1e-6);
    }
}

}  // namespace
}  // namespace cranemoor::admission

// Floors: no flow is left without room for long, whatever the others ask for.
#include "admission/floors.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cranemoor::admission {
namespace {

constexpr FloorBounds bounds{0.5, 0.01, 60};

Flow flow(const std::string& team, const std::string& name, double weight, double holds,
          double waited) {
    return {{team, name}, weight, false, false, holds, waited};
}

TEST(Floors, OnlyThoseLackThatWaitLongAndHoldLittle) {
    auto found = lacks({flow("red", "sweep", 1, 10, 100), flow("red", "gang", 1, 30, 100),
                        flow("blue", "sweep", 1, 0, 59)},
                       100, bounds);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_DOUBLE_EQ(found.at({"red", "sweep"}), 2.5);  // half of a half of a half, less 10
}

TEST(Floors, WhoIsAheadStaysSoUpToItsFloor) {
    auto one = flow("red", "sweep", 1, 24, 1);
    EXPECT_TRUE(lacks({one, flow("red", "gang", 1, 30, 1)}, 100, bounds).empty());
    one.ahead = true;
    EXPECT_DOUBLE_EQ(lacks({one, flow("red", "gang", 1, 30, 1)}, 100, bounds).at(one.name), 1);
    one.holds = 25;
    EXPECT_TRUE(lacks({one, flow("red", "gang", 1, 30, 1)}, 100, bounds).empty());
}

TEST(Floors, IdleWorkTakesNothingFromOthersFloorsButHasItsOwn) {
    Flow idle{{"guest", "night"}, 50, false, true, 0, 100};
    auto found = lacks({flow("red", "sweep", 1, 0, 100), idle}, 100, bounds);
    EXPECT_DOUBLE_EQ(found.at({"red", "sweep"}), 50);
    EXPECT_DOUBLE_EQ(found.at({"guest", "night"}), 1);
}

// Drawn flows: floors together leave room for the ordinary order, more weight never means less, and
// a flow gains nothing for its team by being parted into two classes.
TEST(Floors, HoldForDrawnFlows) {
    std::mt19937 rng(7);
    auto draw = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
    for (int round = 0; round < 500; ++round) {
        std::vector<Flow> flows;
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
        auto found = lacks(flows, 1000, bounds);
        EXPECT_EQ(found.size(), flows.size());
        EXPECT_NEAR(total(found, ""), 500, 1e-6);
        auto heavier = flows;
        for (auto& f : heavier) {
            f.weight *= f.name.first == "0" ? 2 : 1;
        }
        EXPECT_GE(total(lacks(heavier, 1000, bounds), "0"), total(found, "0") - 1e-9);
        auto parted = flows;
        parted.push_back(flow("0", "another", flows.front().weight, 0, 100));
        EXPECT_NEAR(total(lacks(parted, 1000, bounds), "0"), total(found, "0"), 1e-6);
    }
}

}  // namespace
}  // namespace cranemoor::admission

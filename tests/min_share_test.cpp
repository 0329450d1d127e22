// Minimum shares: no flow stays without machines for long, whatever the other flows request.
#include "admission/min_share.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cranemoor::admission {
namespace {

constexpr MinShareSettings settings{0.5, 0.01, 60};

WaitingFlow make_flow(const std::string& team, const std::string& job_class, double team_weight,
                      double machines_held, double longest_wait_s) {
    return {{team, job_class}, team_weight, false, false, machines_held, longest_wait_s};
}

TEST(MinShareTest, OnlyFlowsThatWaitLongAndHoldLittleHaveADeficit) {
    auto deficits = min_share_deficits(
        {make_flow("red", "sweep", 1, 10, 100), make_flow("red", "gang", 1, 30, 100),
         make_flow("blue", "sweep", 1, 0, 59)},
        100, settings);
    ASSERT_EQ(deficits.size(), 1U);
    EXPECT_DOUBLE_EQ(deficits.at({"red", "sweep"}),
                     2.5);  // 100 / 2 (fraction) / 2 teams / 2 classes - 10
}

TEST(MinShareTest, FlowBelowItsMinShareAtTheLastCheckGoesAheadUntilItReachesIt) {
    auto sweep = make_flow("red", "sweep", 1, 24, 1);
    EXPECT_TRUE(
        min_share_deficits({sweep, make_flow("red", "gang", 1, 30, 1)}, 100, settings).empty());
    sweep.was_below_min_share = true;
    EXPECT_DOUBLE_EQ(min_share_deficits({sweep, make_flow("red", "gang", 1, 30, 1)}, 100, settings)
                         .at(sweep.name),
                     1);
    sweep.machines_held = 25;
    EXPECT_TRUE(
        min_share_deficits({sweep, make_flow("red", "gang", 1, 30, 1)}, 100, settings).empty());
}

TEST(MinShareTest, BestEffortFlowHasItsOwnMinShareAndReducesNoOther) {
    WaitingFlow best_effort_flow{{"guest", "night"}, 50, false, true, 0, 100};
    auto deficits =
        min_share_deficits({make_flow("red", "sweep", 1, 0, 100), best_effort_flow}, 100, settings);
    EXPECT_DOUBLE_EQ(deficits.at({"red", "sweep"}), 50);
    EXPECT_DOUBLE_EQ(deficits.at({"guest", "night"}), 1);
}

// Random flows: the minimum shares together leave room for the ordinary priority order, a greater
// weight never lowers a team's share, and a team gains nothing by splitting a flow into two
// classes.
TEST(MinShareTest, PropertiesHoldForRandomFlows) {
    std::mt19937 rng(7);
    auto random_below = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
    for (int round = 0; round < 500; ++round) {
        std::vector<WaitingFlow> flows;
        for (int team_index = 0; team_index < 1 + random_below(4); ++team_index) {
            double team_weight = 1 + random_below(20);
            for (int class_index = 0; class_index < 1 + random_below(4); ++class_index) {
                flows.push_back(make_flow(std::to_string(team_index), std::to_string(class_index),
                                          team_weight, 0, 100));
            }
        }
        auto team_deficit = [](const auto& all_deficits, const std::string& team) {
            double sum = 0;
            for (const auto& [name, deficit] : all_deficits) {
                sum += team.empty() || name.first == team ? deficit : 0;
            }
            return sum;
        };
        auto deficits = min_share_deficits(flows, 1000, settings);
        EXPECT_EQ(deficits.size(), flows.size());
        EXPECT_NEAR(team_deficit(deficits, ""), 500, 1e-6);
        auto heavier = flows;
        for (auto& flow : heavier) {
            flow.team_weight *= flow.name.first == "0" ? 2 : 1;
        }
        EXPECT_GE(team_deficit(min_share_deficits(heavier, 1000, settings), "0"),
                  team_deficit(deficits, "0") - 1e-9);
        auto with_another_class = flows;
        with_another_class.push_back(make_flow("0", "another", flows.front().team_weight, 0, 100));
        EXPECT_NEAR(team_deficit(min_share_deficits(with_another_class, 1000, settings), "0"),
                    team_deficit(deficits, "0"), 1e-6);
    }
}

}  // namespace
}  // namespace cranemoor::admission

// AdmissionController: submissions of all flows have their turn, however many one of them sends.
#include "admission/admission_controller.hpp"

#include <gtest/gtest.h>

#include <random>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

using admission::AdmissionController;
using admission::FlowName;

const FlowName sweep{"red", "sweep"};
const FlowName desk{"red", "desk"};

TEST(AdmissionControllerTest, EveryFlowHasItsTurnAndTheLongestMakesRoom) {
    AdmissionController controller;
    for (int i = 0; i < 100; ++i) {
        controller.enqueue(sweep);
    }
    for (int i = 0; i < 10; ++i) {
        controller.dequeue(*controller.next_flow(), true);
    }
    controller.enqueue(desk);
    EXPECT_EQ(controller.flow_to_evict(desk), sweep);
    EXPECT_EQ(controller.flow_to_evict(sweep), std::nullopt);
    int turns = 0;
    while (controller.next_flow() != desk) {
        controller.dequeue(*controller.next_flow(), true);
        ++turns;
    }
    EXPECT_LE(turns, 1);  // what the other had while nobody else waited is no debt
}

// Drawn flows: whoever waits all the time gets at least its part of the turns, nobody who comes and
// goes more than its own, and there is a turn for as long as anybody waits.
TEST(AdmissionControllerTest, HoldsForDrawnFlows) {
    std::mt19937 rng(11);
    for (int round = 0; round < 200; ++round) {
        AdmissionController controller;
        std::size_t n = 2 + rng() % 6;
        auto name = [](std::size_t i) { return FlowName{"team", std::to_string(i)}; };
        std::vector<std::size_t> waits(n);
        std::vector<int> turns(n);
        waits[0] = 1000;
        for (std::size_t i = 0; i < waits[0]; ++i) {
            controller.enqueue(name(0));
        }
        for (int turn = 0; turn < 600; ++turn) {
            std::size_t who = rng() % n;
            for (std::size_t more = rng() % 4; who != 0 && more > 0; --more) {
                controller.enqueue(name(who));
                ++waits[who];
            }
            auto next = controller.next_flow();
            ASSERT_TRUE(next);
            auto i = static_cast<std::size_t>(std::stoul(next->second));
            controller.dequeue(*next, true);
            --waits[i];
            ++turns[i];
        }
        EXPECT_GE(turns[0], 600 / static_cast<int>(n) - 1);
        for (std::size_t i = 1; i < n; ++i) {
            EXPECT_LE(turns[i], turns[0] + 1);
        }
    }
}

struct AdmissionTest : ClusterTest {};

TEST_F(AdmissionTest, OneClassOfWhichThousandsComeKeepsNobodyElseOut) {
    start_cluster();
    auto submit = [&](int number, const std::string& job_class) {
        auto spec = cluster.make_job(number, JobKind::array, 1);
        spec.job_class = job_class;
        return cluster.submit(0, spec);
    };
    for (std::size_t n = 1; n <= 2 * constants::user_requests_max; ++n) {
        submit(static_cast<int>(n), "sweep");
    }
    auto desk = submit(9000, "desk");
    auto sent_away = submit(9001, "sweep");
    EXPECT_EQ(cluster.wait_for_reply(desk).status, 201);
    auto later = cluster.wait_for_reply(sent_away);
    EXPECT_EQ(later.status, 503);
    EXPECT_GE(later.retry_after_s, 1);
    EXPECT_LE(later.retry_after_s, constants::retry_after_max_s);
}

}  // namespace
}  // namespace cranemoor::test

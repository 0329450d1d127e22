// AdmissionController: all flows take turns, however many submissions one of them sends.
#include "admission/admission_controller.hpp"

#include <gtest/gtest.h>

#include <random>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

using admission::AdmissionController;
using admission::FlowName;

const FlowName sweep_flow{"red", "sweep"};
const FlowName desk_flow{"red", "desk"};

TEST(AdmissionControllerTest, FlowsTakeTurnsAndLongestFlowIsEvicted) {
    AdmissionController controller;
    for (int i = 0; i < 100; ++i) {
        controller.enqueue(sweep_flow);
    }
    for (int i = 0; i < 10; ++i) {
        controller.dequeue(*controller.next_flow(), true);
    }
    controller.enqueue(desk_flow);
    EXPECT_EQ(controller.flow_to_evict(desk_flow), sweep_flow);
    EXPECT_EQ(controller.flow_to_evict(sweep_flow), std::nullopt);
    int turns = 0;
    while (controller.next_flow() != desk_flow) {
        controller.dequeue(*controller.next_flow(), true);
        ++turns;
    }
    EXPECT_LE(turns, 1);  // turns taken while no other flow waited are not held against the flow
}

// Random flows: a flow that waits all the time gets at least its fair share of the turns, an
// intermittent flow gets no more than its own share, and there is a turn as long as any
// submission waits.
TEST(AdmissionControllerTest, RandomFlowsGetFairShare) {
    std::mt19937 rng(11);
    for (int round = 0; round < 200; ++round) {
        AdmissionController controller;
        std::size_t flows = 2 + rng() % 6;
        auto flow_name = [](std::size_t i) { return FlowName{"team", std::to_string(i)}; };
        std::vector<std::size_t> waiting(flows);
        std::vector<int> turns(flows);
        waiting[0] = 1000;
        for (std::size_t i = 0; i < waiting[0]; ++i) {
            controller.enqueue(flow_name(0));
        }
        for (int turn = 0; turn < 600; ++turn) {
            std::size_t flow = rng() % flows;
            for (std::size_t count = rng() % 4; flow != 0 && count > 0; --count) {
                controller.enqueue(flow_name(flow));
                ++waiting[flow];
            }
            auto next = controller.next_flow();
            ASSERT_TRUE(next);
            auto i = static_cast<std::size_t>(std::stoul(next->second));
            controller.dequeue(*next, true);
            --waiting[i];
            ++turns[i];
        }
        EXPECT_GE(turns[0], 600 / static_cast<int>(flows) - 1);
        for (std::size_t i = 1; i < flows; ++i) {
            EXPECT_LE(turns[i], turns[0] + 1);
        }
    }
}

struct AdmissionTest : ClusterTest {};

TEST_F(AdmissionTest, FloodOfOneClassDoesNotBlockOtherClasses) {
    start_cluster();
    auto submit = [&](int number, const std::string& job_class) {
        auto spec = cluster.make_job(number, JobKind::array, 1);
        spec.job_class = job_class;
        return cluster.submit(0, spec);
    };
    for (std::size_t n = 1; n <= 2 * constants::user_requests_max; ++n) {
        submit(static_cast<int>(n), "sweep");
    }
    auto desk_request = submit(9000, "desk");
    auto refused_request = submit(9001, "sweep");
    EXPECT_EQ(cluster.wait_for_reply(desk_request).status, 201);
    auto refused_reply = cluster.wait_for_reply(refused_request);
    EXPECT_EQ(refused_reply.status, 503);
    EXPECT_GE(refused_reply.retry_after_s, 1);
    EXPECT_LE(refused_reply.retry_after_s, constants::retry_after_max_s);
}

}  // namespace
}  // namespace cranemoor::test

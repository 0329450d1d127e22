// Quotas: limits and guarantees of teams.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct QuotaTest : ClusterTest {};

struct ThreeControllerQuotaTest : ThreeControllerTest {};

TEST_F(ThreeControllerQuotaTest, TeamLimitHoldsAcrossMembersAndFailovers) {
    start_cluster(3);
    for (int i = 0; i < 6; ++i) {
        auto job =
            cluster.make_job(i + 1, JobKind::service, 6);  // 36 GPUs requested, the limit is 16
        job.team = "red";
        cluster.submit_and_wait(i % 3, job);
    }
    auto total_running_tasks = [&] {
        int count = 0;
        for (int i = 0; i < 6; ++i) {
            count += cluster.running_tasks("req-00000" + std::to_string(i + 1));
        }
        return count;
    };
    ASSERT_TRUE(cluster.run_until([&] { return total_running_tasks() == 16; }, 60));
    cluster.kill(0);
    cluster.run_for(8);
    cluster.start(0);
    cluster.run_for(20);
    EXPECT_EQ(total_running_tasks(), 16);  // InvariantChecker checks quotas at every start
    // Quota that is freed is used again, whichever member holds the slice.
    for (int i = 0; i < 3; ++i) {
        cluster.wait_for_reply(cluster.cancel(1, "req-00000" + std::to_string(i + 1)));
    }
    EXPECT_TRUE(cluster.run_until([&] { return total_running_tasks() == 16; }, 60));
    const Json* slices = cluster.store.find("c/q/red");
    ASSERT_NE(slices, nullptr);
    double held_gpus = 0;
    for (const auto& [id, slice] : slices->at("held").items()) {
        held_gpus += slice.at(1).get<double>();
    }
    EXPECT_LE(held_gpus, 16.0);
}

TEST_F(QuotaTest, TeamFurthestBelowItsGuaranteeIsServedFirst) {
    start_cluster();
    cluster.cloud.capacity = 0;
    auto running_job =
        cluster.make_job(1, JobKind::service, 4);  // blue uses half of its guarantee of 8
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, running_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 4; }, 30));
    cluster.machines["vm-500000"].next_heartbeat_at_s = cluster.now() + 3;
    auto blue_job = cluster.make_job(2, JobKind::service, 4);
    blue_job.priority = Priority::production;
    auto red_job = cluster.make_job(3, JobKind::service, 4);
    red_job.team = "red";
    cluster.submit(0, blue_job);
    cluster.submit(0, red_job);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.running_tasks("req-000002") + cluster.running_tasks("req-000003") == 4;
        },
        30));
    EXPECT_EQ(cluster.running_tasks("req-000003"), 4);
}

TEST_F(QuotaTest, TeamBelowItsGuaranteeGetsItAfterThePreemptionTimeout) {
    cluster.workers.task_run_s = 200;
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    cluster.submit_and_wait(
        0, cluster.make_job(1, JobKind::array, 16));  // blue uses twice its guarantee
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 16; }, 30));
    auto red_job = cluster.make_job(2, JobKind::array, 2);
    red_job.team = "red";
    cluster.submit_and_wait(0, red_job);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 2; }, 60));
}

}  // namespace
}  // namespace cranemoor::test

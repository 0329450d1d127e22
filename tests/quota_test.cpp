// Limits and guarantees of teams.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct QuotaTest : ClusterTest {};

struct ThreeControllerQuotaTest : ThreeControllerTest {};

TEST_F(ThreeControllerQuotaTest, ATeamsLimitHoldsAcrossMembersAndTakeOvers) {
    start_cluster(3);
    for (int i = 0; i < 6; ++i) {
        auto job = cluster.make_job(i + 1, JobKind::service, 6);  // 36 GPUs wanted, 16 allowed
        job.team = "red";
        cluster.submit_and_wait(i % 3, job);
    }
    auto total = [&] {
        int n = 0;
        for (int i = 0; i < 6; ++i) {
            n += cluster.running_tasks("req-00000" + std::to_string(i + 1));
        }
        return n;
    };
    ASSERT_TRUE(cluster.run_until([&] { return total() == 16; }, 60));
    cluster.kill(0);
    cluster.run_for(8);
    cluster.start(0);
    cluster.run_for(20);
    EXPECT_EQ(total(), 16);  // SimulatedCluster checks quota at every start
    // A place that ends is used again, whoever holds the slice.
    for (int i = 0; i < 3; ++i) {
        cluster.wait_for_reply(cluster.cancel(1, "req-00000" + std::to_string(i + 1)));
    }
    EXPECT_TRUE(cluster.run_until([&] { return total() == 16; }, 60));
    const Json* slices = cluster.store.find("c/q/red");
    ASSERT_NE(slices, nullptr);
    double sum = 0;
    for (const auto& [id, r] : slices->at("held").items()) {
        sum += r.at(1).get<double>();
    }
    EXPECT_LE(sum, 16.0);
}

TEST_F(QuotaTest, TeamsBelowTheirGuaranteeGoFirstTheFurthestFirst) {
    start_cluster();
    cluster.cloud.capacity = 0;
    auto used = cluster.make_job(1, JobKind::service, 4);  // blue has half of its 8
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, used);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 4; }, 30));
    cluster.machines["vm-500000"].next_heartbeat_at_s = cluster.now() + 3;
    auto blue = cluster.make_job(2, JobKind::service, 4);
    blue.priority = Priority::production;
    auto red = cluster.make_job(3, JobKind::service, 4);
    red.team = "red";
    cluster.submit(0, blue);
    cluster.submit(0, red);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.running_tasks("req-000002") + cluster.running_tasks("req-000003") == 4;
        },
        30));
    EXPECT_EQ(cluster.running_tasks("req-000003"), 4);
}

TEST_F(QuotaTest, ATeamBelowItsGuaranteeGetsItAfterTheTimeout) {
    cluster.workers.task_run_s = 200;
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    cluster.submit_and_wait(0,
                            cluster.make_job(1, JobKind::array, 16));  // blue: twice its guarantee
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 16; }, 30));
    auto red = cluster.make_job(2, JobKind::array, 2);
    red.team = "red";
    cluster.submit_and_wait(0, red);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 2; }, 60));
}

}  // namespace
}  // namespace cranemoor::test

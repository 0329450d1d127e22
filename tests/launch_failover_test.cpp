// Launches across leader failovers and epoch changes: no machine is launched twice.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct LaunchFailoverTest : ThreeControllerTest {
    int leader = 0;
    // Submits a job that needs two machines and waits until the leader has launched them. The
    // cloud listing does not show them yet.
    void submit_and_wait_for_launch() {
        cluster.settings.list_lag_s = cluster.cloud.list_lag_s = 12;
        start_cluster(3);
        leader = std::stoi(
            cluster.store.find("c/epoch")->at("members").at(0).at("name").get<std::string>().substr(
                1));
        ASSERT_EQ(cluster.submit_and_wait((leader + 1) % 3, cluster.make_job(1, JobKind::array, 16))
                      .status,
                  201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.cloud.launched_machines == 2; }, 10));
    }
    void expect_no_duplicate_launch_after_failover() {
        cluster.kill(leader);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
        EXPECT_EQ(cluster.cloud.launched_machines, 2);
    }
};

TEST_F(LaunchFailoverTest, NextLeaderKnowsAnsweredLaunches) {
    submit_and_wait_for_launch();
    cluster.run_for(0.5);
    expect_no_duplicate_launch_after_failover();
}

TEST_F(LaunchFailoverTest, NextLeaderRepeatsUnansweredLaunchUnderSameName) {
    submit_and_wait_for_launch();  // the leader is killed before the reply arrives
    expect_no_duplicate_launch_after_failover();
}

TEST_F(LaunchFailoverTest, NewEpochWithSameLeaderKeepsLaunches) {
    cluster.cloud.launch_reply_delay_s = 8;
    submit_and_wait_for_launch();
    cluster.kill((leader + 1) % 3);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(2); }, 6));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
    EXPECT_EQ(cluster.cloud.launched_machines, 2);
}

}  // namespace
}  // namespace cranemoor::test

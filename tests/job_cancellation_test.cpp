// Cancellations of single jobs: what is confirmed stands, is seen by every controller and done in
// time.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct JobCancellationTest : ClusterTest {};

struct ThreeControllerJobCancellationTest : ThreeControllerTest {};

TEST_F(ThreeControllerJobCancellationTest, APollSeesACancellationThatAnotherNodeHasJustConfirmed) {
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service)).status, 201);
    for (int node = 0; node < 3; ++node) {
        ASSERT_EQ(cluster.poll_and_wait(node, "req-000001").status, 200);
    }
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, "req-000001")).state, "cancelled");
    // SimulatedCluster also checks that no later answer is an older one (went_back).
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000001").state, "cancelled");
    EXPECT_EQ(cluster.poll_and_wait(2, "req-000001").state, "cancelled");
}

TEST_F(JobCancellationTest, ACancellationStandsAlthoughTheLastTaskWasDoneMeanwhile) {
    // Found by drawn faults: the final record said "done" after its user was told otherwise.
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1));
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto start = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 2));
    ASSERT_EQ(start.commands.size(), 1U);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000001")).state, "cancelled");
    auto done = heartbeat_without_tasks("vm-100000", "a", token, 3);
    done.tasks.push_back(
        {{"req-000001", 0}, start.commands[0].attempt, TaskState::exited, ExitReason::done, false});
    cluster.send_heartbeat(0, done);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 10));
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000001").state, "cancelled");
}

TEST_F(JobCancellationTest, ACancelledTaskBehindACutIsReleasedInTime) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string place = cluster.machines_running("req-000001")[0];
    cluster.machines[place].is_unreachable = true;
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000001")).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines[place].deleted; },
                                  cluster.settings.cancel_deadline_s));
}

}  // namespace
}  // namespace cranemoor::test

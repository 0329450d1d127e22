// Cancellations of single jobs: a confirmed cancellation is final, visible at every controller and
// carried out within the deadline.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct JobCancellationTest : ClusterTest {};

struct ThreeControllerJobCancellationTest : ThreeControllerTest {};

TEST_F(ThreeControllerJobCancellationTest, PollSeesACancellationJustConfirmedByAnotherNode) {
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service)).status, 201);
    for (int node = 0; node < 3; ++node) {
        ASSERT_EQ(cluster.poll_and_wait(node, "req-000001").status, 200);
    }
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, "req-000001")).state, "cancelled");
    // The fake users also check that no later reply shows an older state (went_back).
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000001").state, "cancelled");
    EXPECT_EQ(cluster.poll_and_wait(2, "req-000001").state, "cancelled");
}

TEST_F(JobCancellationTest, ConfirmedCancellationIsFinalEvenIfTheLastTaskCompletes) {
    // Guards against a final record "done" after the cancellation was confirmed to the user: the
    // last task completed at the same time.
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1));
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto start_reply =
        cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 2));
    ASSERT_EQ(start_reply.commands.size(), 1U);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000001")).state, "cancelled");
    auto heartbeat_with_exited_task = heartbeat_without_tasks("vm-100000", "a", token, 3);
    heartbeat_with_exited_task.tasks.push_back({{"req-000001", 0},
                                                start_reply.commands[0].attempt,
                                                TaskState::exited,
                                                ExitReason::done,
                                                false});
    cluster.send_heartbeat(0, heartbeat_with_exited_task);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 10));
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000001").state, "cancelled");
}

TEST_F(JobCancellationTest, UnreachableMachineOfACancelledTaskIsReleasedInTime) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string machine = cluster.machines_running("req-000001")[0];
    cluster.machines[machine].is_unreachable = true;
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000001")).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines[machine].deleted; },
                                  cluster.settings.cancel_deadline_s));
}

}  // namespace
}  // namespace cranemoor::test

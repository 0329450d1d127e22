// Outages of the key-value store that begin at a single controller: cancellations that others
// confirm meanwhile, and the read leases between controllers (docs/meetings.md).
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// The key-value store refuses a single controller, another one confirms a cancellation, then the
// store is down for all, for longer than cancel_deadline_s, while workers keep sending heartbeats
// to the first controller.
struct StaggeredOutageTest : ThreeZoneTest {
    static constexpr int old_leader = 0;
    std::string cancelled_job = "req-000001";
    std::string running_job = "req-000002";
    std::vector<std::string> machines_before;

    // One task of each job on every machine; each node owns one machine.
    void SetUp() override {
        ThreeZoneTest::SetUp();
        auto spec = [&](int number) {
            auto job = cluster.make_job(number, JobKind::service, 3);
            job.task_resources = {30, 4, 200};
            job.zone_spread = true;
            return job;
        };
        ASSERT_EQ(cluster.submit_and_wait(1, spec(1)).status, 201);
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(cancelled_job) == 3; }, 40));
        ASSERT_EQ(cluster.submit_and_wait(1, spec(2)).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(running_job) == 3; }, 40));
        cluster.run_for(5);
        machines_before = cluster.machines_running(running_job);
    }
    void refuse_store_and_cancel(double before_s = 1.0, std::set<int> refused = {old_leader}) {
        cluster.faults.nodes_refused_by_store = std::move(refused);
        cluster.run_for(before_s);
        ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, cancelled_job)).state, "cancelled");
    }
    void run_store_outage(double duration_s) {
        cluster.faults.store_down = true;
        cluster.run_for(duration_s);
    }
    void expect_recovery() {
        cluster.faults.nodes_refused_by_store.clear();
        cluster.faults.cut_peer_links.clear();
        cluster.faults.cloud_down = cluster.faults.store_down = false;
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(running_job) == 3; }, 120));
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(cancelled_job); }, 60));
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(cluster.poll_and_wait(i, cancelled_job).state, "cancelled");
            EXPECT_EQ(cluster.poll_and_wait(i, running_job).state, "running");
        }
    }
};

TEST_F(StaggeredOutageTest, CancelledTasksStopInTimeAndNothingElseIsLost) {
    refuse_store_and_cancel();
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    EXPECT_EQ(cluster.machines_running(running_job), machines_before);  // no lease was lost
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenOldLeaderWasRemoved) {
    refuse_store_and_cancel(8);
    run_store_outage(cluster.settings.cancel_deadline_s * 1.2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    EXPECT_EQ(cluster.machines_running(running_job), machines_before);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenOutageBeginsWithConfirmation) {
    // The confirming node learns of the cancellation only from the reply to its own transaction:
    // its watch never shows it.
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.run_for(1);
    auto request = cluster.cancel(1, cancelled_job);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            const Json* block = cluster.store.find("c/b/" + cancelled_job + "/0");
            return block != nullptr && block->contains("cancelled");
        },
        5));
    cluster.faults.store_down = true;
    ASSERT_EQ(cluster.wait_for_reply(request).state, "cancelled");
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    EXPECT_EQ(cluster.machines_running(running_job), machines_before);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenConfirmingNodeRestarts) {
    // That the restarted node has no contact with the store does not prove that no cancellation
    // was confirmed.
    refuse_store_and_cancel(1, {0, 2});  // no other node has read the cancellation
    cluster.faults.store_down = true;
    cluster.kill(1);
    cluster.run_for(0.3);
    cluster.start(1);
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenConfirmingNodeStaysDown) {
    refuse_store_and_cancel(1, {0, 2});  // no other node has read the cancellation
    cluster.faults.store_down = true;
    cluster.kill(1);
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    cluster.start(1);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenPeersAreDisconnected) {
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    refuse_store_and_cancel();
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWithPeerWithoutReadLeases) {
    cluster.faults.nodes_without_read_leases = {1};
    refuse_store_and_cancel();
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenPausedLeaderHandlesStaleMessages) {
    // The queued messages include peer heartbeats and worker heartbeats, all as old as the pause.
    refuse_store_and_cancel(1, {0, 2});
    cluster.faults.store_down = true;
    cluster.run_for(0.1);
    cluster.pause(old_leader);
    cluster.run_for(20);
    cluster.resume(old_leader);
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenAllNodesRestartDuringOutage) {
    refuse_store_and_cancel();
    cluster.faults.store_down = true;
    cluster.run_for(10);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
        cluster.run_for(0.3);
        cluster.start(i);
    }
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancelledTasksStopWhenMachineLosesReplies) {
    refuse_store_and_cancel(0.5);
    cluster.machines["vm-50000a"].loses_replies = true;
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    cluster.machines["vm-50000a"].loses_replies = false;
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancellationIsNotConfirmedWhileReadLeaseIsHeld) {
    // No node reaches the key-value store, and all rely on each other's read leases. Then the
    // store answers the other two again, which can reach neither the first node nor its workers,
    // nor the cloud to release them.
    run_store_outage(30);
    ASSERT_EQ(cluster.machines_running(cancelled_job).size(), 3U);
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    cluster.faults.nodes_cut_from_workers = {1, 2};
    cluster.faults.cloud_down = true;
    cluster.faults.store_down = false;
    cluster.run_for(2);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, cancelled_job)).status, 503);
    EXPECT_EQ(cluster.poll_and_wait(2, cancelled_job).status, 503);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.wait_for_reply(cluster.cancel(1, cancelled_job)).state == "cancelled";
        },
        20));
    cluster.run_for(cluster.settings.cancel_deadline_s * 1.5);
    EXPECT_EQ(cluster.running_tasks(cancelled_job), 0);
    cluster.faults.nodes_cut_from_workers.clear();
    expect_recovery();
}

TEST_F(StaggeredOutageTest, CancellationIsConfirmedAtOnceAfterOutage) {
    run_store_outage(30);
    cluster.faults.store_down = false;
    cluster.run_for(2);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(2, cancelled_job)).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(cancelled_job) == 0; }, 10));
    EXPECT_EQ(cluster.machines_running(running_job), machines_before);
}

TEST_F(StaggeredOutageTest, RestartDuringOutageCostsNoLease) {
    cluster.faults.store_down = true;
    cluster.run_for(8);
    cluster.kill(2);
    cluster.run_for(5);
    cluster.start(2);
    cluster.run_for(8);
    cluster.kill(1);
    cluster.run_for(0.3);
    cluster.start(1);
    cluster.run_for(4);
    // The machines of the restarted nodes have no owner until the outage is over.
    std::vector<std::string> machines_during_outage = cluster.machines_running(running_job);
    EXPECT_NE(std::find(machines_during_outage.begin(), machines_during_outage.end(), "vm-50000a"),
              machines_during_outage.end());
    cluster.run_for(cluster.settings.cancel_deadline_s);
    machines_during_outage = cluster.machines_running(running_job);
    EXPECT_NE(std::find(machines_during_outage.begin(), machines_during_outage.end(), "vm-50000a"),
              machines_during_outage.end());
    cluster.faults.store_down = false;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(running_job) == 3; }, 120));
}

TEST_F(StaggeredOutageTest, CancelledJobOfSeveralBlocksStopsDuringOutage) {
    auto large_job = cluster.make_job(3, JobKind::array, 400);
    large_job.task_resources = {0.05, 0, 0.1};
    ASSERT_EQ(cluster.submit_and_wait(1, large_job).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000003") == 400; }, 60));
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.run_for(1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(2, "req-000003")).state, "cancelled");
    run_store_outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks("req-000003"), 0);
    EXPECT_EQ(cluster.machines_running(running_job), machines_before);
}

}  // namespace
}  // namespace cranemoor::test

// Reconciliation of records with what workers report: a task is restarted on proof only, and
// forgotten once its end is durable.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ReconciliationTest : ClusterTest {};

struct ThreeControllerReconciliationTest : ThreeControllerTest {};

TEST_F(ReconciliationTest, AHangingMachineIsReleasedBeforeItsTaskRunsElsewhere) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string first = cluster.machines_running("req-000001")[0];
    cluster.machines[first].is_hung = true;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.machines[first].deleted; }, 40));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 40));
}

TEST_F(ReconciliationTest, WhileTheCloudIsDownASilentMachinesTaskWaits) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string first = cluster.machines_running("req-000001")[0];
    cluster.add_machine("vm-900000", "a");
    cluster.run_for(3);
    cluster.machines[first].is_unreachable = true;
    cluster.faults.cloud_down = true;
    cluster.run_for(20);  // its lease still holds: SimulatedCluster would see the task run twice
    EXPECT_EQ(cluster.machines_running("req-000001"), std::vector<std::string>{first});
    cluster.faults.cloud_down = false;
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.machines_running("req-000001") == std::vector<std::string>{"vm-900000"};
        },
        40));
}

TEST_F(ReconciliationTest, ALaterSessionProvesThatTheTasksAreGone) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    FakeWorker& m = cluster.machines[cluster.machines_running("req-000001")[0]];
    m.tasks.clear();
    m.agent_epoch++;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 20));
}

TEST_F(ReconciliationTest, ADirectAnswerWithoutTheTaskIsNoProofWhileItsStartMayBeInFlight) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto reply = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 2));
    ASSERT_EQ(reply.commands.size(), 1U);
    // Cancelled while the start is under way; only the next report settles it.
    cluster.wait_for_reply(cluster.cancel(0, "req-000001"));
    cluster.run_for(1);
    EXPECT_NE(cluster.store.find("c/b/req-000001/0"), nullptr);
    auto late = heartbeat_without_tasks("vm-100000", "a", token, 9);
    late.tasks.push_back({{"req-000001", 0},
                          reply.commands[0].attempt,
                          TaskState::running,
                          ExitReason::none,
                          false});
    auto stop = cluster.send_heartbeat(0, late);
    ASSERT_EQ(stop.commands.size(), 1U);
    EXPECT_EQ(stop.commands[0].kind, Command::Kind::stop);
    cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 5));
}

TEST_F(ThreeControllerReconciliationTest, AProofThatCouldNotBeWrittenDiesWithTheOwnership) {
    // Found by drawn faults: a task ran twice, since its former owner wrote "not started"
    // after the next owner had started the same claim.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    cluster.submit_and_wait(1, cluster.make_job(1, JobKind::service));
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto start = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 2));
    ASSERT_EQ(start.commands.size(), 1U);  // and its response is lost
    cluster.faults.nodes_refused_by_store.insert(0);
    auto notice = heartbeat_without_tasks("vm-100000", "a", token, 3);
    notice.interruption_notice_s = 20;
    cluster.send_heartbeat(0, notice);
    ASSERT_TRUE(cluster.run_until(
        [&] { return !cluster.controller(1).context().jobs.epoch()->find("n0"); }, 10));
    cluster.run_for(0.2);
    int owner =
        cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", token, 4)).status == 200
            ? 1
            : 2;
    Token next = cluster.controller(owner).context().fencing_token;
    cluster.send_heartbeat(owner, heartbeat_without_tasks("vm-100000", "a", token, 5));
    auto again = cluster.send_heartbeat(owner, heartbeat_without_tasks("vm-100000", "a", next, 6));
    ASSERT_EQ(again.commands.size(), 1U);
    EXPECT_EQ(again.commands[0].attempt, start.commands[0].attempt);
    cluster.faults.nodes_refused_by_store.clear();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 15));
    cluster.run_for(2);
    const Json* block = cluster.store.find("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    EXPECT_TRUE(block->at("placed").contains("0"));
}

TEST_F(ReconciliationTest, ForgetFollowsTheDurableRecord) {
    start_cluster();
    bool checked = false;
    cluster.workers.on_command = [&](const std::string&, const Command& c) {
        if (c.kind == Command::Kind::forget) {
            EXPECT_TRUE(cluster.is_finished(c.id.uid));
            checked = true;
        }
    };
    cluster.submit_and_wait(0, cluster.make_job(1));
    EXPECT_TRUE(cluster.run_until([&] { return checked; }, 90));
}

}  // namespace
}  // namespace cranemoor::test

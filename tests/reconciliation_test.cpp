// Reconciliation of the records with the workers' heartbeats: a task is restarted only on proof
// that its old placement is empty, and forgotten by its worker only once its end is durable.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ReconciliationTest : ClusterTest {};

struct ThreeControllerReconciliationTest : ThreeControllerTest {};

TEST_F(ReconciliationTest, HungMachineIsReleasedBeforeItsTaskRunsElsewhere) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string hung_machine = cluster.machines_running("req-000001")[0];
    cluster.machines[hung_machine].is_hung = true;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.machines[hung_machine].deleted; }, 40));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 40));
}

TEST_F(ReconciliationTest, TaskOfASilentMachineIsNotRestartedDuringACloudOutage) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    std::string silent_machine = cluster.machines_running("req-000001")[0];
    cluster.add_machine("vm-900000", "a");
    cluster.run_for(3);
    cluster.machines[silent_machine].is_unreachable = true;
    cluster.faults.cloud_down = true;
    cluster.run_for(20);  // its lease is still valid: InvariantChecker would detect a second run
    EXPECT_EQ(cluster.machines_running("req-000001"), std::vector<std::string>{silent_machine});
    cluster.faults.cloud_down = false;
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.machines_running("req-000001") == std::vector<std::string>{"vm-900000"};
        },
        40));
}

TEST_F(ReconciliationTest, NewAgentEpochProvesThatOldTasksAreGone) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    FakeWorker& worker = cluster.machines[cluster.machines_running("req-000001")[0]];
    worker.tasks.clear();
    worker.agent_epoch++;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 20));
}

TEST_F(ReconciliationTest, DirectReplyWithoutTheTaskIsNoProofWhileItsStartMayBeInFlight) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto reply = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 2));
    ASSERT_EQ(reply.commands.size(), 1U);
    // Cancelled while the start command is in flight; only the next heartbeat decides whether it
    // ran.
    cluster.wait_for_reply(cluster.cancel(0, "req-000001"));
    cluster.run_for(1);
    EXPECT_NE(cluster.store.find("c/b/req-000001/0"), nullptr);
    auto late_heartbeat = heartbeat_without_tasks("vm-100000", "a", token, 9);
    late_heartbeat.tasks.push_back({{"req-000001", 0},
                                    reply.commands[0].attempt,
                                    TaskState::running,
                                    ExitReason::none,
                                    false});
    auto stop_reply = cluster.send_heartbeat(0, late_heartbeat);
    ASSERT_EQ(stop_reply.commands.size(), 1U);
    EXPECT_EQ(stop_reply.commands[0].kind, Command::Kind::stop);
    cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 5));
}

TEST_F(ThreeControllerReconciliationTest, UnwrittenProofIsDiscardedWhenOwnershipEnds) {
    // Guards against a task that runs twice: its former owner wrote "not started" after the next
    // owner had started the same claim.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    cluster.submit_and_wait(1, cluster.make_job(1, JobKind::service));
    auto old_token =
        cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).token;
    auto first_start =
        cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", old_token, 2));
    ASSERT_EQ(first_start.commands.size(), 1U);  // and its reply is lost
    cluster.faults.nodes_refused_by_store.insert(0);
    auto notice = heartbeat_without_tasks("vm-100000", "a", old_token, 3);
    notice.interruption_notice_s = 20;
    cluster.send_heartbeat(0, notice);
    ASSERT_TRUE(cluster.run_until(
        [&] { return !cluster.controller(1).context().jobs.epoch()->find("n0"); }, 10));
    cluster.run_for(0.2);
    int owner =
        cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", old_token, 4)).status ==
                200
            ? 1
            : 2;
    Token new_token = cluster.controller(owner).context().fencing_token;
    cluster.send_heartbeat(owner, heartbeat_without_tasks("vm-100000", "a", old_token, 5));
    auto second_start =
        cluster.send_heartbeat(owner, heartbeat_without_tasks("vm-100000", "a", new_token, 6));
    ASSERT_EQ(second_start.commands.size(), 1U);
    EXPECT_EQ(second_start.commands[0].attempt, first_start.commands[0].attempt);
    cluster.faults.nodes_refused_by_store.clear();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 15));
    cluster.run_for(2);
    const Json* block = cluster.store.find("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    EXPECT_TRUE(block->at("placed").contains("0"));
}

TEST_F(ReconciliationTest, ForgetIsSentOnlyAfterTheFinalStateIsDurable) {
    start_cluster();
    bool forget_was_sent = false;
    cluster.workers.on_command = [&](const std::string&, const Command& command) {
        if (command.kind == Command::Kind::forget) {
            EXPECT_TRUE(cluster.is_finished(command.id.uid));
            forget_was_sent = true;
        }
    };
    cluster.submit_and_wait(0, cluster.make_job(1));
    EXPECT_TRUE(cluster.run_until([&] { return forget_was_sent; }, 90));
}

}  // namespace
}  // namespace cranemoor::test

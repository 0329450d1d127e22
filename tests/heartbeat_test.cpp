// Heartbeats of workers: fencing tokens, order, redirection and relays to the owner.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct HeartbeatTest : ClusterTest {};

struct ThreeControllerHeartbeatTest : ThreeControllerTest {};

TEST_F(HeartbeatTest, TaskStartsOnlyAfterHeartbeatWithCurrentToken) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    auto first = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1));
    EXPECT_EQ(first.status, 200);
    EXPECT_TRUE(first.commands.empty());
    auto second =
        cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", first.token, 2));
    ASSERT_EQ(second.commands.size(), 1U);
    EXPECT_EQ(second.commands[0].kind, Command::Kind::start);
}

TEST_F(HeartbeatTest, HigherTokenIsAnswered421WithoutOwner) {
    start_cluster();
    auto reply = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 999, 1));
    EXPECT_EQ(reply.status, 421);
    EXPECT_EQ(reply.owner, "");
}

TEST_F(ThreeControllerHeartbeatTest, HeartbeatToNonOwnerIsRedirectedThenRelayed) {
    start_cluster(3);
    auto redirected = cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", 0, 1));
    EXPECT_EQ(redirected.status, 421);
    EXPECT_EQ(redirected.owner, "n0");  // the member in the zone of the machine
    // A second heartbeat here means that the worker cannot reach its owner.
    auto relayed = cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", 0, 2));
    EXPECT_EQ(relayed.status, 200);
    EXPECT_EQ(relayed.token, cluster.controller(0).context().fencing_token);
}

TEST_F(ThreeControllerHeartbeatTest, LeasesAreKeptWhileOwnerIsCutOffFromWorkers) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    auto machines = cluster.machines_running("req-000001");
    cluster.faults.nodes_cut_from_workers.insert(0);
    cluster.run_for(40);
    EXPECT_EQ(cluster.machines_running("req-000001"), machines);
    for (const auto& name : machines) {
        EXPECT_EQ(cluster.machines[name].agent_epoch, 1U);
    }
}

TEST_F(ThreeControllerHeartbeatTest, LeasesOfServicesAreKeptWhileAllControllersKeepEnding) {
    for (int i = 0; i < 9; ++i) {
        cluster.add_machine(fmt::format("vm-50000{}", i),
                            cluster.settings.zones[static_cast<std::size_t>(i) % 3]);
    }
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 9));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 9; }, 30));
    cluster.run_for(10);
    for (int ends = 0; ends < 15; ++ends) {
        for (int node = 0; node < 3; ++node) {
            cluster.kill(node);
        }
        cluster.run_for(1);
        cluster.start_all();
        cluster.run_for(3);
    }
    for (const auto& [name, worker] : cluster.machines) {
        EXPECT_EQ(worker.agent_epoch, 1U) << name;
    }
    EXPECT_EQ(cluster.running_tasks("req-000001"), 9);
}

TEST_F(ThreeControllerHeartbeatTest, OwnerCutOffFromWorkersReleasesNoMachine) {
    // Guards against the release of healthy machines: relayed heartbeats arrive a moment after
    // silence is detected, and their replies were held open longer than the relay waits. 132
    // healthy machines were released within 10 s.
    cluster.settings.heartbeat_interval_s = 4;
    start_cluster(3);
    cluster.cloud.capacity = 0;
    for (int i = 0; i < 60; ++i) {
        cluster.add_machine(fmt::format("vm-5000{:02}", i),
                            cluster.settings.zones[static_cast<std::size_t>(i) % 3]);
    }
    auto full_machine_job = cluster.make_job(1, JobKind::service, 60);
    full_machine_job.task_resources = {40, 5, 300};  // one task per machine
    cluster.submit_and_wait(0, full_machine_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 60; }, 60));
    int machines_before = cluster.cloud.machine_count();
    cluster.faults.nodes_cut_from_workers.insert(0);
    cluster.run_for(45);
    cluster.faults.nodes_cut_from_workers.clear();
    cluster.run_for(20);
    EXPECT_EQ(cluster.cloud.machine_count(), machines_before);
    for (const auto& [name, worker] : cluster.machines) {
        EXPECT_EQ(worker.agent_epoch, 1U) << name;
    }
}

TEST_F(ThreeControllerHeartbeatTest, RelayedWorkerReturnsToDirectHeartbeats) {
    // Guards against workers that stay relayed for good after one relayed heartbeat. It showed
    // when a controller restarted among hundreds of machines that stop.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    cluster.faults.nodes_cut_from_workers.insert(0);
    auto relayed = [&] {
        return cluster.controller(0)
            .agent_manager()
            .registry()
            .find("vm-500000")
            ->last_heartbeat_relayed;
    };
    ASSERT_TRUE(cluster.run_until(relayed, 20));
    cluster.faults.nodes_cut_from_workers.clear();
    EXPECT_TRUE(cluster.run_until([&] { return !relayed(); }, 45));
    EXPECT_EQ(cluster.machines.at("vm-500000").agent_epoch, 1U);
}

TEST_F(ThreeControllerHeartbeatTest, RelayedHeartbeatDoesNotDelayFencingOfOtherMachines) {
    // Guards against late fencing: after one relayed heartbeat in 12 s, none of the owner's
    // machines was fenced in time.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    for (int i = 0; i < 12; ++i) {
        cluster.add_machine(fmt::format("vm-5000{:02}", i), "a");
    }
    auto full_machine_job = cluster.make_job(1, JobKind::service, 12);
    full_machine_job.task_resources = {40, 5, 300};
    cluster.submit_and_wait(0, full_machine_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 12; }, 60));
    Token token = cluster.controller(0).context().fencing_token;
    cluster.machines.at("vm-500003").is_hung = true;
    cluster.run_for(1);
    EXPECT_EQ(cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", token, 1)).status,
              421);
    EXPECT_EQ(cluster.send_heartbeat(1, heartbeat_without_tasks("vm-100000", "a", token, 2)).status,
              200);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines.at("vm-500003").deleted; }, 10));
}

TEST_F(HeartbeatTest, NonMemberAnswersHeartbeatWith503) {
    cluster.faults.store_down = true;
    cluster.start_all();
    cluster.run_for(1);
    EXPECT_EQ(cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1)).status,
              503);
}

TEST_F(HeartbeatTest, OutdatedHeartbeatIsIgnored) {
    start_cluster();
    auto token = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 5)).token;
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    auto reply = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", token, 4));
    EXPECT_TRUE(reply.commands.empty());
    EXPECT_FALSE(cluster.controller(0).agent_manager().registry().adopted("vm-100000"));
}

TEST_F(ThreeControllerHeartbeatTest, UnwrittenEndOfCancelledTaskDoesNotFenceMachine) {
    // Guards against the release of machines for cancelled tasks that have ended there while the
    // write of their end is delayed. In a shortage of writes, the work lost with these machines
    // prolonged the shortage.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 4));
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service, 4));
    auto running = [&](int job_number, int tasks) {
        return cluster.running_tasks("req-00000" + std::to_string(job_number)) == tasks;
    };
    ASSERT_TRUE(cluster.run_until([&] { return running(1, 4) && running(2, 4); }, 30));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000002")).state, "cancelled");
    cluster.faults.refuse_transaction = [](const Txn& txn) {
        return std::any_of(txn.writes.begin(), txn.writes.end(),
                           [](const Write& write) { return write.key == "c/b/req-000002/0"; });
    };
    cluster.run_for(20);
    EXPECT_TRUE(running(1, 4) && running(2, 0));
    // An owner that has just adopted the machine does not fence it either.
    cluster.kill(0);
    cluster.run_for(30);
    EXPECT_TRUE(running(1, 4));
    EXPECT_FALSE(cluster.machines.at("vm-500000").deleted);
    cluster.faults.refuse_transaction = nullptr;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000002"); }, 10));
}

TEST_F(HeartbeatTest, LongHeartbeatIntervalIsNotTreatedAsSilence) {
    cluster.settings.heartbeat_interval_s = 8;
    cluster.settings.lease_s = 42;
    cluster.settings.cancel_deadline_s = 67;
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    cluster.cloud.capacity = 0;
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    cluster.run_for(60);
    EXPECT_FALSE(cluster.machines["vm-500000"].deleted);
    EXPECT_EQ(cluster.store.writes_by_kind["c/x"], 0);
}

}  // namespace
}  // namespace cranemoor::test

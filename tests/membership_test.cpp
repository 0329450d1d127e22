// Membership epochs: joining, failover, and members that lose the key-value store or their zone.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ThreeControllerMembershipTest : ThreeControllerTest {};

TEST_F(ThreeControllerMembershipTest, RestartedProcessJoinsAsANewMemberInANewEpoch) {
    start_cluster(3);
    Epoch before = *cluster.controller(0).context().jobs.epoch();
    cluster.kill(1);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).context().jobs.epoch()->number > before.number; }, 10));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    const Epoch& after = *cluster.controller(0).context().jobs.epoch();
    EXPECT_NE(after.find("n1")->id, before.find("n1")->id);
    EXPECT_EQ(after.find("n0")->id, before.find("n0")->id);
}

TEST_F(ThreeControllerMembershipTest, DelayedTransactionOfAnOldEpochFails) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 2));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 2; }, 30));
    // The epoch changes: a transaction in flight from the old epoch must fail.
    cluster.faults.delayed_transaction_probability = 1;
    cluster.submit(0, cluster.make_job(2));
    cluster.faults.delayed_transaction_probability = 0;
    cluster.kill(2);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(2); }, 10));
    cluster.run_for(4);
    EXPECT_FALSE(cluster.is_accepted("req-000002"));
    ASSERT_FALSE(cluster.store.conflicting_transactions.empty());
}

TEST_F(ThreeControllerMembershipTest, FailedMemberIsRemovedAndItsMachinesAreAdopted) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    auto machines = cluster.machines_running("req-000001");
    const Member* owner = nullptr;
    for (int i = 0; i < 3; ++i) {
        if (cluster.controller(i).agent_manager().registry().adopted(machines[0])) {
            owner =
                cluster.controller(i).context().jobs.epoch()->find(SimulatedCluster::node_name(i));
        }
    }
    ASSERT_NE(owner, nullptr);
    int failed_node = std::stoi(owner->name.substr(1));
    cluster.kill(failed_node);
    int adoptions = 0;
    ASSERT_TRUE(cluster.run_until(
        [&] {
            adoptions = 0;
            for (int i = 0; i < 3; ++i) {
                adoptions +=
                    i != failed_node &&
                            cluster.controller(i).agent_manager().registry().adopted(machines[0])
                        ? 1
                        : 0;
            }
            return adoptions == 1;
        },
        15));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 3);  // no task was restarted
}

TEST_F(ThreeControllerMembershipTest, NodeRefusedByTheStoreStopsAnsweringItsWorkers) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    cluster.faults.nodes_refused_by_store.insert(0);
    cluster.run_for(8);
    EXPECT_FALSE(cluster.controller(0).healthy({cluster.now(), 1.7e9 + cluster.now()}));
    auto reply = cluster.send_heartbeat(0, heartbeat_without_tasks("vm-100000", "a", 0, 1));
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, "req-000001")).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 0; }, 30));
}

TEST_F(ThreeControllerMembershipTest, RefusedNodeRejoinsAtOnceWhenTheStoreServesItAgain) {
    // Guards against a delayed rejoin (incident inc-6e4f): the node's open watch received no more
    // events, and the node rejoined only when that watch timed out.
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status,
              201);  // its watch has just been opened
    cluster.run_for(0.1);
    cluster.faults.nodes_refused_by_store = {1};
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).context().jobs.epoch()->members.size() == 2; }, 5));
    cluster.run_for(1);
    cluster.faults.nodes_refused_by_store.clear();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 2));
}

TEST_F(ThreeControllerMembershipTest, WorkersAreStillAnsweredWhileTheStoreIsDownForAllNodes) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    auto machines_before = cluster.machines_running("req-000001");
    cluster.faults.store_down = true;
    cluster.run_for(60);  // longer than the workers' leases last
    EXPECT_EQ(cluster.machines_running("req-000001"), machines_before);
    cluster.faults.store_down = false;
    cluster.run_for(5);
    EXPECT_TRUE(cluster.all_members(3));
}

TEST_F(ThreeControllerMembershipTest, BrieflyPartitionedZoneLosesNoMachines) {
    // Guards against the release of a whole zone: a zone was partitioned for slightly longer than
    // the workers' leases last, and every machine in it was released.
    for (int i = 0; i < 36; ++i) {
        cluster.add_machine(fmt::format("vm-{:06}", 500000 + i), cluster.settings.zones[i % 3U]);
    }
    cluster.cloud.capacity = 0;
    start_cluster(3);
    for (int i = 0; i < 36; ++i) {
        cluster.submit_and_wait(i % 3, cluster.make_job(i + 1, JobKind::service, 8));
    }
    cluster.run_for(15);
    auto set_partition = [&](bool is_partitioned) {
        for (auto& [name, worker] : cluster.machines) {
            worker.is_unreachable = is_partitioned && worker.info.zone == "a";
        }
        if (is_partitioned) {
            cluster.faults.nodes_refused_by_store.insert(0);
            cluster.faults.nodes_cut_from_workers.insert(0);
            cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
        } else {
            cluster.faults.nodes_refused_by_store.clear();
            cluster.faults.nodes_cut_from_workers.clear();
            cluster.faults.cut_peer_links.clear();
        }
    };
    set_partition(true);
    cluster.run_for(cluster.settings.lease_s + 15);
    EXPECT_EQ(cluster.store.writes_by_kind["c/x"], 0);
    set_partition(false);
    cluster.run_for(20);
    EXPECT_EQ(cluster.cloud.machine_count(), 36);
    for (int i = 0; i < 36; ++i) {
        EXPECT_EQ(cluster.running_tasks(fmt::format("req-{:06}", i + 1)), 8);
    }
    // The machines of a zone that stays partitioned are released eventually.
    set_partition(true);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count() <= 24; },
                                  cluster.settings.cancel_deadline_s + 60));
}

}  // namespace
}  // namespace cranemoor::test

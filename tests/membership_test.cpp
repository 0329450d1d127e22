// Membership epochs: joining, failover, and members that lose the key-value store or their zone.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ThreeControllerMembershipTest : ThreeControllerTest {};

TEST_F(ThreeControllerMembershipTest, ARestartedProcessJoinsAsANewMemberInANewEpoch) {
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

TEST_F(ThreeControllerMembershipTest, EveryTransactionOfWorkIsConditionalOnTheEpoch) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 2));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 2; }, 30));
    // The epoch moves on: whatever was under way under the old one must die.
    cluster.faults.delayed_transaction_probability = 1;
    cluster.submit(0, cluster.make_job(2));
    cluster.faults.delayed_transaction_probability = 0;
    cluster.kill(2);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(2); }, 10));
    cluster.run_for(4);
    EXPECT_FALSE(cluster.is_accepted("req-000002"));
    ASSERT_FALSE(cluster.store.conflicting_transactions.empty());
}

TEST_F(ThreeControllerMembershipTest, ADeadMemberIsRemovedAndItsMachinesAreAdopted) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    auto places = cluster.machines_running("req-000001");
    const Member* owner = nullptr;
    for (int i = 0; i < 3; ++i) {
        if (cluster.controller(i).agent_manager().registry().adopted(places[0])) {
            owner =
                cluster.controller(i).context().jobs.epoch()->find(SimulatedCluster::node_name(i));
        }
    }
    ASSERT_NE(owner, nullptr);
    int dead = std::stoi(owner->name.substr(1));
    cluster.kill(dead);
    int adopted = 0;
    ASSERT_TRUE(cluster.run_until(
        [&] {
            adopted = 0;
            for (int i = 0; i < 3; ++i) {
                adopted +=
                    i != dead && cluster.controller(i).agent_manager().registry().adopted(places[0])
                        ? 1
                        : 0;
            }
            return adopted == 1;
        },
        15));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 3);  // nothing was restarted for it
}

TEST_F(ThreeControllerMembershipTest, ANodeRefusedByTheStateServiceAloneStopsAnsweringItsWorkers) {
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

TEST_F(ThreeControllerMembershipTest, ANodeThatWasRefusedIsBackAtOnceWhenItIsServedAgain) {
    // Incident inc-6e4f: its open watch was not served any more, and it joined only when the time
    // of that watch was over.
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status,
              201);  // its watch is a fresh one
    cluster.run_for(0.1);
    cluster.faults.nodes_refused_by_store = {1};
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).context().jobs.epoch()->members.size() == 2; }, 5));
    cluster.run_for(1);
    cluster.faults.nodes_refused_by_store.clear();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 2));
}

TEST_F(ThreeControllerMembershipTest, DuringACommonOutageWorkersAreStillAnswered) {
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 3));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    auto before = cluster.machines_running("req-000001");
    cluster.faults.store_down = true;
    cluster.run_for(60);  // longer than the workers' leases
    EXPECT_EQ(cluster.machines_running("req-000001"), before);
    cluster.faults.store_down = false;
    cluster.run_for(5);
    EXPECT_TRUE(cluster.all_members(3));
}

TEST_F(ThreeControllerMembershipTest, AZoneThatIsCutOffForAWhileLosesNoMachines) {
    // Found in a grown day: a zone was cut off for little longer than its leases last, and every
    // machine in it was released.
    for (int i = 0; i < 36; ++i) {
        cluster.add_machine(fmt::format("vm-{:06}", 500000 + i), cluster.settings.zones[i % 3U]);
    }
    cluster.cloud.capacity = 0;
    start_cluster(3);
    for (int i = 0; i < 36; ++i) {
        cluster.submit_and_wait(i % 3, cluster.make_job(i + 1, JobKind::service, 8));
    }
    cluster.run_for(15);
    auto cut = [&](bool on) {
        for (auto& [name, m] : cluster.machines) {
            m.is_unreachable = on && m.info.zone == "a";
        }
        if (on) {
            cluster.faults.nodes_refused_by_store.insert(0);
            cluster.faults.nodes_cut_from_workers.insert(0);
            cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
        } else {
            cluster.faults.nodes_refused_by_store.clear();
            cluster.faults.nodes_cut_from_workers.clear();
            cluster.faults.cut_peer_links.clear();
        }
    };
    cut(true);
    cluster.run_for(cluster.settings.lease_s + 15);
    EXPECT_EQ(cluster.store.writes_by_kind["c/x"], 0);
    cut(false);
    cluster.run_for(20);
    EXPECT_EQ(cluster.cloud.machine_count(), 36);
    for (int i = 0; i < 36; ++i) {
        EXPECT_EQ(cluster.running_tasks(fmt::format("req-{:06}", i + 1)), 8);
    }
    // A zone that stays away is given up in the end.
    cut(true);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count() <= 24; },
                                  cluster.settings.cancel_deadline_s + 60));
}

}  // namespace
}  // namespace cranemoor::test

// Scale out and scale in: launches without a reply, idle machines and unrequested machines.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct AutoscalingTest : ClusterTest {};

struct ThreeControllerAutoscalingTest : ThreeControllerTest {};

TEST_F(AutoscalingTest, UnansweredLaunchIsRepeatedUnderSameName) {
    start_cluster();
    cluster.faults.cloud_down = true;
    cluster.submit_and_wait(0, cluster.make_job(1));
    cluster.run_for(6);
    cluster.faults.cloud_down = false;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    EXPECT_EQ(cluster.cloud.launches, 1);
}

TEST_F(AutoscalingTest, HeartbeatBeforeLaunchReplyKeepsMachineAddress) {
    // Guards against the loss of an address when a machine boots within a second: the launch
    // reply names no address and arrived after the first heartbeat, and the machine could be
    // neither probed nor stopped until the next listing.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500000"); }, 20));
    AgentManager& agent_manager = cluster.controller(0).agent_manager();
    agent_manager.apply_cloud_listing(
        {{"vm-500000", "", "t8", "a", false, ListedState::starting, 0}});
    EXPECT_EQ(agent_manager.registry().find("vm-500000")->address, "vm-500000");
}

TEST_F(AutoscalingTest, IdleMachinesAreReleasedAfterCordon) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count() == 0; }, 120));
}

TEST_F(ThreeControllerAutoscalingTest, EmptyMachinesOfOtherMembersCountAsCapacity) {
    // Guards against unneeded launches: the leader took machines that send their heartbeats to
    // other members for machines that never came up, and launched more while those were empty.
    start_cluster(3);
    for (const char* zone : {"a", "b", "c"}) {
        cluster.add_machine(std::string("vm-50000") + zone, zone);
    }
    cluster.run_for(20);  // longer than a late boot
    int launches_before = cluster.cloud.launches;
    for (int i = 1; i <= 3; ++i) {
        auto gang = cluster.make_job(i, JobKind::gang);
        gang.task_resources = {60, 8, 400};
        cluster.submit_and_wait(0, gang);
    }
    cluster.run_for(3);
    EXPECT_EQ(cluster.cloud.launches, launches_before);
}

TEST_F(AutoscalingTest, UnrequestedMachineIsUsedOrReleased) {
    start_cluster();
    cluster.add_machine("vm-777777", "b");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines["vm-777777"].deleted; }, 120));
}

}  // namespace
}  // namespace cranemoor::test

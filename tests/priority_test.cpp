// Priorities: preemption, and idle work after all other work.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct PriorityTest : ClusterTest {};

TEST_F(PriorityTest, HigherPriorityStopsTheNewestLowerWorkAndNothingElse) {
    cluster.workers.task_run_s = 100;
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 7));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 7; }, 30));
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::array, 1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 30));
    auto same = cluster.make_job(3, JobKind::service);
    cluster.submit_and_wait(0, same);
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks("req-000003"), 0);  // equal priority stops nobody
    auto urgent = cluster.make_job(4, JobKind::service);
    urgent.priority = Priority::production;
    cluster.submit_and_wait(0, urgent);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000004") == 1; }, 8));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 7);
    EXPECT_EQ(cluster.running_tasks("req-000002"), 0);
}

TEST_F(PriorityTest, IdleWorkGetsOnlyTheRoomThatOthersLeave) {
    // Found on a visitors' day: a guest team's sweep without GPUs filled the machines that the
    // home team's gangs needed whole, and was rented hundreds of ordinary ones.
    start_cluster();
    cluster.workers.task_run_s = 200;
    cluster.cloud.capacity = 1;
    cluster.add_machine("vm-500000", "a");
    auto sweep = cluster.make_job(1, JobKind::array, 10);
    sweep.priority = Priority::best_effort;
    sweep.task_resources = {16, 0, 16};
    sweep.spot = true;
    cluster.submit_and_wait(0, sweep);
    cluster.run_for(15);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 0);  // it could be had whole by others
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service, 8));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 8; }, 30));
    // 32 CPUs are left that no GPU needs.
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 2; }, 30));
    cluster.cloud.capacity = 100;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 10; }, 60));
    for (const auto& place : cluster.machines_running("req-000001")) {
        EXPECT_TRUE(cluster.machines[place].info.spot || place == "vm-500000");
    }
}

TEST_F(PriorityTest, IdleWorkGoesAfterOthersWhateverItsTeamHas) {
    cluster.settings.teams.push_back({"guest", {}, {}});
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 300;
    cluster.add_machine("vm-500000", "a", true);
    auto home = cluster.make_job(1, JobKind::array, 12);  // beyond its guarantee of 8
    home.spot = true;
    auto idle = cluster.make_job(2, JobKind::array, 8);
    idle.spot = true;
    idle.team = "guest";
    idle.priority = Priority::best_effort;
    cluster.submit_and_wait(0, home);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.submit_and_wait(0, idle);
    cluster.run_for(5);
    cluster.add_machine("vm-500001", "a", true);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") > 0; }, 30));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 12);
    EXPECT_EQ(cluster.running_tasks("req-000002"), 4);
}

}  // namespace
}  // namespace cranemoor::test

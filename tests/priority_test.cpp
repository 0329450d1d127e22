// Priorities: preemption of lower priorities, and best-effort jobs after all others.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct PriorityTest : ClusterTest {};

TEST_F(PriorityTest, HigherPriorityPreemptsOnlyTheNewestLowerPriorityTask) {
    cluster.workers.task_run_s = 100;
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 7));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 7; }, 30));
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::array, 1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 30));
    auto equal_priority_job = cluster.make_job(3, JobKind::service);
    cluster.submit_and_wait(0, equal_priority_job);
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks("req-000003"), 0);  // equal priority preempts nothing
    auto production_job = cluster.make_job(4, JobKind::service);
    production_job.priority = Priority::production;
    cluster.submit_and_wait(0, production_job);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000004") == 1; }, 8));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 7);
    EXPECT_EQ(cluster.running_tasks("req-000002"), 0);
}

TEST_F(PriorityTest, BestEffortGetsOnlyResourcesThatOthersLeave) {
    // Guards against best-effort jobs taking resources from others: a guest team's sweep without
    // GPUs filled the machines that another team's gangs needed whole, and had hundreds of
    // on-demand machines launched for it.
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
    EXPECT_EQ(cluster.running_tasks("req-000001"), 0);  // others could need the whole machine
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service, 8));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 8; }, 30));
    // 32 CPUs are left that no GPU task can use.
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 2; }, 30));
    cluster.cloud.capacity = 100;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 10; }, 60));
    for (const auto& machine : cluster.machines_running("req-000001")) {
        EXPECT_TRUE(cluster.machines[machine].info.spot || machine == "vm-500000");
    }
}

TEST_F(PriorityTest, BestEffortIsServedLastEvenIfItsTeamHoldsLess) {
    cluster.settings.teams.push_back({"guest", {}, {}});
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 300;
    cluster.add_machine("vm-500000", "a", true);
    auto normal_job = cluster.make_job(1, JobKind::array, 12);  // exceeds its guarantee of 8
    normal_job.spot = true;
    auto best_effort_job = cluster.make_job(2, JobKind::array, 8);
    best_effort_job.spot = true;
    best_effort_job.team = "guest";
    best_effort_job.priority = Priority::best_effort;
    cluster.submit_and_wait(0, normal_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.submit_and_wait(0, best_effort_job);
    cluster.run_for(5);
    cluster.add_machine("vm-500001", "a", true);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") > 0; }, 30));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 12);
    EXPECT_EQ(cluster.running_tasks("req-000002"), 4);
}

}  // namespace
}  // namespace cranemoor::test

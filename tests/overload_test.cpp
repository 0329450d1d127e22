// Overload and rapid restarts: controllers while writes, capacity or members are short for a
// while.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

std::string uid(int number) {
    return fmt::format("req-{:06}", number);
}

// Whether the predicate holds for all jobs from 1 to `jobs`.
template <typename Predicate>
bool holds_for_all_jobs(int jobs, Predicate predicate) {
    for (int i = 1; i <= jobs; ++i) {
        if (!predicate(uid(i))) {
            return false;
        }
    }
    return true;
}

bool all_finished(SimulatedCluster& cluster, int jobs) {
    return holds_for_all_jobs(jobs, [&](const auto& job) { return cluster.is_finished(job); });
}

std::uint64_t epoch_number(SimulatedCluster& cluster) {
    return cluster.store.find("c/epoch")->at("number").get<std::uint64_t>();
}

struct OverloadTest : ClusterTest {};

struct ThreeControllerOverloadTest : ThreeControllerTest {};

TEST_F(OverloadTest, LowerPriorityClassGetsMinimumShare) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    auto urgent_job = cluster.make_job(1, JobKind::array, 100);
    urgent_job.priority = Priority::high;
    urgent_job.job_class = "urgent";
    auto sweep_job = cluster.make_job(2, JobKind::array, 100);
    sweep_job.job_class = "sweep";
    cluster.submit_and_wait(0, urgent_job);
    cluster.run_for(1);
    cluster.submit_and_wait(0, sweep_job);
    cluster.run_for(constants::min_share_wait_s);
    EXPECT_EQ(cluster.running_tasks(uid(2)), 0);  // the usual priority order
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(2)) >= 2; }, 45));
    EXPECT_GE(cluster.running_tasks(uid(1)),
              8);  // the urgent class still has more than the other one
}

TEST_F(OverloadTest, GangBelowMinimumShareStartsAsRunningTasksEnd) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 40;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    int job_number = 0;
    auto submit_sweep_job = [&] {
        auto spec = cluster.make_job(++job_number);
        spec.job_class = "sweep";
        cluster.submit(0, spec);
    };
    // Small tasks that end one after another, with more of them waiting than fit.
    for (int i = 0; i < 20; ++i) {
        submit_sweep_job();
        cluster.run_for(2.5);
    }
    for (int i = 0; i < 100; ++i) {
        submit_sweep_job();
    }
    auto gang = cluster.make_job(1000, JobKind::gang, 2);
    gang.task_resources = {32, 8, 64};
    gang.job_class = "gang";
    cluster.submit(0, gang);
    cluster.run_for(constants::min_share_wait_s);
    EXPECT_EQ(cluster.running_tasks(uid(1000)), 0);  // 20 s at a time are too few
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(1000)) == 2; },
                                  cluster.workers.task_run_s + 20));
}

TEST_F(ThreeControllerOverloadTest, ClaimsOfManyJobsShareRecordWhileWritesAreShort) {
    start_cluster(3);
    cluster.workers.task_run_s = 30;
    cluster.run_for(2);
    cluster.store.put_admission_table(true, {1, 1, 1});
    for (int n = 1; n <= 40; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 2));
    }
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return holds_for_all_jobs(
                40, [&](const auto& job) { return cluster.running_tasks(job) == 2; });
        },
        60));
    EXPECT_GT(cluster.store.writes_by_kind["c/s"], 0);
    EXPECT_LT(cluster.store.writes_by_kind["c/s"] + cluster.store.writes_by_kind["c/b"], 40);
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 40); }, 90));
}

TEST_F(ThreeControllerOverloadTest, ClaimBatchesSurviveRestartOfAllMembers) {
    start_cluster(3);
    cluster.workers.task_run_s = 40;
    cluster.store.put_admission_table(true, {1, 2, 3});
    for (int n = 1; n <= 20; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 3));
    }
    int started = 0;
    cluster.run_until(
        [&] {
            started = 0;
            for (int n = 1; n <= 20; ++n) {
                started += cluster.running_tasks(uid(n));
            }
            return started > 20;
        },
        40);
    ASSERT_GT(started, 20);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(1);
    for (int i = 0; i < 3; ++i) {
        cluster.start(i);
    }
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 20); }, 150));
}

TEST_F(ThreeControllerOverloadTest, RepeatedAdmissionTableChangesCauseNoDoubleClaim) {
    start_cluster(3);
    for (int n = 1; n <= 30; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 4));
        cluster.store.put_admission_table(n % 2 == 0, {1 + n % 3, 1 + n % 5, 1 + n % 7});
        cluster.run_for(0.3);
    }
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 30); },
                                  200));  // the cluster checks the invariants
}

struct NineControllerOverloadTest : ClusterTest {
    NineControllerOverloadTest() : ClusterTest(9) {}
};

TEST_F(NineControllerOverloadTest, RestartEverySecondCostsFewEpochsAndNoLease) {
    start_cluster(9);
    cluster.workers.task_run_s = 200;
    for (int n = 1; n <= 12; ++n) {
        cluster.submit(n % 9, cluster.make_job(n, JobKind::array, 4));
    }
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return holds_for_all_jobs(
                12, [&](const auto& job) { return cluster.running_tasks(job) == 4; });
        },
        90));
    auto epoch_before = epoch_number(cluster);
    constexpr int restarts = 30;
    for (int restart = 0; restart < restarts; ++restart) {
        cluster.kill(restart % 9);
        cluster.run_for(0.2);
        cluster.start(restart % 9);
        cluster.run_for(0.8);
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(9); }, 10));
    // At most two epochs per restart, to remove the old member and add its successor; several
    // restarts may share one.
    EXPECT_LE(epoch_number(cluster) - epoch_before, 2U * restarts);
    for (const auto& [name, worker] : cluster.machines) {
        EXPECT_TRUE(worker.deleted || worker.agent_epoch == 1) << name;
    }
    cluster.run_for(10);
    for (int n = 1; n <= 12; ++n) {
        EXPECT_EQ(cluster.running_tasks(uid(n)), 4);
    }
}

TEST_F(ThreeControllerOverloadTest, UsersAreServedWhileBusiestControllerRestartsEverySecond) {
    start_cluster(3);
    int accepted = 0;
    for (int restart = 0; restart < 30; ++restart) {
        cluster.kill(0);
        cluster.run_for(0.3);
        cluster.start(0);
        auto reply =
            cluster.submit_and_wait(1 + restart % 2, cluster.make_job(restart + 1, JobKind::array));
        accepted += reply.status == 201 ? 1 : 0;
        cluster.run_for(0.7);
    }
    EXPECT_EQ(accepted, 30);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 30); }, 120));
}

}  // namespace
}  // namespace cranemoor::test

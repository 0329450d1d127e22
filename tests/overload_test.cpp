// Overload and quick restarts: what several members do when writes, room or members themselves run
// short for a while.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

std::string uid(int number) {
    return fmt::format("req-{:06}", number);
}

// Whether it holds of all jobs from 1 to n.
template <typename Holds>
bool all_jobs(int n, Holds holds) {
    for (int i = 1; i <= n; ++i) {
        if (!holds(uid(i))) {
            return false;
        }
    }
    return true;
}

bool all_finished(SimulatedCluster& cluster, int n) {
    return all_jobs(n, [&](const auto& job) { return cluster.is_finished(job); });
}

std::uint64_t epoch_of(SimulatedCluster& cluster) {
    return cluster.store.find("c/epoch")->at("number").get<std::uint64_t>();
}

struct OverloadTest : ClusterTest {};

struct ThreeControllerOverloadTest : ThreeControllerTest {};

TEST_F(OverloadTest, AClassOfLowerPriorityIsNotLeftWithoutRoom) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    auto urgent = cluster.make_job(1, JobKind::array, 100);
    urgent.priority = Priority::high;
    urgent.job_class = "urgent";
    auto sweep = cluster.make_job(2, JobKind::array, 100);
    sweep.job_class = "sweep";
    cluster.submit_and_wait(0, urgent);
    cluster.run_for(1);
    cluster.submit_and_wait(0, sweep);
    cluster.run_for(constants::min_share_wait_s);
    EXPECT_EQ(cluster.running_tasks(uid(2)), 0);  // the ordinary order
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(2)) >= 2; }, 45));
    EXPECT_GE(cluster.running_tasks(uid(1)),
              8);  // and the urgent class still has more than the other
}

TEST_F(OverloadTest, AGangBelowItsFloorWaitsForWhatRunsOut) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 40;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    int number = 0;
    auto sweep = [&] {
        auto spec = cluster.make_job(++number);
        spec.job_class = "sweep";
        cluster.submit(0, spec);
    };
    // Small tasks that end one after the other, with more waiting than there is room for.
    for (int i = 0; i < 20; ++i) {
        sweep();
        cluster.run_for(2.5);
    }
    for (int i = 0; i < 100; ++i) {
        sweep();
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

TEST_F(ThreeControllerOverloadTest, WhileWritesAreShortClaimsOfManyJobsShareARecord) {
    start_cluster(3);
    cluster.workers.task_run_s = 30;
    cluster.run_for(2);
    cluster.store.put_admission_table(true, {1, 1, 1});
    for (int n = 1; n <= 40; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 2));
    }
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return all_jobs(40, [&](const auto& job) { return cluster.running_tasks(job) == 2; });
        },
        60));
    EXPECT_GT(cluster.store.writes_by_kind["c/s"], 0);
    EXPECT_LT(cluster.store.writes_by_kind["c/s"] + cluster.store.writes_by_kind["c/b"], 40);
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 40); }, 90));
}

TEST_F(ThreeControllerOverloadTest, WhatSheetsSayOutlivesTheMembersThatSaidIt) {
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

TEST_F(ThreeControllerOverloadTest, ATableThatTurnsOverAndOverMakesNobodyClaimTwice) {
    start_cluster(3);
    for (int n = 1; n <= 30; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 4));
        cluster.store.put_admission_table(n % 2 == 0, {1 + n % 3, 1 + n % 5, 1 + n % 7});
        cluster.run_for(0.3);
    }
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 30); },
                                  200));  // the rules are checked by the cluster
}

struct NineControllerOverloadTest : ClusterTest {
    NineControllerOverloadTest() : ClusterTest(9) {}
};

TEST_F(NineControllerOverloadTest, AnEndEverySecondCostsFewEpochsAndNoLease) {
    start_cluster(9);
    cluster.workers.task_run_s = 200;
    for (int n = 1; n <= 12; ++n) {
        cluster.submit(n % 9, cluster.make_job(n, JobKind::array, 4));
    }
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return all_jobs(12, [&](const auto& job) { return cluster.running_tasks(job) == 4; });
        },
        90));
    auto before = epoch_of(cluster);
    constexpr int ends = 30;
    for (int k = 0; k < ends; ++k) {
        cluster.kill(k % 9);
        cluster.run_for(0.2);
        cluster.start(k % 9);
        cluster.run_for(0.8);
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(9); }, 10));
    // One that takes the old one out and its new one in; others may share it.
    EXPECT_LE(epoch_of(cluster) - before, 2U * ends);
    for (const auto& [name, m] : cluster.machines) {
        EXPECT_TRUE(m.deleted || m.agent_epoch == 1) << name;
    }
    cluster.run_for(10);
    for (int n = 1; n <= 12; ++n) {
        EXPECT_EQ(cluster.running_tasks(uid(n)), 4);
    }
}

TEST_F(ThreeControllerOverloadTest, TheBusiestEndsEverySecondAndUsersAreStillServed) {
    start_cluster(3);
    int accepted = 0;
    for (int k = 0; k < 30; ++k) {
        cluster.kill(0);
        cluster.run_for(0.3);
        cluster.start(0);
        auto reply = cluster.submit_and_wait(1 + k % 2, cluster.make_job(k + 1, JobKind::array));
        accepted += reply.status == 201 ? 1 : 0;
        cluster.run_for(0.7);
    }
    EXPECT_EQ(accepted, 30);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    EXPECT_TRUE(cluster.run_until([&] { return all_finished(cluster, 30); }, 120));
}

}  // namespace
}  // namespace cranemoor::test

// Jobs that depend on others: their start, their cancellation and their records.
#include <algorithm>
#include <array>

#include "dependent_job_fixture.hpp"

namespace cranemoor::test {
namespace {

TEST_F(DependentJobTest, JobStartsOnlyWhenAllDependenciesAreDone) {
    start_cluster(3);
    cluster.workers.task_run_s = 5;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 3)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, dependent_job(2, {1}, JobKind::gang, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(2, dependent_job(3, {1, 2})).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 3; }, 30));
    EXPECT_EQ(cluster.poll_and_wait(0, job_uid(2)).state, "queued");
    // Waiting jobs claim nothing: they have no blocks.
    EXPECT_EQ(cluster.store.find("c/b/" + job_uid(2) + "/0"), nullptr);
    ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(3); }, 60));
    EXPECT_TRUE(is_job_finished(1) && is_job_finished(2));
    // A job submitted after its dependencies are done is an ordinary job.
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(4, {1, 3})).status, 201);
    EXPECT_EQ(cluster.store.find("c/j/" + job_uid(4)), nullptr);
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(4); }, 60));
}

TEST_F(DependentJobTest, DependenciesSurviveRestart) {
    start_cluster(3);
    cluster.workers.task_run_s = 5;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, dependent_job(2, {1})).status, 201);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.poll_and_wait(2, job_uid(2)).state, "queued");
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(2, {1})).status, 200);
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(2); }, 60));
}

TEST_F(DependentJobTest, DependenciesMustHaveBeenAccepted) {
    // Final states are moved at once, and are in no local replica then.
    cluster.tunables.final_states_max = 0;
    start_cluster(3);
    cluster.workers.task_run_s = 1;
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(1, {9})).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(1, {1})).status, 422);  // itself
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3)).status, 201);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.store.find("f/" + job_uid(2)) != nullptr &&
                   cluster.store.find("f/" + job_uid(3)) != nullptr;
        },
        60));
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(1, dependent_job(4, {2, 3})).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(1, dependent_job(5, {2, 9})).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(1, dependent_job(4, {9})).status,
              200);  // known jobs go first
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(4); }, 60));
    // A dependency that cannot be looked up is no reason for a permanent refusal.
    cluster.faults.store_down = true;
    cluster.run_for(0.1);
    EXPECT_EQ(cluster.submit_and_wait(2, dependent_job(6, {2, 9})).status, 503);
}

TEST_F(DependentJobTest, JobStartsAfterFinalStateOfDependencyWasMoved) {
    // Guards against a job that waits forever: its dependency ends, and the dependency's final
    // state has left every local replica before the job's record is seen.
    cluster.tunables.final_states_max = 0;
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.store.find("f/" + job_uid(1)) != nullptr; }, 60));
    JobRecord dependent;
    dependent.spec = dependent_job(2, {1});
    dependent.submitted_wall = 1.7e9 + cluster.now();
    dependent.block_size = 34;
    dependent.waiting = true;
    cluster.users.add_submitted(dependent.spec);
    cluster.store.put("c/j/" + job_uid(2), encode(dependent));
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(2); }, 60));
}

TEST_F(DependentJobTest, CancellationPropagatesToDependentJobs) {
    start_cluster(3);
    cluster.workers.task_run_s = 1000;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, dependent_job(2, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(2, dependent_job(3, {2})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(4)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(5, {4, 3})).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 2; }, 30));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(1))).state, "cancelled");
    // The node that confirmed the cancellation is killed before it can propagate it.
    cluster.kill(0);
    ASSERT_TRUE(cluster.run_until(
        [&] { return is_job_finished(2) && is_job_finished(3) && is_job_finished(5); }, 15));
    for (int n : {2, 3, 5}) {
        EXPECT_EQ(cluster.poll_and_wait(1, job_uid(n)).state, "cancelled");
    }
    EXPECT_EQ(cluster.poll_and_wait(1, job_uid(4)).state, "running");
    // A dependency on a cancelled job is valid: the job is accepted, then cancelled.
    auto reply = cluster.submit_and_wait(2, dependent_job(6, {3, 4}));
    EXPECT_EQ(reply.status, 201);
    EXPECT_EQ(reply.state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(6); }, 5));
    EXPECT_EQ(cluster.poll_and_wait(1, job_uid(6)).state, "cancelled");
    cluster.run_for(cluster.settings.cancel_deadline_s + 5);
    for (int n : {1, 2, 3, 5, 6}) {
        EXPECT_EQ(cluster.poll_and_wait(2, job_uid(n)).state, "cancelled");
        EXPECT_EQ(cluster.running_tasks(job_uid(n)), 0);
    }
}

TEST_F(DependentJobTest, RepliesReflectCancellationNotYetPropagated) {
    // All nodes are down for longer than a cancellation may take. The first reply of a restarted
    // node must not report the dependent job as queued, although its own cancellation is not
    // written yet.
    start_cluster(3);
    cluster.workers.task_run_s = 1000;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(2, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(3, {2})).status, 201);
    auto request = cluster.cancel(0, job_uid(1));
    ASSERT_TRUE(cluster.run_until(
        [&] {
            const Json* block = cluster.store.find("c/b/" + job_uid(1) + "/0");
            return block != nullptr && block->contains("cancelled");
        },
        2));
    EXPECT_EQ(cluster.wait_for_reply(request, 0.05).state, "cancelled");
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    ASSERT_FALSE(is_job_finished(3));
    cluster.run_for(cluster.settings.cancel_deadline_s + 1);
    cluster.start(1);
    for (int i = 0; i < 400 && !is_job_finished(3); ++i) {
        cluster.poll(1, job_uid(3));  // the rule is checked with each reply
        cluster.poll(1, job_uid(2));
        cluster.run_for(0.01);
    }
    EXPECT_TRUE(is_job_finished(2) && is_job_finished(3));
}

TEST_F(DependentJobTest, CancellationAfterCompletionDoesNotStopDependentJobs) {
    start_cluster(3);
    cluster.workers.task_run_s = 2;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    auto dependent = dependent_job(2, {1}, JobKind::service);
    ASSERT_EQ(cluster.submit_and_wait(1, dependent).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(1); }, 60));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(2, job_uid(1))).state, "done");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(2)) == 1; }, 30));
    // A waiting job can be cancelled on its own, which cancels only the jobs that depend on it.
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(4, {3})).status, 201);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(4))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(3) && is_job_finished(4); }, 60));
    EXPECT_EQ(cluster.poll_and_wait(0, job_uid(3)).state, "done");
}

TEST_F(DependentJobTest, CancellationAndReleaseOfDependentJobAreSerialized) {
    // The dependency is done and the dependent job is about to be released. Its cancellation is
    // in the same record, so that no claim can follow the cancellation.
    start_cluster(3);
    cluster.workers.task_run_s = 2;
    cluster.add_machine("vm-500000", "a");
    for (int n = 1; n < 16; n += 2) {
        ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(n)).status, 201);
        ASSERT_EQ(cluster.submit_and_wait(1, dependent_job(n + 1, {n})).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(n); }, 60));
        cluster.run_for(0.002 * n);
        cluster.cancel(2, job_uid(n + 1));
    }
    cluster.run_for(cluster.settings.cancel_deadline_s + 10);
    for (int n = 2; n <= 16; n += 2) {
        EXPECT_TRUE(is_job_finished(n));
    }
}

TEST_F(DependentJobTest, DependenciesInheritHigherPriority) {
    start_cluster(3);
    cluster.workers.task_run_s = 1000;
    auto best_effort_job = cluster.make_job(1);
    best_effort_job.priority = Priority::best_effort;
    auto normal_job = dependent_job(2, {1});
    normal_job.priority = Priority::normal;
    auto high_priority_job = dependent_job(3, {2});
    high_priority_job.priority = Priority::high;
    ASSERT_EQ(cluster.submit_and_wait(0, best_effort_job).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, normal_job).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, high_priority_job).status, 201);
    cluster.run_for(1);
    auto priority = [&](int n) {
        return cluster.controller(2).context().jobs.find(job_uid(n))->spec.priority;
    };
    EXPECT_EQ(priority(1), Priority::high);
    EXPECT_EQ(priority(2), Priority::high);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(3))).state, "cancelled");
    cluster.run_for(1);
    EXPECT_EQ(priority(1), Priority::normal);
    // The priority is only inherited: the record keeps the job's own.
    EXPECT_EQ(cluster.controller(2).context().jobs.find(job_uid(1))->record().spec.priority,
              Priority::best_effort);
}

TEST_F(DependentJobTest, LongDependencyListIsWrittenInParts) {
    cluster.settings.store_value_kb_max = cluster.settings.store_current_value_kb_max = 2;
    cluster.settings.store_txn_ops_max = 4;
    start_cluster(3);
    cluster.workers.task_run_s = 60;
    std::vector<int> dependencies;
    for (int n = 1; n <= 400; ++n) {
        dependencies.push_back(n);
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array));
        if (n % 20 == 0) {
            cluster.run_for(1);
        }
    }
    cluster.run_for(2);
    auto dependent = dependent_job(1000, dependencies);
    dependent.depends_on.push_back(job_uid(1));
    ASSERT_EQ(cluster.submit_and_wait(0, dependent).status, 201);
    EXPECT_GE(cluster.store.keys("c/l/" + job_uid(1000)).size(), 2U);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(1000); }, 400));
    // The parts are deleted when they are no longer needed.
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.keys("c/l/").empty(); }, 140));
}

}  // namespace
}  // namespace cranemoor::test

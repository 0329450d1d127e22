// Jobs that depend on others: their start, their cancellation and their records.
#include <algorithm>
#include <array>

#include "dependent_job_fixture.hpp"

namespace cranemoor::test {
namespace {

TEST_F(DependentJobTest, AJobStartsOnlyWhenAllThatItFollowsAreDone) {
    begin(3);
    cluster.workers.task_run_s = 5;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 3)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, after(2, {1}, JobKind::gang, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(2, after(3, {1, 2})).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(1)) == 3; }, 30));
    EXPECT_EQ(cluster.poll_and_wait(0, uid(2)).state, "queued");
    // While they wait they claim nothing: their blocks are not there.
    EXPECT_EQ(cluster.store.find("c/b/" + uid(2) + "/0"), nullptr);
    ASSERT_TRUE(cluster.run_until([&] { return over(3); }, 60));
    EXPECT_TRUE(over(1) && over(2));
    // Submitted when the others are over, it is a job like any other.
    ASSERT_EQ(cluster.submit_and_wait(0, after(4, {1, 3})).status, 201);
    EXPECT_EQ(cluster.store.find("c/j/" + uid(4)), nullptr);
    EXPECT_TRUE(cluster.run_until([&] { return over(4); }, 60));
}

TEST_F(DependentJobTest, WhatAJobFollowsIsForgottenByNoRestart) {
    begin(3);
    cluster.workers.task_run_s = 5;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, after(2, {1})).status, 201);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.poll_and_wait(2, uid(2)).state, "queued");
    EXPECT_EQ(cluster.submit_and_wait(0, after(2, {1})).status, 200);
    EXPECT_TRUE(cluster.run_until([&] { return over(2); }, 60));
}

TEST_F(DependentJobTest, FollowedJobsMustHaveBeenAccepted) {
    cluster.tunables.final_states = 0;  // final states are moved at once, and are in no memory then
    begin(3);
    cluster.workers.task_run_s = 1;
    EXPECT_EQ(cluster.submit_and_wait(0, after(1, {9})).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(0, after(1, {1})).status, 422);  // itself
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3)).status, 201);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.store.find("f/" + uid(2)) != nullptr &&
                   cluster.store.find("f/" + uid(3)) != nullptr;
        },
        60));
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(1, after(4, {2, 3})).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(1, after(5, {2, 9})).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(1, after(4, {9})).status, 200);  // known goes first
    EXPECT_TRUE(cluster.run_until([&] { return over(4); }, 60));
    // What can't be looked up is no reason to refuse for good.
    cluster.faults.store_down = true;
    cluster.run_for(0.1);
    EXPECT_EQ(cluster.submit_and_wait(2, after(6, {2, 9})).status, 503);
}

TEST_F(DependentJobTest, AJobWhoseFollowedOneWasMovedAwayMeanwhileStarts) {
    // Guards against a job that waits for ever: what it follows ends and its final state leaves
    // every memory before the job's record is seen.
    cluster.tunables.final_states = 0;
    begin(3);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.store.find("f/" + uid(1)) != nullptr; }, 60));
    JobRecord late;
    late.spec = after(2, {1});
    late.submitted_wall = 1.7e9 + cluster.now();
    late.block_size = 34;
    late.waiting = true;
    cluster.users.add_submitted(late.spec);
    cluster.store.put("c/j/" + uid(2), encode(late));
    EXPECT_TRUE(cluster.run_until([&] { return over(2); }, 60));
}

TEST_F(DependentJobTest, ACancellationIsHandedOnToAllThatNeedTheJob) {
    begin(3);
    cluster.workers.task_run_s = 1000;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(1, after(2, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(2, after(3, {2})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(4)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, after(5, {4, 3})).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(1)) == 2; }, 30));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, uid(1))).state, "cancelled");
    // The node that was asked ends before it can hand it on.
    cluster.kill(0);
    ASSERT_TRUE(cluster.run_until([&] { return over(2) && over(3) && over(5); }, 15));
    for (int n : {2, 3, 5}) {
        EXPECT_EQ(cluster.poll_and_wait(1, uid(n)).state, "cancelled");
    }
    EXPECT_EQ(cluster.poll_and_wait(1, uid(4)).state, "running");
    // Naming a cancelled job is no mistake: accepted, then withdrawn.
    auto late = cluster.submit_and_wait(2, after(6, {3, 4}));
    EXPECT_EQ(late.status, 201);
    EXPECT_EQ(late.state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return over(6); }, 5));
    EXPECT_EQ(cluster.poll_and_wait(1, uid(6)).state, "cancelled");
    cluster.run_for(cluster.settings.cancel_deadline_s + 5);
    for (int n : {1, 2, 3, 5, 6}) {
        EXPECT_EQ(cluster.poll_and_wait(2, uid(n)).state, "cancelled");
        EXPECT_EQ(cluster.running_tasks(uid(n)), 0);
    }
}

TEST_F(DependentJobTest, NoAnswerIsOlderThanACancellationThatIsStillToBeHandedOn) {
    // Everybody was away for longer than a cancellation may take: the first answer of whoever
    // comes back must not call the job queued, although nothing was written for it yet.
    begin(3);
    cluster.workers.task_run_s = 1000;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, after(2, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, after(3, {2})).status, 201);
    auto request = cluster.cancel(0, uid(1));
    ASSERT_TRUE(cluster.run_until(
        [&] {
            const Json* block = cluster.store.find("c/b/" + uid(1) + "/0");
            return block != nullptr && block->contains("cancelled");
        },
        2));
    EXPECT_EQ(cluster.wait_for_reply(request, 0.05).state, "cancelled");
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    ASSERT_FALSE(over(3));
    cluster.run_for(cluster.settings.cancel_deadline_s + 1);
    cluster.start(1);
    for (int i = 0; i < 400 && !over(3); ++i) {
        cluster.poll(1, uid(3));  // the rule is checked with each answer
        cluster.poll(1, uid(2));
        cluster.run_for(0.01);
    }
    EXPECT_TRUE(over(2) && over(3));
}

TEST_F(DependentJobTest, ACancellationThatComesTooLateStopsNothing) {
    begin(3);
    cluster.workers.task_run_s = 2;
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    auto last = after(2, {1}, JobKind::service);
    ASSERT_EQ(cluster.submit_and_wait(1, last).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return over(1); }, 60));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(2, uid(1))).state, "done");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(2)) == 1; }, 30));
    // A job that waits can be cancelled for itself, and takes with it only what needs it.
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, after(4, {3})).status, 201);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, uid(4))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return over(3) && over(4); }, 60));
    EXPECT_EQ(cluster.poll_and_wait(0, uid(3)).state, "done");
}

TEST_F(DependentJobTest, OfACancellationAndAStartOnlyOneComesFirst) {
    // The job that is followed is done and the one after it is about to be released: its
    // cancellation is in the same record, so that no claim can follow it.
    begin(3);
    cluster.workers.task_run_s = 2;
    cluster.add_machine("vm-500000", "a");
    for (int n = 1; n < 16; n += 2) {
        ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(n)).status, 201);
        ASSERT_EQ(cluster.submit_and_wait(1, after(n + 1, {n})).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return over(n); }, 60));
        cluster.run_for(0.002 * n);
        cluster.cancel(2, uid(n + 1));
    }
    cluster.run_for(cluster.settings.cancel_deadline_s + 10);
    for (int n = 2; n <= 16; n += 2) {
        EXPECT_TRUE(over(n));
    }
}

TEST_F(DependentJobTest, WhatAnUrgentJobNeedsIsUrgent) {
    begin(3);
    cluster.workers.task_run_s = 1000;
    auto low = cluster.make_job(1);
    low.priority = Priority::best_effort;
    auto middle = after(2, {1});
    middle.priority = Priority::normal;
    auto urgent = after(3, {2});
    urgent.priority = Priority::high;
    ASSERT_EQ(cluster.submit_and_wait(0, low).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, middle).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, urgent).status, 201);
    cluster.run_for(1);
    auto priority = [&](int n) {
        return cluster.controller(2).context().jobs.find(uid(n))->spec.priority;
    };
    EXPECT_EQ(priority(1), Priority::high);
    EXPECT_EQ(priority(2), Priority::high);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, uid(3))).state, "cancelled");
    cluster.run_for(1);
    EXPECT_EQ(priority(1), Priority::normal);
    // Only lent: the record keeps the job's own.
    EXPECT_EQ(cluster.controller(2).context().jobs.find(uid(1))->record().spec.priority,
              Priority::best_effort);
}

TEST_F(DependentJobTest, ALongListOfFollowedJobsIsWrittenInParts) {
    cluster.settings.store_value_kb_max = cluster.settings.store_current_value_kb_max = 2;
    cluster.settings.store_txn_ops_max = 4;
    begin(3);
    cluster.workers.task_run_s = 60;
    std::vector<int> all;
    for (int n = 1; n <= 400; ++n) {
        all.push_back(n);
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array));
        if (n % 20 == 0) {
            cluster.run_for(1);
        }
    }
    cluster.run_for(2);
    auto last = after(1000, all);
    last.depends_on.push_back(uid(1));
    ASSERT_EQ(cluster.submit_and_wait(0, last).status, 201);
    EXPECT_GE(cluster.store.keys("c/l/" + uid(1000)).size(), 2U);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return over(1000); }, 400));
    // The parts go when they are no longer needed.
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.keys("c/l/").empty(); }, 140));
}

}  // namespace
}  // namespace cranemoor::test

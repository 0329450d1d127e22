// Replies to users: no node replies with anything older than what any node has replied before.
// AnswerHistory checks each reply; these tests create combinations of faults in which a stale
// reply is likely.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// Three controllers and one machine per zone, with short tasks.
struct UserReplyTest : HalfMachineJobTest {
    void SetUp() override {
        HalfMachineJobTest::SetUp();
        cluster.workers.task_run_s = 10;
    }
    // A job of more tasks than one block holds, which has a record of its own.
    JobSpec large_job(int number) {
        auto spec = cluster.make_job(number, JobKind::array, 200);
        spec.task_resources = {0.05, 0, 0.1};
        return spec;
    }
    void submit_and_expect_accepted(const JobSpec& spec, int node = 1) {
        ASSERT_EQ(cluster.submit_and_wait(node, spec).status, 201);
    }
    // Expects that all nodes report the given state.
    void expect_state_on_all_nodes(int number, const std::string& state) {
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(cluster.poll_and_wait(i, job_uid(number)).state, state) << "node " << i;
        }
    }
};

TEST_F(UserReplyTest, CancellationRacesWithEndOfJobWithOwnRecord) {
    // Guards against a job that is reported done and then cancelled: the final state left the
    // job's own record unchanged, and a cancellation was conditional on that record alone.
    submit_and_expect_accepted(large_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 200; }, 30));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; }, 30));
    cluster.faults.transaction_delay_s = [](const Txn& t) {
        return t.purpose == Txn::Purpose::cancel ? 3.0 : 0.0;
    };
    auto request = cluster.cancel(1, job_uid(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); },
                                  2.5));  // while the cancellation is delayed
    EXPECT_EQ(cluster.wait_for_reply(request).state, "done");
    expect_state_on_all_nodes(1, "done");
}

TEST_F(UserReplyTest, CancellationRacesWithEndOfArraysAndGangs) {
    // A cancellation is requested at each of three nodes, at times around the end of the last
    // task.
    cluster.users.verify_each_reply = true;
    int n = 0;
    for (double before_s : {0.6, 0.1, 0.02, 0.0, -0.02, -0.1, -0.6}) {
        for (auto kind : {JobKind::array, JobKind::gang}) {
            auto spec = cluster.make_job(++n, kind, 2);
            spec.task_resources = {1, 0, 1};
            submit_and_expect_accepted(spec, n % 3);
            ASSERT_TRUE(
                cluster.run_until([&] { return cluster.running_tasks(job_uid(n)) == 2; }, 30));
            cluster.run_for(cluster.workers.task_run_s - 0.05 - before_s);
            for (int i = 0; i < 3; ++i) {
                cluster.cancel((n + i) % 3, job_uid(n));
            }
            ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(n)); }, 30));
            cluster.run_for(0.1);
            expect_state_on_all_nodes(n, cluster.poll_and_wait(0, job_uid(n)).state);
        }
    }
}

TEST_F(UserReplyTest, DelayedAcceptanceReplyReflectsCancellation) {
    cluster.faults.transaction_reply_delay_s = [](const Txn& t) {
        return t.purpose == Txn::Purpose::accept ? 1.5 : 0.0;
    };
    auto request = cluster.submit(0, cluster.make_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_accepted(job_uid(1)); }, 1));
    cluster.run_for(0.1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    EXPECT_EQ(cluster.wait_for_reply(request).state, "cancelled");
    expect_state_on_all_nodes(1, "cancelled");
}

TEST_F(UserReplyTest, PendingSubmissionDoesNotReviveJobCancelledElsewhere) {
    // The submission is queued at one node when another node accepts it. Submitted again at the
    // first node, the cancelled job must not be revived.
    cluster.faults.refuse_transaction = [](const Txn& t) {
        return t.purpose == Txn::Purpose::accept;
    };
    auto first_request = cluster.submit(0, cluster.make_job(1));
    cluster.run_for(0.3);
    cluster.faults.refuse_transaction = nullptr;
    submit_and_expect_accepted(cluster.make_job(1), 1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(2, job_uid(1))).state, "cancelled");
    cluster.wait_for_reply(first_request);
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).state, "cancelled");
    expect_state_on_all_nodes(1, "cancelled");
}

TEST_F(UserReplyTest, RapidRequestsAtAllNodesGetConsistentReplies) {
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 3;
    for (int n = 1; n <= 40; ++n) {
        auto spec = cluster.make_job(n, n % 4 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        spec.task_resources = {1, 0, 1};
        cluster.submit(n % 3, spec);
        if (n % 3 == 0) {
            cluster.run_for(0.001 * n);
            cluster.cancel((n + 1) % 3, job_uid(n));  // immediately
        }
        if (n % 10 == 0) {
            cluster.kill(n / 10 % 3);  // replies after a failover must not be older either
            cluster.run_for(0.5);
            cluster.start(n / 10 % 3);
        }
        cluster.run_for(0.4);
    }
    cluster.run_for(40);
    for (int n = 1; n <= 40; ++n) {
        EXPECT_TRUE(!cluster.is_accepted(job_uid(n)) || cluster.is_finished(job_uid(n)))
            << job_uid(n);
    }
}

TEST_F(UserReplyTest, RepliesStayConsistentWhenTransactionRepliesAreLost) {
    // The node that sent a transaction does not know its result, while the others have read what
    // it wrote.
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 4;
    int sent = 0;
    cluster.faults.transaction_reply_delay_s = [&](const Txn& t) {
        return !t.writes.empty() && ++sent % 3 == 0 ? 5.0 : 0.0;
    };
    for (int n = 1; n <= 24; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 1 + n % 2));
        cluster.run_for(0.7);
        cluster.submit((n + 1) % 3, cluster.make_job(n, JobKind::array,
                                                     1 + n % 2));  // users retry
        if (n % 2 == 0) {
            cluster.cancel(n % 3, job_uid(n));
            cluster.cancel((n + 2) % 3, job_uid(n));
        }
        cluster.run_for(1);
    }
    cluster.faults.transaction_reply_delay_s = nullptr;
    cluster.run_for(60);
    for (int n = 1; n <= 24; ++n) {
        ASSERT_TRUE(cluster.is_accepted(job_uid(n)) && cluster.is_finished(job_uid(n)))
            << job_uid(n);
        auto state = cluster.poll_and_wait(0, job_uid(n)).state;
        expect_state_on_all_nodes(n, state);
    }
}

TEST_F(UserReplyTest, PagedRereadDoesNotMistakeRunningJobForFinished) {
    // Guards against acting on half of the records: blocks are read before the records of jobs
    // that have one of their own, and looked as if they had outlived their jobs.
    cluster.workers.task_run_s = 1000;
    submit_and_expect_accepted(cluster.make_job(1));
    for (int n = 2; n < 30; ++n) {
        auto dependent = cluster.make_job(n);
        dependent.depends_on = {job_uid(1)};
        submit_and_expect_accepted(dependent);
    }
    submit_and_expect_accepted(large_job(900));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(900)) == 200; }, 60));
    int block_writes = cluster.store.writes_by_kind["c/b"];
    auto machines = cluster.machines_running(job_uid(900));
    cluster.faults.store_reply_delay_s = 0.3;
    for (int i = 0; i < 3; ++i) {
        cluster.store.compact();
        cluster.run_for(1.5);
        cluster.poll(i, job_uid(900));
        cluster.poll(i, job_uid(5));
        cluster.run_for(6);
    }
    EXPECT_EQ(cluster.store.writes_by_kind["c/b"],
              block_writes);  // neither removed nor claimed again
    EXPECT_EQ(cluster.machines_running(job_uid(900)), machines);
    EXPECT_EQ(cluster.cloud.machine_count(), 3);
    cluster.faults.store_reply_delay_s = 0;
    cluster.run_for(3);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(900))).state, "cancelled");
    cluster.store.compact();
    cluster.run_for(20);
    expect_state_on_all_nodes(900, "cancelled");
}

TEST_F(UserReplyTest, InvalidRequestsAreRefusedUnlessJobIsKnown) {
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 3;
    EXPECT_EQ(cluster.wait_for_reply(cluster.submit_malformed(0, job_uid(1))).status, 400);
    EXPECT_EQ(cluster.poll_and_wait(1, job_uid(1)).status, 404);
    auto too_large = cluster.make_job(2);
    too_large.task_resources = {4, 900, 16};
    EXPECT_EQ(cluster.submit_and_wait(1, too_large).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(2, too_large).status, 422);
    EXPECT_FALSE(cluster.is_accepted(job_uid(2)));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(2))).status, 404);
    auto unknown_team_job = cluster.make_job(3);
    unknown_team_job.team = "nobody";
    EXPECT_EQ(cluster.submit_and_wait(1, unknown_team_job).status, 422);
    submit_and_expect_accepted(cluster.make_job(4));
    for (int i = 0; i < 3; ++i) {  // a known job, whatever the repeated submission contains
        EXPECT_EQ(cluster.submit_and_wait(i, cluster.make_job(4)).status, 200);
        EXPECT_EQ(cluster.wait_for_reply(cluster.submit_malformed(i, job_uid(4))).status, 200);
        auto invalid_repeat = too_large;
        invalid_repeat.uid = job_uid(4);
        EXPECT_EQ(cluster.submit_and_wait(i, invalid_repeat).status, 200);
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(4)); }, 30));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(i, job_uid(4))).state, "done");
    }
    EXPECT_EQ(cluster.store.keys("c/a/").size() + cluster.store.keys("c/j/").size(), 1U);
}

}  // namespace
}  // namespace cranemoor::test

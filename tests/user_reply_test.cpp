// Replies to users: no node answers anything older than what any node told before. AnswerHistory
// checks each reply; these tests bring about the combinations of faults in which an older one is
// near.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// Three controllers and a machine in each zone, where tasks end soon.
struct UserReplyTest : HalfMachineJobTest {
    void SetUp() override {
        HalfMachineJobTest::SetUp();
        cluster.workers.task_run_s = 10;
    }
    // Jobs of more tasks than one block holds have a record of their own.
    JobSpec large(int n) {
        auto s = cluster.make_job(n, JobKind::array, 200);
        s.task_resources = {0.05, 0, 0.1};
        return s;
    }
    void accept(const JobSpec& spec, int node = 1) {
        ASSERT_EQ(cluster.submit_and_wait(node, spec).status, 201);
    }
    // All nodes say the same, and it is what the records say.
    void all_say(int n, const std::string& state) {
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(cluster.poll_and_wait(i, job_uid(n)).state, state) << "node " << i;
        }
    }
};

TEST_F(UserReplyTest, ACancellationMeetsTheEndOfAJobWithARecordOfItsOwn) {
    // Found in the sources: the final state left the job's own record as it was, and a cancellation
    // depended on that one alone, so that a job was called done and then cancelled.
    accept(large(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 200; }, 30));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; }, 30));
    cluster.faults.transaction_delay_s = [](const Txn& t) {
        return t.purpose == Txn::Purpose::cancel ? 3.0 : 0.0;
    };
    auto asked = cluster.cancel(1, job_uid(1));
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 2.5));  // meanwhile
    EXPECT_EQ(cluster.wait_for_reply(asked).state, "done");
    all_say(1, "done");
}

TEST_F(UserReplyTest, ACancellationMeetsTheEndOfEveryKindOfJob) {
    // One is asked for at each of three nodes, at moments round the end of the last task.
    cluster.users.verify_each_reply = true;
    int n = 0;
    for (double before_s : {0.6, 0.1, 0.02, 0.0, -0.02, -0.1, -0.6}) {
        for (auto kind : {JobKind::array, JobKind::gang}) {
            auto spec = cluster.make_job(++n, kind, 2);
            spec.task_resources = {1, 0, 1};
            accept(spec, n % 3);
            ASSERT_TRUE(
                cluster.run_until([&] { return cluster.running_tasks(job_uid(n)) == 2; }, 30));
            cluster.run_for(cluster.workers.task_run_s - 0.05 - before_s);
            for (int i = 0; i < 3; ++i) {
                cluster.cancel((n + i) % 3, job_uid(n));
            }
            ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(n)); }, 30));
            cluster.run_for(0.1);
            all_say(n, cluster.poll_and_wait(0, job_uid(n)).state);
        }
    }
}

TEST_F(UserReplyTest, AnAcceptanceIsAnsweredLateAndTheJobWasCancelledMeanwhile) {
    cluster.faults.transaction_reply_delay_s = [](const Txn& t) {
        return t.purpose == Txn::Purpose::accept ? 1.5 : 0.0;
    };
    auto asked = cluster.submit(0, cluster.make_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_accepted(job_uid(1)); }, 1));
    cluster.run_for(0.1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    EXPECT_EQ(cluster.wait_for_reply(asked).state, "cancelled");
    all_say(1, "cancelled");
}

TEST_F(UserReplyTest, ASubmissionThatWaitsIsAcceptedElsewhereAndCancelled) {
    // It stands in the queue of one node when another accepts it; asked again there, it must not
    // come to life.
    cluster.faults.refuse_transaction = [](const Txn& t) {
        return t.purpose == Txn::Purpose::accept;
    };
    auto first = cluster.submit(0, cluster.make_job(1));
    cluster.run_for(0.3);
    cluster.faults.refuse_transaction = nullptr;
    accept(cluster.make_job(1), 1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(2, job_uid(1))).state, "cancelled");
    cluster.wait_for_reply(first);
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).state, "cancelled");
    all_say(1, "cancelled");
}

TEST_F(UserReplyTest, UsersAskAtAllNodesWithinMillisecondsAndSubmitAgain) {
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 3;
    for (int n = 1; n <= 40; ++n) {
        auto spec = cluster.make_job(n, n % 4 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        spec.task_resources = {1, 0, 1};
        cluster.submit(n % 3, spec);
        if (n % 3 == 0) {
            cluster.run_for(0.001 * n);
            cluster.cancel((n + 1) % 3, job_uid(n));  // at once
        }
        if (n % 10 == 0) {
            cluster.kill(n / 10 % 3);  // the answers of who follows must not be older either
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

TEST_F(UserReplyTest, TransactionsAreCarriedOutAtOnceAndOnlyTheirAnswersAreLost) {
    // Who asked for them knows nothing; the others have read what they wrote.
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 4;
    int sent = 0;
    cluster.faults.transaction_reply_delay_s = [&](const Txn& t) {
        return !t.writes.empty() && ++sent % 3 == 0 ? 5.0 : 0.0;
    };
    for (int n = 1; n <= 24; ++n) {
        cluster.submit(n % 3, cluster.make_job(n, JobKind::array, 1 + n % 2));
        cluster.run_for(0.7);
        cluster.submit((n + 1) % 3, cluster.make_job(n, JobKind::array, 1 + n % 2));  // as users do
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
        all_say(n, state);
    }
}

TEST_F(UserReplyTest, EverythingIsReadAgainPageByPageAndNothingIsTakenForOver) {
    // Guards against half of the records: blocks are read before the records of jobs that have one
    // of their own, and looked as if they had outlived them.
    cluster.workers.task_run_s = 1000;
    accept(cluster.make_job(1));
    for (int n = 2; n < 30; ++n) {
        auto waits = cluster.make_job(n);
        waits.depends_on = {job_uid(1)};
        accept(waits);
    }
    accept(large(900));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(900)) == 200; }, 60));
    int changes = cluster.store.writes_by_kind["c/b"];
    auto places = cluster.machines_running(job_uid(900));
    cluster.faults.store_reply_delay_s = 0.3;
    for (int i = 0; i < 3; ++i) {
        cluster.store.compact();
        cluster.run_for(1.5);
        cluster.poll(i, job_uid(900));
        cluster.poll(i, job_uid(5));
        cluster.run_for(6);
    }
    EXPECT_EQ(cluster.store.writes_by_kind["c/b"], changes);  // neither removed nor claimed anew
    EXPECT_EQ(cluster.machines_running(job_uid(900)), places);
    EXPECT_EQ(cluster.cloud.machine_count(), 3);
    cluster.faults.store_reply_delay_s = 0;
    cluster.run_for(3);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(900))).state, "cancelled");
    cluster.store.compact();
    cluster.run_for(20);
    all_say(900, "cancelled");
}

TEST_F(UserReplyTest, OddRequestsAreAnsweredAsTheProtocolSaysAndNeverAccepted) {
    cluster.users.verify_each_reply = true;
    cluster.workers.task_run_s = 3;
    EXPECT_EQ(cluster.wait_for_reply(cluster.submit_malformed(0, job_uid(1))).status, 400);
    EXPECT_EQ(cluster.poll_and_wait(1, job_uid(1)).status, 404);
    auto vast = cluster.make_job(2);
    vast.task_resources = {4, 900, 16};
    EXPECT_EQ(cluster.submit_and_wait(1, vast).status, 422);
    EXPECT_EQ(cluster.submit_and_wait(2, vast).status, 422);
    EXPECT_FALSE(cluster.is_accepted(job_uid(2)));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(2))).status, 404);
    auto stranger = cluster.make_job(3);
    stranger.team = "nobody";
    EXPECT_EQ(cluster.submit_and_wait(1, stranger).status, 422);
    accept(cluster.make_job(4));
    for (int i = 0; i < 3; ++i) {  // known: whatever the repeated submission looks like
        EXPECT_EQ(cluster.submit_and_wait(i, cluster.make_job(4)).status, 200);
        EXPECT_EQ(cluster.wait_for_reply(cluster.submit_malformed(i, job_uid(4))).status, 200);
        auto other = vast;
        other.uid = job_uid(4);
        EXPECT_EQ(cluster.submit_and_wait(i, other).status, 200);
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(4)); }, 30));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(i, job_uid(4))).state, "done");
    }
    EXPECT_EQ(cluster.store.keys("c/a/").size() + cluster.store.keys("c/j/").size(), 1U);
}

}  // namespace
}  // namespace cranemoor::test

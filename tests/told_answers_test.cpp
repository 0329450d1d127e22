// What users are told: no node answers anything older than what any node told before. The test
// world's history of answers checks each of them; these stories bring about the meetings in which
// an older one is near.
#include <algorithm>

#include "story.hpp"

namespace cranemoor::test {
namespace {

// Three controllers and a machine in each zone, where tasks end soon.
struct Told : Meeting {
    void SetUp() override {
        Meeting::SetUp();
        w.run_s = 10;
    }
    // Jobs of more tasks than one block holds have a record of their own.
    JobSpec large(int n) {
        auto s = w.job(n, JobKind::array, 200);
        s.each = {0.05, 0, 0.1};
        return s;
    }
    void accept(const JobSpec& spec, int node = 1) {
        ASSERT_EQ(w.submit_and_wait(node, spec).status, 201);
    }
    // All nodes say the same, and it is what the records say.
    void all_say(int n, const std::string& state) {
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(w.poll_and_wait(i, uid(n)).state, state) << "node " << i;
        }
    }
};

TEST_F(Told, ACancellationMeetsTheEndOfAJobWithARecordOfItsOwn) {
    // Found in the sources: the final state left the job's own record as it was, and a cancellation
    // depended on that one alone, so that a job was called done and then cancelled.
    accept(large(1));
    ASSERT_TRUE(w.until([&] { return w.running(uid(1)) == 200; }, 30));
    ASSERT_TRUE(w.until([&] { return w.running(uid(1)) == 0; }, 30));
    w.slow_txn = [](const Txn& t) { return t.purpose == Txn::Purpose::cancel ? 3.0 : 0.0; };
    auto asked = w.cancel(1, uid(1));
    ASSERT_TRUE(w.until([&] { return w.finished(uid(1)); }, 2.5));  // meanwhile
    EXPECT_EQ(w.answer(asked).state, "done");
    all_say(1, "done");
}

TEST_F(Told, ACancellationMeetsTheEndOfEveryKindOfJob) {
    // One is asked for at each of three nodes, at moments round the end of the last task.
    w.close_looks = true;
    int n = 0;
    for (double before_s : {0.6, 0.1, 0.02, 0.0, -0.02, -0.1, -0.6}) {
        for (auto kind : {JobKind::array, JobKind::gang}) {
            auto spec = w.job(++n, kind, 2);
            spec.each = {1, 0, 1};
            accept(spec, n % 3);
            ASSERT_TRUE(w.until([&] { return w.running(uid(n)) == 2; }, 30));
            w.run(w.run_s - 0.05 - before_s);
            for (int i = 0; i < 3; ++i) {
                w.cancel((n + i) % 3, uid(n));
            }
            ASSERT_TRUE(w.until([&] { return w.finished(uid(n)); }, 30));
            w.run(0.1);
            all_say(n, w.poll_and_wait(0, uid(n)).state);
        }
    }
}

TEST_F(Told, AnAcceptanceIsAnsweredLateAndTheJobWasCancelledMeanwhile) {
    w.late_answer = [](const Txn& t) { return t.purpose == Txn::Purpose::accept ? 1.5 : 0.0; };
    auto asked = w.submit(0, w.job(1));
    ASSERT_TRUE(w.until([&] { return w.accepted(uid(1)); }, 1));
    w.run(0.1);
    ASSERT_EQ(w.answer(w.cancel(1, uid(1))).state, "cancelled");
    EXPECT_EQ(w.answer(asked).state, "cancelled");
    all_say(1, "cancelled");
}

TEST_F(Told, ASubmissionThatWaitsIsAcceptedElsewhereAndCancelled) {
    // It stands in the queue of one node when another accepts it; asked again there, it must not
    // come to life.
    w.refuse_txn = [](const Txn& t) { return t.purpose == Txn::Purpose::accept; };
    auto first = w.submit(0, w.job(1));
    w.run(0.3);
    w.refuse_txn = nullptr;
    accept(w.job(1), 1);
    ASSERT_EQ(w.answer(w.cancel(2, uid(1))).state, "cancelled");
    w.answer(first);
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).state, "cancelled");
    all_say(1, "cancelled");
}

TEST_F(Told, UsersAskAtAllNodesWithinMillisecondsAndSubmitAgain) {
    w.close_looks = true;
    w.run_s = 3;
    for (int n = 1; n <= 40; ++n) {
        auto spec = w.job(n, n % 4 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        spec.each = {1, 0, 1};
        w.submit(n % 3, spec);
        if (n % 3 == 0) {
            w.run(0.001 * n);
            w.cancel((n + 1) % 3, uid(n));  // at once
        }
        if (n % 10 == 0) {
            w.kill(n / 10 % 3);  // the answers of who follows must not be older either
            w.run(0.5);
            w.start(n / 10 % 3);
        }
        w.run(0.4);
    }
    w.run(40);
    for (int n = 1; n <= 40; ++n) {
        EXPECT_TRUE(!w.accepted(uid(n)) || w.finished(uid(n))) << uid(n);
    }
}

TEST_F(Told, TransactionsAreCarriedOutAtOnceAndOnlyTheirAnswersAreLost) {
    // Who asked for them knows nothing; the others have read what they wrote.
    w.close_looks = true;
    w.run_s = 4;
    int sent = 0;
    w.late_answer = [&](const Txn& t) { return !t.writes.empty() && ++sent % 3 == 0 ? 5.0 : 0.0; };
    for (int n = 1; n <= 24; ++n) {
        w.submit(n % 3, w.job(n, JobKind::array, 1 + n % 2));
        w.run(0.7);
        w.submit((n + 1) % 3, w.job(n, JobKind::array, 1 + n % 2));  // as users do
        if (n % 2 == 0) {
            w.cancel(n % 3, uid(n));
            w.cancel((n + 2) % 3, uid(n));
        }
        w.run(1);
    }
    w.late_answer = nullptr;
    w.run(60);
    for (int n = 1; n <= 24; ++n) {
        ASSERT_TRUE(w.accepted(uid(n)) && w.finished(uid(n))) << uid(n);
        auto state = w.poll_and_wait(0, uid(n)).state;
        all_say(n, state);
    }
}

TEST_F(Told, EverythingIsReadAgainPageByPageAndNothingIsTakenForOver) {
    // Guards against half of the records: blocks are read before the records of jobs that have one
    // of their own, and looked as if they had outlived them.
    w.run_s = 1000;
    accept(w.job(1));
    for (int n = 2; n < 30; ++n) {
        auto waits = w.job(n);
        waits.follows = {uid(1)};
        accept(waits);
    }
    accept(large(900));
    ASSERT_TRUE(w.until([&] { return w.running(uid(900)) == 200; }, 60));
    int changes = w.writes["c/b"];
    auto places = w.places(uid(900));
    w.state_answer_s = 0.3;
    for (int i = 0; i < 3; ++i) {
        w.forget_history();
        w.run(1.5);
        w.poll(i, uid(900));
        w.poll(i, uid(5));
        w.run(6);
    }
    EXPECT_EQ(w.writes["c/b"], changes);  // neither removed nor claimed anew
    EXPECT_EQ(w.places(uid(900)), places);
    EXPECT_EQ(w.machines_up(), 3);
    w.state_answer_s = 0;
    w.run(3);
    ASSERT_EQ(w.answer(w.cancel(0, uid(900))).state, "cancelled");
    w.forget_history();
    w.run(20);
    all_say(900, "cancelled");
}

TEST_F(Told, OddRequestsAreAnsweredAsTheProtocolSaysAndNeverAccepted) {
    w.close_looks = true;
    w.run_s = 3;
    EXPECT_EQ(w.answer(w.submit_malformed(0, uid(1))).status, 400);
    EXPECT_EQ(w.poll_and_wait(1, uid(1)).status, 404);
    auto vast = w.job(2);
    vast.each = {4, 900, 16};
    EXPECT_EQ(w.submit_and_wait(1, vast).status, 422);
    EXPECT_EQ(w.submit_and_wait(2, vast).status, 422);
    EXPECT_FALSE(w.accepted(uid(2)));
    EXPECT_EQ(w.answer(w.cancel(0, uid(2))).status, 404);
    auto stranger = w.job(3);
    stranger.team = "nobody";
    EXPECT_EQ(w.submit_and_wait(1, stranger).status, 422);
    accept(w.job(4));
    for (int i = 0; i < 3; ++i) {  // known: whatever the repeated submission looks like
        EXPECT_EQ(w.submit_and_wait(i, w.job(4)).status, 200);
        EXPECT_EQ(w.answer(w.submit_malformed(i, uid(4))).status, 200);
        auto other = vast;
        other.uid = uid(4);
        EXPECT_EQ(w.submit_and_wait(i, other).status, 200);
    }
    ASSERT_TRUE(w.until([&] { return w.finished(uid(4)); }, 30));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(w.answer(w.cancel(i, uid(4))).state, "done");
    }
    EXPECT_EQ(w.keys("c/a/").size() + w.keys("c/j/").size(), 1U);
}

}  // namespace
}  // namespace cranemoor::test

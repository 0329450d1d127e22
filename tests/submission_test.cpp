// Submissions, polls and their replies: which jobs are accepted, refused, unknown or to be retried.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct SubmissionTest : ClusterTest {};

struct ThreeControllerSubmissionTest : ThreeControllerTest {};

TEST_F(SubmissionTest, AnAcceptedArrayIsRentedForRunsAndIsDone) {
    start_cluster();
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 3)).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 30));
    cluster.run_for(1);
    auto poll = cluster.poll_and_wait(0, "req-000001");
    EXPECT_EQ(poll.status, 200);
    EXPECT_EQ(poll.state, "running");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    poll = cluster.poll_and_wait(0, "req-000001");
    EXPECT_EQ(poll.state, "done");
    EXPECT_EQ(poll.counts, std::make_pair(3, 0));
}

TEST_F(SubmissionTest, ARetryIsAnswered200WithTheCurrentStateAlsoAfterTheEnd) {
    start_cluster();
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 200);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    auto again = cluster.submit_and_wait(0, cluster.make_job(1));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.state, "done");
}

TEST_F(SubmissionTest, WhatCanNeverRunIsRefusedWith422) {
    start_cluster();
    auto bad_team = cluster.make_job(1);
    bad_team.team = "green";
    EXPECT_EQ(cluster.submit_and_wait(0, bad_team).status, 422);
    auto too_big = cluster.make_job(2);
    too_big.task_resources.gpus = 9;
    EXPECT_EQ(cluster.submit_and_wait(0, too_big).status, 422);
    auto gang = cluster.make_job(3, JobKind::gang, 17);  // the team's limit is 16 GPUs
    gang.team = "red";
    EXPECT_EQ(cluster.submit_and_wait(0, gang).status, 422);
    auto array = cluster.make_job(4, JobKind::array, 17);  // an array needs only one task to fit
    array.team = "red";
    EXPECT_EQ(cluster.submit_and_wait(0, array).status, 201);
}

TEST_F(SubmissionTest, AGangThatOneChangeCanNotClaimIsRefusedAndTheLargestOthersStart) {
    cluster.settings.store_value_kb_max = cluster.settings.store_current_value_kb_max = 2;
    cluster.settings.store_txn_ops_max = 4;
    cluster.store.value_limit_kb = 2;
    cluster.store.transaction_operation_limit = 4;
    start_cluster();
    auto gang =
        cluster.make_job(1, JobKind::gang, 126);  // three blocks of 42 and the quota's record
    EXPECT_EQ(cluster.submit_and_wait(0, gang).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(2, JobKind::gang, 127)).status, 422);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 120));
}

TEST_F(SubmissionTest, AKnownJobIsNeverToldThatItIsMalformedOrImpossible) {
    start_cluster();
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    auto changed = cluster.make_job(1);
    changed.team = "green";
    EXPECT_EQ(cluster.submit_and_wait(0, changed).status, 200);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    // A fresh process has it in no memory: only the state service still knows it.
    cluster.kill(0);
    cluster.start(0);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(1); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(0, changed).status, 200);
}

TEST_F(SubmissionTest, AnUnknownJobIs404OnlyAfterAFreshRead) {
    start_cluster();
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000009").status, 404);
    cluster.faults.store_down = true;
    cluster.run_for(0.2);
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000009").status, 503);
}

TEST_F(SubmissionTest, ARefusedReadCheckIsAnsweredWithTheNameThatWasAskedFor) {
    // Found by the address sanitizer: the answer copied the name out of the request that it had
    // just erased. A name as long as this one is in memory of its own.
    start_cluster();
    const std::string uid = "req-000000000000000000000000000009";
    cluster.faults.nodes_refused_by_store = {0};
    std::vector<std::uint64_t> polls;
    polls.reserve(3);
    for (int i = 0; i < 3; ++i) {
        polls.push_back(cluster.poll(0, uid));
    }
    for (auto poll : polls) {
        auto answer = cluster.wait_for_reply(poll);
        EXPECT_EQ(answer.status, 503);
        EXPECT_EQ(answer.uid, uid);
    }
}

TEST_F(SubmissionTest, WithoutMachineTypesASubmissionIsToldToComeBack) {
    cluster.faults.cloud_down = true;
    cluster.start_all();
    cluster.run_for(3);
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 503);
    EXPECT_FALSE(cluster.controller(0).healthy({cluster.now(), 1.7e9 + cluster.now()}));
}

TEST_F(SubmissionTest, AnOutageOfTheStateServiceIsAnsweredAtOnceWith503) {
    start_cluster();
    cluster.faults.store_down = true;
    cluster.run_for(2);
    double before = cluster.now();
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 503);
    EXPECT_LT(cluster.now() - before, 0.2);
}

TEST_F(ThreeControllerSubmissionTest, AnAcceptedJobOutlivesAllNodes) {
    start_cluster(3);
    ASSERT_EQ(cluster.submit_and_wait(2, cluster.make_job(1)).status, 201);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(5);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000001").state, "done");
}

TEST_F(SubmissionTest, AHundredThousandTasksFitIntoRecordsOfTheAllowedSize) {
    start_cluster();
    cluster.cloud.capacity = 2;
    auto big = cluster.make_job(1, JobKind::array, 100000);
    ASSERT_EQ(cluster.submit_and_wait(0, big).status, 201);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 16; }, 60));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000001")).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 0; }, 20));
}

TEST_F(ThreeControllerSubmissionTest, JobsThatComeTogetherShareARecordAndEndInOneWriteEach) {
    // Found in the first minute of every large day: accepting and ending a small job cost four
    // writes beside its claim, and writes were what was short.
    cluster.tunables.final_states_max = 5;
    start_cluster(3);
    std::vector<std::uint64_t> asked;
    for (int i = 1; i <= 20; ++i) {
        // One in the midst has several blocks, and a record of its own: the bench once found the
        // jobs before it told to be accepted and not written.
        asked.push_back(
            cluster.submit(i % 3, cluster.make_job(i, JobKind::array, i == 16 ? 150 : 1)));
    }
    for (auto request : asked) {
        EXPECT_EQ(cluster.wait_for_reply(request).status, 201);
    }
    EXPECT_LE(cluster.store.writes_by_kind["c/a"], 10);
    auto uid = [](int i) { return fmt::format("req-{:06}", i); };
    for (int i = 1; i <= 20; ++i) {
        EXPECT_TRUE(cluster.is_accepted(uid(i))) << i;
    }
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, uid(3))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until(
        [&] {
            int over = 0;
            for (int i = 1; i <= 20; ++i) {
                over += cluster.is_finished(uid(i)) ? 1 : 0;
            }
            return over == 20;
        },
        120));
    // All but a few are moved to keys of their own, and found there by processes that start anew.
    auto moved = [&] {
        int n = 0;
        for (int i = 1; i <= 20; ++i) {
            n += cluster.store.find("f/" + uid(i)) != nullptr ? 1 : 0;
            EXPECT_TRUE(cluster.is_finished(uid(i)));
        }
        return n;
    };
    EXPECT_TRUE(cluster.run_until([&] { return moved() >= 15; }, 20)) << moved();
    EXPECT_EQ(cluster.store.find("c/b/" + uid(3) + "/0") == nullptr, !cluster.is_accepted(uid(3)));
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(cluster.controller(i).context().jobs.indexes_consistent());
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(2);
    for (int i = 1; i <= 20; ++i) {
        EXPECT_EQ(cluster.poll_and_wait(i % 3, uid(i)).state, i == 3 ? "cancelled" : "done");
        EXPECT_EQ(cluster.submit_and_wait((i + 1) % 3, cluster.make_job(i)).status, 200);
    }
    EXPECT_EQ(cluster.store.find("c/j/" + uid(16)) == nullptr,
              cluster.store.find("f/" + uid(16)) != nullptr);
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000777").status, 404);
}

TEST_F(ThreeControllerSubmissionTest, ALateAcceptanceRevivesNoJob) {
    // Guards against a second record of the same job: the write of one node is executed when the
    // job, accepted by another meanwhile, is over and its final state was moved.
    cluster.tunables.final_states_max = 0;
    start_cluster(3);
    cluster.workers.task_run_s = 0.2;
    cluster.workers.image_fetch_s = 0.1;
    cluster.add_machine("vm-500000", "a");
    cluster.run_for(5);
    // The first is over when the late write comes, the second still waits for a machine.
    auto waits = cluster.make_job(2);
    waits.zone = "b";
    cluster.faults.delayed_transaction_probability = 1;
    cluster.submit(0, cluster.make_job(1));
    cluster.submit(0, waits);
    cluster.run_for(0.05);
    cluster.faults.delayed_transaction_probability = 0;
    ASSERT_EQ(cluster.submit_and_wait(1, cluster.make_job(1)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(2, waits).status, 201);
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.store.find("f/req-000001") != nullptr; }, 2.9));
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.store.find("f/req-000002") != nullptr; }, 90));
    cluster.run_for(60);
    for (const char* uid : {"req-000001", "req-000002"}) {
        EXPECT_FALSE(cluster.is_accepted(uid));
        EXPECT_EQ(cluster.store.find(std::string("c/b/") + uid + "/0"), nullptr);
        EXPECT_EQ(cluster.poll_and_wait(2, uid).state, "done");
    }
}

TEST_F(SubmissionTest, UsersWhoAskForWhatNobodySubmittedDoNotCrowdOutOthers) {
    // Guards against polls many times as often as usual: each unknown uid is a read.
    cluster.settings.store_requests_per_s = 50;
    start_cluster();
    std::vector<std::uint64_t> asked;
    asked.reserve(200);
    for (int i = 0; i < 200; ++i) {
        asked.push_back(cluster.poll(0, fmt::format("req-{:06}", 900000 + i)));
    }
    double before = cluster.now();
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    int unknown = 0;
    for (auto request : asked) {
        int status = cluster.wait_for_reply(request).status;
        EXPECT_TRUE(status == 404 || status == 503);
        unknown += status == 404 ? 1 : 0;
    }
    EXPECT_LT(cluster.now() - before, 1);  // nobody was kept waiting
    EXPECT_GE(unknown, 5);
    EXPECT_LE(unknown, 6);
}

TEST_F(SubmissionTest, ASubmissionWhoseWriteMayYetBeExecutedIsNotAnswered201) {
    start_cluster();
    cluster.faults.delayed_transaction_probability = 1;
    auto request = cluster.submit(0, cluster.make_job(1));
    auto reply = cluster.wait_for_reply(request);
    EXPECT_EQ(reply.status, 503);
    cluster.faults.delayed_transaction_probability = 0;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 200);
}

}  // namespace
}  // namespace cranemoor::test

// Claims that get no reply and are executed late, after newer claims of the same tasks.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct DelayedClaimTest : ClusterTest {};

TEST_F(DelayedClaimTest, DelayedClaimInBlockRecordAndItsRetryInAClaimBatchAreNotBothExecuted) {
    // Guards against a claim and its retry both being executed. A claim of many tasks is written to
    // the block's own record. When it got no reply, the retry claimed fewer tasks and was therefore
    // written to a claim batch, which leaves the block's revision unchanged, so that the delayed
    // write still met its conditions.
    cluster.workers.task_run_s = 120;
    cluster.tunables.worker_timeout_s = 3;
    for (int i = 0; i < 4; ++i) {
        cluster.add_machine(fmt::format("vm-50000{}", i), "a");
    }
    cluster.cloud.capacity = 0;
    start_cluster();
    cluster.store.put_admission_table(true);
    cluster.run_for(1);
    int held_transactions = 0;
    cluster.faults.transaction_hold_s = [&](const Txn& txn) {
        bool claims_many_tasks =
            std::any_of(txn.writes.begin(), txn.writes.end(), [](const auto& write) {
                return write.key == "c/b/req-000001/0" && write.value->at("placed").size() >= 32;
            });
        held_transactions += claims_many_tasks ? 1 : 0;
        return claims_many_tasks ? 14.0 : 0.0;
    };
    auto lose_heartbeats = [&](bool is_lost) {
        for (int i = 0; i < 4; ++i) {
            cluster.machines[fmt::format("vm-50000{}", i)].loses_heartbeats = is_lost;
        }
    };
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 40)).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return held_transactions == 1; }, 10));
    lose_heartbeats(true);  // only one machine remains that can take some of the tasks
    cluster.add_machine("vm-400000", "a");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 10));
    lose_heartbeats(false);
    cluster.run_for(11);
    cluster.machines["vm-400000"].loses_replies =
        true;  // a stop command for its tasks would arrive too late
    cluster.run_for(3);
    cluster.machines["vm-400000"].loses_replies = false;
    cluster.cloud.capacity = 1000;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 40; }, 60));
}

TEST_F(DelayedClaimTest, DelayedClaimInAClaimBatchAndItsRetryInAnotherAreNotBothExecuted) {
    // Guards against a claim and its retry both being executed: the retry of a claim that got no
    // reply was written to another claim batch record, one of which fewer bytes were still needed.
    cluster.workers.task_run_s = 60;
    for (int i = 0; i < 9; ++i) {
        cluster.add_machine(fmt::format("vm-50000{}", i), "a");
        cluster.run_for(0.3);  // they send heartbeats in turn, and each gets the tasks then pending
    }
    start_cluster();
    cluster.store.put_admission_table(true);
    cluster.run_for(1);
    auto submit_array = [&](int number, int tasks, Resources task_resources) {
        auto spec = cluster.make_job(number, JobKind::array, tasks);
        spec.task_resources = task_resources;
        ASSERT_EQ(cluster.submit_and_wait(0, spec).status, 201);
    };
    submit_array(1, 30, {1, 0.1, 1});  // much of the first record is still needed
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 30; }, 30));
    ASSERT_EQ(cluster.store.keys("c/s/").size(), 1U);
    int held_transactions = 0;
    cluster.faults.transaction_hold_s = [&](const Txn& txn) {
        bool is_claim_of_second_job =
            txn.purpose == Txn::Purpose::claim_batch && !txn.conditions.empty() &&
            std::any_of(
                txn.conditions.begin(), txn.conditions.end(),
                [](const Condition& condition) { return condition.key == "c/b/req-000002/0"; });
        return is_claim_of_second_job && held_transactions++ == 0 ? 8.0 : 0.0;
    };
    submit_array(2, 4, {30, 4, 200});
    ASSERT_TRUE(cluster.run_until([&] { return held_transactions == 1; }, 10));
    submit_array(3, 2, {1, 0.1, 1});  // is written to a second record
    cluster.run_for(0.3);
    cluster.machines["vm-500000"].is_hung =
        true;  // the claimed machine: the retry places on others
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 4; }, 30));
    cluster.machines["vm-500000"].is_hung = false;
    cluster.run_for(12);
    EXPECT_EQ(cluster.store.keys("c/s/").size(), 2U);
    EXPECT_TRUE(cluster.run_until(
        [&] { return cluster.is_finished("req-000003") && cluster.is_finished("req-000002"); },
        200));
}

TEST(DelayedSharedClaimTest, RandomlyDelayedClaimBatchesAreNotExecutedWithTheirRetries) {
    // Guards against a claim and its retry both being executed: the retry of a claim that got no
    // reply was written to another claim batch record.
    for (unsigned seed = 1; seed <= 12; ++seed) {
        SimulatedCluster cluster(3, seed);
        cluster.workers.task_run_s = 8;
        for (int i = 0; i < 6; ++i) {
            cluster.add_machine(fmt::format("vm-50000{}", i), cluster.settings.zones[i % 3]);
        }
        cluster.start_all();
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
        cluster.run_for(1);
        cluster.faults.delayed_transaction_probability = 0.3;
        for (int number = 1; number <= 60; ++number) {
            if (number % 10 == 1) {
                cluster.store.put_admission_table(
                    true, {3, 2, 2});  // the leader overwrites it now and then
            }
            auto spec = cluster.make_job(number, JobKind::array, 2 + number % 5);
            spec.task_resources = {2, 0.5, 4};
            cluster.submit(number % 3, spec);
            cluster.run_for(0.7);
        }
        cluster.run_for(20);
        cluster.faults.delayed_transaction_probability = 0;
        cluster.run_for(15);
        EXPECT_EQ(cluster.invariants.violations, std::vector<std::string>()) << "seed " << seed;
        for (int number = 1; number <= 60; ++number) {
            auto uid = fmt::format("req-{:06}", number);
            EXPECT_TRUE(!cluster.is_accepted(uid) ||
                        cluster.run_until([&] { return cluster.is_finished(uid); }, 60))
                << uid;
        }
    }
}

}  // namespace
}  // namespace cranemoor::test

// Claims without an answer that are carried out late, after newer ones.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct DelayedClaimTest : ClusterTest {};

TEST_F(DelayedClaimTest, AClaimInItsOwnRecordThatIsCarriedOutLateMeetsNoNewerOneInASharedRecord) {
    // Found by days of late writes: a claim of many tasks goes into the block's own record. Without
    // an answer it was made anew, of fewer tasks and so in a shared record, which leaves the
    // block's revision as it was: then both were carried out.
    cluster.workers.task_run_s = 120;
    cluster.tunables.worker_timeout_s = 3;
    for (int i = 0; i < 4; ++i) {
        cluster.add_machine(fmt::format("vm-50000{}", i), "a");
    }
    cluster.cloud.capacity = 0;
    start_cluster();
    cluster.store.put_admission_table(true);
    cluster.run_for(1);
    int held = 0;
    cluster.faults.transaction_hold_s = [&](const Txn& txn) {
        bool many = std::any_of(txn.writes.begin(), txn.writes.end(), [](const auto& x) {
            return x.key == "c/b/req-000001/0" && x.value->at("placed").size() >= 32;
        });
        held += many ? 1 : 0;
        return many ? 14.0 : 0.0;
    };
    auto mute = [&](bool yes) {
        for (int i = 0; i < 4; ++i) {
            cluster.machines[fmt::format("vm-50000{}", i)].loses_heartbeats = yes;
        }
    };
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 40)).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return held == 1; }, 10));
    mute(true);  // for a moment only one is left that can take some of them
    cluster.add_machine("vm-400000", "a");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 10));
    mute(false);
    cluster.run_for(11);
    cluster.machines["vm-400000"].loses_replies =
        true;  // a stop of what runs there would come too late
    cluster.run_for(3);
    cluster.machines["vm-400000"].loses_replies = false;
    cluster.cloud.capacity = 1000;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 40; }, 60));
}

TEST_F(DelayedClaimTest, AClaimInASharedRecordThatIsCarriedOutLateMeetsNoNewerOneInAnother) {
    // Found by a day of late writes: the claim without an answer was made anew in another record,
    // of which less was needed, and then both were carried out.
    cluster.workers.task_run_s = 60;
    for (int i = 0; i < 9; ++i) {
        cluster.add_machine(fmt::format("vm-50000{}", i), "a");
        cluster.run_for(0.3);  // they report one after the other, and get what is open then
    }
    start_cluster();
    cluster.store.put_admission_table(true);
    cluster.run_for(1);
    auto submit = [&](int n, int tasks, Resources each) {
        auto s = cluster.make_job(n, JobKind::array, tasks);
        s.task_resources = each;
        ASSERT_EQ(cluster.submit_and_wait(0, s).status, 201);
    };
    submit(1, 30, {1, 0.1, 1});  // much is needed of the first record
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 30; }, 30));
    ASSERT_EQ(cluster.store.keys("c/s/").size(), 1U);
    int held = 0;
    cluster.faults.transaction_hold_s = [&](const Txn& txn) {
        bool claims = txn.purpose == Txn::Purpose::claim_batch && !txn.conditions.empty() &&
                      std::any_of(txn.conditions.begin(), txn.conditions.end(),
                                  [](const Condition& c) { return c.key == "c/b/req-000002/0"; });
        return claims && held++ == 0 ? 8.0 : 0.0;
    };
    submit(2, 4, {30, 4, 200});
    ASSERT_TRUE(cluster.run_until([&] { return held == 1; }, 10));
    submit(3, 2, {1, 0.1, 1});  // goes to a second record
    cluster.run_for(0.3);
    cluster.machines["vm-500000"].is_hung = true;  // where the claim is: made anew, it finds others
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 4; }, 30));
    cluster.machines["vm-500000"].is_hung = false;
    cluster.run_for(12);
    EXPECT_EQ(cluster.store.keys("c/s/").size(), 2U);
    EXPECT_TRUE(cluster.run_until(
        [&] { return cluster.is_finished("req-000003") && cluster.is_finished("req-000002"); },
        200));
}

TEST(DelayedSharedClaimTest, ClaimsInSharedRecordsThatAreCarriedOutLateMeetNewerOnes) {
    // Found by a day of late writes: a claim without an answer was made anew in another shared
    // record, and then both were carried out.
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
        for (int n = 1; n <= 60; ++n) {
            if (n % 10 == 1) {
                cluster.store.put_admission_table(
                    true, {3, 2, 2});  // the leading member thinks otherwise now and then
            }
            auto s = cluster.make_job(n, JobKind::array, 2 + n % 5);
            s.task_resources = {2, 0.5, 4};
            cluster.submit(n % 3, s);
            cluster.run_for(0.7);
        }
        cluster.run_for(20);
        cluster.faults.delayed_transaction_probability = 0;
        cluster.run_for(15);
        EXPECT_EQ(cluster.invariants.violations, std::vector<std::string>()) << "seed " << seed;
        for (int n = 1; n <= 60; ++n) {
            auto uid = fmt::format("req-{:06}", n);
            EXPECT_TRUE(!cluster.is_accepted(uid) ||
                        cluster.run_until([&] { return cluster.is_finished(uid); }, 60))
                << uid;
        }
    }
}

}  // namespace
}  // namespace cranemoor::test

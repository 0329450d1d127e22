// Outages of the key-value store that begin at one controller alone: cancellations that others
// confirm meanwhile, and the read leases between controllers (docs/meetings.md).
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// The state service refuses one controller alone, another confirms a cancellation, then
// the service is down for all, for longer than cancel_deadline_s, while workers keep reporting to
// the first.
struct StaggeredOutageTest : ThreeZoneTest {
    static constexpr int old_leader = 0;
    std::string doomed = "req-000001";
    std::string other = "req-000002";
    std::vector<std::string> places;

    // One task of each job on every machine; each node owns one machine.
    void SetUp() override {
        ThreeZoneTest::SetUp();
        auto spec = [&](int n) {
            auto s = cluster.make_job(n, JobKind::service, 3);
            s.task_resources = {30, 4, 200};
            s.zone_spread = true;
            return s;
        };
        ASSERT_EQ(cluster.submit_and_wait(1, spec(1)).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(doomed) == 3; }, 40));
        ASSERT_EQ(cluster.submit_and_wait(1, spec(2)).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(other) == 3; }, 40));
        cluster.run_for(5);
        places = cluster.machines_running(other);
    }
    void refuse_and_cancel(double before_s = 1.0, std::set<int> refused = {old_leader}) {
        cluster.faults.nodes_refused_by_store = std::move(refused);
        cluster.run_for(before_s);
        ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, doomed)).state, "cancelled");
    }
    void outage(double s) {
        cluster.faults.store_down = true;
        cluster.run_for(s);
    }
    void all_is_well_again() {
        cluster.faults.nodes_refused_by_store.clear();
        cluster.faults.cut_peer_links.clear();
        cluster.faults.cloud_down = cluster.faults.store_down = false;
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(other) == 3; }, 120));
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(doomed); }, 60));
        for (int i = 0; i < 3; ++i) {
            EXPECT_EQ(cluster.poll_and_wait(i, doomed).state, "cancelled");
            EXPECT_EQ(cluster.poll_and_wait(i, other).state, "running");
        }
    }
};

TEST_F(StaggeredOutageTest, CancelledTasksAreGoneInTimeAndNothingElseIsLost) {
    refuse_and_cancel();
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    EXPECT_EQ(cluster.machines_running(other), places);  // no lease was lost for it
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, TheSameWhenTheOldLeaderWasRemovedMeanwhile) {
    refuse_and_cancel(8);
    outage(cluster.settings.cancel_deadline_s * 1.2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    EXPECT_EQ(cluster.machines_running(other), places);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, TheSameWhenTheOutageComesWithTheConfirmation) {
    // The one that confirmed is told so by its own change alone: its watch never shows it.
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.run_for(1);
    auto asked = cluster.cancel(1, doomed);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            const Json* block = cluster.store.find("c/b/" + doomed + "/0");
            return block != nullptr && block->contains("cancelled");
        },
        5));
    cluster.faults.store_down = true;
    ASSERT_EQ(cluster.wait_for_reply(asked).state, "cancelled");
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    EXPECT_EQ(cluster.machines_running(other), places);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, WhoConfirmedIsKilledAndBackAtOnceKnowingNothing) {
    // That it has no contact does not say that nobody confirmed anything.
    refuse_and_cancel(1, {0, 2});  // nobody else has read of it
    cluster.faults.store_down = true;
    cluster.kill(1);
    cluster.run_for(0.3);
    cluster.start(1);
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, WhoConfirmedIsKilledAndStaysAway) {
    refuse_and_cancel(1, {0, 2});  // nobody else has read of it
    cluster.faults.store_down = true;
    cluster.kill(1);
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    cluster.start(1);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, TheControllersDoNotReachEachOtherEither) {
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    refuse_and_cancel();
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, AControllerOfAVersionBeforeSaysNothingOfLeases) {
    cluster.faults.nodes_without_read_leases = {1};
    refuse_and_cancel();
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, TheOldLeaderStandsStillAndThenHandlesWhatWaited) {
    // Among it heartbeats of its peers and reports of its workers, all as old as that.
    refuse_and_cancel(1, {0, 2});
    cluster.faults.store_down = true;
    cluster.run_for(0.1);
    cluster.pause(old_leader);
    cluster.run_for(20);
    cluster.resume(old_leader);
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, AllAreRestartedDuringTheOutage) {
    refuse_and_cancel();
    cluster.faults.store_down = true;
    cluster.run_for(10);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
        cluster.run_for(0.3);
        cluster.start(i);
    }
    cluster.run_for(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, AMachineOfTheOldLeaderIsDeafMeanwhile) {
    refuse_and_cancel(0.5);
    cluster.machines["vm-50000a"].loses_replies = true;
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    cluster.machines["vm-50000a"].loses_replies = false;
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, WhileSomebodyReliesOnALeaseNobodyIsToldOfACancellation) {
    // All are without the state service, and rely on each other. Then it answers the other two
    // again, who can reach neither the first nor its workers, nor the cloud to release them.
    outage(30);
    ASSERT_EQ(cluster.machines_running(doomed).size(), 3U);
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    cluster.faults.nodes_cut_from_workers = {1, 2};
    cluster.faults.cloud_down = true;
    cluster.faults.store_down = false;
    cluster.run_for(2);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, doomed)).status, 503);
    EXPECT_EQ(cluster.poll_and_wait(2, doomed).status, 503);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.wait_for_reply(cluster.cancel(1, doomed)).state == "cancelled"; },
        20));
    cluster.run_for(cluster.settings.cancel_deadline_s * 1.5);
    EXPECT_EQ(cluster.running_tasks(doomed), 0);
    cluster.faults.nodes_cut_from_workers.clear();
    all_is_well_again();
}

TEST_F(StaggeredOutageTest, WhenAllHaveContactAgainCancellationsAreConfirmedAtOnce) {
    outage(30);
    cluster.faults.store_down = false;
    cluster.run_for(2);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(2, doomed)).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(doomed) == 0; }, 10));
    EXPECT_EQ(cluster.machines_running(other), places);
}

TEST_F(StaggeredOutageTest, AnOutageInWhichOneIsRestartedCostsNoLease) {
    cluster.faults.store_down = true;
    cluster.run_for(8);
    cluster.kill(2);
    cluster.run_for(5);
    cluster.start(2);
    cluster.run_for(8);
    cluster.kill(1);
    cluster.run_for(0.3);
    cluster.start(1);
    cluster.run_for(4);
    // The machines of those that were restarted are nobody's until the outage is over.
    std::vector<std::string> still = cluster.machines_running(other);
    EXPECT_NE(std::find(still.begin(), still.end(), "vm-50000a"), still.end());
    cluster.run_for(cluster.settings.cancel_deadline_s);
    still = cluster.machines_running(other);
    EXPECT_NE(std::find(still.begin(), still.end(), "vm-50000a"), still.end());
    cluster.faults.store_down = false;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(other) == 3; }, 120));
}

TEST_F(StaggeredOutageTest, AJobOfSeveralBlocksThatIsCancelledMeanwhile) {
    auto large = cluster.make_job(3, JobKind::array, 400);
    large.task_resources = {0.05, 0, 0.1};
    ASSERT_EQ(cluster.submit_and_wait(1, large).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000003") == 400; }, 60));
    cluster.faults.nodes_refused_by_store = {old_leader};
    cluster.run_for(1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(2, "req-000003")).state, "cancelled");
    outage(cluster.settings.cancel_deadline_s * 2);
    EXPECT_EQ(cluster.running_tasks("req-000003"), 0);
    EXPECT_EQ(cluster.machines_running(other), places);
}

}  // namespace
}  // namespace cranemoor::test

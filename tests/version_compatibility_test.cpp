// Two versions of the controller side by side.
#include <algorithm>
#include <array>

#include "core/store/record_codec.hpp"
#include "dependent_job_fixture.hpp"
#include "record_format.hpp"

namespace cranemoor::test {
namespace {

struct VersionCompatibilityTest : DependentJobTest {};

TEST_F(VersionCompatibilityTest, PreviousVersionReadsAllRecordsAndClaimsNothingForWaitingJobs) {
    start_cluster(3);
    cluster.workers.task_run_s = 1000;
    auto red_job = cluster.make_job(1, JobKind::array, 3);
    red_job.team = "red";
    ASSERT_EQ(cluster.submit_and_wait(0, red_job).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(2, JobKind::gang, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3, JobKind::array, 300)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(4, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(5)).status, 201);
    cluster.wait_for_reply(cluster.cancel(0, job_uid(5)));
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.running_tasks(job_uid(1)) == 3 && is_job_finished(5); }, 60));
    cluster.kill(2);  // its machines are cordoned and released
    cluster.machines.begin()->second.is_hung = true;
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/x/").empty(); }, 60));
    std::set<std::string> key_prefixes;
    for (const auto& key : cluster.store.keys("c/")) {
        key_prefixes.insert(key.substr(0, 4));
        expect_readable_by_previous_version(key, *cluster.store.find(key));
    }
    for (const char* prefix : {"c/a/", "c/b/", "c/j/", "c/m/", "c/q/", "c/x/", "c/v/"}) {
        EXPECT_EQ(key_prefixes.count(prefix), 1U) << prefix;
    }
    // The production version claims nothing for a team that its settings do not name.
    EXPECT_EQ(cluster.store.find("c/j/" + job_uid(4))->at("team"), "");
    EXPECT_EQ(cluster.store.find("c/j/" + job_uid(4))->at("of_team"), "blue");
}

TEST_F(VersionCompatibilityTest, DependentJobsAreAcceptedOnceEveryControllerHasRunThisVersion) {
    // One of three controllers has not started yet. It may start with the previous version, which
    // would start jobs that should wait.
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(2); }, 10));
    cluster.run_for(1);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(2, {1})).status, 503);
    cluster.start(2);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(2, {1})).status, 201);
    // From then on they are accepted also while one controller is down.
    cluster.kill(1);
    cluster.run_for(5);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(3, {1})).status, 201);
}

TEST_F(VersionCompatibilityTest, DependentJobsAreReleasedUnderLeaderOfPreviousVersion) {
    // One of three controllers runs the previous version and is the oldest member, thus the
    // leader. It does not know waiting jobs; the oldest member that does releases them.
    cluster.store.put("c/epoch",
                      {{"number", 1},
                       {"members", {{{"name", "n2"}, {"zone", "c"}, {"boot", "old"}, {"id", 1}}}}});
    cluster.store.put("c/m/n2", {{"name", "n2"}, {"zone", "c"}, {"boot", "old"}, {"id", 1}});
    JobRecord waiting_record;
    waiting_record.spec = dependent_job(2, {1});
    waiting_record.submitted_wall = 1.7e9;
    waiting_record.block_size = 34;
    waiting_record.waiting = true;
    cluster.users.add_submitted(waiting_record.spec);
    cluster.store.put("c/j/" + job_uid(2), encode(waiting_record));
    auto record_cancelled_later = waiting_record;
    record_cancelled_later.spec = dependent_job(3, {2, 4});
    cluster.users.add_submitted(record_cancelled_later.spec);
    cluster.store.put("c/j/" + job_uid(3), encode(record_cancelled_later));
    cluster.workers.task_run_s = 2;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "b");
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(8);  // the machine listing is read periodically
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(4, JobKind::service)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(5, {1})).status, 503);
    ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(2); }, 60));
    cluster.send_heartbeat_without_read_lease(2);  // it holds no read leases of the others
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(4))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(3); }, 10));
    // The third controller runs the new version: dependent jobs are accepted again.
    cluster.store.erase("c/m/n2");
    cluster.start(2);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(5, {1})).status, 201);
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(5); }, 60));
}

}  // namespace
}  // namespace cranemoor::test

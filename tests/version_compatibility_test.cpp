// Two versions of the controller side by side.
#include <algorithm>
#include <array>

#include "core/store/record_codec.hpp"
#include "dependent_job_fixture.hpp"
#include "record_format.hpp"

namespace cranemoor::test {
namespace {

struct VersionCompatibilityTest : DependentJobTest {};

TEST_F(VersionCompatibilityTest, ProductionCanReadEveryRecordAndClaimsNothingForJobsThatWait) {
    start_cluster(3);
    cluster.workers.task_run_s = 1000;
    auto red = cluster.make_job(1, JobKind::array, 3);
    red.team = "red";
    ASSERT_EQ(cluster.submit_and_wait(0, red).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(2, JobKind::gang, 2)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(3, JobKind::array, 300)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, dependent_job(4, {1})).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(5)).status, 201);
    cluster.wait_for_reply(cluster.cancel(0, job_uid(5)));
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.running_tasks(job_uid(1)) == 3 && is_job_finished(5); }, 60));
    cluster.kill(2);  // its machines are marked and returned
    cluster.machines.begin()->second.is_hung = true;
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/x/").empty(); }, 60));
    std::set<std::string> kinds;
    for (const auto& key : cluster.store.keys("c/")) {
        kinds.insert(key.substr(0, 4));
        expect_readable_by_previous_version(key, *cluster.store.find(key));
    }
    for (const char* kind : {"c/a/", "c/b/", "c/j/", "c/m/", "c/q/", "c/x/", "c/v/"}) {
        EXPECT_EQ(kinds.count(kind), 1U) << kind;
    }
    // Production claims nothing for a team that its settings don't name.
    EXPECT_EQ(cluster.store.find("c/j/" + job_uid(4))->at("team"), "");
    EXPECT_EQ(cluster.store.find("c/j/" + job_uid(4))->at("of_team"), "blue");
}

TEST_F(VersionCompatibilityTest, DependentJobsAreTakenOnceEveryControllerHasRunThisVersion) {
    // One of three is still to come: it may come back old, and would start what should wait.
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
    // From then on also while one of them is away.
    cluster.kill(1);
    cluster.run_for(5);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(3, {1})).status, 201);
}

TEST_F(VersionCompatibilityTest, AMemberOfTheVersionBeforeMayLeadWhileOthersRelease) {
    // One of three is back with the old program, and is the oldest member: it knows nothing of
    // jobs that wait, and the oldest that does looks after them.
    cluster.store.put("c/epoch",
                      {{"number", 1},
                       {"members", {{{"name", "n2"}, {"zone", "c"}, {"boot", "old"}, {"id", 1}}}}});
    cluster.store.put("c/m/n2", {{"name", "n2"}, {"zone", "c"}, {"boot", "old"}, {"id", 1}});
    JobRecord waits;
    waits.spec = dependent_job(2, {1});
    waits.submitted_wall = 1.7e9;
    waits.block_size = 34;
    waits.waiting = true;
    cluster.users.add_submitted(waits.spec);
    cluster.store.put("c/j/" + job_uid(2), encode(waits));
    auto unlucky = waits;
    unlucky.spec = dependent_job(3, {2, 4});
    cluster.users.add_submitted(unlucky.spec);
    cluster.store.put("c/j/" + job_uid(3), encode(unlucky));
    cluster.workers.task_run_s = 2;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "b");
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(8);  // the list of machines is read now and then
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(4, JobKind::service)).status, 201);
    ASSERT_EQ(cluster.submit_and_wait(0, cluster.make_job(1)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(5, {1})).status, 503);
    ASSERT_TRUE(cluster.run_until([&] { return is_job_finished(2); }, 60));
    cluster.send_heartbeat_without_read_lease(2);  // it holds no leases of theirs
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(4))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(3); }, 10));
    // The new program is there: what was held up goes on.
    cluster.store.erase("c/m/n2");
    cluster.start(2);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(1);
    EXPECT_EQ(cluster.submit_and_wait(0, dependent_job(5, {1})).status, 201);
    EXPECT_TRUE(cluster.run_until([&] { return is_job_finished(5); }, 60));
}

}  // namespace
}  // namespace cranemoor::test

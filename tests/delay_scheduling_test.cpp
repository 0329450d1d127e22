// Delay scheduling: how long a job waits for a machine that has its image.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct DelaySchedulingTest : ClusterTest {};

TEST_F(DelaySchedulingTest, AJobWaitsForAMachineWithItsImageThenRunsAnywhere) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 100;
    auto busy = cluster.make_job(1, JobKind::array, 8);  // fills the machine that has the image
    busy.image_gb = 20;
    busy.estimate_s = 2;  // a mistake: it is expected to end any moment
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, busy);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    double claimed = 0;
    cluster.workers.on_command = [&](const std::string& m, const Command& c) {
        if (c.kind == Command::Kind::start && m == "vm-500001" && claimed == 0) {
            claimed = cluster.now();
        }
    };
    auto waits = cluster.make_job(2, JobKind::service);
    waits.image_gb = 20;
    cluster.submit_and_wait(0, waits);
    double submitted = cluster.now();
    ASSERT_TRUE(cluster.run_until([&] { return claimed > 0; }, 30));
    EXPECT_GE(claimed - submitted, Tunables().locality_wait_s - 0.1);
}

TEST_F(DelaySchedulingTest, AnImageThatIsSoonFetchedIsNotWorthTheWholeWait) {
    // Found in a day's log: gangs let free machines pass for 3 s to save a fetch of 5 s that they
    // hardly ever saved.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 100;
    auto busy = cluster.make_job(1, JobKind::array, 8);
    busy.estimate_s = 2;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, busy);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    cluster.run_for(1);
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service));  // 1 s to fetch
    EXPECT_TRUE(
        cluster.run_until([&] { return cluster.store.find("c/b/req-000002/0") != nullptr; }, 1));
}

TEST_F(DelaySchedulingTest, AGangDoesNotWaitForFewerMachinesWithItsImageThanItHasTasks) {
    // Found in a grown day's log: gangs let free machines pass for W although only some of the
    // machines they needed had their image.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    auto first = cluster.make_job(1, JobKind::gang);
    first.task_resources = {60, 8, 400};
    cluster.submit_and_wait(0, first);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    cluster.run_for(1);
    auto gang = cluster.make_job(2, JobKind::gang, 2);
    gang.task_resources = first.task_resources;
    cluster.submit_and_wait(0, gang);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.find("c/b/req-000002/0") != nullptr; },
                                  Tunables().locality_wait_s - 1));
}

TEST_F(DelaySchedulingTest, AJobDoesNotWaitForAMachineFullOfServices) {
    // Found in a day's log: replicas let empty machines pass for the sake of full ones.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 8));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 2.5));
}

TEST_F(DelaySchedulingTest, ALocalTaskIsLaunchedWithoutWaiting) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 4.5));
}

}  // namespace
}  // namespace cranemoor::test

// Delay scheduling: how long a job waits for a machine that has its image.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct DelaySchedulingTest : ClusterTest {};

TEST_F(DelaySchedulingTest, JobWaitsForAMachineWithItsImageThenRunsAnywhere) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 100;
    auto occupying_job =
        cluster.make_job(1, JobKind::array, 8);  // occupies the machine with the image
    occupying_job.image_gb = 20;
    occupying_job.estimate_s = 2;  // deliberately wrong: its tasks are expected to end soon
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, occupying_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    double started_at_s = 0;
    cluster.workers.on_command = [&](const std::string& machine, const Command& command) {
        if (command.kind == Command::Kind::start && machine == "vm-500001" && started_at_s == 0) {
            started_at_s = cluster.now();
        }
    };
    auto waiting_job = cluster.make_job(2, JobKind::service);
    waiting_job.image_gb = 20;
    cluster.submit_and_wait(0, waiting_job);
    double submitted_at_s = cluster.now();
    ASSERT_TRUE(cluster.run_until([&] { return started_at_s > 0; }, 30));
    EXPECT_GE(started_at_s - submitted_at_s, Tunables().locality_wait_s - 0.1);
}

TEST_F(DelaySchedulingTest, ImageWithAShortFetchIsNotWorthTheFullWait) {
    // Guards against waiting longer than the image is worth: gangs passed over free machines for
    // 3 s to avoid a fetch of 5 s, which they hardly ever avoided.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 100;
    auto occupying_job = cluster.make_job(1, JobKind::array, 8);
    occupying_job.estimate_s = 2;
    cluster.add_machine("vm-500000", "a");
    cluster.submit_and_wait(0, occupying_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 30));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    cluster.run_for(1);
    cluster.submit_and_wait(0, cluster.make_job(2, JobKind::service));  // image fetch takes 1 s
    EXPECT_TRUE(
        cluster.run_until([&] { return cluster.store.find("c/b/req-000002/0") != nullptr; }, 1));
}

TEST_F(DelaySchedulingTest, GangDoesNotWaitIfFewerMachinesHaveItsImageThanItHasTasks) {
    // Guards against a useless wait: gangs passed over free machines for the whole locality wait
    // although only some of the machines they needed had their image.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    auto first_gang = cluster.make_job(1, JobKind::gang);
    first_gang.task_resources = {60, 8, 400};
    cluster.submit_and_wait(0, first_gang);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    cluster.add_machine("vm-500001", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500001"); }, 20));
    cluster.run_for(1);
    auto second_gang = cluster.make_job(2, JobKind::gang, 2);
    second_gang.task_resources = first_gang.task_resources;
    cluster.submit_and_wait(0, second_gang);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.find("c/b/req-000002/0") != nullptr; },
                                  Tunables().locality_wait_s - 1));
}

TEST_F(DelaySchedulingTest, JobDoesNotWaitForAMachineFullOfServices) {
    // Guards against a useless wait: replicas passed over empty machines in favour of machines that
    // had the image but were full of services, which do not end.
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

TEST_F(DelaySchedulingTest, TaskStartsWithoutWaitOnAMachineWithItsImage) {
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

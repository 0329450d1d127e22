// Placement constraints: zones, spot machines, cordoned machines, and machines or jobs that fail.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct PlacementTest : ClusterTest {};

struct ThreeControllerPlacementTest : ThreeControllerTest {};

TEST_F(ThreeControllerPlacementTest, ZoneSpreadSameZoneAndFixedZoneAreKept) {
    start_cluster(3);
    auto spread_job = cluster.make_job(1, JobKind::service, 5);
    spread_job.zone_spread = true;
    auto same_zone_job = cluster.make_job(2, JobKind::array, 5);
    same_zone_job.same_zone = true;
    auto fixed_zone_job = cluster.make_job(3, JobKind::service, 2);
    fixed_zone_job.zone = "c";
    cluster.submit_and_wait(0, spread_job);
    cluster.submit_and_wait(1, same_zone_job);
    cluster.submit_and_wait(2, fixed_zone_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 5; }, 60));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000003") == 2; }, 60));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000002"); }, 90));
    for (const auto& name : cluster.machines_running("req-000003")) {
        EXPECT_EQ(cluster.machines[name].info.zone, "c");
    }
}

TEST_F(ThreeControllerPlacementTest, JobBoundToAFullZoneDoesNotHideOthersOfItsSize) {
    // Guards against jobs that wait beside a machine with room: a job of the same size that shares
    // a full zone made a controller take its machines in other zones for unsuitable.
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 1000;
    cluster.add_machine("vm-50000a", "a");
    start_cluster(3);
    auto shared_zone_job = cluster.make_job(1, JobKind::service, 2);
    shared_zone_job.task_resources = {60, 8, 400};
    shared_zone_job.same_zone = true;
    cluster.submit_and_wait(0, shared_zone_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 30));
    cluster.add_machine("vm-50000b", "b");
    cluster.run_for(10);
    for (int number = 2; number <= 9; ++number) {
        auto job = cluster.make_job(number, JobKind::array);
        job.task_resources = shared_zone_job.task_resources;
        cluster.submit_and_wait(0, job);
    }
    cluster.workers.task_run_s = 2;
    for (int number = 2; number <= 9; ++number) {
        std::string uid = fmt::format("req-{:06}", number);
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(uid); }, 60)) << uid;
    }
}

TEST_F(ThreeControllerPlacementTest, GangWithoutRoomInOneZoneDoesNotHideAGangThatMayBeSpread) {
    // Guards against a gang that waits beside enough machines: one of the same size whose tasks
    // must share a zone found no room and spoke for both.
    cluster.cloud.capacity = 0;
    for (const char* zone : {"a", "b", "c"}) {
        cluster.add_machine(std::string("vm-50000") + zone, zone);
    }
    start_cluster(3);
    auto gang = cluster.make_job(1, JobKind::gang, 3);
    gang.task_resources = {60, 8, 400};
    for (int number = 1; number <= 8; ++number) {
        gang.uid = fmt::format("req-{:06}", number);
        gang.same_zone = number <= 4;
        cluster.submit_and_wait(0, gang);
    }
    cluster.workers.task_run_s = 2;
    for (int number = 5; number <= 8; ++number) {
        std::string uid = fmt::format("req-{:06}", number);
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(uid); }, 90)) << uid;
    }
}

TEST_F(PlacementTest, OnlyJobsThatAllowSpotRunOnSpotMachines) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a", true);
    auto on_demand_job = cluster.make_job(1, JobKind::service);
    auto spot_job = cluster.make_job(2, JobKind::service);
    spot_job.spot = true;
    cluster.submit_and_wait(0, on_demand_job);
    cluster.submit_and_wait(0, spot_job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 30));
    cluster.run_for(10);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 0);
}

TEST_F(PlacementTest, CordonedMachineGetsNoNewTasks) {
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-500000"); }, 20));
    cluster.cloud.capacity = 0;
    cluster.store.put(
        "c/x/1-1",
        {{"why", "idle"}, {"fence", false}, {"machines", {"vm-500000"}}, {"gone", Json::array()}});
    cluster.submit_and_wait(0, cluster.make_job(1));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines["vm-500000"].deleted; }, 10));
    EXPECT_EQ(cluster.running_tasks("req-000001"), 0);
}

TEST_F(PlacementTest, MachineThatFailsEveryTaskIsCordonedAndReleased) {
    start_cluster();
    cluster.add_machine("vm-000000", "a").fails_tasks = true;
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(0).agent_manager().registry().adopted("vm-000000"); }, 20));
    for (int i = 1; i <= 6; ++i) {
        cluster.submit_and_wait(0, cluster.make_job(i));
    }
    EXPECT_TRUE(cluster.run_until([&] { return cluster.machines["vm-000000"].deleted; }, 60));
    for (int i = 1; i <= 6; ++i) {
        EXPECT_TRUE(cluster.run_until(
            [&] { return cluster.is_finished("req-00000" + std::to_string(i)); }, 120));
    }
}

TEST_F(ThreeControllerPlacementTest, FailingJobCostsFewStartsAndNoMachine) {
    // Guards against a faulty job being blamed on machines: eight failed tasks of one such job on
    // one machine counted as eight errors of the machine, which was then released, and controllers
    // did not share what they knew of the job's failures.
    start_cluster(3);
    cluster.cloud.capacity = 0;
    // Services that keep all three machines in use, with room for the failing job beside them.
    for (int i = 0; i < 3; ++i) {
        auto service_job = cluster.make_job(3 + i, JobKind::service, 2);
        service_job.zone = cluster.settings.zones[static_cast<std::size_t>(i)];
        cluster.add_machine("vm-50000" + std::to_string(i), *service_job.zone);
        cluster.submit_and_wait(0, service_job);
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(service_job.uid) == 2; }, 60));
    }
    int starts = 0;
    cluster.workers.on_command = [&](const std::string&, const Command& command) {
        starts += command.kind == Command::Kind::start && command.id.uid == "req-000002" ? 1 : 0;
    };
    cluster.workers.failing_jobs.insert("req-000002");
    cluster.cloud.capacity = 100;
    auto failing_job = cluster.make_job(2, JobKind::array, 12);
    cluster.submit_and_wait(1, failing_job);
    cluster.run_for(60);
    int starts_before_restart = starts;
    // Knowledge of the job's failures survives the controllers.
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 20));
    cluster.run_for(60);
    EXPECT_LE(starts_before_restart, 60);
    EXPECT_LE(starts - starts_before_restart, 6);
    EXPECT_EQ(cluster.cloud.launches, 0);
    EXPECT_EQ(cluster.cloud.machine_count(), 3);
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(0, "req-000002")).state, "cancelled");
}

TEST_F(PlacementTest, SpotMachineWithInterruptionNoticeGetsNoNewTasks) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a", true).interruption_notice_s = 20;
    auto job = cluster.make_job(1, JobKind::service);
    job.spot = true;
    cluster.submit_and_wait(0, job);
    cluster.run_for(10);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 0);
}

TEST_F(PlacementTest, OnlyTasksWithCheckpointsAreStoppedBeforeASpotInterruption) {
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 300;
    auto& spot_machine = cluster.add_machine("vm-500000", "a", true);
    auto checkpointing_job = cluster.make_job(1, JobKind::array, 2);
    checkpointing_job.spot = true;
    checkpointing_job.checkpoint_s = 10;
    checkpointing_job.save_s = 2;
    checkpointing_job.estimate_s = 300;
    auto job_without_checkpoint = cluster.make_job(2, JobKind::array, 2);
    job_without_checkpoint.spot = true;
    job_without_checkpoint.estimate_s = 300;
    cluster.submit_and_wait(0, checkpointing_job);
    cluster.submit_and_wait(0, job_without_checkpoint);
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.running_tasks("req-000001") + cluster.running_tasks("req-000002") == 4;
        },
        30));
    std::set<TaskId> stopped;
    cluster.workers.on_command = [&](const std::string&, const Command& command) {
        if (command.kind == Command::Kind::stop) {
            EXPECT_GE(command.grace_s, 2);
            stopped.insert(command.id);
        }
    };
    spot_machine.interruption_notice_s = 20;
    ASSERT_TRUE(cluster.run_until(
        [&] {
            return cluster.controller(0)
                .agent_manager()
                .registry()
                .find("vm-500000")
                ->interruption_deadline.has_value();
        },
        5));
    cluster.run_for(12);
    EXPECT_TRUE(stopped.empty());  // not earlier than necessary
    cluster.run_for(6);
    EXPECT_EQ(stopped, (std::set<TaskId>{{"req-000001", 0}, {"req-000001", 1}}));
}

}  // namespace
}  // namespace cranemoor::test

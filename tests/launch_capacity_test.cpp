// Launches when the cloud has no machines of some types, zones or purchase options.
#include "cluster_fixtures.hpp"
#include "core/autoscaling/capacity_backoff.hpp"

namespace cranemoor::test {
namespace {

/// Two types of the same size: the default one, and "t8-dear" at a higher price.
struct LaunchCapacityTest : ThreeControllerTest {
    MachineType cheap = FakeCloud::machine_type();
    MachineType dear = FakeCloud::machine_type();

    LaunchCapacityTest() {
        dear.name = "t8-dear";
        dear.price = 12;
        dear.spot_price = 4;
        cluster.cloud.types = {cheap, dear};
        cluster.workers.task_run_s = 5;
    }
    JobSpec whole_machine_gang(int number, int tasks) const {
        JobSpec gang = cluster.make_job(number, JobKind::gang, tasks);
        gang.task_resources = {60, 8, 400};
        return gang;
    }
    bool runs_within(int number, int tasks, double seconds) {
        return cluster.run_until(
            [&] { return cluster.running_tasks(fmt::format("req-{:06}", number)) == tasks; },
            seconds);
    }
};

TEST_F(LaunchCapacityTest, NextTypeInPriceOrderIsLaunchedWhenTheCheapestIsRefused) {
    // Guards against jobs that never start: only the cheapest type was ever requested, however
    // often the provider refused it.
    cluster.cloud.set_capacity(cheap, false, 0);
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    cluster.submit_and_wait(1, cluster.make_job(2, JobKind::array, 3));
    JobSpec gang = whole_machine_gang(3, 2);
    gang.same_zone = true;
    cluster.submit_and_wait(2, gang);
    EXPECT_TRUE(runs_within(1, 1, 40));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000002"); }, 40));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000003"); }, 40));
}

TEST_F(LaunchCapacityTest, CheapestTypeIsRequestedAgainAfterItsBackoff) {
    // Guards against a refusal that counts for ever: the price order holds again once it can.
    cluster.cloud.set_capacity(cheap, false, 0);
    start_cluster(3);
    cluster.submit_and_wait(0, whole_machine_gang(1, 1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 40));
    cluster.cloud.set_capacity(cheap, false, 10);
    cluster.run_for(constants::no_capacity_backoff_s);
    cluster.submit_and_wait(0, whole_machine_gang(2, 4));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000002"); }, 60));
    EXPECT_GT(cluster.cloud.machine_count(cheap.name), 0);
}

TEST_F(LaunchCapacityTest, GangLeavesAZoneThatLacksOneMachine) {
    // Guards against a gang that waits for ever: it was bound to the zone in which most of its
    // tasks fit, even if the provider had no machine there for the last one.
    cluster.cloud.capacity_by_kind[{cheap.name, "a", false}] = 3;
    cluster.cloud.types = {cheap};
    start_cluster(3);
    for (int number = 1; number <= 3; ++number) {
        JobSpec service = cluster.make_job(number, JobKind::service);
        service.task_resources = {33, 1, 29};
        service.zone = "a";
        cluster.submit_and_wait(0, service);
    }
    ASSERT_TRUE(runs_within(1, 1, 40) && runs_within(2, 1, 40) && runs_within(3, 1, 40));
    JobSpec gang = cluster.make_job(4, JobKind::gang, 4);
    gang.task_resources = {30, 5, 100};
    gang.same_zone = true;
    cluster.submit_and_wait(1, gang);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000004"); }, 60));
    EXPECT_LE(cluster.cloud.launched_machines, 3 + 4);
}

TEST_F(LaunchCapacityTest, ArrayLeavesAZoneWithoutMachines) {
    // Guards against an array whose tasks share a zone and that waits for a zone that is sold out.
    cluster.cloud.capacity_by_kind = {{{cheap.name, "a", false}, 0}, {{cheap.name, "b", false}, 0}};
    cluster.cloud.types = {cheap};
    start_cluster(3);
    JobSpec array = cluster.make_job(1, JobKind::array, 4);
    array.task_resources = {60, 8, 400};
    array.same_zone = true;
    cluster.submit_and_wait(0, array);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
}

TEST_F(LaunchCapacityTest, MachinesOfALargeArrayAreLaunchedInItsZone) {
    // Guards against an array of several blocks that never starts: its zone follows from its uid,
    // but machines were launched in others, where none of its tasks may run.
    start_cluster(3);
    for (int number = 1; number <= 6; ++number) {
        JobSpec array = cluster.make_job(number, JobKind::array, constants::block_tasks_max + 2);
        array.task_resources = {0.5, 0, 1};
        array.same_zone = true;
        cluster.submit_and_wait(0, array);
    }
    for (int number = 1; number <= 6; ++number) {
        std::string uid = fmt::format("req-{:06}", number);
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(uid); }, 90)) << uid;
    }
}

TEST_F(LaunchCapacityTest, TypeOfferedInTheJobsZoneIsLaunched) {
    // Guards against a job bound to a zone that waits for ever: the type to launch was chosen
    // without regard to the zones in which it is offered.
    cluster.cloud.types[0].zones = {"a", "b"};
    start_cluster(3);
    JobSpec job = cluster.make_job(1);
    job.zone = "c";
    cluster.submit_and_wait(0, job);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 40));
}

TEST_F(LaunchCapacityTest, OnDemandMachinesAreLaunchedWhenSpotIsRefused) {
    // Guards against jobs that may use spot instances and wait for one of the cheapest type.
    cluster.cloud.set_capacity(cheap, true, 0);
    cluster.cloud.set_capacity(dear, true, 0);
    cluster.cloud.set_capacity(cheap, false, 0);
    start_cluster(3);
    JobSpec job = cluster.make_job(1, JobKind::array, 2);
    job.spot = true;
    cluster.submit_and_wait(0, job);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
}

TEST_F(LaunchCapacityTest, BestEffortRunsOnDemandWhereNoSpotIsToBeHad) {
    // Guards against best-effort jobs that never start: only spot instances were launched for them,
    // and empty on-demand machines were closed to them, however long spot was sold out.
    cluster.cloud.set_capacity(cheap, true, 0);
    cluster.cloud.set_capacity(dear, true, 0);
    start_cluster(3);
    JobSpec sweep = cluster.make_job(1, JobKind::array, 12);
    sweep.task_resources = {32, 0, 16};
    sweep.priority = Priority::best_effort;
    sweep.spot = true;
    cluster.submit_and_wait(0, sweep);
    JobSpec gang = whole_machine_gang(2, 2);
    gang.priority = Priority::best_effort;
    gang.spot = true;
    cluster.submit_and_wait(1, gang);
    cluster.run_for(constants::best_effort_spot_wait_s - 1);
    EXPECT_EQ(cluster.cloud.launched_machines, 0);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000002"); }, 60));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 240));
    EXPECT_LE(cluster.cloud.launched_machines, 6);
}

TEST_F(LaunchCapacityTest, BestEffortUsesSpotAgainOnceThereIsSome) {
    // Guards against best-effort work that stays on demand once spot is to be had again.
    cluster.cloud.set_capacity(cheap, true, 0);
    cluster.cloud.set_capacity(dear, true, 0);
    start_cluster(3);
    JobSpec sweep = cluster.make_job(1, JobKind::array, 40);
    sweep.task_resources = {32, 0, 16};
    sweep.priority = Priority::best_effort;
    sweep.spot = true;
    cluster.submit_and_wait(0, sweep);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") > 0; }, 60));
    cluster.cloud.set_capacity(cheap, true, 100);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
    auto on_demand = [](const auto& item) { return !item.second.info.spot; };
    EXPECT_LE(std::count_if(cluster.machines.begin(), cluster.machines.end(), on_demand), 2);
}

TEST_F(LaunchCapacityTest, SpreadJobLaunchesNoMoreThanItNeedsWhereSpotIsRefused) {
    // Guards against a launch at every plan: on-demand machines launched in zones without spot
    // capacity did not count as room while another zone had some, although the spread was full.
    cluster.cloud.types = {cheap};
    cluster.cloud.capacity_by_kind = {{{cheap.name, "b", true}, 0}, {{cheap.name, "c", true}, 0}};
    start_cluster(3);
    JobSpec job = cluster.make_job(1, JobKind::service, 4);
    job.task_resources = {60, 8, 400};
    job.zone_spread = true;
    job.spot = true;
    cluster.submit_and_wait(0, job);
    ASSERT_TRUE(runs_within(1, 4, 60));
    EXPECT_LE(cluster.cloud.launched_machines, 5);
}

TEST_F(LaunchCapacityTest, EveryTypeIsTriedBeforeTheFirstIsRequestedAgain) {
    // Guards against a plan that returns to the cheapest types and never reaches the last one.
    constexpr int type_count = 12;
    cluster.cloud.types.clear();
    for (int i = 0; i < type_count; ++i) {
        MachineType type = cheap;
        type.name = fmt::format("t8-{}", i);
        type.price = 10 + i;
        cluster.cloud.types.push_back(type);
        cluster.cloud.set_capacity(type, false, i + 1 < type_count ? 0 : 1000);
    }
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
    EXPECT_GE(cluster.cloud.refusal_interval_min_s(), constants::no_capacity_backoff_s);
}

TEST_F(LaunchCapacityTest, JobStartsWhenTheLeaderFailsWhileTheCheapestTypeIsRefused) {
    // Guards against a job that waits for ever after a failover: the new leader knows no refusal.
    cluster.cloud.set_capacity(cheap, false, 0);
    start_cluster(3);
    cluster.submit_and_wait(1, cluster.make_job(1));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.cloud.refused_launches() > 0; }, 20));
    cluster.kill(0);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
}

TEST_F(LaunchCapacityTest, LostMachineIsReplacedByAnotherType) {
    // Guards against a service that is not replaced once the type that it ran on is sold out.
    start_cluster(3);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(runs_within(1, 1, 40));
    cluster.cloud.set_capacity(cheap, false, 0);
    FakeWorker& lost = cluster.machines[cluster.machines_running("req-000001").front()];
    lost.is_unreachable = true;
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.cloud.machine_count(dear.name) > 0 &&
                   cluster.running_tasks("req-000001") == 1 && lost.deleted;
        },
        120));
}

TEST_F(LaunchCapacityTest, HeadroomUsesTheNextTypeInPriceOrder) {
    // Guards against a fleet without spare machines once the cheapest type is sold out.
    cluster.tunables.headroom_machines_max = 100;
    cluster.cloud.set_capacity(cheap, false, 1);
    cluster.workers.task_run_s = 200;
    start_cluster(3);
    cluster.submit_and_wait(0, whole_machine_gang(1, 3));
    ASSERT_TRUE(runs_within(1, 3, 40));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count(dear.name) > 0; }, 20));
}

TEST(CapacityBackoffTest, LastsUntilEveryRefusedKindCanHaveBeenRequested) {
    CapacityBackoff backoff;
    backoff.set_plan_interval(3);
    InstanceKind first{"t0", "a", false};
    EXPECT_FALSE(backoff.is_backing_off(first, 0));
    for (int i = 0; i < 10; ++i) {
        double now_s = i * (3 + constants::launch_reply_s);
        backoff.set_refused({fmt::format("t{}", i), "a", false}, now_s);
        EXPECT_TRUE(backoff.is_backing_off(first, now_s));
    }
    EXPECT_FALSE(backoff.is_backing_off(first, backoff.duration_s()));
    backoff.set_granted({"t9", "a", false});
    EXPECT_FALSE(backoff.is_backing_off({"t9", "a", false}, 32));
}

}  // namespace
}  // namespace cranemoor::test

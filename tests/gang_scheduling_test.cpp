// Gang scheduling: all tasks of a gang are started and stopped together.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ThreeControllerGangSchedulingTest : ThreeControllerTest {};

TEST_F(ThreeControllerGangSchedulingTest, GangStartsAsAWholeOnMachinesOfSeveralOwners) {
    start_cluster(3);
    auto gang = cluster.make_job(1, JobKind::gang, 3);
    gang.task_resources = {60, 8, 400};
    gang.zone_spread = true;
    cluster.submit_and_wait(0, gang);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 60));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 60));
}

TEST_F(ThreeControllerGangSchedulingTest, GangThatLosesATaskIsRestartedAsAWhole) {
    cluster.workers.task_run_s = 60;
    start_cluster(3);
    auto gang = cluster.make_job(1, JobKind::gang, 3);
    gang.task_resources = {60, 8, 400};
    cluster.submit_and_wait(0, gang);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 3; }, 60));
    cluster.machines[cluster.machines_running("req-000001")[1]].is_hung = true;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 240));
}

}  // namespace
}  // namespace cranemoor::test

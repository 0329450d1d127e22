// Preemption of gangs as a whole, so that they can write a checkpoint first.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// Four machines in three zones with several owners, all occupied by a gang of four tasks.
struct GangPreemptionTest : ThreeControllerTest {
    const std::string gang_uid = "req-000001";
    void start_gang_on_all_machines() {
        start_cluster(3);
        cluster.cloud.capacity = 0;
        cluster.workers.task_run_s = 400;
        for (int i = 0; i < 4; ++i) {
            cluster.add_machine("vm-50000" + std::to_string(i),
                                std::string(1, static_cast<char>('a' + i % 3)));
        }
        auto job = cluster.make_job(1, JobKind::gang, 4);
        job.task_resources = {33, 5, 200};
        job.priority = Priority::high;
        job.checkpoint_s = 20;
        job.save_s = 2;
        cluster.submit_and_wait(0, job);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang_uid) == 4; }, 30));
    }
    JobSpec make_production_replica() {
        auto job = cluster.make_job(2, JobKind::service, 1);
        job.task_resources = {33, 5, 200};
        job.priority = Priority::production;
        return job;
    }
};

TEST_F(GangPreemptionTest, GangIsPreemptedAsAWholeAfterACheckpoint) {
    start_gang_on_all_machines();
    cluster.submit_and_wait(1, make_production_replica());
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 90));
    EXPECT_EQ(cluster.workers.checkpointed_gangs, std::set<std::string>{gang_uid});
    cluster.add_machine("vm-500009", "a");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang_uid) == 4; }, 60));
}

TEST_F(GangPreemptionTest, GangWithAHungMachineIsPreemptedWithoutCheckpointAndNeverRunsTwice) {
    // InvariantChecker checks that no task starts while its old placement may still hold it.
    start_gang_on_all_machines();
    auto hung_machine = cluster.machines_running(gang_uid).front();
    cluster.machines.at(hung_machine).is_hung = true;
    cluster.submit_and_wait(1, make_production_replica());
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 120));
    EXPECT_TRUE(cluster.workers.checkpointed_gangs.empty());
    cluster.add_machine("vm-500008", "b");
    cluster.add_machine("vm-500009", "c");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang_uid) == 4; }, 90));
}

TEST_F(GangPreemptionTest, StopRequestSurvivesItsRequesterAndStopsNoLaterAttempt) {
    start_gang_on_all_machines();
    cluster.submit_and_wait(1, make_production_replica());
    auto stop_is_requested = [&] {
        const Json* block = cluster.store.find("c/b/" + gang_uid + "/0");
        return block != nullptr && block->value("stop", 0) != 0;
    };
    ASSERT_TRUE(cluster.run_until(stop_is_requested, 90));
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(1);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 90));
    cluster.add_machine("vm-500009", "a");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang_uid) == 4; }, 90));
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks(gang_uid), 4);
}

TEST_F(GangPreemptionTest, GangWritesACheckpointBeforeASpotInterruption) {
    start_cluster(3);
    cluster.cloud.capacity = 0;
    cluster.workers.task_run_s = 400;
    for (int i = 0; i < 4; ++i) {
        cluster.add_machine("vm-50000" + std::to_string(i), "a", true);
    }
    auto job = cluster.make_job(1, JobKind::gang, 4);
    job.task_resources = {33, 5, 200};
    job.spot = true;
    job.checkpoint_s = 20;
    job.save_s = 2;
    cluster.submit_and_wait(0, job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang_uid) == 4; }, 30));
    cluster.machines.at("vm-500002").interruption_notice_s = 20;
    cluster.run_for(25);
    EXPECT_EQ(cluster.workers.checkpointed_gangs, std::set<std::string>{gang_uid});
}

}  // namespace
}  // namespace cranemoor::test

// Preemption of whole gangs, so that they write a checkpoint.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

// Four machines in three zones, all taken by a gang of four whose machines have several owners.
struct GangPreemptionTest : ThreeControllerTest {
    const std::string gang = "req-000001";
    void fill() {
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
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang) == 4; }, 30));
    }
    JobSpec replica() {
        auto job = cluster.make_job(2, JobKind::service, 1);
        job.task_resources = {33, 5, 200};
        job.priority = Priority::production;
        return job;
    }
};

TEST_F(GangPreemptionTest, MakesRoomWholeAndSaved) {
    fill();
    cluster.submit_and_wait(1, replica());
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 90));
    EXPECT_EQ(cluster.workers.checkpointed_gangs, std::set<std::string>{gang});
    cluster.add_machine("vm-500009", "a");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang) == 4; }, 60));
}

TEST_F(GangPreemptionTest, OneThatNoOwnerReachesFallsBackAndRunsNowhereTwice) {
    // SimulatedCluster checks that no task starts while its old place may hold it.
    fill();
    auto far = cluster.machines_running(gang).front();
    cluster.machines.at(far).is_hung = true;
    cluster.submit_and_wait(1, replica());
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 120));
    EXPECT_TRUE(cluster.workers.checkpointed_gangs.empty());
    cluster.add_machine("vm-500008", "b");
    cluster.add_machine("vm-500009", "c");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang) == 4; }, 90));
}

TEST_F(GangPreemptionTest, AWishOutlivesItsAskerAndStopsNoLaterAttempt) {
    fill();
    cluster.submit_and_wait(1, replica());
    auto wished = [&] {
        const Json* block = cluster.store.find("c/b/" + gang + "/0");
        return block != nullptr && block->value("stop", 0) != 0;
    };
    ASSERT_TRUE(cluster.run_until(wished, 90));
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(1);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000002") == 1; }, 90));
    cluster.add_machine("vm-500009", "a");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang) == 4; }, 90));
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks(gang), 4);
}

TEST_F(GangPreemptionTest, SavesBeforeAMachineIsTakenAway) {
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
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(gang) == 4; }, 30));
    cluster.machines.at("vm-500002").interruption_notice_s = 20;
    cluster.run_for(25);
    EXPECT_EQ(cluster.workers.checkpointed_gangs, std::set<std::string>{gang});
}

}  // namespace
}  // namespace cranemoor::test

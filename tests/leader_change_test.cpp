// Faults around a change of leader: owners and leader change while heartbeats are outdated, writes
// are delayed, machines appear and disappear, or more jobs are submitted than fit. All invariants
// are checked after every step; at the end no job may wait while there are free resources.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct LeaderChangeTest : HalfMachineJobTest {
    int leader_node() {
        for (int i = 0; i < 3; ++i) {
            if (cluster.is_alive(i) && cluster.controller(i).context().is_member) {
                const auto& epoch = cluster.controller(i).context().jobs.epoch();
                return epoch->members.front().name.back() - '0';
            }
        }
        return 0;
    }
    void restart_stopped_controllers() {
        for (int i = 0; i < 3; ++i) {
            if (!cluster.is_alive(i)) {
                cluster.start(i);
            }
        }
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
    }
    // Submits a job whose tasks take `gpus` of a machine's eight GPUs, with retries as users do.
    void submit(int number, JobKind kind, int tasks, double gpus, const char* zone = nullptr) {
        auto spec = cluster.make_job(number, kind, tasks);
        spec.task_resources = {7 * gpus, gpus, 50 * gpus};
        if (zone != nullptr) {
            spec.zone = zone;
        }
        for (int tries = 0; tries < 30 && !cluster.is_accepted(spec.uid); ++tries) {
            int node = (number + tries) % 3;
            if (cluster.is_alive(node)) {
                cluster.wait_for_reply(cluster.submit(node, spec));
            }
            cluster.run_for(cluster.is_accepted(spec.uid) ? 0 : 1);
        }
        ASSERT_TRUE(cluster.is_accepted(spec.uid));
        job_uids.push_back(spec.uid);
    }
    // 90 s after the faults no job that fits may still wait; in these tests every job fits.
    void expect_no_job_waits() {
        for (const auto& uid : job_uids) {
            EXPECT_TRUE(cluster.run_until(
                [&] {
                    return cluster.is_finished(uid) ||
                           (cluster.users.is_service(uid) && cluster.running_tasks(uid) > 0);
                },
                90 + cluster.workers.task_run_s))
                << uid;
            EXPECT_EQ(cluster.poll_and_wait(1, uid).status, 200) << uid;
        }
    }
    std::vector<std::string> job_uids;
};

TEST_F(LeaderChangeTest, QuicklyBootedMachinesRunTasksDespiteDelayedWritesAndLeaderFailures) {
    cluster.workers.task_run_s = 15;
    cluster.cloud.boot_s = 1.5;
    cluster.cloud.list_lag_s = 8;  // they run tasks before any list contains them
    cluster.faults.delayed_transaction_probability = 0.25;
    for (int number = 1; number <= 12; ++number) {
        submit(number, number % 3 == 0 ? JobKind::gang : JobKind::array, 2, 6);
        if (number % 4 == 0) {
            cluster.kill(leader_node());
            cluster.run_for(1);
        }
        restart_stopped_controllers();
    }
    cluster.faults.delayed_transaction_probability = 0;
    expect_no_job_waits();
}

TEST_F(LeaderChangeTest, OutdatedHeartbeatsReachEveryControllerDuringALeaderChange) {
    cluster.workers.task_run_s = 8;
    cluster.faults.recorded_heartbeat_probability = 0.5;
    for (int number = 1; number <= 12; ++number) {
        submit(number, JobKind::array, 3, 2);
        cluster.run_for(3);
        int old_leader = leader_node();
        cluster.kill(old_leader);
        ASSERT_TRUE(cluster.run_until([&] { return leader_node() != old_leader; }, 15));
        cluster.replay_recorded_heartbeats();  // outdated: their jobs have ended or restarted since
        cluster.run_for(0.5);
        cluster.replay_recorded_heartbeats();
        restart_stopped_controllers();
    }
    cluster.faults.recorded_heartbeat_probability = 0;
    expect_no_job_waits();
}

TEST_F(LeaderChangeTest, AllControllersAreDownForLongerThanALease) {
    cluster.workers.task_run_s = 40;
    submit(1, JobKind::service, 3, 4);
    submit(2, JobKind::array, 4, 2);
    submit(3, JobKind::gang, 2, 2);
    cluster.run_for(10);
    cluster.cancel(0, job_uid(3));
    cluster.run_for(0.05);
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(cluster.settings.lease_s + 8);
    EXPECT_EQ(cluster.running_tasks(job_uid(1)), 0);  // every lease has expired
    cluster.start(2);
    cluster.run_for(5);
    restart_stopped_controllers();
    expect_no_job_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 3; }, 60));
}

TEST_F(LeaderChangeTest, TenLeaderChangesInTwoMinutesIncludingAStoreOutage) {
    cluster.workers.task_run_s = 30;
    submit(1, JobKind::service, 3, 2);
    for (int change = 0; change < 10; ++change) {
        submit(10 + change, change % 2 == 0 ? JobKind::array : JobKind::gang, 2, 2);
        cluster.faults.store_down = change == 4 || change == 5;
        cluster.kill(leader_node());
        cluster.run_for(1 + change % 3);
        for (int i = 0; i < 3; ++i) {
            if (!cluster.is_alive(i)) {
                cluster.start(i);
            }
        }
        cluster.run_for(9);
        cluster.faults.store_down = false;
        if (change % 3 == 0) {
            cluster.cancel((change + 1) % 3, job_uid(10 + change));
        }
    }
    restart_stopped_controllers();
    expect_no_job_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 3; }, 60));
}

TEST_F(LeaderChangeTest, JobsRestrictedToOneZoneLoseMachines) {
    cluster.workers.task_run_s = 25;
    submit(1, JobKind::array, 6, 4, "a");
    submit(2, JobKind::gang, 2, 4, "a");
    submit(3, JobKind::service, 2, 2, "b");
    for (int round = 0; round < 3; ++round) {
        cluster.run_for(12);
        int candidates = 0;
        for (auto& [name, worker] : cluster.machines) {
            if (!worker.deleted && worker.info.zone != "c" && candidates++ == round) {
                worker.deleted = true;  // without notice
                worker.tasks.clear();
            }
        }
        cluster.kill(round);
        cluster.run_for(4);
        restart_stopped_controllers();
    }
    expect_no_job_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(3)) == 2; }, 60));
}

TEST_F(LeaderChangeTest, ZoneWithItsControllerIsPartitionedForLongerThanALease) {
    cluster.workers.task_run_s = 60;
    submit(1, JobKind::service, 3, 3, "c");
    submit(2, JobKind::array, 4, 3);
    cluster.run_for(10);
    // Within the zone, workers and their controller still communicate; nothing else reaches them.
    cluster.faults.nodes_refused_by_store = {2};
    cluster.faults.cut_peer_links = {{0, 2}, {1, 2}};
    for (auto& [name, worker] : cluster.machines) {
        worker.only_node = worker.info.zone == "c" ? 2 : -1;
    }
    cluster.run_for(6);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(1))).state, "cancelled");
    cluster.run_for(1.5 * cluster.settings.lease_s);
    EXPECT_EQ(cluster.running_tasks(job_uid(1)), 0);
    cluster.faults.nodes_refused_by_store.clear();
    cluster.faults.cut_peer_links.clear();
    for (auto& [name, worker] : cluster.machines) {
        worker.only_node = -1;
    }
    restart_stopped_controllers();
    expect_no_job_waits();
}

TEST_F(LeaderChangeTest, JobsOfAllPrioritiesExceedCapacityOverSlowLinks) {
    cluster.workers.task_run_s = 10;
    std::vector<JobSpec> specs;
    cluster.cloud.capacity = 5;
    cluster.simulation.slow_message_probability = 0.15;
    cluster.users.verify_each_reply = true;
    for (int number = 1; number <= 24; ++number) {
        auto spec = cluster.make_job(number, number % 4 == 0 ? JobKind::gang : JobKind::array,
                                     1 + number % 3);
        spec.task_resources = {21, 3, 150};
        spec.priority = std::array{Priority::best_effort, Priority::normal, Priority::high,
                                   Priority::production}[static_cast<std::size_t>(number % 4)];
        spec.image = "img-0" + std::to_string(number % 3);
        cluster.submit(number % 3, spec);
        specs.push_back(spec);
        if (number % 5 == 0) {
            cluster.cancel((number + 1) % 3, job_uid(number - 1));
        }
        if (number == 12) {
            cluster.kill(leader_node());
        }
        cluster.run_for(1.5);
        if (number == 16) {
            restart_stopped_controllers();
        }
    }
    cluster.simulation.slow_message_probability = 0;
    cluster.users.verify_each_reply = false;
    cluster.run_for(5);
    for (const auto& spec : specs) {  // as users do who got no reply
        auto reply = cluster.submit_and_wait(0, spec);
        EXPECT_TRUE(reply.status == 200 || reply.status == 201);
        job_uids.push_back(spec.uid);
    }
    expect_no_job_waits();
}

}  // namespace
}  // namespace cranemoor::test

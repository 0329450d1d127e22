// Faults round a change of leader: who owns machines and who acts for whom changes while reports
// are old, writes lag, machines come and go, or there is more work than room. Every rule is checked
// after every step; at the end nobody is left waiting while there is room.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct LeaderChangeTest : HalfMachineJobTest {
    int leader() {
        for (int i = 0; i < 3; ++i) {
            if (cluster.is_alive(i) && cluster.controller(i).context().is_member) {
                const auto& epoch = cluster.controller(i).context().jobs.epoch();
                return epoch->members.front().name.back() - '0';
            }
        }
        return 0;
    }
    void back() {
        for (int i = 0; i < 3; ++i) {
            if (!cluster.is_alive(i)) {
                cluster.start(i);
            }
        }
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 30));
    }
    // Submits a job whose tasks take a share of a machine's eight parts; users try again.
    void submit(int n, JobKind kind, int tasks, double parts, const char* zone = nullptr) {
        auto s = cluster.make_job(n, kind, tasks);
        s.task_resources = {7 * parts, parts, 50 * parts};
        if (zone != nullptr) {
            s.zone = zone;
        }
        for (int tries = 0; tries < 30 && !cluster.is_accepted(s.uid); ++tries) {
            int node = (n + tries) % 3;
            if (cluster.is_alive(node)) {
                cluster.wait_for_reply(cluster.submit(node, s));
            }
            cluster.run_for(cluster.is_accepted(s.uid) ? 0 : 1);
        }
        ASSERT_TRUE(cluster.is_accepted(s.uid));
        jobs.push_back(s.uid);
    }
    // 90 s after the troubles nobody waits for whom there is room; here there is for everybody.
    void nobody_waits() {
        for (const auto& uid : jobs) {
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
    std::vector<std::string> jobs;
};

TEST_F(LeaderChangeTest, MachinesUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds) {
    cluster.workers.task_run_s = 15;
    cluster.cloud.boot_s = 1.5;
    cluster.cloud.list_lag_s = 8;  // running and at work before anybody lists them
    cluster.faults.delayed_transaction_probability = 0.25;
    for (int n = 1; n <= 12; ++n) {
        submit(n, n % 3 == 0 ? JobKind::gang : JobKind::array, 2, 6);
        if (n % 4 == 0) {
            cluster.kill(leader());
            cluster.run_for(1);
        }
        back();
    }
    cluster.faults.delayed_transaction_probability = 0;
    nobody_waits();
}

TEST_F(LeaderChangeTest, OldReportsReachEveryControllerJustAsANewLeaderBegins) {
    cluster.workers.task_run_s = 8;
    cluster.faults.recorded_heartbeat_probability = 0.5;
    for (int n = 1; n <= 12; ++n) {
        submit(n, JobKind::array, 3, 2);
        cluster.run_for(3);
        int old = leader();
        cluster.kill(old);
        ASSERT_TRUE(cluster.run_until([&] { return leader() != old; }, 15));
        cluster.replay_recorded_heartbeats();  // of before, of jobs that were over then or have
                                               // restarted since
        cluster.run_for(0.5);
        cluster.replay_recorded_heartbeats();
        back();
    }
    cluster.faults.recorded_heartbeat_probability = 0;
    nobody_waits();
}

TEST_F(LeaderChangeTest, EveryControllerIsAwayForLongerThanALease) {
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
    EXPECT_EQ(cluster.running_tasks(job_uid(1)), 0);  // every lease is over
    cluster.start(2);
    cluster.run_for(5);
    back();
    nobody_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 3; }, 60));
}

TEST_F(LeaderChangeTest, TheLeaderChangesTenTimesInTwoMinutesAlsoInsideAnOutage) {
    cluster.workers.task_run_s = 30;
    submit(1, JobKind::service, 3, 2);
    for (int change = 0; change < 10; ++change) {
        submit(10 + change, change % 2 == 0 ? JobKind::array : JobKind::gang, 2, 2);
        cluster.faults.store_down = change == 4 || change == 5;
        cluster.kill(leader());
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
    back();
    nobody_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 3; }, 60));
}

TEST_F(LeaderChangeTest, JobsBoundToOneZoneLoseMachines) {
    cluster.workers.task_run_s = 25;
    submit(1, JobKind::array, 6, 4, "a");
    submit(2, JobKind::gang, 2, 4, "a");
    submit(3, JobKind::service, 2, 2, "b");
    for (int turn = 0; turn < 3; ++turn) {
        cluster.run_for(12);
        int lost = 0;
        for (auto& [name, m] : cluster.machines) {
            if (!m.deleted && m.info.zone != "c" && lost++ == turn) {
                m.deleted = true;  // without notice
                m.tasks.clear();
            }
        }
        cluster.kill(turn);
        cluster.run_for(4);
        back();
    }
    nobody_waits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(3)) == 2; }, 60));
}

TEST_F(LeaderChangeTest, AZoneWithItsControllerIsCutOffForLongerThanALease) {
    cluster.workers.task_run_s = 60;
    submit(1, JobKind::service, 3, 3, "c");
    submit(2, JobKind::array, 4, 3);
    cluster.run_for(10);
    // Inside, workers and their controller go on; nothing else reaches them.
    cluster.faults.nodes_refused_by_store = {2};
    cluster.faults.cut_peer_links = {{0, 2}, {1, 2}};
    for (auto& [name, m] : cluster.machines) {
        m.only_node = m.info.zone == "c" ? 2 : -1;
    }
    cluster.run_for(6);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(0, job_uid(1))).state, "cancelled");
    cluster.run_for(1.5 * cluster.settings.lease_s);
    EXPECT_EQ(cluster.running_tasks(job_uid(1)), 0);
    cluster.faults.nodes_refused_by_store.clear();
    cluster.faults.cut_peer_links.clear();
    for (auto& [name, m] : cluster.machines) {
        m.only_node = -1;
    }
    back();
    nobody_waits();
}

TEST_F(LeaderChangeTest, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
    cluster.workers.task_run_s = 10;
    std::vector<JobSpec> specs;
    cluster.cloud.capacity = 5;
    cluster.simulation.slow_message_probability = 0.15;
    cluster.users.verify_each_reply = true;
    for (int n = 1; n <= 24; ++n) {
        auto s = cluster.make_job(n, n % 4 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        s.task_resources = {21, 3, 150};
        s.priority = std::array{Priority::best_effort, Priority::normal, Priority::high,
                                Priority::production}[static_cast<std::size_t>(n % 4)];
        s.image = "img-0" + std::to_string(n % 3);
        cluster.submit(n % 3, s);
        specs.push_back(s);
        if (n % 5 == 0) {
            cluster.cancel((n + 1) % 3, job_uid(n - 1));
        }
        if (n == 12) {
            cluster.kill(leader());
        }
        cluster.run_for(1.5);
        if (n == 16) {
            back();
        }
    }
    cluster.simulation.slow_message_probability = 0;
    cluster.users.verify_each_reply = false;
    cluster.run_for(5);
    for (const auto& spec : specs) {  // as users do who had no answer
        auto again = cluster.submit_and_wait(0, spec);
        EXPECT_TRUE(again.status == 200 || again.status == 201);
        jobs.push_back(spec.uid);
    }
    nobody_waits();
}

}  // namespace
}  // namespace cranemoor::test

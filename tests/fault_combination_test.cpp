// Combinations of two or three simultaneous faults; docs/meetings.md has a row for each. All
// invariants are checked after every step.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct FaultCombinationTest : HalfMachineJobTest {};

TEST_F(FaultCombinationTest, LateDuplicateHeartbeatsDuringFailoverKeepTasksRunning) {
    run_job(1, JobKind::service, 3);
    auto machines_before = cluster.machines_running(job_uid(1));
    cluster.faults.duplicated_heartbeat_probability = 0.5;
    for (int round = 0; round < 6; ++round) {
        cluster.kill(round % 3);
        cluster.run_for(0.3);
        cluster.start(round % 3);
        cluster.run_for(8);
    }
    cluster.faults.duplicated_heartbeat_probability = 0;
    cluster.run_for(40);  // until the last duplicate has arrived
    EXPECT_EQ(cluster.machines_running(job_uid(1)), machines_before);
    EXPECT_EQ(attempts_on_machines(1), 3);
}

TEST_F(FaultCombinationTest, OutdatedFirstHeartbeatIsNoProofOfEmptyMachine) {
    // A heartbeat from before the task started, without the task: it neither causes adoption nor
    // proves anything.
    run_job(1, JobKind::service, 1, "a");
    ASSERT_EQ(owner_of("vm-50000a"), 0);
    Heartbeat outdated{"vm-50000a", "vm-50000a", "t8", "a", false, 1, 1, 0, std::nullopt, {}};
    cluster.kill(0);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.controller(1).context().jobs.epoch()->members.size() == 2; }, 10));
    for (int i : {1, 2}) {
        cluster.send_heartbeat(i, outdated);
    }
    cluster.run_for(20);
    EXPECT_EQ(cluster.machines_running(job_uid(1)), std::vector<std::string>{"vm-50000a"});
    EXPECT_EQ(attempts_on_machines(1), 1);
}

TEST_F(FaultCombinationTest, TaskRestartsOnlyOnProofWhenMachineLosesRepliesAfterFailover) {
    // The heartbeats of the machine arrive, with the old token. The task starts elsewhere only
    // once its old placement is proven empty: by a release of the machine, or by a heartbeat of a
    // later agent epoch.
    run_job(1, JobKind::service, 1, "a");
    cluster.machines["vm-50000a"].loses_replies = true;
    cluster.kill(0);
    bool proven_empty = false;
    for (int i = 0; i < 200; ++i) {
        cluster.run_for(0.2);
        const auto& worker = cluster.machines["vm-50000a"];
        proven_empty = proven_empty || worker.deleted || worker.agent_epoch > 1;
        ASSERT_TRUE(proven_empty ||
                    cluster.machines_running(job_uid(1)) == std::vector<std::string>{"vm-50000a"})
            << i;
        ASSERT_LE(attempts_on_machines(1), 1) << i;
    }
    cluster.machines["vm-50000a"].loses_replies = false;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 1; }, 60));
}

TEST_F(FaultCombinationTest, CancelledTaskStopsOnMachineLosingRepliesAfterFailover) {
    run_job(1, JobKind::service, 1, "a");
    cluster.machines["vm-50000a"].loses_replies = true;
    cluster.kill(0);
    cluster.run_for(1);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    cluster.run_for(cluster.settings.cancel_deadline_s * 1.2);
    EXPECT_EQ(attempts_on_machines(1), 0);
}

TEST_F(FaultCombinationTest, TasksEndingBeforeAndAfterFailoverAreNotRestarted) {
    run_job(1, JobKind::array, 3);
    for (auto& [name, worker] : cluster.machines) {
        for (auto& [id, attempts] : worker.tasks) {
            for (auto& [attempt, task] : attempts) {
                task.ends_at_s = cluster.now() + 1 + 25.0 * id.index;
            }
        }
    }
    cluster.run_for(1.5);  // the first end is reported and waits for its batched write
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(0.3);
    cluster.start_all();
    cluster.run_for(5);
    cluster.kill(1);
    cluster.run_for(0.3);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 90));
    EXPECT_EQ(cluster.poll_and_wait(2, job_uid(1)).state, "done");
    EXPECT_TRUE(std::none_of(cluster.log_lines.begin(), cluster.log_lines.end(),
                             [](const std::string& line) {
                                 return line.find("start req-000001/") != std::string::npos &&
                                        line.find("attempt 1 ") == std::string::npos &&
                                        line.find("attempt 2 ") == std::string::npos &&
                                        line.find("attempt 3 ") == std::string::npos;
                             }));  // no task was started from scratch
}

TEST_F(FaultCombinationTest, NodeCutOffFromStoreAndPeersGivesNoStaleReply) {
    run_job(1, JobKind::service, 1, "a");
    run_job(2, JobKind::service, 1, "a");
    cluster.faults.nodes_refused_by_store = {0};
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    cluster.run_for(0.5);
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    for (int i = 0; i < 20; ++i) {
        // The node that is cut off never gives users a stale reply.
        auto reply = cluster.poll_and_wait(0, job_uid(1));
        EXPECT_TRUE(reply.status == 503 || reply.state == "cancelled") << reply.state;
        cluster.run_for(2);
    }
    cluster.run_for(20);
    EXPECT_EQ(attempts_on_machines(1), 0);
    cluster.faults.nodes_refused_by_store.clear();
    cluster.faults.cut_peer_links.clear();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 20));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(2)) == 1; }, 60));
}

TEST_F(FaultCombinationTest, UnansweredTransactionsExecutedOutOfOrderLoseNoJob) {
    cluster.workers.task_run_s = 5;
    cluster.faults.delayed_transaction_probability = 0.4;
    for (int n = 1; n <= 12; ++n) {
        auto spec = cluster.make_job(n, n % 3 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        cluster.submit(n % 3, spec);
        cluster.run_for(2);
        if (n % 4 == 0) {
            cluster.cancel((n + 1) % 3, job_uid(n - 1));
        }
        if (n == 6) {
            cluster.kill(1);
            cluster.run_for(0.3);
            cluster.start(1);
        }
    }
    cluster.run_for(30);
    cluster.faults.delayed_transaction_probability = 0;
    cluster.run_for(15);  // until the last delayed transaction is executed
    ASSERT_TRUE(cluster.all_members(3));
    for (int n = 1; n <= 12; ++n) {
        if (cluster.is_accepted(job_uid(n))) {
            EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(n)); }, 60))
                << n;
            EXPECT_EQ(cluster.poll_and_wait(n % 3, job_uid(n)).status, 200) << n;
        }
    }
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(cluster.controller(i).context().jobs.indexes_consistent());
    }
}

TEST_F(FaultCombinationTest, HungMachineResumingAfterFailoverStopsOnlyCancelledTask) {
    // Commands of a former owner are held while the machine hangs, and one of its jobs is
    // cancelled meanwhile.
    run_job(1, JobKind::service, 1, "a");
    run_job(2, JobKind::service, 1, "a");
    auto& worker = cluster.machines["vm-50000a"];
    worker.is_hung = true;
    ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    cluster.run_for(2);
    cluster.kill(0);
    cluster.run_for(6);
    worker.is_hung = false;  // only held commands with the newest token are carried out now
    cluster.run_for(3);
    EXPECT_TRUE(cluster.run_until(
        [&] { return attempts_on_machines(1) == 0 || cluster.running_tasks(job_uid(1)) == 0; },
        10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(2)) == 1; }, 60));
    cluster.start(0);
    cluster.run_for(cluster.settings.cancel_deadline_s);
    EXPECT_EQ(cluster.running_tasks(job_uid(2)), 1);
}

TEST_F(FaultCombinationTest, TasksSurviveRapidRestartsAndLossOfAllControllers) {
    run_job(1, JobKind::service, 3);
    auto machines_before = cluster.machines_running(job_uid(1));
    for (int i : {0, 1, 0, 2}) {
        cluster.kill(i);
        cluster.run_for(0.2);
        cluster.start(i);
        cluster.run_for(0.5);
    }
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(0.3);
    cluster.start(2);
    cluster.run_for(15);
    EXPECT_EQ(cluster.machines_running(job_uid(1)), machines_before);
    EXPECT_EQ(cluster.poll_and_wait(2, job_uid(1)).state, "running");
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    cluster.run_for(10);
    EXPECT_EQ(cluster.machines_running(job_uid(1)), machines_before);
    EXPECT_EQ(attempts_on_machines(1), 3);
}

TEST_F(FaultCombinationTest, SlowMessagesDuringCancellationsLoseNoJob) {
    for (int n = 1; n <= 4; ++n) {
        auto spec = cluster.make_job(n, JobKind::service, 1);
        ASSERT_EQ(cluster.submit_and_wait(n % 3, spec).status, 201);
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(4)) == 1; }, 40));
    cluster.simulation.slow_message_probability = 0.4;
    for (int i = 0; i < 30; ++i) {
        cluster.cancel(i % 3, job_uid(1 + i % 2));
        cluster.poll(i % 3, job_uid(1 + i % 4));
        cluster.run_for(2);
    }
    cluster.simulation.slow_message_probability = 0;
    cluster.run_for(10);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 20));
    for (int n = 1; n <= 4; ++n) {
        EXPECT_EQ(cluster.poll_and_wait(n % 3, job_uid(n)).status, 200)
            << n;  // no job is forgotten
    }
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.running_tasks(job_uid(3)) == 1 && cluster.running_tasks(job_uid(4)) == 1;
        },
        60));
}

TEST_F(FaultCombinationTest, PollsAreAnsweredInTimeWhileStoreIsSlow) {
    // Guards against polls that stay unanswered while the key-value store is slow: a poll waited
    // for the previous read check, its own and the watch, and some jobs could not be polled for
    // 75 s.
    run_job(1, JobKind::service, 3);
    cluster.faults.store_reply_delay_s = 1.0;
    cluster.run_for(5);
    int answered = 0;
    for (int i = 0; i < 60; ++i) {
        cluster.poll(i % 3, job_uid(1));  // its read check is in flight when the next poll arrives
        cluster.run_for(0.1);
        answered +=
            cluster.wait_for_reply(cluster.poll(i % 3, job_uid(1)), 2).status == 200 ? 1 : 0;
    }
    EXPECT_EQ(answered, 60);
}

}  // namespace
}  // namespace cranemoor::test

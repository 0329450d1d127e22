// Deadlines of cancellations: from the moment at which one is confirmed to the user, no task of
// the job starts, and within cancel_deadline_s all of its tasks are gone, whatever faults occur.
// The simulated cluster checks both after every step, except on a hung machine: these tests check
// that it is released.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct CancellationDeadlineTest : HalfMachineJobTest {
    void cancel_and_confirm(int number, int node = 1) {
        ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(node, job_uid(number))).state, "cancelled");
        confirmed_at_s = cluster.now();
    }
    double seconds_to_deadline() const {
        return confirmed_at_s + cluster.settings.cancel_deadline_s - cluster.now();
    }
    bool is_released(const std::string& machine) { return cluster.machines[machine].deleted; }
    double confirmed_at_s = 0;
    std::string zone_a_machine = "vm-50000a";
};

TEST_F(CancellationDeadlineTest, HungMachineIsReleasedDuringAStoreOutageLongerThanTheDeadline) {
    // Nothing can be written to the key-value store, so the machine can't be cordoned; it must be
    // released all the same, and no other machine.
    run_job(1, JobKind::service, 1, "a");
    run_job(2, JobKind::service, 2, "b");
    cluster.machines[zone_a_machine].is_hung = true;
    cancel_and_confirm(1);
    cluster.run_for(0.5);
    cluster.faults.store_down = true;
    EXPECT_TRUE(
        cluster.run_until([&] { return is_released(zone_a_machine); }, seconds_to_deadline()));
    cluster.run_for(cluster.settings.cancel_deadline_s);
    EXPECT_EQ(cluster.running_tasks(job_uid(2)), 2);
    EXPECT_FALSE(is_released("vm-50000b"));
    EXPECT_FALSE(is_released("vm-50000c"));
    cluster.faults.store_down = false;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); },
                                  60));  // proved by the second release request
}

TEST_F(CancellationDeadlineTest, UnconfirmedReleaseIsCompletedDuringAStoreOutage) {
    run_job(1, JobKind::service, 1, "a");
    cluster.machines[zone_a_machine].is_hung = true;
    cluster.faults.cloud_down = true;
    cancel_and_confirm(1);
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/x/").empty(); },
                                  0.8 * cluster.settings.cancel_deadline_s));
    cluster.faults.store_down = true;
    cluster.run_for(2);
    cluster.faults.cloud_down = false;
    EXPECT_TRUE(
        cluster.run_until([&] { return is_released(zone_a_machine); }, seconds_to_deadline()));
}

TEST_F(CancellationDeadlineTest, HungMachineIsReleasedWheneverItsOwnerFails) {
    int number = 0;
    for (double failure_delay_s : {-1.0, 0.2, 5.0, 17.0, 18.0, 22.0}) {
        run_job(++number, JobKind::service, 1, "a");
        auto machine = cluster.machines_running(job_uid(number)).front();
        int owner = owner_of(machine);
        ASSERT_GE(owner, 0);
        cluster.machines[machine].is_hung = true;
        int other_node = (owner + 1) % 3;
        if (failure_delay_s < 0) {
            cluster.kill(owner);
        }
        cancel_and_confirm(number, other_node);
        cluster.run_for(std::max(0.0, failure_delay_s));
        cluster.kill(owner);
        cluster.run_for(0.3);
        cluster.start(owner);
        EXPECT_TRUE(cluster.run_until([&] { return is_released(machine); }, seconds_to_deadline()))
            << failure_delay_s;
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.is_finished(job_uid(number)) && cluster.all_members(3); }, 60));
    }
}

TEST_F(CancellationDeadlineTest, JobsAreCancelledInTimeDuringAFailover) {
    int number = 0;
    for (double cancel_delay_s : {0.0, 0.5, 1.5, 2.8, 3.2, 4.0, 6.0}) {
        run_job(++number, JobKind::service, 3);
        cluster.kill(number % 3);
        cluster.run_for(cancel_delay_s);
        cancel_and_confirm(number, (number + 1) % 3);
        cluster.run_for(1);
        cluster.start(number % 3);
        EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(number)) == 0; },
                                      seconds_to_deadline()));
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.is_finished(job_uid(number)) && cluster.all_members(3); }, 60));
        cluster.run_for(1);
    }
}

TEST_F(CancellationDeadlineTest, IsolatedOwnerStartsNoTaskOfACancelledJob) {
    // Another controller wrote the claim, and the machine's owner lost the key-value store and its
    // peers before the machine's next heartbeat: for a while the owner still answers its workers,
    // but it must start nothing.
    auto gang = cluster.make_job(1, JobKind::gang, 3);
    gang.task_resources = {60, 8, 400};
    cluster.machines[zone_a_machine].loses_heartbeats = true;
    cluster.machines[zone_a_machine].only_node = 0;
    ASSERT_EQ(cluster.submit_and_wait(1, gang).status, 201);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.store.find("c/b/" + job_uid(1) + "/0") != nullptr; }, 10));
    cluster.run_for(0.2);
    cluster.faults.nodes_refused_by_store = {0};
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    cancel_and_confirm(1);
    cluster.run_for(3);
    int starts = 0;
    cluster.workers.on_command = [&](const std::string&, const Command& command) {
        starts += command.kind == Command::Kind::start ? 1 : 0;
    };
    cluster.machines[zone_a_machine].loses_heartbeats = false;
    cluster.machines[zone_a_machine].target_node = 0;
    cluster.run_for(10);
    EXPECT_EQ(starts, 0);
    cluster.run_for(cluster.settings.cancel_deadline_s);
}

TEST_F(CancellationDeadlineTest, TasksAreKilledByDirectCommandsWhileHeartbeatsAreLost) {
    // The workers' heartbeats reach no controller, while direct commands reach the workers.
    run_job(1, JobKind::service, 2, "a");
    run_job(2, JobKind::service, 1, "b");
    for (auto& [name, worker] : cluster.machines) {
        worker.loses_heartbeats = true;
    }
    cluster.run_for(4);
    cancel_and_confirm(1);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; },
                                  3));  // killed by a direct command
    cluster.run_for(cluster.settings.lease_s +
                    20);  // its lease has expired: the other task must be restarted
    for (auto& [name, worker] : cluster.machines) {
        worker.loses_heartbeats = false;
    }
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(2)) == 1; }, 60));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 60));
}

// Both teams are at their limits, with tasks on machines of all zones.
struct QuotaCancellationTest : CancellationDeadlineTest {
    void SetUp() override {
        cluster.workers.task_run_s = 1000;
        cluster.tunables.idle_release_s = 1000;
        cluster.settings.teams = {{"red", {0, 8, 0}, {0, 8, 0}}, {"blue", {0, 8, 0}, {0, 16, 0}}};
        for (const char* zone : {"a", "b", "c"}) {
            cluster.add_machine(std::string("vm-50000") + zone, zone);
        }
        start_cluster(3);
        run_team_job(1, "red", 2);
        run_team_job(2, "blue", 4);
    }
    void run_team_job(int number, const char* team, int tasks) {
        auto spec = cluster.make_job(number, JobKind::service, tasks);
        spec.task_resources = {30, 4, 200};
        spec.team = team;
        ASSERT_EQ(cluster.submit_and_wait(1, spec).status, 201);
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(job_uid(number)) == tasks; }, 60));
    }
    void submit_team_job(int number, const char* team, int tasks) {
        auto spec = cluster.make_job(number, JobKind::service, tasks);
        spec.task_resources = {30, 4, 200};
        spec.team = team;
        cluster.submit(1, spec);
    }
    // Cancels all running jobs while the machines of two zones are faulty and the leader changes;
    // the pending jobs start only as the cancelled ones free their teams' quota.
    void cancel_all_with_faulty_machines(const std::function<void(FakeWorker&)>& inject_fault) {
        submit_team_job(3, "red", 2);
        submit_team_job(4, "blue", 4);
        cluster.run_for(3);
        inject_fault(cluster.machines["vm-50000a"]);
        inject_fault(cluster.machines["vm-50000b"]);
        cancel_and_confirm(1);
        cancel_and_confirm(2);
        cluster.kill(0);
        cluster.run_for(2);
        cluster.start(0);
        EXPECT_TRUE(cluster.run_until(
            [&] {
                return cluster.running_tasks(job_uid(3)) == 2 &&
                       cluster.running_tasks(job_uid(4)) == 4;
            },
            120));
    }
};

TEST_F(QuotaCancellationTest, QuotaOfCancelledJobsIsReusedWhenTheirMachinesHang) {
    cancel_all_with_faulty_machines([](FakeWorker& worker) { worker.is_hung = true; });
}

TEST_F(QuotaCancellationTest, QuotaOfCancelledJobsIsReusedWhenTheirMachinesAreUnreachable) {
    cancel_all_with_faulty_machines([](FakeWorker& worker) { worker.is_unreachable = true; });
}

TEST_F(QuotaCancellationTest, QuotaOfCancelledJobsIsReusedWhenTheirMachinesLoseReplies) {
    cancel_all_with_faulty_machines([](FakeWorker& worker) { worker.loses_replies = true; });
}

TEST_F(CancellationDeadlineTest, FourSingleTaskJobsPerSecondOfWhichAQuarterIsCancelled) {
    cluster.workers.task_run_s = 6;
    cluster.run_for(1);
    constexpr int job_count = 240;
    for (int number = 1; number <= job_count; ++number) {
        auto spec = cluster.make_job(number);
        spec.task_resources = {1, 0.1, 1};
        cluster.submit(number % 3, spec);
        if (number % 4 == 0) {
            cluster.cancel((number + 1) % 3, job_uid(number - number % 8));
        }
        if (number == 80 || number == 160) {
            cluster.kill(number / 80 % 3);
        }
        if (number == 90 || number == 170) {
            cluster.start(number / 80 % 3);
        }
        cluster.run_for(0.25);
    }
    cluster.run_for(20);
    for (int number = 1; number <= job_count; ++number) {
        EXPECT_TRUE(!cluster.is_accepted(job_uid(number)) || cluster.is_finished(job_uid(number)))
            << job_uid(number);
    }
}

}  // namespace
}  // namespace cranemoor::test

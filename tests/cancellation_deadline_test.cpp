// Cancellations: from the moment at which its user is told, no task of the job starts, and within
// cancel_deadline_s all of them are gone, whatever else goes wrong. The simulated cluster checks
// both after every step, except for a machine that hangs: whether that one was released is asked
// here.
#include <algorithm>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct CancellationDeadlineTest : HalfMachineJobTest {
    void cancelled(int n, int node = 1) {
        ASSERT_EQ(cluster.wait_for_reply(cluster.cancel(node, job_uid(n))).state, "cancelled");
        told = cluster.now();
    }
    double left() const { return told + cluster.settings.cancel_deadline_s - cluster.now(); }
    bool gone(const std::string& machine) { return cluster.machines[machine].deleted; }
    double told = 0;
    std::string doomed = "vm-50000a";
};

TEST_F(CancellationDeadlineTest, AMachineHangsThroughAnOutageThatIsLongerThanACancellationMayTake) {
    // Nothing can be written down, so nobody can mark the machine; it must be released all the
    // same, and only that one.
    run_job(1, JobKind::service, 1, "a");
    run_job(2, JobKind::service, 2, "b");
    cluster.machines[doomed].is_hung = true;
    cancelled(1);
    cluster.run_for(0.5);
    cluster.faults.store_down = true;
    EXPECT_TRUE(cluster.run_until([&] { return gone(doomed); }, left()));
    cluster.run_for(cluster.settings.cancel_deadline_s);
    EXPECT_EQ(cluster.running_tasks(job_uid(2)), 2);
    EXPECT_FALSE(gone("vm-50000b"));
    EXPECT_FALSE(gone("vm-50000c"));
    cluster.faults.store_down = false;
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); },
                                  60));  // proved by the second release
}

TEST_F(CancellationDeadlineTest, ItsReleaseIsNotConfirmedAndThenTheStateServiceIsOut) {
    run_job(1, JobKind::service, 1, "a");
    cluster.machines[doomed].is_hung = true;
    cluster.faults.cloud_down = true;
    cancelled(1);
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/x/").empty(); },
                                  0.8 * cluster.settings.cancel_deadline_s));
    cluster.faults.store_down = true;
    cluster.run_for(2);
    cluster.faults.cloud_down = false;
    EXPECT_TRUE(cluster.run_until([&] { return gone(doomed); }, left()));
}

TEST_F(CancellationDeadlineTest, TheOwnerOfAMachineThatHangsEndsAtAnyMoment) {
    int n = 0;
    for (double after_s : {-1.0, 0.2, 5.0, 17.0, 18.0, 22.0}) {
        run_job(++n, JobKind::service, 1, "a");
        auto machine = cluster.machines_running(job_uid(n)).front();
        int owner = owner_of(machine);
        ASSERT_GE(owner, 0);
        cluster.machines[machine].is_hung = true;
        int other = (owner + 1) % 3;
        if (after_s < 0) {
            cluster.kill(owner);
        }
        cancelled(n, other);
        cluster.run_for(std::max(0.0, after_s));
        cluster.kill(owner);
        cluster.run_for(0.3);
        cluster.start(owner);
        EXPECT_TRUE(cluster.run_until([&] { return gone(machine); }, left())) << after_s;
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.is_finished(job_uid(n)) && cluster.all_members(3); }, 60));
    }
}

TEST_F(CancellationDeadlineTest, JobsAreCancelledWhileTheWorkOfOneControllerChangesHands) {
    int n = 0;
    for (double after_s : {0.0, 0.5, 1.5, 2.8, 3.2, 4.0, 6.0}) {
        run_job(++n, JobKind::service, 3);
        cluster.kill(n % 3);
        cluster.run_for(after_s);
        cancelled(n, (n + 1) % 3);
        cluster.run_for(1);
        cluster.start(n % 3);
        EXPECT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(job_uid(n)) == 0; }, left()));
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.is_finished(job_uid(n)) && cluster.all_members(3); }, 60));
        cluster.run_for(1);
    }
}

TEST_F(CancellationDeadlineTest, NothingIsStartedByWhoMayNotKnowOfIt) {
    // Claimed by another, and its owner was cut from the state service and its peers before the
    // machine reported: it answers its workers for a while yet, but starts nothing.
    auto gang = cluster.make_job(1, JobKind::gang, 3);
    gang.task_resources = {60, 8, 400};
    cluster.machines[doomed].loses_heartbeats = true;
    cluster.machines[doomed].only_node = 0;
    ASSERT_EQ(cluster.submit_and_wait(1, gang).status, 201);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.store.find("c/b/" + job_uid(1) + "/0") != nullptr; }, 10));
    cluster.run_for(0.2);
    cluster.faults.nodes_refused_by_store = {0};
    cluster.faults.cut_peer_links = {{0, 1}, {0, 2}};
    cancelled(1);
    cluster.run_for(3);
    int started = 0;
    cluster.workers.on_command = [&](const std::string&, const Command& c) {
        started += c.kind == Command::Kind::start ? 1 : 0;
    };
    cluster.machines[doomed].loses_heartbeats = false;
    cluster.machines[doomed].target_node = 0;
    cluster.run_for(10);
    EXPECT_EQ(started, 0);
    cluster.run_for(cluster.settings.cancel_deadline_s);
}

TEST_F(CancellationDeadlineTest, ItsMachineReachesNobodyButIsReached) {
    // Workers can't open connections to any controller, while direct commands still arrive.
    run_job(1, JobKind::service, 2, "a");
    run_job(2, JobKind::service, 1, "b");
    for (auto& [name, m] : cluster.machines) {
        m.loses_heartbeats = true;
    }
    cluster.run_for(4);
    cancelled(1);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; },
                                  3));  // killed directly
    cluster.run_for(cluster.settings.lease_s +
                    20);  // its lease is over: the other task has to start anew
    for (auto& [name, m] : cluster.machines) {
        m.loses_heartbeats = false;
    }
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(2)) == 1; }, 60));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 60));
}

// Both teams are at their limits, on machines of all zones.
struct QuotaCancellationTest : CancellationDeadlineTest {
    void SetUp() override {
        cluster.workers.task_run_s = 1000;
        cluster.tunables.idle_release_s = 1000;
        cluster.settings.teams = {{"red", {0, 8, 0}, {0, 8, 0}}, {"blue", {0, 8, 0}, {0, 16, 0}}};
        for (const char* zone : {"a", "b", "c"}) {
            cluster.add_machine(std::string("vm-50000") + zone, zone);
        }
        start_cluster(3);
        fill(1, "red", 2);
        fill(2, "blue", 4);
    }
    void fill(int n, const char* team, int tasks) {
        auto s = cluster.make_job(n, JobKind::service, tasks);
        s.task_resources = {30, 4, 200};
        s.team = team;
        ASSERT_EQ(cluster.submit_and_wait(1, s).status, 201);
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(job_uid(n)) == tasks; }, 60));
    }
    void submit_next(int n, const char* team, int tasks) {
        auto s = cluster.make_job(n, JobKind::service, tasks);
        s.task_resources = {30, 4, 200};
        s.team = team;
        cluster.submit(1, s);
    }
    // Cancels all that runs while some machines can't be asked and the leader changes; what waits
    // for the limits starts only as they are given back.
    void changes(const std::function<void(FakeWorker&)>& trouble) {
        submit_next(3, "red", 2);
        submit_next(4, "blue", 4);
        cluster.run_for(3);
        trouble(cluster.machines["vm-50000a"]);
        trouble(cluster.machines["vm-50000b"]);
        cancelled(1);
        cancelled(2);
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

TEST_F(QuotaCancellationTest, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsHang) {
    changes([](FakeWorker& m) { m.is_hung = true; });
}

TEST_F(QuotaCancellationTest, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsAreCutOff) {
    changes([](FakeWorker& m) { m.is_unreachable = true; });
}

TEST_F(QuotaCancellationTest, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsDoNotHear) {
    changes([](FakeWorker& m) { m.loses_replies = true; });
}

TEST_F(CancellationDeadlineTest, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
    cluster.workers.task_run_s = 6;
    cluster.run_for(1);
    constexpr int jobs = 240;
    for (int n = 1; n <= jobs; ++n) {
        auto s = cluster.make_job(n);
        s.task_resources = {1, 0.1, 1};
        cluster.submit(n % 3, s);
        if (n % 4 == 0) {
            cluster.cancel((n + 1) % 3, job_uid(n - n % 8));
        }
        if (n == 80 || n == 160) {
            cluster.kill(n / 80 % 3);
        }
        if (n == 90 || n == 170) {
            cluster.start(n / 80 % 3);
        }
        cluster.run_for(0.25);
    }
    cluster.run_for(20);
    for (int n = 1; n <= jobs; ++n) {
        EXPECT_TRUE(!cluster.is_accepted(job_uid(n)) || cluster.is_finished(job_uid(n)))
            << job_uid(n);
    }
}

}  // namespace
}  // namespace cranemoor::test

// Cancellations: from the moment at which its user is told, no task of the job starts, and within
// cancel_s all of them are gone, whatever else goes wrong. The test world checks both after every
// step, except for a machine that hangs: whether that one was released is asked here.
#include <algorithm>

#include "story.hpp"

namespace cranemoor::test {
namespace {

struct Cancellation : Meeting {
    void cancelled(int n, int node = 1) {
        ASSERT_EQ(w.answer(w.cancel(node, uid(n))).state, "cancelled");
        told = w.now;
    }
    double left() const { return told + w.settings.cancel_s - w.now; }
    bool gone(const std::string& machine) { return w.machines[machine].deleted; }
    double told = 0;
    std::string doomed = "vm-50000a";
};

TEST_F(Cancellation, AMachineHangsThroughAnOutageThatIsLongerThanACancellationMayTake) {
    // Nothing can be written down, so nobody can mark the machine; it must be released all the
    // same, and only that one.
    run_job(1, JobKind::service, 1, "a");
    run_job(2, JobKind::service, 2, "b");
    w.machines[doomed].hangs = true;
    cancelled(1);
    w.run(0.5);
    w.state_down = true;
    EXPECT_TRUE(w.until([&] { return gone(doomed); }, left()));
    w.run(w.settings.cancel_s);
    EXPECT_EQ(w.running(uid(2)), 2);
    EXPECT_FALSE(gone("vm-50000b"));
    EXPECT_FALSE(gone("vm-50000c"));
    w.state_down = false;
    EXPECT_TRUE(w.until([&] { return w.finished(uid(1)); }, 60));  // proved by the second release
}

TEST_F(Cancellation, ItsReleaseIsNotConfirmedAndThenTheStateServiceIsOut) {
    run_job(1, JobKind::service, 1, "a");
    w.machines[doomed].hangs = true;
    w.cloud_down = true;
    cancelled(1);
    ASSERT_TRUE(w.until([&] { return !w.keys("c/x/").empty(); }, 0.8 * w.settings.cancel_s));
    w.state_down = true;
    w.run(2);
    w.cloud_down = false;
    EXPECT_TRUE(w.until([&] { return gone(doomed); }, left()));
}

TEST_F(Cancellation, TheOwnerOfAMachineThatHangsEndsAtAnyMoment) {
    int n = 0;
    for (double after_s : {-1.0, 0.2, 5.0, 17.0, 18.0, 22.0}) {
        run_job(++n, JobKind::service, 1, "a");
        auto machine = w.places(uid(n)).front();
        int owner = holder(machine);
        ASSERT_GE(owner, 0);
        w.machines[machine].hangs = true;
        int other = (owner + 1) % 3;
        if (after_s < 0) {
            w.kill(owner);
        }
        cancelled(n, other);
        w.run(std::max(0.0, after_s));
        w.kill(owner);
        w.run(0.3);
        w.start(owner);
        EXPECT_TRUE(w.until([&] { return gone(machine); }, left())) << after_s;
        ASSERT_TRUE(w.until([&] { return w.finished(uid(n)) && w.all_members(3); }, 60));
    }
}

TEST_F(Cancellation, JobsAreCancelledWhileTheWorkOfOneControllerChangesHands) {
    int n = 0;
    for (double after_s : {0.0, 0.5, 1.5, 2.8, 3.2, 4.0, 6.0}) {
        run_job(++n, JobKind::service, 3);
        w.kill(n % 3);
        w.run(after_s);
        cancelled(n, (n + 1) % 3);
        w.run(1);
        w.start(n % 3);
        EXPECT_TRUE(w.until([&] { return w.running(uid(n)) == 0; }, left()));
        ASSERT_TRUE(w.until([&] { return w.finished(uid(n)) && w.all_members(3); }, 60));
        w.run(1);
    }
}

TEST_F(Cancellation, NothingIsStartedByWhoMayNotKnowOfIt) {
    // Claimed by another, and its owner was cut from the state service and its peers before the
    // machine reported: it answers its workers for a while yet, but starts nothing.
    auto gang = w.job(1, JobKind::gang, 3);
    gang.each = {60, 8, 400};
    w.machines[doomed].mute = true;
    w.machines[doomed].only = 0;
    ASSERT_EQ(w.submit_and_wait(1, gang).status, 201);
    ASSERT_TRUE(w.until([&] { return w.stored("c/b/" + uid(1) + "/0") != nullptr; }, 10));
    w.run(0.2);
    w.state_refused = {0};
    w.peers_cut = {{0, 1}, {0, 2}};
    cancelled(1);
    w.run(3);
    int started = 0;
    w.on_command = [&](const std::string&, const Command& c) {
        started += c.kind == Command::Kind::start ? 1 : 0;
    };
    w.machines[doomed].mute = false;
    w.machines[doomed].target = 0;
    w.run(10);
    EXPECT_EQ(started, 0);
    w.run(w.settings.cancel_s);
}

TEST_F(Cancellation, ItsMachineReachesNobodyButIsReached) {
    // Workers can't open connections to any controller, while direct commands still arrive.
    run_job(1, JobKind::service, 2, "a");
    run_job(2, JobKind::service, 1, "b");
    for (auto& [name, m] : w.machines) {
        m.mute = true;
    }
    w.run(4);
    cancelled(1);
    EXPECT_TRUE(w.until([&] { return w.running(uid(1)) == 0; }, 3));  // killed directly
    w.run(w.settings.lease_s + 20);  // its lease is over: the other task has to start anew
    for (auto& [name, m] : w.machines) {
        m.mute = false;
    }
    EXPECT_TRUE(w.until([&] { return w.running(uid(2)) == 1; }, 60));
    EXPECT_TRUE(w.until([&] { return w.finished(uid(1)); }, 60));
}

// Both teams are at their limits, on machines of all zones.
struct Limits : Cancellation {
    void SetUp() override {
        w.run_s = 1000;
        w.tunables.idle_return_s = 1000;
        w.settings.teams = {{"red", {0, 8, 0}, {0, 8, 0}}, {"blue", {0, 8, 0}, {0, 16, 0}}};
        for (const char* zone : {"a", "b", "c"}) {
            w.add_machine(std::string("vm-50000") + zone, zone);
        }
        begin(3);
        fill(1, "red", 2);
        fill(2, "blue", 4);
    }
    void fill(int n, const char* team, int tasks) {
        auto s = w.job(n, JobKind::service, tasks);
        s.each = {30, 4, 200};
        s.team = team;
        ASSERT_EQ(w.submit_and_wait(1, s).status, 201);
        ASSERT_TRUE(w.until([&] { return w.running(uid(n)) == tasks; }, 60));
    }
    void submit_next(int n, const char* team, int tasks) {
        auto s = w.job(n, JobKind::service, tasks);
        s.each = {30, 4, 200};
        s.team = team;
        w.submit(1, s);
    }
    // Cancels all that runs while some machines can't be asked and the leader changes; what waits
    // for the limits starts only as they are given back.
    void changes(const std::function<void(FakeMachine&)>& trouble) {
        submit_next(3, "red", 2);
        submit_next(4, "blue", 4);
        w.run(3);
        trouble(w.machines["vm-50000a"]);
        trouble(w.machines["vm-50000b"]);
        cancelled(1);
        cancelled(2);
        w.kill(0);
        w.run(2);
        w.start(0);
        EXPECT_TRUE(w.until([&] { return w.running(uid(3)) == 2 && w.running(uid(4)) == 4; }, 120));
    }
};

TEST_F(Limits, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsHang) {
    changes([](FakeMachine& m) { m.hangs = true; });
}

TEST_F(Limits, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsAreCutOff) {
    changes([](FakeMachine& m) { m.zone_cut = true; });
}

TEST_F(Limits, EveryTeamIsAtItsLimitAndTheMachinesOfCancelledJobsDoNotHear) {
    changes([](FakeMachine& m) { m.deaf = true; });
}

TEST_F(Cancellation, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
    w.run_s = 6;
    w.run(1);
    constexpr int jobs = 240;
    for (int n = 1; n <= jobs; ++n) {
        auto s = w.job(n);
        s.each = {1, 0.1, 1};
        w.submit(n % 3, s);
        if (n % 4 == 0) {
            w.cancel((n + 1) % 3, uid(n - n % 8));
        }
        if (n == 80 || n == 160) {
            w.kill(n / 80 % 3);
        }
        if (n == 90 || n == 170) {
            w.start(n / 80 % 3);
        }
        w.run(0.25);
    }
    w.run(20);
    for (int n = 1; n <= jobs; ++n) {
        EXPECT_TRUE(!w.accepted(uid(n)) || w.finished(uid(n))) << uid(n);
    }
}

}  // namespace
}  // namespace cranemoor::test

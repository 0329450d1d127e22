// Meetings round a change of leader: who owns machines and who acts for whom changes while reports
// are old, writes lag, machines come and go, or there is more work than room. Every rule is checked
// after every step; at the end nobody is left waiting while there is room.
#include <algorithm>

#include "story.hpp"

namespace cranemoor::test {
namespace {

struct Leaders : Meeting {
    int leader() {
        for (int i = 0; i < 3; ++i) {
            if (w.alive(i) && w.node(i).context().member) {
                const auto& epoch = w.node(i).context().jobs.epoch();
                return epoch->members.front().name.back() - '0';
            }
        }
        return 0;
    }
    void back() {
        for (int i = 0; i < 3; ++i) {
            if (!w.alive(i)) {
                w.start(i);
            }
        }
        ASSERT_TRUE(w.until([&] { return w.all_members(3); }, 30));
    }
    // Submits a job whose tasks take a share of a machine's eight parts; users try again.
    void submit(int n, JobKind kind, int tasks, double parts, const char* zone = nullptr) {
        auto s = w.job(n, kind, tasks);
        s.each = {7 * parts, parts, 50 * parts};
        if (zone != nullptr) {
            s.zone = zone;
        }
        for (int tries = 0; tries < 30 && !w.accepted(s.uid); ++tries) {
            int node = (n + tries) % 3;
            if (w.alive(node)) {
                w.answer(w.submit(node, s));
            }
            w.run(w.accepted(s.uid) ? 0 : 1);
        }
        ASSERT_TRUE(w.accepted(s.uid));
        jobs.push_back(s.uid);
    }
    // 90 s after the troubles nobody waits for whom there is room; here there is for everybody.
    void nobody_waits() {
        for (const auto& uid : jobs) {
            EXPECT_TRUE(w.until(
                [&] { return w.finished(uid) || (w.is_service(uid) && w.running(uid) > 0); },
                90 + w.run_s))
                << uid;
            EXPECT_EQ(w.poll_and_wait(1, uid).status, 200) << uid;
        }
    }
    std::vector<std::string> jobs;
};

TEST_F(Leaders, MachinesUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds) {
    w.run_s = 15;
    w.boot_s = 1.5;
    w.list_lag_s = 8;  // running and at work before anybody lists them
    w.late_txn = 0.25;
    for (int n = 1; n <= 12; ++n) {
        submit(n, n % 3 == 0 ? JobKind::gang : JobKind::array, 2, 6);
        if (n % 4 == 0) {
            w.kill(leader());
            w.run(1);
        }
        back();
    }
    w.late_txn = 0;
    nobody_waits();
}

TEST_F(Leaders, OldReportsReachEveryControllerJustAsANewLeaderBegins) {
    w.run_s = 8;
    w.keep_report = 0.5;
    for (int n = 1; n <= 12; ++n) {
        submit(n, JobKind::array, 3, 2);
        w.run(3);
        int old = leader();
        w.kill(old);
        ASSERT_TRUE(w.until([&] { return leader() != old; }, 15));
        w.deliver_kept();  // of before, of jobs that were over then or have restarted since
        w.run(0.5);
        w.deliver_kept();
        back();
    }
    w.keep_report = 0;
    nobody_waits();
}

TEST_F(Leaders, EveryControllerIsAwayForLongerThanALease) {
    w.run_s = 40;
    submit(1, JobKind::service, 3, 4);
    submit(2, JobKind::array, 4, 2);
    submit(3, JobKind::gang, 2, 2);
    w.run(10);
    w.cancel(0, uid(3));
    w.run(0.05);
    for (int i = 0; i < 3; ++i) {
        w.kill(i);
    }
    w.run(w.settings.lease_s + 8);
    EXPECT_EQ(w.running(uid(1)), 0);  // every lease is over
    w.start(2);
    w.run(5);
    back();
    nobody_waits();
    EXPECT_TRUE(w.until([&] { return w.running(uid(1)) == 3; }, 60));
}

TEST_F(Leaders, TheLeaderChangesTenTimesInTwoMinutesAlsoInsideAnOutage) {
    w.run_s = 30;
    submit(1, JobKind::service, 3, 2);
    for (int change = 0; change < 10; ++change) {
        submit(10 + change, change % 2 == 0 ? JobKind::array : JobKind::gang, 2, 2);
        w.state_down = change == 4 || change == 5;
        w.kill(leader());
        w.run(1 + change % 3);
        for (int i = 0; i < 3; ++i) {
            if (!w.alive(i)) {
                w.start(i);
            }
        }
        w.run(9);
        w.state_down = false;
        if (change % 3 == 0) {
            w.cancel((change + 1) % 3, uid(10 + change));
        }
    }
    back();
    nobody_waits();
    EXPECT_TRUE(w.until([&] { return w.running(uid(1)) == 3; }, 60));
}

TEST_F(Leaders, JobsBoundToOneZoneLoseMachines) {
    w.run_s = 25;
    submit(1, JobKind::array, 6, 4, "a");
    submit(2, JobKind::gang, 2, 4, "a");
    submit(3, JobKind::service, 2, 2, "b");
    for (int turn = 0; turn < 3; ++turn) {
        w.run(12);
        int lost = 0;
        for (auto& [name, m] : w.machines) {
            if (!m.deleted && m.info.zone != "c" && lost++ == turn) {
                m.deleted = true;  // without notice
                m.tasks.clear();
            }
        }
        w.kill(turn);
        w.run(4);
        back();
    }
    nobody_waits();
    EXPECT_TRUE(w.until([&] { return w.running(uid(3)) == 2; }, 60));
}

TEST_F(Leaders, AZoneWithItsControllerIsCutOffForLongerThanALease) {
    w.run_s = 60;
    submit(1, JobKind::service, 3, 3, "c");
    submit(2, JobKind::array, 4, 3);
    w.run(10);
    // Inside, workers and their controller go on; nothing else reaches them.
    w.state_refused = {2};
    w.peers_cut = {{0, 2}, {1, 2}};
    for (auto& [name, m] : w.machines) {
        m.only = m.info.zone == "c" ? 2 : -1;
    }
    w.run(6);
    ASSERT_EQ(w.answer(w.cancel(0, uid(1))).state, "cancelled");
    w.run(1.5 * w.settings.lease_s);
    EXPECT_EQ(w.running(uid(1)), 0);
    w.state_refused.clear();
    w.peers_cut.clear();
    for (auto& [name, m] : w.machines) {
        m.only = -1;
    }
    back();
    nobody_waits();
}

TEST_F(Leaders, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
    w.run_s = 10;
    std::vector<JobSpec> specs;
    w.capacity = 5;
    w.slow = 0.15;
    w.close_looks = true;
    for (int n = 1; n <= 24; ++n) {
        auto s = w.job(n, n % 4 == 0 ? JobKind::gang : JobKind::array, 1 + n % 3);
        s.each = {21, 3, 150};
        s.priority = std::array{Priority::best_effort, Priority::normal, Priority::high,
                                Priority::production}[static_cast<std::size_t>(n % 4)];
        s.image = "img-0" + std::to_string(n % 3);
        w.submit(n % 3, s);
        specs.push_back(s);
        if (n % 5 == 0) {
            w.cancel((n + 1) % 3, uid(n - 1));
        }
        if (n == 12) {
            w.kill(leader());
        }
        w.run(1.5);
        if (n == 16) {
            back();
        }
    }
    w.slow = 0;
    w.close_looks = false;
    w.run(5);
    for (const auto& spec : specs) {  // as users do who had no answer
        auto again = w.submit_and_wait(0, spec);
        EXPECT_TRUE(again.status == 200 || again.status == 201);
        jobs.push_back(spec.uid);
    }
    nobody_waits();
}

}  // namespace
}  // namespace cranemoor::test

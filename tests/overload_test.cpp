// Overload and quick restarts: what several members do when writes, room or members themselves run
// short for a while.
#include "story.hpp"

namespace cranemoor::test {
namespace {

std::string uid(int number) {
    return fmt::format("req-{:06}", number);
}

// Whether it holds of all jobs from 1 to n.
template <typename Holds>
bool all_jobs(int n, Holds holds) {
    for (int i = 1; i <= n; ++i) {
        if (!holds(uid(i))) {
            return false;
        }
    }
    return true;
}

bool all_finished(World& w, int n) {
    return all_jobs(n, [&](const auto& job) { return w.finished(job); });
}

std::uint64_t epoch_of(World& w) {
    return w.stored("c/epoch")->at("number").get<std::uint64_t>();
}

TEST_F(Story, AClassOfLowerPriorityIsNotLeftWithoutRoom) {
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.add_machine("vm-500001", "a");
    auto urgent = w.job(1, JobKind::array, 100);
    urgent.priority = Priority::high;
    urgent.job_class = "urgent";
    auto sweep = w.job(2, JobKind::array, 100);
    sweep.job_class = "sweep";
    w.submit_and_wait(0, urgent);
    w.run(1);
    w.submit_and_wait(0, sweep);
    w.run(constants::floor_after_s);
    EXPECT_EQ(w.running(uid(2)), 0);  // the ordinary order
    EXPECT_TRUE(w.until([&] { return w.running(uid(2)) >= 2; }, 45));
    EXPECT_GE(w.running(uid(1)), 8);  // and the urgent class still has more than the other
}

TEST_F(Story, AGangBelowItsFloorWaitsForWhatRunsOut) {
    begin();
    w.capacity = 0;
    w.run_s = 40;
    w.add_machine("vm-500000", "a");
    w.add_machine("vm-500001", "a");
    int number = 0;
    auto sweep = [&] {
        auto spec = w.job(++number);
        spec.job_class = "sweep";
        w.submit(0, spec);
    };
    // Small tasks that end one after the other, with more waiting than there is room for.
    for (int i = 0; i < 20; ++i) {
        sweep();
        w.run(2.5);
    }
    for (int i = 0; i < 100; ++i) {
        sweep();
    }
    auto gang = w.job(1000, JobKind::gang, 2);
    gang.each = {32, 8, 64};
    gang.job_class = "gang";
    w.submit(0, gang);
    w.run(constants::floor_after_s);
    EXPECT_EQ(w.running(uid(1000)), 0);  // 20 s at a time are too few
    EXPECT_TRUE(w.until([&] { return w.running(uid(1000)) == 2; }, w.run_s + 20));
}

TEST_F(Three, WhileWritesAreShortClaimsOfManyJobsShareARecord) {
    begin(3);
    w.run_s = 30;
    w.run(2);
    w.set_table(true, {1, 1, 1});
    for (int n = 1; n <= 40; ++n) {
        w.submit(n % 3, w.job(n, JobKind::array, 2));
    }
    ASSERT_TRUE(w.until(
        [&] { return all_jobs(40, [&](const auto& job) { return w.running(job) == 2; }); }, 60));
    EXPECT_GT(w.writes["c/s"], 0);
    EXPECT_LT(w.writes["c/s"] + w.writes["c/b"], 40);
    EXPECT_TRUE(w.until([&] { return all_finished(w, 40); }, 90));
}

TEST_F(Three, WhatSheetsSayOutlivesTheMembersThatSaidIt) {
    begin(3);
    w.run_s = 40;
    w.set_table(true, {1, 2, 3});
    for (int n = 1; n <= 20; ++n) {
        w.submit(n % 3, w.job(n, JobKind::array, 3));
    }
    int started = 0;
    w.until(
        [&] {
            started = 0;
            for (int n = 1; n <= 20; ++n) {
                started += w.running(uid(n));
            }
            return started > 20;
        },
        40);
    ASSERT_GT(started, 20);
    for (int i = 0; i < 3; ++i) {
        w.kill(i);
    }
    w.run(1);
    for (int i = 0; i < 3; ++i) {
        w.start(i);
    }
    EXPECT_TRUE(w.until([&] { return all_finished(w, 20); }, 150));
}

TEST_F(Three, ATableThatTurnsOverAndOverMakesNobodyClaimTwice) {
    begin(3);
    for (int n = 1; n <= 30; ++n) {
        w.submit(n % 3, w.job(n, JobKind::array, 4));
        w.set_table(n % 2 == 0, {1 + n % 3, 1 + n % 5, 1 + n % 7});
        w.run(0.3);
    }
    EXPECT_TRUE(w.until([&] { return all_finished(w, 30); },
                        200));  // the rules are checked by the world
}

struct Nine : Story {
    Nine() : Story(9) {}
};

TEST_F(Nine, AnEndEverySecondCostsFewEpochsAndNoLease) {
    begin(9);
    w.run_s = 200;
    for (int n = 1; n <= 12; ++n) {
        w.submit(n % 9, w.job(n, JobKind::array, 4));
    }
    ASSERT_TRUE(w.until(
        [&] { return all_jobs(12, [&](const auto& job) { return w.running(job) == 4; }); }, 90));
    auto before = epoch_of(w);
    constexpr int ends = 30;
    for (int k = 0; k < ends; ++k) {
        w.kill(k % 9);
        w.run(0.2);
        w.start(k % 9);
        w.run(0.8);
    }
    ASSERT_TRUE(w.until([&] { return w.all_members(9); }, 10));
    // One that takes the old one out and its new one in; others may share it.
    EXPECT_LE(epoch_of(w) - before, 2U * ends);
    for (const auto& [name, m] : w.machines) {
        EXPECT_TRUE(m.deleted || m.session == 1) << name;
    }
    w.run(10);
    for (int n = 1; n <= 12; ++n) {
        EXPECT_EQ(w.running(uid(n)), 4);
    }
}

TEST_F(Three, TheBusiestEndsEverySecondAndUsersAreStillServed) {
    begin(3);
    int accepted = 0;
    for (int k = 0; k < 30; ++k) {
        w.kill(0);
        w.run(0.3);
        w.start(0);
        auto reply = w.submit_and_wait(1 + k % 2, w.job(k + 1, JobKind::array));
        accepted += reply.status == 201 ? 1 : 0;
        w.run(0.7);
    }
    EXPECT_EQ(accepted, 30);
    EXPECT_TRUE(w.until([&] { return w.all_members(3); }, 10));
    EXPECT_TRUE(w.until([&] { return all_finished(w, 30); }, 120));
}

}  // namespace
}  // namespace cranemoor::test

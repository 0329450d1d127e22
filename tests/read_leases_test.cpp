// Read leases between controllers: pure, so each test is a few calls.
#include "read_leases/read_leases.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

constexpr Timing times{15, 0.1, 3};
constexpr double never = -1e9;

// Two controllers and the heartbeats between them; `a` relies on leases, `b` grants them.
struct ReadLeaseTest : ::testing::Test {
    ReadLeases a{{"b"}, "a1", 0, times};
    ReadLeases b{{"a"}, "b1", 0, times};
    SenderState knows_all{false, SenderState::Knowledge::complete};
    SenderState knows_nothing{false, SenderState::Knowledge::none};
    SenderState in_contact{true, SenderState::Knowledge::complete};

    static Heartbeat from(ReadLeases& who, const char* to, double now, const SenderState& self) {
        who.begin_round(now);
        return who.make_heartbeat(to, now, self);
    }
    // A heartbeat from a to b and one back.
    void exchange(double now, const SenderState& of_b, double copy_time = never) {
        b.on_heartbeat("a", from(a, "b", now, in_contact), now, never);
        a.on_heartbeat("b", from(b, "a", now, of_b), now, copy_time);
    }
};

TEST_F(ReadLeaseTest, ALeaseCountsFromWhenItWasAskedForAndThePromiseFromWhenItWasGranted) {
    a.set_relies_on_leases(true);
    b.on_heartbeat("a", from(a, "b", 20, knows_all), 22, never);
    auto granted = from(b, "a", 24, knows_all);
    EXPECT_EQ(granted.grant, Grant::full);
    a.on_heartbeat("b", granted, 30, never);  // however late it arrives
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), 20 + 15 - 0.1);
    EXPECT_TRUE(b.has_active_promise(38.9));
    EXPECT_FALSE(b.has_active_promise(39.1));
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(50), 50);  // what was read since counts as well
}

TEST_F(ReadLeaseTest, WhoHasContactGrantsNothing) {
    a.set_relies_on_leases(true);
    exchange(20, in_contact);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), never);
    EXPECT_FALSE(b.has_active_promise(20));
}

TEST_F(ReadLeaseTest, WhoNeedsNoLeaseGivesItBackAndTakesNoLateOne) {
    a.set_relies_on_leases(true);
    exchange(20, knows_all);
    b.on_heartbeat("a", from(a, "b", 21, knows_all), 21, never);
    auto late = from(b, "a", 21, knows_all);
    a.set_relies_on_leases(false);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), never);
    b.on_heartbeat("a", from(a, "b", 22, in_contact), 22, never);
    EXPECT_FALSE(b.has_active_promise(22));
    a.set_relies_on_leases(true);
    a.on_heartbeat("b", late, 22.1, never);  // of before it was given back
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), never);
}

TEST_F(ReadLeaseTest, AProcessThatStartsKeepsThePromisesOfTheOneBefore) {
    ReadLeases again({"a"}, "b2", 100, times);
    EXPECT_TRUE(again.has_active_promise(114.9));
    EXPECT_FALSE(again.has_active_promise(115.1));
    // A heartbeat that doesn't name this process was written before, perhaps.
    b.begin_round(100);
    a.on_heartbeat("b", b.make_heartbeat("a", 100, in_contact), 100, never);
    again.on_heartbeat("a", from(a, "b", 100, in_contact), 100, never);
    EXPECT_TRUE(again.has_active_promise(101));
    again.begin_round(101);
    a.on_heartbeat("b", again.make_heartbeat("a", 101, in_contact), 101, never);
    again.on_heartbeat("a", from(a, "b", 101, in_contact), 101, never);
    EXPECT_FALSE(again.has_active_promise(101));
}

TEST_F(ReadLeaseTest, AControllerOfAVersionBeforeHoldsNoLeases) {
    EXPECT_TRUE(b.has_active_promise(1));
    b.on_heartbeat_without_leases("a");
    EXPECT_FALSE(b.has_active_promise(1));
}

TEST_F(ReadLeaseTest, ABlankLeaseGoesOnFromOneThatHoldsAndBeginsNone) {
    // The process before it may have told something just before its end.
    a.set_relies_on_leases(true);
    exchange(20, knows_nothing);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), never);
    exchange(21, knows_all);
    double first = a.cancellations_known_until_s(never);
    ReadLeases again({"a"}, "b2", 25, times);
    auto relay = [&](double now) {
        again.begin_round(now);
        a.on_heartbeat("b", again.make_heartbeat("a", now, knows_nothing), now, never);
        again.on_heartbeat("a", from(a, "b", now, knows_all), now, never);
        again.begin_round(now);
        a.on_heartbeat("b", again.make_heartbeat("a", now, knows_nothing), now, never);
    };
    relay(26);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), 26 + 14.9);
    EXPECT_GT(a.cancellations_known_until_s(never), first);
    relay(60);  // a gap: whoever ran between may have told anything
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), 26 + 14.9);
}

TEST_F(ReadLeaseTest, ABlankLeaseCountsOfAProcessThatWasThereWhenAllWasRead) {
    a.set_relies_on_leases(true);
    exchange(20, knows_nothing, 19);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(19), 19);  // first heard at 20
    exchange(22, knows_nothing, 21);
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(21), 22 + 14.9);
}

TEST_F(ReadLeaseTest, WhoKnowsOnlySomeGrantsNothing) {
    a.set_relies_on_leases(true);
    exchange(20, SenderState{false, SenderState::Knowledge::partial});
    EXPECT_DOUBLE_EQ(a.cancellations_known_until_s(never), never);
}

TEST_F(ReadLeaseTest, HeartbeatsThatComeLateTwiceOrFromAnEarlierProcessChangeNothing) {
    exchange(0, in_contact);
    auto old = from(a, "b", 1, in_contact);  // wants nothing, and names b1
    a.set_relies_on_leases(true);
    exchange(2, knows_all);
    ASSERT_TRUE(b.has_active_promise(3));
    b.on_heartbeat("a", old, 3, never);
    EXPECT_TRUE(b.has_active_promise(3));
    // The next process of a's name; a heartbeat of the first comes after one of it.
    auto last = from(a, "b", 4, in_contact);
    ReadLeases next({"b"}, "a2", 4, times);
    next.set_relies_on_leases(true);
    b.begin_round(4);
    next.on_heartbeat("b", b.make_heartbeat("a", 4, knows_all), 4, never);
    b.on_heartbeat("a", from(next, "b", 4, knows_all), 4, never);
    b.begin_round(5);
    EXPECT_EQ(b.make_heartbeat("a", 5, knows_all).acknowledged_boot_id, "a2");
    b.on_heartbeat("a", last, 5, never);
    b.begin_round(5);
    EXPECT_EQ(b.make_heartbeat("a", 5, knows_all).acknowledged_boot_id, "a2");
}

TEST_F(ReadLeaseTest, OneOfSeveralThatIsSilentIsEnoughToKnowNothingMore) {
    ReadLeases three({"b", "c"}, "a1", 0, times);
    three.set_relies_on_leases(true);
    b.on_heartbeat("a", from(three, "b", 20, knows_all), 20, never);
    three.on_heartbeat("b", from(b, "a", 20, knows_all), 20, never);
    EXPECT_DOUBLE_EQ(three.cancellations_known_until_s(7), 7);
}

}  // namespace
}  // namespace cranemoor::read_leases

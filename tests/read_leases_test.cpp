// Read leases between controllers: pure, so each test is a few calls.
#include "read_leases/read_leases.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

constexpr Times times{15, 0.1, 3};
constexpr double never = -1e9;

// Two controllers and the heartbeats between them; `a` relies on leases, `b` grants them.
struct ReadLeaseTest : ::testing::Test {
    ReadLeases a{{"b"}, "a1", 0, times};
    ReadLeases b{{"a"}, "b1", 0, times};
    Self knows_all{false, Self::Knows::all};
    Self knows_nothing{false, Self::Knows::nothing};
    Self in_contact{true, Self::Knows::all};

    static Heartbeat from(ReadLeases& who, const char* to, double now, const Self& self) {
        who.begin(now);
        return who.next(to, now, self);
    }
    // A heartbeat from a to b and one back.
    void exchange(double now, const Self& of_b, double copy_time = never) {
        b.hear("a", from(a, "b", now, in_contact), now, never);
        a.hear("b", from(b, "a", now, of_b), now, copy_time);
    }
};

TEST_F(ReadLeaseTest, ALeaseCountsFromWhenItWasAskedForAndThePromiseFromWhenItWasGranted) {
    a.rely(true);
    b.hear("a", from(a, "b", 20, knows_all), 22, never);
    auto granted = from(b, "a", 24, knows_all);
    EXPECT_EQ(granted.grant, Grant::full);
    a.hear("b", granted, 30, never);  // however late it arrives
    EXPECT_DOUBLE_EQ(a.known_until(never), 20 + 15 - 0.1);
    EXPECT_TRUE(b.promised(38.9));
    EXPECT_FALSE(b.promised(39.1));
    EXPECT_DOUBLE_EQ(a.known_until(50), 50);  // what was read since counts as well
}

TEST_F(ReadLeaseTest, WhoHasContactGrantsNothing) {
    a.rely(true);
    exchange(20, in_contact);
    EXPECT_DOUBLE_EQ(a.known_until(never), never);
    EXPECT_FALSE(b.promised(20));
}

TEST_F(ReadLeaseTest, WhoNeedsNoLeaseGivesItBackAndTakesNoLateOne) {
    a.rely(true);
    exchange(20, knows_all);
    b.hear("a", from(a, "b", 21, knows_all), 21, never);
    auto late = from(b, "a", 21, knows_all);
    a.rely(false);
    EXPECT_DOUBLE_EQ(a.known_until(never), never);
    b.hear("a", from(a, "b", 22, in_contact), 22, never);
    EXPECT_FALSE(b.promised(22));
    a.rely(true);
    a.hear("b", late, 22.1, never);  // of before it was given back
    EXPECT_DOUBLE_EQ(a.known_until(never), never);
}

TEST_F(ReadLeaseTest, AProcessThatStartsKeepsThePromisesOfTheOneBefore) {
    ReadLeases again({"a"}, "b2", 100, times);
    EXPECT_TRUE(again.promised(114.9));
    EXPECT_FALSE(again.promised(115.1));
    // A heartbeat that doesn't name this process was written before, perhaps.
    b.begin(100);
    a.hear("b", b.next("a", 100, in_contact), 100, never);
    again.hear("a", from(a, "b", 100, in_contact), 100, never);
    EXPECT_TRUE(again.promised(101));
    again.begin(101);
    a.hear("b", again.next("a", 101, in_contact), 101, never);
    again.hear("a", from(a, "b", 101, in_contact), 101, never);
    EXPECT_FALSE(again.promised(101));
}

TEST_F(ReadLeaseTest, AControllerOfAVersionBeforeHoldsNoLeases) {
    EXPECT_TRUE(b.promised(1));
    b.hear_older("a");
    EXPECT_FALSE(b.promised(1));
}

TEST_F(ReadLeaseTest, ABlankLeaseGoesOnFromOneThatHoldsAndBeginsNone) {
    // The process before it may have told something just before its end.
    a.rely(true);
    exchange(20, knows_nothing);
    EXPECT_DOUBLE_EQ(a.known_until(never), never);
    exchange(21, knows_all);
    double first = a.known_until(never);
    ReadLeases again({"a"}, "b2", 25, times);
    auto relay = [&](double now) {
        again.begin(now);
        a.hear("b", again.next("a", now, knows_nothing), now, never);
        again.hear("a", from(a, "b", now, knows_all), now, never);
        again.begin(now);
        a.hear("b", again.next("a", now, knows_nothing), now, never);
    };
    relay(26);
    EXPECT_DOUBLE_EQ(a.known_until(never), 26 + 14.9);
    EXPECT_GT(a.known_until(never), first);
    relay(60);  // a gap: whoever ran between may have told anything
    EXPECT_DOUBLE_EQ(a.known_until(never), 26 + 14.9);
}

TEST_F(ReadLeaseTest, ABlankLeaseCountsOfAProcessThatWasThereWhenAllWasRead) {
    a.rely(true);
    exchange(20, knows_nothing, 19);
    EXPECT_DOUBLE_EQ(a.known_until(19), 19);  // first heard at 20
    exchange(22, knows_nothing, 21);
    EXPECT_DOUBLE_EQ(a.known_until(21), 22 + 14.9);
}

TEST_F(ReadLeaseTest, WhoKnowsOnlySomeGrantsNothing) {
    a.rely(true);
    exchange(20, Self{false, Self::Knows::some});
    EXPECT_DOUBLE_EQ(a.known_until(never), never);
}

TEST_F(ReadLeaseTest, HeartbeatsThatComeLateTwiceOrFromAnEarlierProcessChangeNothing) {
    exchange(0, in_contact);
    auto old = from(a, "b", 1, in_contact);  // wants nothing, and names b1
    a.rely(true);
    exchange(2, knows_all);
    ASSERT_TRUE(b.promised(3));
    b.hear("a", old, 3, never);
    EXPECT_TRUE(b.promised(3));
    // The next process of a's name; a heartbeat of the first comes after one of it.
    auto last = from(a, "b", 4, in_contact);
    ReadLeases next({"b"}, "a2", 4, times);
    next.rely(true);
    b.begin(4);
    next.hear("b", b.next("a", 4, knows_all), 4, never);
    b.hear("a", from(next, "b", 4, knows_all), 4, never);
    b.begin(5);
    EXPECT_EQ(b.next("a", 5, knows_all).heard_boot, "a2");
    b.hear("a", last, 5, never);
    b.begin(5);
    EXPECT_EQ(b.next("a", 5, knows_all).heard_boot, "a2");
}

TEST_F(ReadLeaseTest, OneOfSeveralThatIsSilentIsEnoughToKnowNothingMore) {
    ReadLeases three({"b", "c"}, "a1", 0, times);
    three.rely(true);
    b.hear("a", from(three, "b", 20, knows_all), 20, never);
    three.hear("b", from(b, "a", 20, knows_all), 20, never);
    EXPECT_DOUBLE_EQ(three.known_until(7), 7);
}

}  // namespace
}  // namespace cranemoor::read_leases

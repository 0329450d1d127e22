// Read leases between controllers, tested without a cluster: the module has no input or output.
#include "read_leases/read_leases.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

constexpr Times times{15, 0.1, 3};
constexpr double never = -1e9;

// Two controllers, named a and b, and the heartbeats between them; `holder` (a) relies on leases,
// `granter` (b) grants them.
struct ReadLeaseTest : ::testing::Test {
    ReadLeases holder{{"b"}, "a1", 0, times};
    ReadLeases granter{{"a"}, "b1", 0, times};
    Self knows_all{false, Self::Knows::all};
    Self knows_nothing{false, Self::Knows::nothing};
    Self in_contact{true, Self::Knows::all};

    static Heartbeat next_heartbeat(ReadLeases& sender, const char* receiver, double now,
                                    const Self& self) {
        sender.begin(now);
        return sender.next(receiver, now, self);
    }
    // A heartbeat from the holder to the granter and one back.
    void exchange(double now, const Self& granter_state, double safe_time = never) {
        granter.hear("a", next_heartbeat(holder, "b", now, in_contact), now, never);
        holder.hear("b", next_heartbeat(granter, "a", now, granter_state), now, safe_time);
    }
};

TEST_F(ReadLeaseTest, LeaseRunsFromItsRequestAndPromiseRunsFromItsGrant) {
    holder.rely(true);
    granter.hear("a", next_heartbeat(holder, "b", 20, knows_all), 22, never);
    auto grant = next_heartbeat(granter, "a", 24, knows_all);
    EXPECT_EQ(grant.grant, Grant::full);
    holder.hear("b", grant, 30, never);  // however late it arrives
    EXPECT_DOUBLE_EQ(holder.known_until(never), 20 + 15 - 0.1);
    EXPECT_TRUE(granter.promised(38.9));
    EXPECT_FALSE(granter.promised(39.1));
    EXPECT_DOUBLE_EQ(holder.known_until(50), 50);  // a later complete read counts as well
}

TEST_F(ReadLeaseTest, ControllerInContactWithTheStoreGrantsNoLease) {
    holder.rely(true);
    exchange(20, in_contact);
    EXPECT_DOUBLE_EQ(holder.known_until(never), never);
    EXPECT_FALSE(granter.promised(20));
}

TEST_F(ReadLeaseTest, UnneededLeaseIsGivenBackAndALateGrantIsIgnored) {
    holder.rely(true);
    exchange(20, knows_all);
    granter.hear("a", next_heartbeat(holder, "b", 21, knows_all), 21, never);
    auto late_grant = next_heartbeat(granter, "a", 21, knows_all);
    holder.rely(false);
    EXPECT_DOUBLE_EQ(holder.known_until(never), never);
    granter.hear("a", next_heartbeat(holder, "b", 22, in_contact), 22, never);
    EXPECT_FALSE(granter.promised(22));
    holder.rely(true);
    holder.hear("b", late_grant, 22.1, never);  // granted before the lease was given back
    EXPECT_DOUBLE_EQ(holder.known_until(never), never);
}

TEST_F(ReadLeaseTest, RestartedProcessKeepsThePromisesOfItsPredecessor) {
    ReadLeases restarted_granter({"a"}, "b2", 100, times);
    EXPECT_TRUE(restarted_granter.promised(114.9));
    EXPECT_FALSE(restarted_granter.promised(115.1));
    // A heartbeat that doesn't name this process may have been written before its start.
    granter.begin(100);
    holder.hear("b", granter.next("a", 100, in_contact), 100, never);
    restarted_granter.hear("a", next_heartbeat(holder, "b", 100, in_contact), 100, never);
    EXPECT_TRUE(restarted_granter.promised(101));
    restarted_granter.begin(101);
    holder.hear("b", restarted_granter.next("a", 101, in_contact), 101, never);
    restarted_granter.hear("a", next_heartbeat(holder, "b", 101, in_contact), 101, never);
    EXPECT_FALSE(restarted_granter.promised(101));
}

TEST_F(ReadLeaseTest, ControllerOfThePreviousVersionHoldsNoLeases) {
    EXPECT_TRUE(granter.promised(1));
    granter.hear_older("a");
    EXPECT_FALSE(granter.promised(1));
}

TEST_F(ReadLeaseTest, BlankLeaseExtendsAValidLeaseButStartsNone) {
    // The granter's previous process may have confirmed a cancellation just before it ended.
    holder.rely(true);
    exchange(20, knows_nothing);
    EXPECT_DOUBLE_EQ(holder.known_until(never), never);
    exchange(21, knows_all);
    double first_lease_end_s = holder.known_until(never);
    ReadLeases restarted_granter({"a"}, "b2", 25, times);
    auto exchange_blank = [&](double now) {
        restarted_granter.begin(now);
        holder.hear("b", restarted_granter.next("a", now, knows_nothing), now, never);
        restarted_granter.hear("a", next_heartbeat(holder, "b", now, knows_all), now, never);
        restarted_granter.begin(now);
        holder.hear("b", restarted_granter.next("a", now, knows_nothing), now, never);
    };
    exchange_blank(26);
    EXPECT_DOUBLE_EQ(holder.known_until(never), 26 + 14.9);
    EXPECT_GT(holder.known_until(never), first_lease_end_s);
    exchange_blank(60);  // a gap: a process in between may have confirmed any cancellation
    EXPECT_DOUBLE_EQ(holder.known_until(never), 26 + 14.9);
}

TEST_F(ReadLeaseTest, BlankLeaseCountsIfItsProcessWasHeardBeforeTheLastCompleteRead) {
    holder.rely(true);
    exchange(20, knows_nothing, 19);
    EXPECT_DOUBLE_EQ(holder.known_until(19), 19);  // first heartbeat received at 20
    exchange(22, knows_nothing, 21);
    EXPECT_DOUBLE_EQ(holder.known_until(21), 22 + 14.9);
}

TEST_F(ReadLeaseTest, ControllerThatKnowsOnlySomeCancellationsGrantsNoLease) {
    holder.rely(true);
    exchange(20, Self{false, Self::Knows::some});
    EXPECT_DOUBLE_EQ(holder.known_until(never), never);
}

TEST_F(ReadLeaseTest, LateDuplicateOrPredecessorsHeartbeatsChangeNothing) {
    exchange(0, in_contact);
    auto old_heartbeat =
        next_heartbeat(holder, "b", 1, in_contact);  // requests no lease, and names process b1
    holder.rely(true);
    exchange(2, knows_all);
    ASSERT_TRUE(granter.promised(3));
    granter.hear("a", old_heartbeat, 3, never);
    EXPECT_TRUE(granter.promised(3));
    // The holder restarts; a heartbeat of the old process arrives after one of the new process.
    auto last_heartbeat = next_heartbeat(holder, "b", 4, in_contact);
    ReadLeases restarted_holder({"b"}, "a2", 4, times);
    restarted_holder.rely(true);
    granter.begin(4);
    restarted_holder.hear("b", granter.next("a", 4, knows_all), 4, never);
    granter.hear("a", next_heartbeat(restarted_holder, "b", 4, knows_all), 4, never);
    granter.begin(5);
    EXPECT_EQ(granter.next("a", 5, knows_all).heard_boot, "a2");
    granter.hear("a", last_heartbeat, 5, never);
    granter.begin(5);
    EXPECT_EQ(granter.next("a", 5, knows_all).heard_boot, "a2");
}

TEST_F(ReadLeaseTest, KnownTimeIsNotExtendedWhileOneOfSeveralPeersIsSilent) {
    ReadLeases holder_of_two({"b", "c"}, "a1", 0, times);
    holder_of_two.rely(true);
    granter.hear("a", next_heartbeat(holder_of_two, "b", 20, knows_all), 20, never);
    holder_of_two.hear("b", next_heartbeat(granter, "a", 20, knows_all), 20, never);
    EXPECT_DOUBLE_EQ(holder_of_two.known_until(7), 7);
}

}  // namespace
}  // namespace cranemoor::read_leases

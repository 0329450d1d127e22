// Read leases between controllers, tested without a cluster: the module has no input or output.
#include "read_leases/read_leases.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

constexpr Timing times{15, 0.1, 3};
constexpr double never = -1e9;

// Two controllers, named a and b, and the heartbeats between them; `holder` (a) relies on leases,
// `granter` (b) grants them.
struct ReadLeaseTest : ::testing::Test {
    ReadLeases holder{{"b"}, "a1", 0, times};
    ReadLeases granter{{"a"}, "b1", 0, times};
    SenderState knows_all{false, SenderState::Knowledge::complete};
    SenderState knows_nothing{false, SenderState::Knowledge::none};
    SenderState in_contact{true, SenderState::Knowledge::complete};

    static Heartbeat next_heartbeat(ReadLeases& sender, const char* receiver, double now,
                                    const SenderState& self) {
        sender.begin_round(now);
        return sender.make_heartbeat(receiver, now, self);
    }
    // A heartbeat from the holder to the granter and one back.
    void exchange(double now, const SenderState& granter_state, double safe_time = never) {
        granter.on_heartbeat("a", next_heartbeat(holder, "b", now, in_contact), now, never);
        holder.on_heartbeat("b", next_heartbeat(granter, "a", now, granter_state), now, safe_time);
    }
};

TEST_F(ReadLeaseTest, LeaseRunsFromItsRequestAndPromiseRunsFromItsGrant) {
    holder.set_relies_on_leases(true);
    granter.on_heartbeat("a", next_heartbeat(holder, "b", 20, knows_all), 22, never);
    auto grant = next_heartbeat(granter, "a", 24, knows_all);
    EXPECT_EQ(grant.grant, Grant::full);
    holder.on_heartbeat("b", grant, 30, never);  // however late it arrives
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), 20 + 15 - 0.1);
    EXPECT_TRUE(granter.has_active_promise(38.9));
    EXPECT_FALSE(granter.has_active_promise(39.1));
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(50),
                     50);  // a later complete read counts as well
}

TEST_F(ReadLeaseTest, ControllerInContactWithTheStoreGrantsNoLease) {
    holder.set_relies_on_leases(true);
    exchange(20, in_contact);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), never);
    EXPECT_FALSE(granter.has_active_promise(20));
}

TEST_F(ReadLeaseTest, UnneededLeaseIsGivenBackAndALateGrantIsIgnored) {
    holder.set_relies_on_leases(true);
    exchange(20, knows_all);
    granter.on_heartbeat("a", next_heartbeat(holder, "b", 21, knows_all), 21, never);
    auto late_grant = next_heartbeat(granter, "a", 21, knows_all);
    holder.set_relies_on_leases(false);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), never);
    granter.on_heartbeat("a", next_heartbeat(holder, "b", 22, in_contact), 22, never);
    EXPECT_FALSE(granter.has_active_promise(22));
    holder.set_relies_on_leases(true);
    holder.on_heartbeat("b", late_grant, 22.1, never);  // granted before the lease was given back
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), never);
}

TEST_F(ReadLeaseTest, RestartedProcessKeepsThePromisesOfItsPredecessor) {
    ReadLeases restarted_granter({"a"}, "b2", 100, times);
    EXPECT_TRUE(restarted_granter.has_active_promise(114.9));
    EXPECT_FALSE(restarted_granter.has_active_promise(115.1));
    // A heartbeat that doesn't name this process may have been written before its start.
    granter.begin_round(100);
    holder.on_heartbeat("b", granter.make_heartbeat("a", 100, in_contact), 100, never);
    restarted_granter.on_heartbeat("a", next_heartbeat(holder, "b", 100, in_contact), 100, never);
    EXPECT_TRUE(restarted_granter.has_active_promise(101));
    restarted_granter.begin_round(101);
    holder.on_heartbeat("b", restarted_granter.make_heartbeat("a", 101, in_contact), 101, never);
    restarted_granter.on_heartbeat("a", next_heartbeat(holder, "b", 101, in_contact), 101, never);
    EXPECT_FALSE(restarted_granter.has_active_promise(101));
}

TEST_F(ReadLeaseTest, ControllerOfThePreviousVersionHoldsNoLeases) {
    EXPECT_TRUE(granter.has_active_promise(1));
    granter.on_heartbeat_without_leases("a");
    EXPECT_FALSE(granter.has_active_promise(1));
}

TEST_F(ReadLeaseTest, BlankLeaseExtendsAValidLeaseButStartsNone) {
    // The granter's previous process may have confirmed a cancellation just before it ended.
    holder.set_relies_on_leases(true);
    exchange(20, knows_nothing);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), never);
    exchange(21, knows_all);
    double first_lease_end_s = holder.cancellations_known_until_s(never);
    ReadLeases restarted_granter({"a"}, "b2", 25, times);
    auto exchange_blank = [&](double now) {
        restarted_granter.begin_round(now);
        holder.on_heartbeat("b", restarted_granter.make_heartbeat("a", now, knows_nothing), now,
                            never);
        restarted_granter.on_heartbeat("a", next_heartbeat(holder, "b", now, knows_all), now,
                                       never);
        restarted_granter.begin_round(now);
        holder.on_heartbeat("b", restarted_granter.make_heartbeat("a", now, knows_nothing), now,
                            never);
    };
    exchange_blank(26);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), 26 + 14.9);
    EXPECT_GT(holder.cancellations_known_until_s(never), first_lease_end_s);
    exchange_blank(60);  // a gap: a process in between may have confirmed any cancellation
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), 26 + 14.9);
}

TEST_F(ReadLeaseTest, BlankLeaseCountsIfItsProcessWasHeardBeforeTheLastCompleteRead) {
    holder.set_relies_on_leases(true);
    exchange(20, knows_nothing, 19);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(19), 19);  // first heartbeat received at 20
    exchange(22, knows_nothing, 21);
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(21), 22 + 14.9);
}

TEST_F(ReadLeaseTest, ControllerThatKnowsOnlySomeCancellationsGrantsNoLease) {
    holder.set_relies_on_leases(true);
    exchange(20, SenderState{false, SenderState::Knowledge::partial});
    EXPECT_DOUBLE_EQ(holder.cancellations_known_until_s(never), never);
}

TEST_F(ReadLeaseTest, LateDuplicateOrPredecessorsHeartbeatsChangeNothing) {
    exchange(0, in_contact);
    auto old_heartbeat =
        next_heartbeat(holder, "b", 1, in_contact);  // requests no lease, and names process b1
    holder.set_relies_on_leases(true);
    exchange(2, knows_all);
    ASSERT_TRUE(granter.has_active_promise(3));
    granter.on_heartbeat("a", old_heartbeat, 3, never);
    EXPECT_TRUE(granter.has_active_promise(3));
    // The holder restarts; a heartbeat of the old process arrives after one of the new process.
    auto last_heartbeat = next_heartbeat(holder, "b", 4, in_contact);
    ReadLeases restarted_holder({"b"}, "a2", 4, times);
    restarted_holder.set_relies_on_leases(true);
    granter.begin_round(4);
    restarted_holder.on_heartbeat("b", granter.make_heartbeat("a", 4, knows_all), 4, never);
    granter.on_heartbeat("a", next_heartbeat(restarted_holder, "b", 4, knows_all), 4, never);
    granter.begin_round(5);
    EXPECT_EQ(granter.make_heartbeat("a", 5, knows_all).acknowledged_boot_id, "a2");
    granter.on_heartbeat("a", last_heartbeat, 5, never);
    granter.begin_round(5);
    EXPECT_EQ(granter.make_heartbeat("a", 5, knows_all).acknowledged_boot_id, "a2");
}

TEST_F(ReadLeaseTest, KnownTimeIsNotExtendedWhileOneOfSeveralPeersIsSilent) {
    ReadLeases holder_of_two({"b", "c"}, "a1", 0, times);
    holder_of_two.set_relies_on_leases(true);
    granter.on_heartbeat("a", next_heartbeat(holder_of_two, "b", 20, knows_all), 20, never);
    holder_of_two.on_heartbeat("b", next_heartbeat(granter, "a", 20, knows_all), 20, never);
    EXPECT_DOUBLE_EQ(holder_of_two.cancellations_known_until_s(7), 7);
}

}  // namespace
}  // namespace cranemoor::read_leases

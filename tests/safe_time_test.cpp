// Safe time of a replica's copy: pure, so each test is a few calls.
#include "read_leases/safe_time.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

TEST(SafeTime, AnAnswerSpeaksForTheMomentOfItsRequestOnceTheCopyHasIt) {
    SafeTime t;
    t.on_request_sent(1, 10);
    t.on_reply(1, 500);  // at whatever time
    EXPECT_LT(t.complete_as_of(), 0);
    t.on_revision_applied(499);
    EXPECT_LT(t.complete_as_of(), 0);
    t.on_revision_applied(500);
    EXPECT_DOUBLE_EQ(t.complete_as_of(), 10);
    // An older request's answer, and one that names no revision, take nothing back.
    t.on_request_sent(2, 9);
    t.on_request_sent(3, 20);
    t.on_request_sent(4, 30);
    t.on_reply(2, 501);
    t.on_reply(3, 0);
    t.on_reply(4, 501);
    t.on_revision_applied(600);
    EXPECT_DOUBLE_EQ(t.complete_as_of(), 30);
    t.on_reply(99, 700);  // nobody asked
    t.on_revision_applied(700);
    EXPECT_DOUBLE_EQ(t.complete_as_of(), 30);
}

}  // namespace
}  // namespace cranemoor::read_leases

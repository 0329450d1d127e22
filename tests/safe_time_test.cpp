// Safe time of a local replica, tested without a cluster: the module has no input or output.
#include "read_leases/safe_time.hpp"

#include <gtest/gtest.h>

namespace cranemoor::read_leases {
namespace {

TEST(SafeTime, ReplicaIsCompleteAsOfTheRequestOnceTheReplysRevisionIsApplied) {
    SafeTime safe_time;
    safe_time.on_request_sent(1, 10);
    safe_time.on_reply(1, 500);  // the time of the reply is irrelevant
    EXPECT_LT(safe_time.complete_as_of(), 0);
    safe_time.on_revision_applied(499);
    EXPECT_LT(safe_time.complete_as_of(), 0);
    safe_time.on_revision_applied(500);
    EXPECT_DOUBLE_EQ(safe_time.complete_as_of(), 10);
    // The reply to an older request, or one that names no revision, never lowers the safe time.
    safe_time.on_request_sent(2, 9);
    safe_time.on_request_sent(3, 20);
    safe_time.on_request_sent(4, 30);
    safe_time.on_reply(2, 501);
    safe_time.on_reply(3, 0);
    safe_time.on_reply(4, 501);
    safe_time.on_revision_applied(600);
    EXPECT_DOUBLE_EQ(safe_time.complete_as_of(), 30);
    safe_time.on_reply(99, 700);  // no such request
    safe_time.on_revision_applied(700);
    EXPECT_DOUBLE_EQ(safe_time.complete_as_of(), 30);
}

}  // namespace
}  // namespace cranemoor::read_leases

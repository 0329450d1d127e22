#include "answer_history.hpp"

#include <gtest/gtest.h>

namespace cranemoor::test {
namespace {

struct AnswerHistoryTest : ::testing::Test {
    AnswerHistory history;
    std::uint64_t last_request = 0;
    double now_s = 0;
    std::uint64_t send_request() {
        history.record_request(++last_request, "req-000001", now_s += 1);
        return last_request;
    }
    // Name of the rule that the reply breaks; empty if it breaks none.
    std::string broken_rule(std::uint64_t request, int status, const std::string& state) {
        core::UserReply reply;
        reply.request = request;
        reply.status = status;
        reply.state = state;
        auto violation = history.check_reply(reply, now_s += 1);
        return violation.substr(0, violation.find(':'));
    }
};

TEST_F(AnswerHistoryTest, EachKindOfStateRegressionIsReported) {
    EXPECT_EQ(broken_rule(send_request(), 404, ""), "");
    EXPECT_EQ(broken_rule(send_request(), 201, "queued"), "");
    EXPECT_EQ(broken_rule(send_request(), 404, ""), "forgotten");
    EXPECT_EQ(broken_rule(send_request(), 422, ""), "forgotten");
    EXPECT_EQ(broken_rule(send_request(), 200, "running"), "");
    // Only accepted, done and cancelled are binding.
    EXPECT_EQ(broken_rule(send_request(), 200, "queued"), "");
    EXPECT_EQ(broken_rule(send_request(), 200, "done"), "");
    EXPECT_EQ(broken_rule(send_request(), 200, "running"), "went_back");
    EXPECT_EQ(broken_rule(send_request(), 200, "cancelled"), "went_back");
    EXPECT_EQ(broken_rule(send_request(), 503, ""), "");
}

TEST_F(AnswerHistoryTest, ACancelledJobStaysCancelled) {
    EXPECT_EQ(broken_rule(send_request(), 200, "cancelled"), "");
    EXPECT_EQ(broken_rule(send_request(), 201, "queued"), "went_back");
    EXPECT_EQ(broken_rule(send_request(), 200, "done"), "went_back");
    EXPECT_EQ(broken_rule(send_request(), 200, "cancelled"), "");
}

TEST_F(AnswerHistoryTest, RepliesToConcurrentRequestsMayComeInEitherOrder) {
    auto earlier_request = send_request();
    auto later_request = send_request();
    EXPECT_EQ(broken_rule(later_request, 200, "cancelled"), "");
    EXPECT_EQ(broken_rule(earlier_request, 200, "running"), "");
}

TEST_F(AnswerHistoryTest, TwoDifferentFinalStatesAreReportedEvenForConcurrentRequests) {
    auto earlier_request = send_request();
    EXPECT_EQ(broken_rule(send_request(), 200, "done"), "");
    EXPECT_EQ(broken_rule(earlier_request, 200, "cancelled"), "went_back");
}

}  // namespace
}  // namespace cranemoor::test

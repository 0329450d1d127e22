#include "answer_history.hpp"

#include <gtest/gtest.h>

namespace cranemoor::test {
namespace {

struct AnswerHistoryTest : ::testing::Test {
    AnswerHistory history;
    std::uint64_t next = 0;
    double now = 0;
    std::uint64_t ask() {
        history.record_request(++next, "req-000001", now += 1);
        return next;
    }
    // The rule that the answer breaks.
    std::string tell(std::uint64_t request, int status, const std::string& state) {
        core::UserReply r;
        r.request = request;
        r.status = status;
        r.state = state;
        auto broken = history.check_reply(r, now += 1);
        return broken.substr(0, broken.find(':'));
    }
};

TEST_F(AnswerHistoryTest, EachWayOfGoingBackIsNamed) {
    EXPECT_EQ(tell(ask(), 404, ""), "");
    EXPECT_EQ(tell(ask(), 201, "queued"), "");
    EXPECT_EQ(tell(ask(), 404, ""), "forgotten");
    EXPECT_EQ(tell(ask(), 422, ""), "forgotten");
    EXPECT_EQ(tell(ask(), 200, "running"), "");
    EXPECT_EQ(tell(ask(), 200, "queued"), "");  // only accepted, done and cancelled bind
    EXPECT_EQ(tell(ask(), 200, "done"), "");
    EXPECT_EQ(tell(ask(), 200, "running"), "went_back");
    EXPECT_EQ(tell(ask(), 200, "cancelled"), "went_back");
    EXPECT_EQ(tell(ask(), 503, ""), "");
}

TEST_F(AnswerHistoryTest, ACancelledJobStaysCancelled) {
    EXPECT_EQ(tell(ask(), 200, "cancelled"), "");
    EXPECT_EQ(tell(ask(), 201, "queued"), "went_back");
    EXPECT_EQ(tell(ask(), 200, "done"), "went_back");
    EXPECT_EQ(tell(ask(), 200, "cancelled"), "");
}

TEST_F(AnswerHistoryTest, OfAnswersUnderWayAtOnceEitherMayBeTheOlder) {
    auto early = ask();
    auto other = ask();
    EXPECT_EQ(tell(other, 200, "cancelled"), "");
    EXPECT_EQ(tell(early, 200, "running"), "");
}

TEST_F(AnswerHistoryTest, AJobDoesNotEndInTwoWaysHoweverTheAnswersLie) {
    auto early = ask();
    EXPECT_EQ(tell(ask(), 200, "done"), "");
    EXPECT_EQ(tell(early, 200, "cancelled"), "went_back");
}

}  // namespace
}  // namespace cranemoor::test

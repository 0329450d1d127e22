// Stories of rentals whose asker ends.
#include "story.hpp"

namespace cranemoor::test {
namespace {

struct LateList : Three {
    int leader = 0;
    // A job of two machines, asked for by a leading member that the list tells nothing yet.
    void ask() {
        w.settings.list_lag_s = w.list_lag_s = 12;
        begin(3);
        leader = std::stoi(
            w.stored("c/epoch")->at("members").at(0).at("name").get<std::string>().substr(1));
        ASSERT_EQ(w.submit_and_wait((leader + 1) % 3, w.job(1, JobKind::array, 16)).status, 201);
        ASSERT_TRUE(w.until([&] { return w.machines_rented == 2; }, 10));
    }
    void the_next_one_rents_nothing_twice() {
        w.kill(leader);
        ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 90));
        EXPECT_EQ(w.machines_rented, 2);
    }
};

TEST_F(LateList, WhatALeaderWasGivenIsKnownToTheNextOne) {
    ask();
    w.run(0.5);
    the_next_one_rents_nothing_twice();
}

TEST_F(LateList, WhatALeaderHadAskedForIsAskedAgainUnderTheSameName) {
    ask();  // and ends before the answer comes
    the_next_one_rents_nothing_twice();
}

TEST_F(LateList, AnEpochWithTheSameLeaderForgetsNoRental) {
    w.rental_answer_s = 8;
    ask();
    w.kill((leader + 1) % 3);
    ASSERT_TRUE(w.until([&] { return w.all_members(2); }, 6));
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 90));
    EXPECT_EQ(w.machines_rented, 2);
}

}  // namespace
}  // namespace cranemoor::test

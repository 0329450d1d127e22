// Rentals of a leader that ends before their reply.
#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct RentalFailoverTest : ThreeControllerTest {
    int leader = 0;
    // A job of two machines, asked for by a leading member that the list tells nothing yet.
    void ask() {
        cluster.settings.list_lag_s = cluster.cloud.list_lag_s = 12;
        start_cluster(3);
        leader = std::stoi(
            cluster.store.find("c/epoch")->at("members").at(0).at("name").get<std::string>().substr(
                1));
        ASSERT_EQ(cluster.submit_and_wait((leader + 1) % 3, cluster.make_job(1, JobKind::array, 16))
                      .status,
                  201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.cloud.launched_machines == 2; }, 10));
    }
    void the_next_one_rents_nothing_twice() {
        cluster.kill(leader);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
        EXPECT_EQ(cluster.cloud.launched_machines, 2);
    }
};

TEST_F(RentalFailoverTest, WhatALeaderWasGivenIsKnownToTheNextOne) {
    ask();
    cluster.run_for(0.5);
    the_next_one_rents_nothing_twice();
}

TEST_F(RentalFailoverTest, WhatALeaderHadAskedForIsAskedAgainUnderTheSameName) {
    ask();  // and ends before the answer comes
    the_next_one_rents_nothing_twice();
}

TEST_F(RentalFailoverTest, AnEpochWithTheSameLeaderForgetsNoRental) {
    cluster.cloud.launch_reply_delay_s = 8;
    ask();
    cluster.kill((leader + 1) % 3);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(2); }, 6));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished("req-000001"); }, 90));
    EXPECT_EQ(cluster.cloud.launched_machines, 2);
}

}  // namespace
}  // namespace cranemoor::test

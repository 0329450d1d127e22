// Stories of gangs that are stopped whole, so that they save.
#include "story.hpp"

namespace cranemoor::test {
namespace {

// Four machines in three zones, all taken by a gang of four whose machines have several owners.
struct Gang : Three {
    const std::string gang = "req-000001";
    void fill() {
        begin(3);
        w.capacity = 0;
        w.run_s = 400;
        for (int i = 0; i < 4; ++i) {
            w.add_machine("vm-50000" + std::to_string(i),
                          std::string(1, static_cast<char>('a' + i % 3)));
        }
        auto job = w.job(1, JobKind::gang, 4);
        job.each = {33, 5, 200};
        job.priority = Priority::high;
        job.checkpoint_s = 20;
        job.save_s = 2;
        w.submit_and_wait(0, job);
        ASSERT_TRUE(w.until([&] { return w.running(gang) == 4; }, 30));
    }
    JobSpec replica() {
        auto job = w.job(2, JobKind::service, 1);
        job.each = {33, 5, 200};
        job.priority = Priority::production;
        return job;
    }
};

TEST_F(Gang, MakesRoomWholeAndSaved) {
    fill();
    w.submit_and_wait(1, replica());
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 90));
    EXPECT_EQ(w.saved, std::set<std::string>{gang});
    w.add_machine("vm-500009", "a");
    EXPECT_TRUE(w.until([&] { return w.running(gang) == 4; }, 60));
}

TEST_F(Gang, OneThatNoOwnerReachesFallsBackAndRunsNowhereTwice) {
    // World checks that no task starts while its old place may hold it.
    fill();
    auto far = w.places(gang).front();
    w.machines.at(far).hangs = true;
    w.submit_and_wait(1, replica());
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 120));
    EXPECT_TRUE(w.saved.empty());
    w.add_machine("vm-500008", "b");
    w.add_machine("vm-500009", "c");
    EXPECT_TRUE(w.until([&] { return w.running(gang) == 4; }, 90));
}

TEST_F(Gang, AWishOutlivesItsAskerAndStopsNoLaterAttempt) {
    fill();
    w.submit_and_wait(1, replica());
    auto wished = [&] {
        const Json* block = w.stored("c/b/" + gang + "/0");
        return block != nullptr && block->value("stop", 0) != 0;
    };
    ASSERT_TRUE(w.until(wished, 90));
    for (int i = 0; i < 3; ++i) {
        w.kill(i);
    }
    w.run(1);
    w.start_all();
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 90));
    w.add_machine("vm-500009", "a");
    ASSERT_TRUE(w.until([&] { return w.running(gang) == 4; }, 90));
    w.run(20);
    EXPECT_EQ(w.running(gang), 4);
}

TEST_F(Gang, SavesBeforeAMachineIsTakenAway) {
    begin(3);
    w.capacity = 0;
    w.run_s = 400;
    for (int i = 0; i < 4; ++i) {
        w.add_machine("vm-50000" + std::to_string(i), "a", true);
    }
    auto job = w.job(1, JobKind::gang, 4);
    job.each = {33, 5, 200};
    job.spot = true;
    job.checkpoint_s = 20;
    job.save_s = 2;
    w.submit_and_wait(0, job);
    ASSERT_TRUE(w.until([&] { return w.running(gang) == 4; }, 30));
    w.machines.at("vm-500002").notice_s = 20;
    w.run(25);
    EXPECT_EQ(w.saved, std::set<std::string>{gang});
}

}  // namespace
}  // namespace cranemoor::test

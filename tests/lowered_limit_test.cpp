// Records that were written under larger limits of the key-value store than there are now.
#include <algorithm>
#include <array>

#include "core/store/record_codec.hpp"
#include "dependent_job_fixture.hpp"
#include "record_format.hpp"

namespace cranemoor::test {
namespace {

// A cluster whose records were written by production, under larger limits: an array of 128 tasks
// in one block, 120 of them on machines, and a listing of forty jobs.
struct LoweredLimitTest : ThreeControllerTest {
    static constexpr int tasks = 128;
    static Json listed(const JobSpec& s, int block_size) {
        return {
            {"uid", s.uid},
            {"class", s.job_class},
            {"team", s.team},
            {"kind", static_cast<int>(s.kind)},
            {"priority", static_cast<int>(s.priority)},
            {"tasks", s.tasks},
            {"each", {s.task_resources.cpus, s.task_resources.gpus, s.task_resources.memory_gb}},
            {"together", s.same_zone},
            {"spread", s.zone_spread},
            {"spot", s.spot},
            {"image", s.image},
            {"image_gb", s.image_gb},
            {"estimate_s", s.estimate_s},
            {"checkpoint_s", s.checkpoint_s},
            {"save_s", s.save_s},
            {"submitted", 1.7e9},
            {"block_size", block_size},
            {"cancelled", 0.0}};
    }
    JobSpec big() {
        auto s = cluster.make_job(1, JobKind::array, tasks);
        s.task_resources = {1, 0, 1};
        return s;
    }
    void write_records(const JobSpec& s) {
        cluster.settings.store_value_kb_max = 2;
        cluster.settings.store_current_value_kb_max = 8;
        cluster.settings.store_txn_ops_max = 4;
        cluster.users.add_submitted(s);
        Json jobs = Json::array({listed(s, 128)});
        for (int n = 2; n <= 12; ++n) {
            cluster.users.add_submitted(cluster.make_job(n));
            jobs.push_back(listed(cluster.make_job(n), 102));
        }
        cluster.store.put("c/a/1-1", {{"jobs", jobs}});
        Json placed = Json::object();
        for (int t = 0; t < 120; ++t) {
            auto name = fmt::format("vm-9000{:02}", t / 40);
            std::string zone = cluster.settings.zones[static_cast<std::size_t>(t / 40)];
            if (t % 40 == 0) {
                cluster.add_machine(name, zone);
            }
            placed[std::to_string(t)] = {name, zone, 1, 1};
            auto& task = cluster.machines[name].tasks[{s.uid, t}][1];
            task.attempt = 1;
            task.ready_at_s = 1;
        }
        cluster.store.put("c/b/" + s.uid + "/0",
                          {{"attempt", 1}, {"placed", placed}, {"done", Json::array()}});
        ASSERT_GT(cluster.store.find("c/b/" + s.uid + "/0")->dump().size(), 2048U);
        ASSERT_GT(cluster.store.find("c/a/1-1")->dump().size(), 2048U);
    }
    void lower() {
        cluster.store.value_limit_kb = 2;
        cluster.store.transaction_operation_limit = 4;
    }
};

TEST_F(LoweredLimitTest, ABlockTooLargeForTheNewLimitsIsPartedAndItsJobEnds) {
    cluster.workers.task_run_s = 8;
    cluster.tunables.final_states_max = 0;
    write_records(big());
    lower();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/p/").empty(); }, 30));
    expect_readable_by_previous_version("c/j/" + job_uid(1),
                                        *cluster.store.find("c/j/" + job_uid(1)));
    // A crash of everybody between two steps loses and doubles nothing.
    for (int i = 0; i < 3; ++i) {
        cluster.kill(i);
    }
    cluster.run_for(1);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 120));
    EXPECT_EQ(cluster.poll_and_wait(0, job_uid(1)).state, "done");
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(cluster.controller(i).context().jobs.indexes_consistent());
    }
    // All of it goes, and with the last of its jobs the listing that can't be put again.
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.store.keys("c/p/").empty() && cluster.store.keys("c/b/").empty() &&
                   cluster.store.keys("c/j/").empty() && cluster.store.keys("c/a/").empty();
        },
        120));
    for (int n = 1; n <= 12; ++n) {
        EXPECT_EQ(cluster.poll_and_wait(n % 3, job_uid(n)).state, "done");
        EXPECT_NE(cluster.store.find("f/" + job_uid(n)), nullptr);
    }
}

TEST_F(LoweredLimitTest, UntilEveryControllerIsNewTheOldLimitsServeTheOldRecords) {
    cluster.workers.task_run_s = 8;
    write_records(big());
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until(
        [&] { return !cluster.store.find("c/b/" + job_uid(1) + "/0")->at("done").empty(); }, 60));
    EXPECT_TRUE(cluster.store.keys("c/p/").empty());
    cluster.start(2);
    lower();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 120));
}

TEST_F(LoweredLimitTest, AJobWhoseBlockIsTooLargeCanBeCancelled) {
    cluster.workers.task_run_s = 1000;
    write_records(big());
    lower();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) >= 120; }, 20));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; }, 10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 30));
    EXPECT_EQ(cluster.poll_and_wait(2, job_uid(1)).state, "cancelled");
}

TEST_F(LoweredLimitTest, ALateWriteOfTheVersionBeforeMeetsThePages) {
    // It is executed when some of the job's pages are there: what they say holds.
    cluster.workers.task_run_s = 30;
    write_records(big());
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) >= 120; }, 20));
    for (auto& [id, attempts] : cluster.machines["vm-900000"].tasks) {
        attempts[1].ends_at_s = cluster.now() + (id.index < 20 ? 1 : 1000);
    }
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/p/").empty(); }, 30));
    Json block = *cluster.store.find("c/b/" + job_uid(1) + "/0");
    for (int t : {5, 50, 51}) {
        block["placed"].erase(std::to_string(t));
        if (t != 5) {
            cluster.machines["vm-900001"].tasks.erase(
                {job_uid(1), t});  // as it says: they are lost
        }
    }
    block["done"] = {{5, 5}};
    cluster.store.put("c/b/" + job_uid(1) + "/0", block);
    cluster.run_for(1);
    const auto& jobs = cluster.controller(0).context().jobs;
    EXPECT_TRUE(jobs.indexes_consistent());
    EXPECT_TRUE(jobs.find(job_uid(1))->block(0).is_done(5));
    for (auto& [id, attempts] : cluster.machines["vm-900000"].tasks) {
        attempts[1].ends_at_s = cluster.now();
    }
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 120));
}

TEST_F(LoweredLimitTest, PagesOfASpreadJobShareItsRule) {
    auto s = big();
    s.zone_spread = true;
    s.tasks = 60;
    cluster.workers.task_run_s = 1000;
    write_records(big());
    cluster.users.add_submitted(s);
    // All of the second half in one zone: the pages' own halves are full or empty.
    Json placed = Json::object();
    for (int t = 30; t < 60; ++t) {
        placed[std::to_string(t)] = {"vm-900001", "b", 1, 1};
    }
    auto spread = s;
    spread.uid = job_uid(50);
    cluster.users.add_submitted(spread);
    cluster.store.put("c/a/1-2", {{"jobs", {listed(spread, 102)}}});
    cluster.machines["vm-900001"].tasks.clear();
    cluster.store.put("c/b/" + job_uid(1) + "/0",
                      {{"attempt", 1}, {"placed", Json::object()}, {"done", {{0, 127}}}});
    cluster.machines["vm-900000"].tasks.clear();
    cluster.machines["vm-900002"].tasks.clear();
    for (int t = 30; t < 60; ++t) {
        auto& task = cluster.machines["vm-900001"].tasks[{spread.uid, t}][1];
        task.attempt = 1;
        task.ready_at_s = 1;
    }
    auto record = listed(spread, 102);
    record["page_size"] = 20;
    cluster.store.put("c/j/" + job_uid(50), record);
    cluster.store.put("c/b/" + job_uid(50) + "/0",
                      {{"attempt", 1}, {"placed", placed}, {"done", Json::array()}});
    lower();
    cluster.start_all();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(50)) == 60; }, 60));
    int in_b = 0;
    for (const auto& name : cluster.machines_running(job_uid(50))) {
        in_b += cluster.machines[name].info.zone == "b" ? 1 : 0;
    }
    EXPECT_EQ(in_b, 30);
}

TEST_F(LoweredLimitTest, MarksTooLargeForTheNewLimitsAreSettledBesideTheirRecord) {
    write_records(big());
    cluster.machines.clear();
    cluster.store.erase("c/a/1-1");
    cluster.store.erase("c/b/" + job_uid(1) + "/0");
    Json names = Json::array();
    for (int i = 0; i < 100; ++i) {
        names.push_back(fmt::format("vm-80{:04}", i));
        cluster.add_machine(names.back(), "a");
    }
    cluster.store.put(
        "c/x/1-1",
        {{"why", "idle"}, {"fence", false}, {"machines", names}, {"gone", Json::array()}});
    lower();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count() == 0; }, 30));
    EXPECT_NE(cluster.store.find("c/x/1-1"), nullptr);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.keys("c/x/").empty(); }, 300));
}

TEST_F(LoweredLimitTest, ANewJobKeepsToTheNewLimitsFromTheStart) {
    // The stand-in refuses whatever is larger, and a refusal fails the test.
    cluster.settings.store_value_kb_max = 2;
    cluster.settings.store_txn_ops_max = 4;
    lower();
    start_cluster(3);
    cluster.workers.task_run_s = 10;
    auto wide = cluster.make_job(3, JobKind::array, 10);
    wide.machine_types = std::vector<std::string>{"t8"};
    for (int i = 0; i < 300; ++i) {
        wide.machine_types->push_back("nowhere-" + std::to_string(i));
    }
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 150)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(1, cluster.make_job(2, JobKind::gang, 8)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(2, wide).status, 201);
    auto odd = cluster.make_job(4);
    odd.job_class = odd.image = std::string(200, '\x01');  // six bytes each in JSON
    EXPECT_EQ(cluster.submit_and_wait(2, odd).status, 422);
    for (int n = 10; n < 60; ++n) {
        cluster.submit(n % 3, cluster.make_job(n));
    }
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return cluster.is_finished(job_uid(1)) && cluster.is_finished(job_uid(2)) &&
                   cluster.is_finished(job_uid(3));
        },
        200));
}

}  // namespace
}  // namespace cranemoor::test

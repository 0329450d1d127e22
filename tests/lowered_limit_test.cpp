// Records that were written under larger limits of the key-value store than the current ones.
#include <algorithm>
#include <array>

#include "core/store/record_codec.hpp"
#include "dependent_job_fixture.hpp"
#include "record_format.hpp"

namespace cranemoor::test {
namespace {

// A cluster whose records were written by the production version under larger limits: an array of
// 128 tasks in one block, 120 of them on machines, and a listing of forty jobs.
struct LoweredLimitTest : ThreeControllerTest {
    static constexpr int tasks = 128;
    static Json listing_entry(const JobSpec& spec, int block_size) {
        return {
            {"uid", spec.uid},
            {"class", spec.job_class},
            {"team", spec.team},
            {"kind", static_cast<int>(spec.kind)},
            {"priority", static_cast<int>(spec.priority)},
            {"tasks", spec.tasks},
            {"each",
             {spec.task_resources.cpus, spec.task_resources.gpus, spec.task_resources.memory_gb}},
            {"together", spec.same_zone},
            {"spread", spec.zone_spread},
            {"spot", spec.spot},
            {"image", spec.image},
            {"image_gb", spec.image_gb},
            {"estimate_s", spec.estimate_s},
            {"checkpoint_s", spec.checkpoint_s},
            {"save_s", spec.save_s},
            {"submitted", 1.7e9},
            {"block_size", block_size},
            {"cancelled", 0.0}};
    }
    JobSpec large_array() {
        auto spec = cluster.make_job(1, JobKind::array, tasks);
        spec.task_resources = {1, 0, 1};
        return spec;
    }
    void write_records(const JobSpec& spec) {
        cluster.settings.store_value_kb_max = 2;
        cluster.settings.store_current_value_kb_max = 8;
        cluster.settings.store_txn_ops_max = 4;
        cluster.users.add_submitted(spec);
        Json jobs = Json::array({listing_entry(spec, 128)});
        for (int n = 2; n <= 12; ++n) {
            cluster.users.add_submitted(cluster.make_job(n));
            jobs.push_back(listing_entry(cluster.make_job(n), 102));
        }
        cluster.store.put("c/a/1-1", {{"jobs", jobs}});
        Json placements = Json::object();
        for (int index = 0; index < 120; ++index) {
            auto name = fmt::format("vm-9000{:02}", index / 40);
            std::string zone = cluster.settings.zones[static_cast<std::size_t>(index / 40)];
            if (index % 40 == 0) {
                cluster.add_machine(name, zone);
            }
            placements[std::to_string(index)] = {name, zone, 1, 1};
            auto& task = cluster.machines[name].tasks[{spec.uid, index}][1];
            task.attempt = 1;
            task.ready_at_s = 1;
        }
        cluster.store.put("c/b/" + spec.uid + "/0",
                          {{"attempt", 1}, {"placed", placements}, {"done", Json::array()}});
        ASSERT_GT(cluster.store.find("c/b/" + spec.uid + "/0")->dump().size(), 2048U);
        ASSERT_GT(cluster.store.find("c/a/1-1")->dump().size(), 2048U);
    }
    void lower_limits() {
        cluster.store.value_limit_kb = 2;
        cluster.store.transaction_operation_limit = 4;
    }
};

TEST_F(LoweredLimitTest, OversizedBlockIsSplitIntoPagesAndJobFinishes) {
    cluster.workers.task_run_s = 8;
    cluster.tunables.final_states_max = 0;
    write_records(large_array());
    lower_limits();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/p/").empty(); }, 30));
    expect_readable_by_previous_version("c/j/" + job_uid(1),
                                        *cluster.store.find("c/j/" + job_uid(1)));
    // A crash of all controllers between two steps loses and duplicates nothing.
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
    // All records are deleted. The listing, which is too large to be rewritten, is deleted with
    // the last of its jobs.
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

TEST_F(LoweredLimitTest, OldLimitsApplyUntilEveryControllerIsUpgraded) {
    cluster.workers.task_run_s = 8;
    write_records(large_array());
    cluster.start(0);
    cluster.start(1);
    ASSERT_TRUE(cluster.run_until(
        [&] { return !cluster.store.find("c/b/" + job_uid(1) + "/0")->at("done").empty(); }, 60));
    EXPECT_TRUE(cluster.store.keys("c/p/").empty());
    cluster.start(2);
    lower_limits();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 120));
}

TEST_F(LoweredLimitTest, JobWithOversizedBlockCanBeCancelled) {
    cluster.workers.task_run_s = 1000;
    write_records(large_array());
    lower_limits();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) >= 120; }, 20));
    EXPECT_EQ(cluster.wait_for_reply(cluster.cancel(1, job_uid(1))).state, "cancelled");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) == 0; }, 10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(job_uid(1)); }, 30));
    EXPECT_EQ(cluster.poll_and_wait(2, job_uid(1)).state, "cancelled");
}

TEST_F(LoweredLimitTest, PagesStayConsistentAfterDelayedWriteOfPreviousVersion) {
    // The write is executed when some of the job's pages exist already: the pages take
    // precedence.
    cluster.workers.task_run_s = 30;
    write_records(large_array());
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(1)) >= 120; }, 20));
    for (auto& [id, attempts] : cluster.machines["vm-900000"].tasks) {
        attempts[1].ends_at_s = cluster.now() + (id.index < 20 ? 1 : 1000);
    }
    ASSERT_TRUE(cluster.run_until([&] { return !cluster.store.keys("c/p/").empty(); }, 30));
    Json block = *cluster.store.find("c/b/" + job_uid(1) + "/0");
    for (int index : {5, 50, 51}) {
        block["placed"].erase(std::to_string(index));
        if (index != 5) {
            cluster.machines["vm-900001"].tasks.erase(
                {job_uid(1), index});  // lost, as the written block says
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

TEST_F(LoweredLimitTest, PagesOfZoneSpreadJobShareSpreadRule) {
    auto first_spec = large_array();
    first_spec.zone_spread = true;
    first_spec.tasks = 60;
    cluster.workers.task_run_s = 1000;
    write_records(large_array());
    cluster.users.add_submitted(first_spec);
    // The whole second half is in one zone: each page's own half is full or empty.
    Json placements = Json::object();
    for (int index = 30; index < 60; ++index) {
        placements[std::to_string(index)] = {"vm-900001", "b", 1, 1};
    }
    auto spread_spec = first_spec;
    spread_spec.uid = job_uid(50);
    cluster.users.add_submitted(spread_spec);
    cluster.store.put("c/a/1-2", {{"jobs", {listing_entry(spread_spec, 102)}}});
    cluster.machines["vm-900001"].tasks.clear();
    cluster.store.put("c/b/" + job_uid(1) + "/0",
                      {{"attempt", 1}, {"placed", Json::object()}, {"done", {{0, 127}}}});
    cluster.machines["vm-900000"].tasks.clear();
    cluster.machines["vm-900002"].tasks.clear();
    for (int index = 30; index < 60; ++index) {
        auto& task = cluster.machines["vm-900001"].tasks[{spread_spec.uid, index}][1];
        task.attempt = 1;
        task.ready_at_s = 1;
    }
    auto record = listing_entry(spread_spec, 102);
    record["page_size"] = 20;
    cluster.store.put("c/j/" + job_uid(50), record);
    cluster.store.put("c/b/" + job_uid(50) + "/0",
                      {{"attempt", 1}, {"placed", placements}, {"done", Json::array()}});
    lower_limits();
    cluster.start_all();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.running_tasks(job_uid(50)) == 60; }, 60));
    int tasks_in_zone_b = 0;
    for (const auto& name : cluster.machines_running(job_uid(50))) {
        tasks_in_zone_b += cluster.machines[name].info.zone == "b" ? 1 : 0;
    }
    EXPECT_EQ(tasks_in_zone_b, 30);
}

TEST_F(LoweredLimitTest, OversizedCordonRecordIsRemovedOnceAllMachinesAreGone) {
    write_records(large_array());
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
    lower_limits();
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.cloud.machine_count() == 0; }, 30));
    EXPECT_NE(cluster.store.find("c/x/1-1"), nullptr);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.store.keys("c/x/").empty(); }, 300));
}

TEST_F(LoweredLimitTest, NewJobsKeepToLoweredLimits) {
    // The fake key-value store refuses larger writes, and a refusal fails the test.
    cluster.settings.store_value_kb_max = 2;
    cluster.settings.store_txn_ops_max = 4;
    lower_limits();
    start_cluster(3);
    cluster.workers.task_run_s = 10;
    auto job_with_many_types = cluster.make_job(3, JobKind::array, 10);
    job_with_many_types.machine_types = std::vector<std::string>{"t8"};
    for (int i = 0; i < 300; ++i) {
        job_with_many_types.machine_types->push_back("nowhere-" + std::to_string(i));
    }
    EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 150)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(1, cluster.make_job(2, JobKind::gang, 8)).status, 201);
    EXPECT_EQ(cluster.submit_and_wait(2, job_with_many_types).status, 201);
    auto job_with_long_names = cluster.make_job(4);
    job_with_long_names.job_class = job_with_long_names.image =
        std::string(200, '\x01');  // six bytes each in JSON
    EXPECT_EQ(cluster.submit_and_wait(2, job_with_long_names).status, 422);
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

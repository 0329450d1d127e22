// Claims of tasks on machines: durable before the start command is sent, and with few writes for
// many tasks.
#include <algorithm>
#include <array>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ClaimTest : ClusterTest {};

struct ThreeControllerClaimTest : ThreeControllerTest {};

TEST_F(ClaimTest, ClaimIsDurableBeforeItsStartCommandIsSent) {
    start_cluster();
    int starts = 0;
    cluster.workers.on_command = [&](const std::string& machine, const Command& command) {
        if (command.kind == Command::Kind::start) {
            const Json* block = cluster.store.find("c/b/" + command.id.uid + "/0");
            ASSERT_NE(block, nullptr);
            EXPECT_EQ(block->at("placed").at(std::to_string(command.id.index)).at(0), machine);
            ++starts;
        }
    };
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 5));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 5; }, 30));
    EXPECT_GE(starts, 5);
}

TEST_F(ClaimTest, ClaimWithLostReplyIsNeitherLostNorDuplicated) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 4));
    cluster.faults.lost_reply_probability = 0.5;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 4; }, 120));
    cluster.faults.lost_reply_probability = 0;
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 4);
}

TEST_F(ThreeControllerClaimTest, WritesAreBoundedWithAThousandMachines) {
    cluster.settings.heartbeat_interval_s = 8;
    cluster.settings.lease_s = 42;
    cluster.settings.cancel_deadline_s = 67;
    cluster.settings.teams = {{"red", {0, 500, 0}, {0, 4000, 0}},
                              {"blue", {0, 500, 0}, {0, 4000, 0}}};
    for (int i = 0; i < 1000; ++i) {
        cluster.add_machine(fmt::format("vm-{:06}", 500000 + i), cluster.settings.zones[i % 3U]);
    }
    cluster.cloud.capacity = 0;
    start_cluster(3);
    cluster.run_for(12);
    const int job_count = 90;
    for (int i = 0; i < job_count; ++i) {
        auto kind = std::array{JobKind::array, JobKind::gang,
                               JobKind::service}[static_cast<std::size_t>(i % 3)];
        auto spec = cluster.make_job(i + 1, kind, kind == JobKind::array ? 24 : 2);
        spec.team = i % 2 == 0 ? "red" : "blue";
        if (kind == JobKind::gang) {
            spec.task_resources = {60, 8, 400};
            spec.same_zone = true;
        }
        cluster.submit(i % 3, spec);
    }
    auto placed_tasks = [&] {
        int count = 0;
        for (int i = 0; i < job_count; ++i) {
            count +=
                static_cast<int>(cluster.machines_running(fmt::format("req-{:06}", i + 1)).size());
        }
        return count;
    };
    EXPECT_TRUE(cluster.run_until([&] { return placed_tasks() == 30 * 24 + 30 * 2 + 30 * 2; }, 20))
        << placed_tasks();
    // One write accepts several jobs. Claims take about one write per job; a write per machine
    // heartbeat would take three for an array. Quota slices are taken in large portions.
    EXPECT_LT(cluster.store.writes_by_kind["c/a"], job_count / 4);
    EXPECT_EQ(cluster.store.writes_by_kind["c/j"], 0);
    EXPECT_LE(cluster.store.writes_by_kind["c/b"], job_count * 3 / 2);
    EXPECT_LE(cluster.store.writes_by_kind["c/q"], 12);
    cluster.run_for(60);
    // Completions of an array's 24 tasks are batched; those of a gang are one write, and so is a
    // job's final state.
    EXPECT_LE(cluster.store.writes_by_kind["c/b"], job_count * 4);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(cluster.controller(i).context().jobs.indexes_consistent());
    }
    // Many machines hang at once: their cordons share records.
    int cordon_writes_before = cluster.store.writes_by_kind["c/x"];
    int hung_machines = 0;
    for (auto& [name, worker] : cluster.machines) {
        if (hung_machines < 200 && !worker.deleted) {
            worker.is_hung = true;
            ++hung_machines;
        }
    }
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return std::all_of(
                cluster.machines.begin(), cluster.machines.end(),
                [](const auto& entry) { return !entry.second.is_hung || entry.second.deleted; });
        },
        60));
    EXPECT_LE(cluster.store.writes_by_kind["c/x"] - cordon_writes_before, 60);
}

TEST_F(ClaimTest, ArrayCompletionsAreBatchedAndWrittenWithClaims) {
    // Guards against a separate write for the completion of each task of a large array: under a
    // lowered write limit of the key-value store, claims waited behind these writes.
    cluster.cloud.capacity = 2;
    cluster.workers.task_run_s = 1000;
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    cluster.run_for(8);
    auto wide_job = cluster.make_job(1, JobKind::array, 30);
    wide_job.task_resources = {6, 0, 10};  // ten per machine
    ASSERT_EQ(cluster.submit_and_wait(0, wide_job).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 20; }, 30));
    int block_writes_before = cluster.store.writes_by_kind["c/b"];
    for (int task_index = 0; task_index < 10; ++task_index) {
        for (auto& [name, worker] : cluster.machines) {
            auto task = worker.tasks.find({"req-000001", task_index});
            if (task != worker.tasks.end()) {
                task->second.begin()->second.ends_at_s = cluster.now();
            }
        }
        cluster.run_for(0.8);
    }
    cluster.run_for(2);
    EXPECT_LE(cluster.store.writes_by_kind["c/b"] - block_writes_before, 12);
    int completed_tasks = 0;
    for (const auto& range : cluster.store.find("c/b/req-000001/0")->at("done")) {
        completed_tasks += range.at(1).get<int>() - range.at(0).get<int>() + 1;
    }
    EXPECT_GE(completed_tasks, 9);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 20);
}

TEST_F(ClaimTest, ClaimOnAnUnknownMachineIsRevoked) {
    // Guards against a claim that is committed after its machine was released and removed from the
    // records.
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    cluster.cloud.capacity = 0;
    cluster.run_for(6);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 20));
    const Json* block = cluster.store.find("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    Json late_claim = *block;
    late_claim["attempt"] = 9;
    late_claim["placed"]["0"][0] = "vm-999999";
    late_claim["placed"]["0"][2] = 9;
    cluster.store.put("c/b/req-000001/0", late_claim);
    EXPECT_TRUE(cluster.run_until(
        [&] {
            const Json* current_block = cluster.store.find("c/b/req-000001/0");
            return current_block != nullptr && current_block->at("placed").contains("0") &&
                   current_block->at("placed").at("0").at(0) == "vm-500000";
        },
        60));
}

TEST_F(ClaimTest, ClaimOnMachinesOfTwoZonesKeepsASameZoneJobInOneZone) {
    // A single member owns the machines of all zones and claims on several of them at once.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "b");
    cluster.run_for(6);
    auto job = cluster.make_job(1, JobKind::array, 12);
    job.same_zone = true;
    cluster.submit_and_wait(0, job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 20));
    cluster.run_for(5);  // InvariantChecker checks the zone at every start
    auto machines = cluster.machines_running("req-000001");
    EXPECT_EQ(std::set<std::string>(machines.begin(), machines.end()).size(), 1U);
}

}  // namespace
}  // namespace cranemoor::test

// Claims of tasks on machines: durable before their start, and few writes for many tasks.
#include <algorithm>
#include <array>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {
namespace {

struct ClaimTest : ClusterTest {};

struct ThreeControllerClaimTest : ThreeControllerTest {};

TEST_F(ClaimTest, TheClaimIsDurableWhenItsStartGoesOut) {
    start_cluster();
    int starts = 0;
    cluster.workers.on_command = [&](const std::string& machine, const Command& c) {
        if (c.kind == Command::Kind::start) {
            const Json* block = cluster.store.find("c/b/" + c.id.uid + "/0");
            ASSERT_NE(block, nullptr);
            EXPECT_EQ(block->at("placed").at(std::to_string(c.id.index)).at(0), machine);
            ++starts;
        }
    };
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::array, 5));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 5; }, 30));
    EXPECT_GE(starts, 5);
}

TEST_F(ClaimTest, AClaimWhoseAnswerWasLostIsNeitherLostNorDoubled) {
    start_cluster();
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service, 4));
    cluster.faults.lost_reply_probability = 0.5;
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 4; }, 120));
    cluster.faults.lost_reply_probability = 0;
    cluster.run_for(20);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 4);
}

TEST_F(ThreeControllerClaimTest, AThousandMachinesCostABoundedNumberOfWrites) {
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
    const int jobs = 90;
    for (int i = 0; i < jobs; ++i) {
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
    auto placed = [&] {
        int n = 0;
        for (int i = 0; i < jobs; ++i) {
            n += static_cast<int>(cluster.machines_running(fmt::format("req-{:06}", i + 1)).size());
        }
        return n;
    };
    EXPECT_TRUE(cluster.run_until([&] { return placed() == 30 * 24 + 30 * 2 + 30 * 2; }, 20))
        << placed();
    // One write accepts several jobs; about one claims each, where a claim for each machine's
    // report would take three for an array; slices are taken in coarse parts.
    EXPECT_LT(cluster.store.writes_by_kind["c/a"], jobs / 4);
    EXPECT_EQ(cluster.store.writes_by_kind["c/j"], 0);
    EXPECT_LE(cluster.store.writes_by_kind["c/b"], jobs * 3 / 2);
    EXPECT_LE(cluster.store.writes_by_kind["c/q"], 12);
    cluster.run_for(60);
    // The ends of 24 tasks are collected; a gang's are one write, and so is a job's final state.
    EXPECT_LE(cluster.store.writes_by_kind["c/b"], jobs * 4);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(cluster.controller(i).context().jobs.indexes_consistent());
    }
    // A wave: the marks of many machines share records.
    int before = cluster.store.writes_by_kind["c/x"];
    int hanging = 0;
    for (auto& [name, m] : cluster.machines) {
        if (hanging < 200 && !m.deleted) {
            m.is_hung = true;
            ++hanging;
        }
    }
    EXPECT_TRUE(cluster.run_until(
        [&] {
            return std::all_of(cluster.machines.begin(), cluster.machines.end(),
                               [](const auto& m) { return !m.second.is_hung || m.second.deleted; });
        },
        60));
    EXPECT_LE(cluster.store.writes_by_kind["c/x"] - before, 60);
}

TEST_F(ClaimTest, EndsOfAnArrayCostFewWritesAndGoWithClaims) {
    // Found after the state service had lowered its write limit: every end of a wide array was told
    // by a write of its own, and claims waited behind them.
    cluster.cloud.capacity = 2;
    cluster.workers.task_run_s = 1000;
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "a");
    cluster.run_for(8);
    auto wide = cluster.make_job(1, JobKind::array, 30);
    wide.task_resources = {6, 0, 10};  // ten on each machine
    ASSERT_EQ(cluster.submit_and_wait(0, wide).status, 201);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 20; }, 30));
    int before = cluster.store.writes_by_kind["c/b"];
    for (int t = 0; t < 10; ++t) {
        for (auto& [name, m] : cluster.machines) {
            auto task = m.tasks.find({"req-000001", t});
            if (task != m.tasks.end()) {
                task->second.begin()->second.ends_at_s = cluster.now();
            }
        }
        cluster.run_for(0.8);
    }
    cluster.run_for(2);
    EXPECT_LE(cluster.store.writes_by_kind["c/b"] - before, 12);
    int done = 0;
    for (const auto& range : cluster.store.find("c/b/req-000001/0")->at("done")) {
        done += range.at(1).get<int>() - range.at(0).get<int>() + 1;
    }
    EXPECT_GE(done, 9);
    EXPECT_EQ(cluster.running_tasks("req-000001"), 20);
}

TEST_F(ClaimTest, AClaimOnAMachineNobodyKnowsIsTakenBack) {
    // Guards against a claim that lands after its machine was released and forgotten.
    start_cluster();
    cluster.add_machine("vm-500000", "a");
    cluster.cloud.capacity = 0;
    cluster.run_for(6);
    cluster.submit_and_wait(0, cluster.make_job(1, JobKind::service));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 1; }, 20));
    const Json* block = cluster.store.find("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    Json late = *block;
    late["attempt"] = 9;
    late["placed"]["0"][0] = "vm-999999";
    late["placed"]["0"][2] = 9;
    cluster.store.put("c/b/req-000001/0", late);
    EXPECT_TRUE(cluster.run_until(
        [&] {
            const Json* now = cluster.store.find("c/b/req-000001/0");
            return now != nullptr && now->at("placed").contains("0") &&
                   now->at("placed").at("0").at(0) == "vm-500000";
        },
        60));
}

TEST_F(ClaimTest, OneClaimOverMachinesOfTwoZonesKeepsAJobTogether) {
    // A lone member owns the machines of all zones, and claims on several at once.
    start_cluster();
    cluster.cloud.capacity = 0;
    cluster.add_machine("vm-500000", "a");
    cluster.add_machine("vm-500001", "b");
    cluster.run_for(6);
    auto job = cluster.make_job(1, JobKind::array, 12);
    job.same_zone = true;
    cluster.submit_and_wait(0, job);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks("req-000001") == 8; }, 20));
    cluster.run_for(5);  // SimulatedCluster checks the zone at every start
    auto places = cluster.machines_running("req-000001");
    EXPECT_EQ(std::set<std::string>(places.begin(), places.end()).size(), 1U);
}

}  // namespace
}  // namespace cranemoor::test

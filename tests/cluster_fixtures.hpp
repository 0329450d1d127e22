/// Test fixtures with a simulated cluster.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "simulated_cluster.hpp"

namespace cranemoor::test {

/// A cluster of one controller by default. Each test fails if an invariant was violated.
struct ClusterTest : ::testing::Test {
    explicit ClusterTest(int nodes = 1) : cluster(nodes) {}
    SimulatedCluster cluster;
    /// Starts all nodes and waits until all are members of an epoch of `nodes` members.
    void start_cluster(std::size_t nodes = 1) {
        cluster.start_all();
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(nodes); }, 10));
        cluster.run_for(1);
    }
    void TearDown() override {
        EXPECT_EQ(cluster.invariants.violations, std::vector<std::string>());
    }
};

/// A cluster of three controllers.
struct ThreeControllerTest : ClusterTest {
    ThreeControllerTest() : ClusterTest(3) {}
};

/// Three controllers and one machine in each of their zones, each owned by one controller.
struct ThreeZoneTest : ThreeControllerTest {
    void SetUp() override {
        cluster.workers.task_run_s = 1000;
        cluster.tunables.idle_release_s = 1000;
        for (const char* zone : {"a", "b", "c"}) {
            cluster.add_machine(std::string("vm-50000") + zone, zone);
        }
        start_cluster(3);
    }
};

/// Jobs whose tasks take half of a machine each, and queries for attempts and owners.
struct HalfMachineJobTest : ThreeZoneTest {
    /// The uid of make_job(number).
    static std::string job_uid(int number) { return fmt::format("req-{:06}", number); }
    /// Submits a job whose tasks take half of a machine each, and waits until all of them run.
    void run_job(int number, JobKind kind, int tasks, const char* zone = nullptr) {
        auto spec = cluster.make_job(number, kind, tasks);
        spec.task_resources = {30, 4, 200};
        if (zone != nullptr) {
            spec.zone = zone;
        }
        ASSERT_EQ(cluster.submit_and_wait(1, spec).status, 201);
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.running_tasks(job_uid(number)) == tasks; }, 40));
    }
    /// Number of attempts of a job's tasks over all machines, exited ones included.
    int attempts_on_machines(int number) {
        int count = 0;
        for (const auto& [name, worker] : cluster.machines) {
            for (const auto& [id, attempts] : worker.tasks) {
                count += id.uid == job_uid(number) ? static_cast<int>(attempts.size()) : 0;
            }
        }
        return count;
    }
    /// The node whose controller has adopted a machine; -1 if there is none.
    int owner_of(const std::string& machine) {
        for (int node = 0; node < 3; ++node) {
            if (cluster.is_alive(node) &&
                cluster.controller(node).agent_manager().registry().adopted(machine)) {
                return node;
            }
        }
        return -1;
    }
};

/// A heartbeat of a machine without tasks, in its first agent epoch.
inline Heartbeat heartbeat_without_tasks(const std::string& name, const std::string& zone,
                                         Token token, std::uint64_t seq) {
    return {name, name, "t8", zone, false, 1, seq, token, std::nullopt, {}};
}

}  // namespace cranemoor::test

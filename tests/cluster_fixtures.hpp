// Test fixtures with a simulated cluster.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "simulated_cluster.hpp"

namespace cranemoor::test {

/// A cluster of one controller, unless more are named. Fails if a rule of the protocol was
/// violated.
struct ClusterTest : ::testing::Test {
    explicit ClusterTest(int nodes = 1) : cluster(nodes) {}
    SimulatedCluster cluster;
    /// Starts all nodes and waits until each is a member of the epoch.
    void begin(std::size_t nodes = 1) {
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

/// Three controllers and a machine in each of their zones, each owned by one of them.
struct ThreeZoneTest : ThreeControllerTest {
    void SetUp() override {
        cluster.workers.task_run_s = 1000;
        cluster.tunables.idle_return_s = 1000;
        for (const char* zone : {"a", "b", "c"}) {
            cluster.add_machine(std::string("vm-50000") + zone, zone);
        }
        begin(3);
    }
};

/// Jobs of which each task takes half of a machine, and who owns which machine.
struct HalfMachineJobTest : ThreeZoneTest {
    /// The uid of make_job(n).
    static std::string uid(int n) { return fmt::format("req-{:06}", n); }
    /// Submits a job whose tasks fill half a machine each, and waits until it runs.
    void run_job(int n, JobKind kind, int tasks, const char* zone = nullptr) {
        auto s = cluster.make_job(n, kind, tasks);
        s.task_resources = {30, 4, 200};
        if (zone != nullptr) {
            s.zone = zone;
        }
        ASSERT_EQ(cluster.submit_and_wait(1, s).status, 201);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.running_tasks(uid(n)) == tasks; }, 40));
    }
    /// Attempts of a job's tasks that are on any machine.
    int attempts(int n) {
        int found = 0;
        for (const auto& [name, m] : cluster.machines) {
            for (const auto& [id, list] : m.tasks) {
                found += id.uid == uid(n) ? static_cast<int>(list.size()) : 0;
            }
        }
        return found;
    }
    /// The node whose controller owns a machine; -1 if none does.
    int owner_of(const std::string& machine) {
        for (int i = 0; i < 3; ++i) {
            if (cluster.is_alive(i) &&
                cluster.controller(i).agent_manager().registry().adopted(machine)) {
                return i;
            }
        }
        return -1;
    }
};

/// A heartbeat of a machine without tasks, in its first session.
inline Heartbeat bare_heartbeat(const std::string& name, const std::string& zone, Token token,
                                std::uint64_t seq) {
    return {name, name, "t8", zone, false, 1, seq, token, std::nullopt, {}};
}

}  // namespace cranemoor::test

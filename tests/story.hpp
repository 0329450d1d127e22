// What the stories share.
#pragma once

#include <gtest/gtest.h>

#include "world.hpp"

namespace cranemoor::test {

struct Story : ::testing::Test {
    explicit Story(int nodes = 1) : w(nodes) {}
    World w;
    void begin(std::size_t nodes = 1) {
        w.start_all();
        ASSERT_TRUE(w.until([&] { return w.all_members(nodes); }, 10));
        w.run(1);
    }
    void TearDown() override { EXPECT_EQ(w.broken, std::vector<std::string>()); }
};

struct Three : Story {
    Three() : Story(3) {}
};

// Three controllers and a machine in each of their zones, each owned by one of them.
struct Zones : Three {
    void SetUp() override {
        w.run_s = 1000;
        w.tunables.idle_return_s = 1000;
        for (const char* zone : {"a", "b", "c"}) {
            w.add_machine(std::string("vm-50000") + zone, zone);
        }
        begin(3);
    }
};

// Jobs that take half of a machine, and who holds what.
struct Meeting : Zones {
    static std::string uid(int n) { return fmt::format("req-{:06}", n); }
    // A job whose tasks fill half a machine each, running.
    void run_job(int n, JobKind kind, int tasks, const char* zone = nullptr) {
        auto s = w.job(n, kind, tasks);
        s.each = {30, 4, 200};
        if (zone != nullptr) {
            s.zone = zone;
        }
        ASSERT_EQ(w.submit_and_wait(1, s).status, 201);
        ASSERT_TRUE(w.until([&] { return w.running(uid(n)) == tasks; }, 40));
    }
    // Attempts of a task that are on any machine.
    int attempts(int n) {
        int found = 0;
        for (const auto& [name, m] : w.machines) {
            for (const auto& [id, list] : m.tasks) {
                found += id.uid == uid(n) ? static_cast<int>(list.size()) : 0;
            }
        }
        return found;
    }
    int holder(const std::string& machine) {
        for (int i = 0; i < 3; ++i) {
            if (w.alive(i) && w.node(i).fleet().adopted(machine)) {
                return i;
            }
        }
        return -1;
    }
};

}  // namespace cranemoor::test

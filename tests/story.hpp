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

}  // namespace cranemoor::test

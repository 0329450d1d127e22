// Checks of the format of stored records.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::test {

using namespace core;

/// Expects every field that the version before reads without asking whether it is there: it ends if
/// one is missing or of another type.
inline void expect_readable_by_production(const std::string& key, const Json& v) {
    SCOPED_TRACE(key + " " + v.dump());
    std::string kind = key.substr(0, 4);
    auto job = [](const Json& j) {
        for (const char* f : {"uid", "class", "team", "image"}) {
            EXPECT_TRUE(j.at(f).is_string()) << f;
        }
        for (const char* f : {"kind", "priority", "tasks", "block_size"}) {
            EXPECT_TRUE(j.at(f).is_number_integer()) << f;
        }
        for (const char* f :
             {"image_gb", "estimate_s", "checkpoint_s", "save_s", "submitted", "cancelled"}) {
            EXPECT_TRUE(j.at(f).is_number()) << f;
        }
        for (const char* f : {"together", "spread", "spot"}) {
            EXPECT_TRUE(j.at(f).is_boolean()) << f;
        }
        EXPECT_EQ(j.at("each").size(), 3U);
    };
    if (key == "c/epoch") {
        EXPECT_TRUE(v.at("number").is_number_unsigned());
        EXPECT_TRUE(v.at("members").is_array());
    } else if (kind == "c/m/") {
        EXPECT_TRUE(v.at("name").is_string() && v.at("zone").is_string() &&
                    v.at("boot").is_string() && v.at("id").is_number_unsigned());
    } else if (kind == "c/j/") {
        job(v);
    } else if (kind == "c/a/") {
        for (const auto& each : v.at("jobs")) {
            job(each);
        }
    } else if (kind == "c/b/") {
        EXPECT_TRUE(v.at("attempt").is_number_unsigned());
        for (const auto& [task, p] : v.at("placed").items()) {
            EXPECT_TRUE(p.at(0).is_string() && p.at(1).is_string() &&
                        p.at(2).is_number_unsigned() && p.at(3).is_number_unsigned());
        }
        for (const auto& range : v.at("done")) {
            EXPECT_TRUE(range.at(0).is_number_integer() && range.at(1).is_number_integer());
        }
        if (v.contains("final")) {
            EXPECT_TRUE(v.at("final").at("state").is_string());
            EXPECT_TRUE(v.at("final").at("tasks").is_number_integer());
        }
    } else if (kind == "c/q/") {
        EXPECT_TRUE(v.at("held").is_object());
    } else if (kind == "c/x/") {
        EXPECT_TRUE(v.at("why").is_string() && v.at("fence").is_boolean() &&
                    v.at("machines").is_array() && v.at("gone").is_array());
    } else {
        // Ignored by production: nothing that it needs to know may be there alone.
        EXPECT_TRUE(kind == "c/v/" || kind == "c/p/" || kind == "c/l/");
    }
}

}  // namespace cranemoor::test

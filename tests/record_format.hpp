/// Checks of the format of stored records.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::test {

using namespace core;

/// Expects every field that the previous version reads without checking that it exists; that
/// version terminates if one is missing or has another type.
inline void expect_readable_by_previous_version(const std::string& key, const Json& record) {
    SCOPED_TRACE(key + " " + record.dump());
    std::string kind = key.substr(0, 4);
    auto expect_job = [](const Json& job) {
        for (const char* field : {"uid", "class", "team", "image"}) {
            EXPECT_TRUE(job.at(field).is_string()) << field;
        }
        for (const char* field : {"kind", "priority", "tasks", "block_size"}) {
            EXPECT_TRUE(job.at(field).is_number_integer()) << field;
        }
        for (const char* field :
             {"image_gb", "estimate_s", "checkpoint_s", "save_s", "submitted", "cancelled"}) {
            EXPECT_TRUE(job.at(field).is_number()) << field;
        }
        for (const char* field : {"together", "spread", "spot"}) {
            EXPECT_TRUE(job.at(field).is_boolean()) << field;
        }
        EXPECT_EQ(job.at("each").size(), 3U);
    };
    if (key == "c/epoch") {
        EXPECT_TRUE(record.at("number").is_number_unsigned());
        EXPECT_TRUE(record.at("members").is_array());
    } else if (kind == "c/m/") {
        EXPECT_TRUE(record.at("name").is_string() && record.at("zone").is_string() &&
                    record.at("boot").is_string() && record.at("id").is_number_unsigned());
    } else if (kind == "c/j/") {
        expect_job(record);
    } else if (kind == "c/a/") {
        for (const auto& job : record.at("jobs")) {
            expect_job(job);
        }
    } else if (kind == "c/b/") {
        EXPECT_TRUE(record.at("attempt").is_number_unsigned());
        for (const auto& [task, placement] : record.at("placed").items()) {
            EXPECT_TRUE(placement.at(0).is_string() && placement.at(1).is_string() &&
                        placement.at(2).is_number_unsigned() &&
                        placement.at(3).is_number_unsigned());
        }
        for (const auto& range : record.at("done")) {
            EXPECT_TRUE(range.at(0).is_number_integer() && range.at(1).is_number_integer());
        }
        if (record.contains("final")) {
            EXPECT_TRUE(record.at("final").at("state").is_string());
            EXPECT_TRUE(record.at("final").at("tasks").is_number_integer());
        }
    } else if (kind == "c/q/") {
        EXPECT_TRUE(record.at("held").is_object());
    } else if (kind == "c/x/") {
        EXPECT_TRUE(record.at("why").is_string() && record.at("fence").is_boolean() &&
                    record.at("machines").is_array() && record.at("gone").is_array());
    } else {
        // Ignored by the previous version: no data that it needs may be stored only in these
        // records.
        EXPECT_TRUE(kind == "c/v/" || kind == "c/p/" || kind == "c/l/");
    }
}

}  // namespace cranemoor::test

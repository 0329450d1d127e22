#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "samples.hpp"

namespace cranemoor::config {
namespace {

const std::string& valid_settings = test::sample_settings;

std::string settings_error(const std::string& text) {
    try {
        parse_settings(text, "s.toml");
    } catch (const Error& error) {
        return error.what();
    }
    return "";
}

TEST(Settings, ParsesRequiredFieldsAndIgnoresUnknownOnes) {
    auto settings = parse_settings(valid_settings, "s.toml");
    EXPECT_EQ(settings.peers.at(0).name, "n1");
    EXPECT_EQ(settings.teams.at(0).limit.gpus, 8.0);
    // Integers are accepted for floating-point fields.
    EXPECT_EQ(settings.store_requests_per_s, 150.0);
    EXPECT_EQ(settings.max_connections, 1800);
}

TEST(Settings, AnnouncedLowerLimitsApplyImmediately) {
    auto settings = parse_settings(valid_settings, "s.toml");
    EXPECT_EQ(settings.store_value_kb_max, settings.store_current_value_kb_max);
    auto announced =
        valid_settings + "[settings.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    settings = parse_settings(announced, "s.toml");
    EXPECT_EQ(settings.store_writes_per_s, 35.0);
    EXPECT_EQ(settings.store_value_kb_max, 2.0);
    EXPECT_EQ(settings.store_current_value_kb_max, 8.0);
    EXPECT_EQ(settings.store_txn_ops_max, 4);
    // Limits that are not announced, or announced larger, stay unchanged.
    settings = parse_settings(valid_settings + "[settings.state.next]\nvalue_kb = 64\n", "s.toml");
    EXPECT_EQ(settings.store_value_kb_max, 8.0);
    EXPECT_EQ(settings.store_txn_ops_max, 12);
    EXPECT_NE(
        settings_error(valid_settings + "[settings.state.next]\ntxn_ops = 1\n").find("txn_ops"),
        std::string::npos);
}

TEST(Settings, ErrorNamesTheMissingOrInvalidField) {
    for (const char* line : {"node_name = \"n0\"", "lease_s = 24.0", "txn_ops = 12",
                             "cloud = \"127.0.0.1:4\"", R"(zones = ["a", "b"])"}) {
        auto text = valid_settings;
        text.erase(text.find(line), std::string(line).size());
        std::string key = std::string(line).substr(0, std::string(line).find(' '));
        EXPECT_NE(settings_error(text).find(key), std::string::npos) << line;
    }
    auto invalid = valid_settings;
    invalid.replace(invalid.find("lease_s = 24.0"), 14, "lease_s = \"x\" ");
    EXPECT_NE(settings_error(invalid).find("settings.workers.lease_s"), std::string::npos);
    EXPECT_NE(settings_error("a = ").find("line 1"), std::string::npos);
}

std::string operators_error(const std::string& text) {
    try {
        parse_tunables(text, "o.xml");
    } catch (const Error& error) {
        return error.what();
    }
    return "";
}

TEST(Operators, ElementsAreParsedAndRangeChecked) {
    auto tunables =
        parse_tunables("<cranemoor><locality-wait-s>7.5</locality-wait-s></cranemoor>", "o");
    EXPECT_EQ(tunables.locality_wait_s, 7.5);
    EXPECT_EQ(tunables.worker_timeout_s, core::Tunables().worker_timeout_s);
    EXPECT_NE(operators_error("<cranemoor>\n<silence-s>1</silence-s></cranemoor>").find("line 2"),
              std::string::npos);
    EXPECT_NE(operators_error("<cranemoor><silence-s>9x</silence-s></cranemoor>"), "");
}

TEST(Operators, WorkerTimeoutTooShortForTheHeartbeatIntervalIsRejected) {
    core::Settings settings;
    settings.heartbeat_interval_s = 8;
    core::Tunables tunables;
    EXPECT_NO_THROW(validate_tunables(settings, tunables));  // unset: derived from the settings
    tunables.worker_timeout_s = 30;
    EXPECT_NO_THROW(validate_tunables(settings, tunables));
    tunables.worker_timeout_s = 9;
    EXPECT_THROW(validate_tunables(settings, tunables), Error);
}

TEST(Operators, UnknownOrUnclosedElementsGiveAnErrorThatNamesTheLine) {
    auto error = operators_error("<cranemoor>\n\n  <wibble>1</wibble>\n</cranemoor>");
    EXPECT_NE(error.find("line 3"), std::string::npos);
    EXPECT_NE(error.find("wibble"), std::string::npos);
    EXPECT_NE(operators_error("<other/>"), "");
    EXPECT_NE(operators_error("<cranemoor>").find("line 1"), std::string::npos);
}

}  // namespace
}  // namespace cranemoor::config

#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "samples.hpp"

namespace cranemoor::config {
namespace {

const std::string& good = test::sample_settings;

std::string error_of(const std::string& text) {
    try {
        parse_settings(text, "s.toml");
    } catch (const Error& e) {
        return e.what();
    }
    return "";
}

TEST(Settings, ReadsWhatIsNeededAndIgnoresWhatIsUnknown) {
    auto s = parse_settings(good, "s.toml");
    EXPECT_EQ(s.peers.at(0).name, "n1");
    EXPECT_EQ(s.teams.at(0).limit.gpus, 8.0);
    EXPECT_EQ(s.store_requests_per_s, 150.0);  // whole numbers serve as amounts too
    EXPECT_EQ(s.max_connections, 1800);
}

TEST(Settings, AnnouncedLimitsAreKeptToFromTheStart) {
    auto s = parse_settings(good, "s.toml");
    EXPECT_EQ(s.store_value_kb_max, s.store_current_value_kb_max);
    auto next = good + "[settings.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    s = parse_settings(next, "s.toml");
    EXPECT_EQ(s.store_writes_per_s, 35.0);
    EXPECT_EQ(s.store_value_kb_max, 2.0);
    EXPECT_EQ(s.store_current_value_kb_max, 8.0);
    EXPECT_EQ(s.store_txn_ops_max, 4);
    // Only what is announced, and only what is smaller.
    s = parse_settings(good + "[settings.state.next]\nvalue_kb = 64\n", "s.toml");
    EXPECT_EQ(s.store_value_kb_max, 8.0);
    EXPECT_EQ(s.store_txn_ops_max, 12);
    EXPECT_NE(error_of(good + "[settings.state.next]\ntxn_ops = 1\n").find("txn_ops"),
              std::string::npos);
}

TEST(Settings, AMissingOrWrongFieldIsNamedInOneLine) {
    for (const char* line : {"node_name = \"n0\"", "lease_s = 24.0", "txn_ops = 12",
                             "cloud = \"127.0.0.1:4\"", R"(zones = ["a", "b"])"}) {
        auto text = good;
        text.erase(text.find(line), std::string(line).size());
        std::string key = std::string(line).substr(0, std::string(line).find(' '));
        EXPECT_NE(error_of(text).find(key), std::string::npos) << line;
    }
    auto wrong = good;
    wrong.replace(wrong.find("lease_s = 24.0"), 14, "lease_s = \"x\" ");
    EXPECT_NE(error_of(wrong).find("settings.workers.lease_s"), std::string::npos);
    EXPECT_NE(error_of("a = ").find("line 1"), std::string::npos);
}

std::string operators_error(const std::string& text) {
    try {
        parse_tunables(text, "o.xml");
    } catch (const Error& e) {
        return e.what();
    }
    return "";
}

TEST(Operators, ElementsAreReadAndRangeChecked) {
    auto t = parse_tunables("<cranemoor><locality-wait-s>7.5</locality-wait-s></cranemoor>", "o");
    EXPECT_EQ(t.locality_wait_s, 7.5);
    EXPECT_EQ(t.worker_timeout_s, core::Tunables().worker_timeout_s);
    EXPECT_NE(operators_error("<cranemoor>\n<silence-s>1</silence-s></cranemoor>").find("line 2"),
              std::string::npos);
    EXPECT_NE(operators_error("<cranemoor><silence-s>9x</silence-s></cranemoor>"), "");
}

TEST(Operators, ASilenceShorterThanTheReportsAreApartIsRefused) {
    core::Settings settings;
    settings.heartbeat_interval_s = 8;
    core::Tunables tunables;
    EXPECT_NO_THROW(validate_tunables(settings, tunables));  // unset: it follows the settings
    tunables.worker_timeout_s = 30;
    EXPECT_NO_THROW(validate_tunables(settings, tunables));
    tunables.worker_timeout_s = 9;
    EXPECT_THROW(validate_tunables(settings, tunables), Error);
}

TEST(Operators, AnUnknownElementIsAnErrorThatNamesItsLine) {
    auto e = operators_error("<cranemoor>\n\n  <wibble>1</wibble>\n</cranemoor>");
    EXPECT_NE(e.find("line 3"), std::string::npos);
    EXPECT_NE(e.find("wibble"), std::string::npos);
    EXPECT_NE(operators_error("<other/>"), "");
    EXPECT_NE(operators_error("<cranemoor>").find("line 1"), std::string::npos);
}

}  // namespace
}  // namespace cranemoor::config

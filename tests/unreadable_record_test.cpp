// Records in the key-value store that no version of the program writes.
#include <algorithm>

#include "cluster_fixtures.hpp"
#include "core/store/record_keys.hpp"

namespace cranemoor::test {
namespace {

struct UnreadableRecordTest : ThreeControllerTest {
    bool is_logged(const std::string& text) const {
        return std::any_of(cluster.log_lines.begin(), cluster.log_lines.end(),
                           [&](const auto& line) { return line.find(text) != std::string::npos; });
    }
};

TEST_F(UnreadableRecordTest, NoControllerEndsOrDecidesUntilTheRecordCanBeRead) {
    const std::vector<std::pair<std::string, Json>> records = {
        {keys::job("req-000009"), {{"uid", 7}}},
        {keys::job_listing(1, 900), {{"jobs", {{{"uid", "req-000009"}}}}}},
        {keys::block("req-000009", 0), {{"attempt", 1}, {"placed", {{"x", 1}}}, {"done", {}}}},
        {keys::page("req-000009", 0), "text"},
        {keys::dependencies("req-000009", 0), nullptr},
        {keys::feature_level("n9"), {{"level", "high"}}},
        {keys::claim_batch(1, 900), {{"zones", {"a"}}, {"entries", {{"req-000009"}}}}},
        {keys::quota("red"), {{"held", {{"x", {1, 2, 3}}}}}},
        {keys::cordon_batch(1, 900), {{"why", 1}}},
        {keys::member("n9"), {{"name", -1}}},
    };
    start_cluster(3);
    int number = 0;
    for (const auto& [key, value] : records) {
        SCOPED_TRACE(key);
        cluster.store.put(key, value);
        cluster.run_for(2);
        EXPECT_TRUE(is_logged("record " + key + " at revision"));
        EXPECT_EQ(cluster.submit_and_wait(0, cluster.make_job(++number)).status, 503);
        cluster.kill(1);
        cluster.start(1);
        cluster.run_for(2);
        cluster.store.erase(key);
        ASSERT_TRUE(cluster.run_until([&] { return cluster.all_members(3); }, 10));
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.submit_and_wait(0, cluster.make_job(number)).status == 201; },
            10));
    }
    for (; number > 0; --number) {
        auto uid = cluster.make_job(number).uid;
        EXPECT_TRUE(cluster.run_until([&] { return cluster.is_finished(uid); }, 60)) << uid;
    }
}

TEST_F(UnreadableRecordTest, AnUnreadableFinalStateIsNoAnswer) {
    start_cluster(3);
    const std::string key = keys::final_state("req-000009");
    cluster.store.put(key, {{"state", 1}});
    cluster.submit_and_wait(0, cluster.make_job(1));  // brings the replicas to that revision
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000009").status, 503);
    EXPECT_TRUE(is_logged("record " + key + " at revision"));
    cluster.store.erase(key);
    cluster.submit_and_wait(0, cluster.make_job(2));
    EXPECT_EQ(cluster.poll_and_wait(0, "req-000009").status, 404);
}

}  // namespace
}  // namespace cranemoor::test

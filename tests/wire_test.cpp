// Message decoders on valid, unusual and malformed input.
#include <gtest/gtest.h>

#include <array>
#include <cmath>

#include "wire/cbor.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/peer_messages.hpp"
#include "wire/store_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor::wire {
namespace {

using namespace core;

Json submission() {
    return {{"uid", "req-000412"}, {"flock", "train"},    {"crew", "vision"}, {"gait", "gang"},
            {"rank", "high"},      {"hatchlings", 16},    {"cpus", 8.0},      {"gpus", 1.0},
            {"mem_gb", 64.0},      {"plumage", "img-07"}, {"size_gb", 6.2},   {"breeds", {"g8"}},
            {"marsh", nullptr},    {"together", true},    {"spread", false},  {"driftwood", true},
            {"flight_s", 240.0},   {"nestmark_s", 30.0},  {"preen_s", 4.0},   {"dusk_s", 900.0}};
}

TEST(Wire, DecodesASubmission) {
    auto decoded = decode_submission(encode_cbor(submission()));
    const JobSpec* job = decoded ? &*decoded : nullptr;
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->uid, "req-000412");
    EXPECT_EQ(job->kind, JobKind::gang);
    EXPECT_EQ(job->priority, Priority::high);
    EXPECT_EQ(job->tasks, 16);
    EXPECT_EQ(job->machine_types, std::vector<std::string>{"g8"});
    EXPECT_FALSE(job->zone);
    EXPECT_EQ(job->deadline_s, 900.0);
}

TEST(Wire, NullableFieldsMayBeMissingAndUnknownFieldsAreIgnored) {
    auto fields = submission();
    fields.erase("breeds");
    fields.erase("marsh");
    fields.erase("dusk_s");
    fields["plume_colour"] = "red";
    auto decoded = decode_submission(encode_cbor(fields));
    EXPECT_TRUE(decoded);
}

TEST(Wire, RequiredFieldsMissingOrOfTheWrongTypeAreRejected) {
    const Json valid = submission();
    for (const auto& [key, value] : valid.items()) {
        if (key == "breeds" || key == "marsh" || key == "dusk_s") {
            continue;
        }
        auto without = submission();
        without.erase(key);
        EXPECT_FALSE(decode_submission(encode_cbor(without))) << key;
        auto wrong = submission();
        wrong[key] = Json::array();
        EXPECT_FALSE(decode_submission(encode_cbor(wrong))) << key;
    }
}

TEST(Wire, InvalidFieldValuesAreRejectedWithTheFieldName) {
    const auto cases = std::to_array<std::pair<const char*, Json>>({{"hatchlings", 0},
                                                                    {"hatchlings", 100001},
                                                                    {"hatchlings", 1.5},
                                                                    {"hatchlings", -1},
                                                                    {"cpus", -1.0},
                                                                    {"cpus", std::nan("")},
                                                                    {"gait", "swarm"},
                                                                    {"rank", "urgent"},
                                                                    {"together", 1},
                                                                    {"breeds", {1}},
                                                                    {"marsh", 7},
                                                                    {"dusk_s", "soon"}});
    for (const auto& [key, value] : cases) {
        auto fields = submission();
        fields[key] = value;
        auto decoded = decode_submission(encode_cbor(fields));
        ASSERT_FALSE(decoded) << key;
        EXPECT_EQ(decoded.error().uid, "req-000412");
        EXPECT_EQ(decoded.error().error.field, key);
        const std::string& message = decoded.error().error.message;
        EXPECT_NE(message.find(key), std::string::npos) << message;
    }
    for (const char* uid : {"", "req-", "job-000412", "req-12a", "req-000412/1"}) {
        auto fields = submission();
        fields["uid"] = uid;
        auto decoded = decode_submission(encode_cbor(fields));
        ASSERT_FALSE(decoded) << uid;
        EXPECT_FALSE(decoded.error().uid);
    }
}

TEST(Wire, DependenciesAreAListOfJobUidsWithoutDuplicates) {
    auto fields = submission();
    for (const Json& empty : {Json(nullptr), Json::array()}) {
        fields["follows"] = empty;
        EXPECT_TRUE(decode_submission(encode_cbor(fields))->depends_on.empty());
    }
    fields["follows"] = {"req-000405", "req-000398", "req-000405"};
    std::vector<std::string> once = {"req-000398", "req-000405"};
    EXPECT_EQ(decode_submission(encode_cbor(fields))->depends_on, once);
    for (const Json& wrong :
         {Json("req-000398"), Json({1}), Json({"req-000398", ""}), Json({"000398"})}) {
        fields["follows"] = wrong;
        auto decoded = decode_submission(encode_cbor(fields));
        ASSERT_FALSE(decoded) << wrong;
        EXPECT_EQ(decoded.error().error.message, "field missing or invalid: follows");
        EXPECT_EQ(decoded.error().uid, "req-000412");
    }
}

TEST(Wire, SubmissionWithInvalidUtf8IsRejected) {
    // Text that is not UTF-8 cannot be serialized into a record, and the attempt ended the process.
    auto fields = submission();
    fields["flock"] = "\xff\xfe";
    auto decoded = decode_submission(encode_cbor(fields));
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().error.message, "not UTF-8");
    EXPECT_EQ(decoded.error().uid, "req-000412");
}

TEST(Wire, HeartbeatWithInvalidUtf8IsRejected) {
    // Machine and zone are written into records: serializing invalid text would end the process.
    Heartbeat heartbeat{"vm-1", "10.0.0.1:1", "t8", "a", false, 1, 1, 0, std::nullopt, {}};
    ASSERT_TRUE(decode_heartbeat(encode_heartbeat(heartbeat)));
    for (auto* text : {&heartbeat.machine, &heartbeat.zone, &heartbeat.type}) {
        auto valid = std::exchange(*text, "\xff\xfe");
        EXPECT_FALSE(decode_heartbeat(encode_heartbeat(heartbeat)));
        *text = valid;
    }
}

TEST(Wire, PeerReplyWithANonStringHomeIsRejected) {
    // A reply whose "home" was not a string ended the process (found with generated messages).
    Json reply = {{"status", 421}, {"token", 1}, {"home", 7}, {"commands", Json::array()}};
    EXPECT_FALSE(decode_peer_reply(encode_cbor(reply)));
    reply["home"] = "";
    EXPECT_TRUE(decode_peer_reply(encode_cbor(reply)));
}

TEST(Wire, InvalidCborIsRejectedAtAnyNestingDepth) {
    EXPECT_FALSE(decode_cbor(""));
    EXPECT_FALSE(decode_cbor("{\"uid\":1}"));
    EXPECT_FALSE(decode_cbor(encode_cbor(submission()) + "x"));
    auto text = encode_cbor(submission());
    for (std::size_t n = 0; n < text.size(); ++n) {
        EXPECT_FALSE(decode_cbor(text.substr(0, n))) << n;
    }
    // Arrays or maps nested 65536 deep must not exhaust the stack.
    EXPECT_FALSE(decode_cbor(std::string(64UL * 1024, '\x81')));
    EXPECT_FALSE(decode_cbor(std::string(64UL * 1024, '\xa1')));
    EXPECT_FALSE(decode_cbor(std::string("\x41z", 2)));  // byte string
    EXPECT_FALSE(decode_submission(encode_cbor(Json::array())));
}

TEST(Wire, HeartbeatAndPeerReplyRoundTrip) {
    Heartbeat heartbeat{"vm-1",
                        "10.1.0.1:9",
                        "g8",
                        "a",
                        true,
                        2,
                        88,
                        41,
                        7.5,
                        {{{"req-000412", 3}, 2, TaskState::running, ExitReason::none, false},
                         {{"req-000398", 0}, 1, TaskState::exited, ExitReason::stopped, true}}};
    auto decoded = decode_heartbeat(*decode_cbor(encode_cbor(encode_heartbeat(heartbeat))));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->agent_epoch, 2U);
    EXPECT_EQ(decoded->interruption_notice_s, 7.5);
    ASSERT_EQ(decoded->tasks.size(), 2U);
    EXPECT_EQ(decoded->tasks[1].exit_reason, ExitReason::stopped);
    EXPECT_TRUE(decoded->tasks[1].saved);
    WorkerReply reply{0, 200, 41, "", {{Command::Kind::stop, {"req-000412", 3}, 2, 10}}};
    auto decoded_reply = decode_peer_reply(encode_peer_reply(reply));
    ASSERT_TRUE(decoded_reply);
    EXPECT_EQ(decoded_reply->commands[0].grace_s, 10);
    EXPECT_EQ(decoded_reply->token, 41U);
}

TEST(Wire, PeerCallRoundTripsWithAndWithoutALeaseHeartbeat) {
    PeerCall call;
    call.has_store_contact = true;
    auto without_lease = decode_peer_call(encode_peer_call("n1", call));
    ASSERT_TRUE(without_lease);
    EXPECT_FALSE(without_lease->call.lease);
    LeaseHeartbeat& lease = call.lease.emplace();
    lease.heartbeat.boot_id = "b1";
    lease.heartbeat.sequence_number = 7;
    lease.heartbeat.acknowledged_boot_id = "b2";
    lease.heartbeat.acknowledged_sequence_number = 9;
    lease.heartbeat.relies_on_leases = true;
    lease.heartbeat.grant = read_leases::Grant::full;
    lease.cancelled.push_back({"req-000412", 1.7e9 + 0.25});
    auto decoded = decode_peer_call(encode_peer_call("n1", call));
    ASSERT_TRUE(decoded && decoded->call.lease);
    const auto& heartbeat = decoded->call.lease->heartbeat;
    EXPECT_EQ(std::tie(heartbeat.boot_id, heartbeat.acknowledged_boot_id),
              std::make_tuple("b1", "b2"));
    EXPECT_EQ(std::tie(heartbeat.sequence_number, heartbeat.acknowledged_sequence_number,
                       heartbeat.relies_on_leases),
              std::make_tuple(7U, 9U, true));
    EXPECT_EQ(heartbeat.grant, read_leases::Grant::full);
    ASSERT_EQ(decoded->call.lease->cancelled.size(), 1U);
    EXPECT_EQ(decoded->call.lease->cancelled[0].uid, "req-000412");
    EXPECT_EQ(decoded->call.lease->cancelled[0].cancelled_wall, 1.7e9 + 0.25);
    auto invalid = *decode_cbor(encode_peer_call("n1", call));
    invalid["lease"]["grant"] = "perhaps";
    EXPECT_FALSE(decode_peer_call(encode_cbor(invalid)));
}

TEST(Wire, HeartbeatWithMalformedTasksIsRejectedButUnknownCausesAreAccepted) {
    auto valid = encode_heartbeat({"vm-1", "x:1", "g8", "a", false, 1, 1, 0, std::nullopt, {}});
    ASSERT_TRUE(decode_heartbeat(valid));
    for (const char* task : {"req-000412", "/3", "req-000412/", "req-000412/x", "a/999999999"}) {
        auto invalid = valid;
        invalid["hatchlings"] = {{{"hatchling", task}, {"launch", 1}, {"stance", "running"}}};
        EXPECT_FALSE(decode_heartbeat(invalid)) << task;
    }
    auto unknown_cause = valid;
    unknown_cause["hatchlings"] = {
        {{"hatchling", "req-000412/1"}, {"launch", 1}, {"stance", "ended"}, {"cause", "meteor"}}};
    // A cause that only a later version knows still ends the task.
    ASSERT_TRUE(decode_heartbeat(unknown_cause));
    EXPECT_EQ(decode_heartbeat(unknown_cause)->tasks[0].exit_reason, ExitReason::other);
}

TEST(Wire, StoreRepliesAreClassifiedByStatus) {
    StoreCall txn;
    auto status = [&](int code, const Json& body) {
        return decode_store_reply(txn, code, encode_cbor(body))->status;
    };
    using S = StoreReply::Status;
    EXPECT_EQ(status(200, {{"tide", 432}}), S::ok);
    EXPECT_EQ(status(409, {{"failed", {"a/b"}}, {"tide", 431}}), S::conflict);
    EXPECT_EQ(status(404, {{"tide", 1}}), S::not_found);
    EXPECT_EQ(status(410, Json::object()), S::compacted);
    EXPECT_EQ(status(429, Json::object()), S::refused);
    EXPECT_EQ(status(503, Json::object()), S::refused);
    EXPECT_EQ(status(400, {{"error", "no such lease"}}), S::bad_request);
    EXPECT_EQ(status(500, Json::object()), S::unknown);
    StoreCall watch;
    watch.kind = StoreCall::Kind::watch;
    auto reply =
        decode_store_reply(watch, 200,
                           encode_cbor({{"tide", 433},
                                        {"log",
                                         {{{"put", "c/9"}, {"value", {{"a", 1}}}, {"ripple", 433}},
                                          {{"drop", "c/d"}, {"ripple", 432}}}}}));
    ASSERT_EQ(reply->events.size(), 2U);
    EXPECT_EQ(reply->events[0].key, "c/d");  // sorted by revision
    EXPECT_FALSE(reply->events[0].value);
    EXPECT_FALSE(decode_store_reply(watch, 200, ""));
}

TEST(Wire, CloudRepliesAreClassifiedByStatus) {
    CloudCall launch;
    launch.kind = CloudCall::Kind::launch;
    using S = CloudReply::Status;
    EXPECT_EQ(decode_cloud_reply(launch, 503, encode_cbor({{"error", "no capacity"}}))->status,
              S::no_capacity);
    EXPECT_EQ(decode_cloud_reply(launch, 503, encode_cbor({{"error", "trouble"}}))->status,
              S::unknown);
    EXPECT_EQ(decode_cloud_reply(launch, 429, "")->status, S::refused);
    EXPECT_EQ(decode_cloud_reply(launch, 400, "")->status, S::bad_request);
    auto launched = decode_cloud_reply(launch, 200, encode_cbor({{"roosts", {"vm-1"}}}));
    EXPECT_EQ(launched->machines, std::vector<std::string>{"vm-1"});
    EXPECT_FALSE(decode_cloud_reply(launch, 200, encode_cbor({{"roosts", 7}})));
}

TEST(Wire, RepliesThatAreNotCborProveNothingWhateverTheirStatus) {
    for (int status : {200, 400, 404, 409, 410, 429, 503}) {
        EXPECT_FALSE(decode_store_reply(StoreCall(), status, "garbage")) << status;
        EXPECT_FALSE(decode_cloud_reply(CloudCall(), status, "garbage")) << status;
    }
    EXPECT_FALSE(decode_store_reply(StoreCall(), 200, ""));
    EXPECT_FALSE(decode_worker_command_reply(200, "garbage"));
    EXPECT_FALSE(decode_worker_command_reply(409, "garbage"));
    EXPECT_FALSE(decode_worker_command_reply(200, encode_cbor(Json::object())));
    EXPECT_TRUE(decode_worker_command_reply(400, "garbage")->answered);
    EXPECT_FALSE(decode_worker_command_reply(400, "garbage")->executed);
    EXPECT_FALSE(decode_peer_response(200, "garbage"));
    ASSERT_TRUE(decode_peer_response(200, ""));
    EXPECT_FALSE(*decode_peer_response(200, ""));
    EXPECT_TRUE(decode_peer_response(503, "garbage"));
}

TEST(Wire, RequestTargetsArePercentEncoded) {
    StoreCall list;
    list.kind = StoreCall::Kind::list;
    list.key = "c/";
    list.after = "c/q/a%20b";
    EXPECT_EQ(store_request(list).target, "/kv?under=c/&from=c/q/a%2520b&most=1000");
}

}  // namespace
}  // namespace cranemoor::wire

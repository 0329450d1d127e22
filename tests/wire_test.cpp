// The wire's decoders on good, odd and malformed messages.
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

TEST(Wire, ReadsASubmission) {
    auto read = decode_submission(encode_cbor(submission()));
    const JobSpec* s = read ? &*read : nullptr;
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->uid, "req-000412");
    EXPECT_EQ(s->kind, JobKind::gang);
    EXPECT_EQ(s->priority, Priority::high);
    EXPECT_EQ(s->tasks, 16);
    EXPECT_EQ(s->machine_types, std::vector<std::string>{"g8"});
    EXPECT_FALSE(s->zone);
    EXPECT_EQ(s->deadline_s, 900.0);
}

TEST(Wire, FieldsThatMayBeNullMayBeMissingAndUnknownOnesAreIgnored) {
    auto v = submission();
    v.erase("breeds");
    v.erase("marsh");
    v.erase("dusk_s");
    v["plume_colour"] = "red";
    auto read = decode_submission(encode_cbor(v));
    EXPECT_TRUE(read);
}

TEST(Wire, EveryNeededFieldIsNeededAndChecked) {
    const Json whole = submission();
    for (const auto& [key, value] : whole.items()) {
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

TEST(Wire, OutOfRangeIsInvalidAndNamesTheField) {
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
        auto v = submission();
        v[key] = value;
        auto read = decode_submission(encode_cbor(v));
        ASSERT_FALSE(read) << key;
        EXPECT_EQ(read.error().uid, "req-000412");
        EXPECT_EQ(read.error().error.field, key);
        const std::string& message = read.error().error.message;
        EXPECT_NE(message.find(key), std::string::npos) << message;
    }
    for (const char* uid : {"", "req-", "job-000412", "req-12a", "req-000412/1"}) {
        auto v = submission();
        v["uid"] = uid;
        auto read = decode_submission(encode_cbor(v));
        ASSERT_FALSE(read) << uid;
        EXPECT_FALSE(read.error().uid);
    }
}

TEST(Wire, WhatAJobFollowsIsAListOfJobs) {
    auto v = submission();
    for (const Json& none : {Json(nullptr), Json::array()}) {
        v["follows"] = none;
        EXPECT_TRUE(decode_submission(encode_cbor(v))->depends_on.empty());
    }
    v["follows"] = {"req-000405", "req-000398", "req-000405"};
    std::vector<std::string> once = {"req-000398", "req-000405"};
    EXPECT_EQ(decode_submission(encode_cbor(v))->depends_on, once);
    for (const Json& wrong :
         {Json("req-000398"), Json({1}), Json({"req-000398", ""}), Json({"000398"})}) {
        v["follows"] = wrong;
        auto read = decode_submission(encode_cbor(v));
        ASSERT_FALSE(read) << wrong;
        EXPECT_EQ(read.error().error.message, "field missing or invalid: follows");
        EXPECT_EQ(read.error().uid, "req-000412");
    }
}

TEST(Wire, TextThatIsNoUtf8IsRefused) {
    // Such a text once ended the process: it can be written into no record.
    auto v = submission();
    v["flock"] = "\xff\xfe";
    auto read = decode_submission(encode_cbor(v));
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().error.message, "not UTF-8");
    EXPECT_EQ(read.error().uid, "req-000412");
}

TEST(Wire, AReportWithSuchATextIsRefusedToo) {
    // Its machine and zone go into records: writing them would have ended the process.
    Heartbeat r{"vm-1", "10.0.0.1:1", "t8", "a", false, 1, 1, 0, std::nullopt, {}};
    ASSERT_TRUE(decode_heartbeat(encode_heartbeat(r)));
    for (auto* text : {&r.machine, &r.zone, &r.type}) {
        auto good = std::exchange(*text, "\xff\xfe");
        EXPECT_FALSE(decode_heartbeat(encode_heartbeat(r)));
        *text = good;
    }
}

TEST(Wire, APeerThatAnswersOddlyEndsNothing) {
    // Found by the generated messages: a home that is no text ended the process.
    Json reply = {{"status", 421}, {"token", 1}, {"home", 7}, {"commands", Json::array()}};
    EXPECT_FALSE(decode_peer_reply(encode_cbor(reply)));
    reply["home"] = "";
    EXPECT_TRUE(decode_peer_reply(encode_cbor(reply)));
}

TEST(Wire, WhatIsNotCborIsRefusedHoweverDeep) {
    EXPECT_FALSE(decode_cbor(""));
    EXPECT_FALSE(decode_cbor("{\"uid\":1}"));
    EXPECT_FALSE(decode_cbor(encode_cbor(submission()) + "x"));
    auto text = encode_cbor(submission());
    for (std::size_t n = 0; n < text.size(); ++n) {
        EXPECT_FALSE(decode_cbor(text.substr(0, n))) << n;
    }
    // Nothing but opening brackets, or maps in maps: must not exhaust the stack.
    EXPECT_FALSE(decode_cbor(std::string(64UL * 1024, '\x81')));
    EXPECT_FALSE(decode_cbor(std::string(64UL * 1024, '\xa1')));
    EXPECT_FALSE(decode_cbor(std::string("\x41z", 2)));  // binary
    EXPECT_FALSE(decode_submission(encode_cbor(Json::array())));
}

TEST(Wire, ReportsSurviveTheWayThroughARelay) {
    Heartbeat r{"vm-1",
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
    auto back = decode_heartbeat(*decode_cbor(encode_cbor(encode_heartbeat(r))));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->agent_epoch, 2U);
    EXPECT_EQ(back->interruption_notice_s, 7.5);
    ASSERT_EQ(back->tasks.size(), 2U);
    EXPECT_EQ(back->tasks[1].exit_reason, ExitReason::stopped);
    EXPECT_TRUE(back->tasks[1].saved);
    WorkerReply reply{0, 200, 41, "", {{Command::Kind::stop, {"req-000412", 3}, 2, 10}}};
    auto answer = decode_peer_reply(encode_peer_reply(reply));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->commands[0].grace_s, 10);
    EXPECT_EQ(answer->token, 41U);
}

TEST(Wire, AHeartbeatCarriesWhatIsSaidOfLeasesAndNoneIsOfAVersionBefore) {
    PeerCall call;
    call.has_store_contact = true;
    auto before = decode_peer_call(encode_peer_call("n1", call));
    ASSERT_TRUE(before);
    EXPECT_FALSE(before->call.lease);
    LeaseHeartbeat& said = call.lease.emplace();
    said.heartbeat.boot_id = "b1";
    said.heartbeat.sequence_number = 7;
    said.heartbeat.acknowledged_boot_id = "b2";
    said.heartbeat.acknowledged_sequence_number = 9;
    said.heartbeat.relies_on_leases = true;
    said.heartbeat.grant = read_leases::Grant::full;
    said.cancelled.push_back({"req-000412", 1.7e9 + 0.25});
    auto read = decode_peer_call(encode_peer_call("n1", call));
    ASSERT_TRUE(read && read->call.lease);
    const auto& w = read->call.lease->heartbeat;
    EXPECT_EQ(std::tie(w.boot_id, w.acknowledged_boot_id), std::make_tuple("b1", "b2"));
    EXPECT_EQ(std::tie(w.sequence_number, w.acknowledged_sequence_number, w.relies_on_leases),
              std::make_tuple(7U, 9U, true));
    EXPECT_EQ(w.grant, read_leases::Grant::full);
    ASSERT_EQ(read->call.lease->cancelled.size(), 1U);
    EXPECT_EQ(read->call.lease->cancelled[0].uid, "req-000412");
    EXPECT_EQ(read->call.lease->cancelled[0].cancelled_wall, 1.7e9 + 0.25);
    auto odd = *decode_cbor(encode_peer_call("n1", call));
    odd["lease"]["grant"] = "perhaps";
    EXPECT_FALSE(decode_peer_call(encode_cbor(odd)));
}

TEST(Wire, AnUnreadableReportIsNone) {
    auto good = encode_heartbeat({"vm-1", "x:1", "g8", "a", false, 1, 1, 0, std::nullopt, {}});
    ASSERT_TRUE(decode_heartbeat(good));
    for (const char* task : {"req-000412", "/3", "req-000412/", "req-000412/x", "a/999999999"}) {
        auto bad = good;
        bad["hatchlings"] = {{{"hatchling", task}, {"launch", 1}, {"stance", "running"}}};
        EXPECT_FALSE(decode_heartbeat(bad)) << task;
    }
    auto cause = good;
    cause["hatchlings"] = {
        {{"hatchling", "req-000412/1"}, {"launch", 1}, {"stance", "ended"}, {"cause", "meteor"}}};
    ASSERT_TRUE(decode_heartbeat(cause));  // a cause of a later version still ends the task
    EXPECT_EQ(decode_heartbeat(cause)->tasks[0].exit_reason, ExitReason::other);
}

TEST(Wire, StateAnswersByStatus) {
    StoreCall txn;
    auto status = [&](int code, const Json& body) {
        return decode_store_reply(txn, code, encode_cbor(body)).status;
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
    auto r =
        decode_store_reply(watch, 200,
                           encode_cbor({{"tide", 433},
                                        {"log",
                                         {{{"put", "c/9"}, {"value", {{"a", 1}}}, {"ripple", 433}},
                                          {{"drop", "c/d"}, {"ripple", 432}}}}}));
    ASSERT_EQ(r.events.size(), 2U);
    EXPECT_EQ(r.events[0].key, "c/d");  // in order of revision
    EXPECT_FALSE(r.events[0].value);
    EXPECT_EQ(decode_store_reply(watch, 200, "garbage").status, S::unknown);
}

TEST(Wire, CloudAnswersByStatus) {
    CloudCall rent;
    rent.kind = CloudCall::Kind::launch;
    using S = CloudReply::Status;
    EXPECT_EQ(decode_cloud_reply(rent, 503, encode_cbor({{"error", "no capacity"}})).status,
              S::no_capacity);
    EXPECT_EQ(decode_cloud_reply(rent, 503, encode_cbor({{"error", "trouble"}})).status,
              S::unknown);
    EXPECT_EQ(decode_cloud_reply(rent, 429, "").status, S::refused);
    EXPECT_EQ(decode_cloud_reply(rent, 400, "").status, S::bad_request);
    auto ok = decode_cloud_reply(rent, 200, encode_cbor({{"roosts", {"vm-1"}}}));
    EXPECT_EQ(ok.machines, std::vector<std::string>{"vm-1"});
    EXPECT_EQ(decode_cloud_reply(rent, 200, encode_cbor({{"roosts", 7}})).status, S::unknown);
}

TEST(Wire, TargetsAreEscaped) {
    StoreCall list;
    list.kind = StoreCall::Kind::list;
    list.key = "c/";
    list.after = "c/q/a%20b";
    EXPECT_EQ(store_request(list).target, "/kv?under=c/&from=c/q/a%2520b&most=1000");
}

}  // namespace
}  // namespace cranemoor::wire

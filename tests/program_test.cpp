// The controller program against a fake key-value store, cloud and worker on ephemeral loopback
// ports: it starts, accepts a job, sends its start to the worker and reports it as done.
#include <gtest/gtest.h>

#include "io/http_server.hpp"
#include "program_fixture.hpp"
#include "wire/cbor.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor {
namespace {

using core::Json;
using io::HttpMessage;

// Serves the part of the key-value store's protocol that one controller uses.
class FakeStore {
  public:
    FakeStore(io::Loop& loop, const std::string& address)
        : server_(loop, address, 64, [this](std::uint64_t request, HttpMessage&& message) {
              serve(request, message);
          }) {}
    std::map<std::string, std::pair<Json, std::uint64_t>> kv;

  private:
    void reply(std::uint64_t request, int status, const Json& body) {
        server_.reply(request, status, wire::encode_cbor(body));
    }
    void serve(std::uint64_t request, const HttpMessage& message) {
        if (message.target.rfind("/kv?", 0) == 0) {
            Json items = Json::array();
            for (const auto& [key, entry] : kv) {
                if (key.rfind("c/", 0) == 0) {
                    items.push_back(
                        {{"key", key}, {"value", entry.first}, {"ripple", entry.second}});
                }
            }
            reply(request, 200, {{"items", items}, {"has_next", false}, {"tide", revision_}});
        } else if (message.target.rfind("/kv/", 0) == 0) {
            auto found = kv.find(message.target.substr(4));
            if (found == kv.end()) {
                reply(request, 404, {{"tide", revision_}});
            } else {
                reply(request, 200,
                      {{"key", found->first},
                       {"value", found->second.first},
                       {"ripple", found->second.second}});
            }
        } else if (message.target.rfind("/follow", 0) == 0) {
            auto from = message.target.find("&from=");
            watch_request_ = request;
            watched_revision_ = std::stoull(message.target.substr(from + 6));
            notify();
        } else if (message.target == "/txn") {
            auto body = *wire::decode_cbor(message.body);
            Json failed = Json::array();
            for (const auto& condition : body.at("if")) {
                auto found = kv.find(condition.at("key").get<std::string>());
                if ((found == kv.end() ? 0 : found->second.second) !=
                    condition.at("ripple").get<std::uint64_t>()) {
                    failed.push_back(condition.at("key"));
                }
            }
            if (!failed.empty()) {
                reply(request, 409, {{"failed", failed}, {"tide", revision_}});
                return;
            }
            if (body.contains("then")) {
                ++revision_;
                for (const auto& write : body.at("then")) {
                    if (write.contains("put")) {
                        kv[write.at("put")] = {write.at("value"), revision_};
                        events_.push_back({{"put", write.at("put")},
                                           {"value", write.at("value")},
                                           {"ripple", revision_}});
                    } else {
                        kv.erase(write.at("drop").get<std::string>());
                        events_.push_back({{"drop", write.at("drop")}, {"ripple", revision_}});
                    }
                }
            }
            reply(request, 200, {{"tide", revision_}});
            notify();
        } else {
            reply(request, 200, {{"tether", 1}});
        }
    }
    void notify() {
        Json new_events = Json::array();
        for (const auto& event : events_) {
            if (event.at("ripple").get<std::uint64_t>() > watched_revision_) {
                new_events.push_back(event);
            }
        }
        if (watch_request_ != 0 && !new_events.empty()) {
            reply(std::exchange(watch_request_, 0), 200,
                  {{"tide", revision_}, {"log", new_events}});
        }
    }
    io::HttpServer server_;
    std::uint64_t revision_ = 0;
    std::uint64_t watch_request_ = 0;
    std::uint64_t watched_revision_ = 0;
    std::vector<Json> events_;
};

TEST_F(Program, ExitCodeTellsWhetherTheSettingsAreValid) {
    EXPECT_EQ(exit_code({"--config", path, "--check-config"}), 0);
    EXPECT_EQ(exit_code({"--version"}), 0);
    EXPECT_NE(exit_code({"--config", path + ".none"}), 0);
    std::ofstream(path) << "node_name = 1\n";
    EXPECT_EQ(exit_code({"--config", path}), 1);
}

TEST_F(Program, RunsAJobFromSubmissionToCompletion) {
    FakeStore store(loop, loopback_address(store_port));
    io::HttpServer cloud(
        loop, loopback_address(cloud_port), 16, [&](std::uint64_t request, HttpMessage&& message) {
            Json body = message.target == "/flavors" ? Json{{"breeds",
                                                             {{{"label", "g"},
                                                               {"cpus", 8},
                                                               {"gpus", 0},
                                                               {"mem_gb", 64},
                                                               {"local_gb", 100},
                                                               {"fetch_gb_per_s", 1.0},
                                                               {"rate", 1.0},
                                                               {"spot_price", 0.3},
                                                               {"ready_s", 5},
                                                               {"marshes", {"a"}}}}}}
                        : message.method == "GET"
                            ? Json{{"roosts", Json::array()}, {"has_next", false}}
                            : Json{{"roosts", Json::array()}};
            cloud.reply(request, 200, wire::encode_cbor(body));
        });
    start_controller();
    ASSERT_GT(child, 0);
    auto has_status = [](int status) {
        return [status](const HttpMessage& message) { return message.status == status; };
    };
    ASSERT_TRUE(ask("GET", "/healthz", "", has_status(200)));

    Json job = {{"uid", "req-000001"}, {"flock", "c"},      {"crew", "t"},   {"gait", "array"},
                {"rank", "normal"},    {"hatchlings", 1},   {"cpus", 1},     {"gpus", 0},
                {"mem_gb", 1},         {"plumage", "i"},    {"size_gb", 1},  {"together", false},
                {"spread", false},     {"driftwood", true}, {"flight_s", 1}, {"nestmark_s", 0},
                {"preen_s", 0}};
    EXPECT_TRUE(ask("POST", "/work", wire::encode_cbor(job), has_status(201), 1));
    EXPECT_TRUE(ask("POST", "/work", wire::encode_cbor(job), has_status(200), 1));
    EXPECT_TRUE(ask("POST", "/work", "not cbor", has_status(400), 1));
    EXPECT_TRUE(ask("POST", "/work", std::string(70000, 'x'), has_status(413), 1));
    EXPECT_TRUE(ask("GET", "/work/req-000404", "", has_status(404), 1));
    EXPECT_TRUE(ask("DELETE", "/work", "", has_status(405), 1));

    // A fake worker: sends heartbeats until a reply starts the task, then reports the task as done.
    core::Heartbeat heartbeat{"vm-1", loopback_address(1), "g", "a", false, 1, 1,
                              0,      std::nullopt,        {}};
    std::optional<Json> start_call;
    for (int i = 0; i < 40 && !start_call; ++i) {
        auto reply = ask("POST", "/hello", wire::encode_cbor(wire::encode_heartbeat(heartbeat)),
                         has_status(200), 1);
        ASSERT_TRUE(reply);
        auto body = *wire::decode_cbor(reply->body);
        heartbeat.token = body.at("crest").get<std::uint64_t>();
        heartbeat.seq++;
        for (const auto& call : body.at("calls")) {
            if (call.at("call_kind") == "run") {
                start_call = call;
            }
        }
    }
    ASSERT_TRUE(start_call);
    EXPECT_EQ(start_call->at("hatchling"), "req-000001/0");
    core::TaskStatus task_status;
    task_status.id.uid = "req-000001";
    task_status.attempt = start_call->at("launch").get<std::uint64_t>();
    task_status.state = core::TaskState::exited;
    task_status.exit_reason = core::ExitReason::done;
    heartbeat.tasks.push_back(task_status);
    EXPECT_TRUE(ask("POST", "/hello", wire::encode_cbor(wire::encode_heartbeat(heartbeat)),
                    has_status(200), 1));
    auto done = ask("GET", "/work/req-000001", "", [](const HttpMessage& message) {
        auto body = wire::decode_cbor(message.body);
        return message.status == 200 && body && body->value("stance", "") == "done";
    });
    EXPECT_TRUE(done);
    EXPECT_EQ(store.kv.count("c/b/req-000001/0"), 1U);
}

}  // namespace
}  // namespace cranemoor

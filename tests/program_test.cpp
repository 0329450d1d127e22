// The real program against stand-ins of ours on ephemeral loopback ports: it starts, joins,
// accepts a job, hands its start to a worker and calls it done.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "ports.hpp"
#include "wire/cbor.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor {
namespace {

using core::Json;
using io::HttpMessage;

// The state service's published protocol, as much of it as one controller uses.
class StateStandIn {
  public:
    StateStandIn(io::Loop& loop, const std::string& address)
        : server_(loop, address, 64, [this](std::uint64_t r, HttpMessage&& m) { serve(r, m); }) {}
    std::map<std::string, std::pair<Json, std::uint64_t>> kv;

  private:
    void reply(std::uint64_t r, int status, const Json& body) {
        server_.reply(r, status, wire::encode_cbor(body));
    }
    void serve(std::uint64_t r, const HttpMessage& m) {
        if (m.target.rfind("/kv?", 0) == 0) {
            Json items = Json::array();
            for (const auto& [key, v] : kv) {
                if (key.rfind("c/", 0) == 0) {
                    items.push_back({{"key", key}, {"value", v.first}, {"ripple", v.second}});
                }
            }
            reply(r, 200, {{"items", items}, {"has_next", false}, {"tide", tide_}});
        } else if (m.target.rfind("/kv/", 0) == 0) {
            auto it = kv.find(m.target.substr(4));
            if (it == kv.end()) {
                reply(r, 404, {{"tide", tide_}});
            } else {
                reply(r, 200,
                      {{"key", it->first},
                       {"value", it->second.first},
                       {"ripple", it->second.second}});
            }
        } else if (m.target.rfind("/follow", 0) == 0) {
            auto from = m.target.find("&from=");
            watcher_ = r;
            since_ = std::stoull(m.target.substr(from + 6));
            notify();
        } else if (m.target == "/txn") {
            auto body = *wire::decode_cbor(m.body);
            Json failed = Json::array();
            for (const auto& c : body.at("if")) {
                auto it = kv.find(c.at("key").get<std::string>());
                if ((it == kv.end() ? 0 : it->second.second) !=
                    c.at("ripple").get<std::uint64_t>()) {
                    failed.push_back(c.at("key"));
                }
            }
            if (!failed.empty()) {
                reply(r, 409, {{"failed", failed}, {"tide", tide_}});
                return;
            }
            if (body.contains("then")) {
                ++tide_;
                for (const auto& w : body.at("then")) {
                    if (w.contains("put")) {
                        kv[w.at("put")] = {w.at("value"), tide_};
                        log_.push_back(
                            {{"put", w.at("put")}, {"value", w.at("value")}, {"ripple", tide_}});
                    } else {
                        kv.erase(w.at("drop").get<std::string>());
                        log_.push_back({{"drop", w.at("drop")}, {"ripple", tide_}});
                    }
                }
            }
            reply(r, 200, {{"tide", tide_}});
            notify();
        } else {
            reply(r, 200, {{"tether", 1}});
        }
    }
    void notify() {
        Json news = Json::array();
        for (const auto& e : log_) {
            if (e.at("ripple").get<std::uint64_t>() > since_) {
                news.push_back(e);
            }
        }
        if (watcher_ != 0 && !news.empty()) {
            reply(std::exchange(watcher_, 0), 200, {{"tide", tide_}, {"log", news}});
        }
    }
    io::HttpServer server_;
    std::uint64_t tide_ = 0;
    std::uint64_t watcher_ = 0;
    std::uint64_t since_ = 0;
    std::vector<Json> log_;
};

struct Program : ::testing::Test {
    void SetUp() override {
        path = ::testing::TempDir() + "cranemoor-" + std::to_string(::getpid()) + ".toml";
        std::ofstream(path) << "node_name = \"n0\"\nzone = \"a\"\nserve_on = \""
                            << loopback_address(front) << "\"\nback = \""
                            << loopback_address(free_port()) << "\"\n[services]\ncloud = \""
                            << loopback_address(cloud_port) << "\"\nstate = \""
                            << loopback_address(state_port)
                            << "\"\n[settings]\nzones = [\"a\"]\n[[settings.teams]]\nname = \"t\"\n"
                               "[settings.workers]\nreport_s = 1.0\nlease_s = 24.0\n"
                               "gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 44.0\n"
                               "[settings.state]\nrps = 200.0\nwrite_rps = 50.0\nvalue_kb = 8.0\n"
                               "txn_ops = 12\n[settings.cloud]\nrps = 5.0\n"
                               "[settings.machine_limits]\nmax_connections = 100\n";
    }
    void TearDown() override {
        if (child > 0) {
            ::kill(child, SIGKILL);
            ::waitpid(child, nullptr, 0);
        }
        std::remove(path.c_str());
    }
    static int start(std::vector<std::string> arguments) {
        std::vector<char*> argv;
        std::string program = CRANEMOOR_PROGRAM;
        argv.push_back(program.data());
        for (auto& a : arguments) {
            argv.push_back(a.data());
        }
        argv.push_back(nullptr);
        pid_t pid = -1;
        ::posix_spawn(&pid, program.c_str(), nullptr, nullptr, argv.data(), environ);
        return pid;
    }
    static int exit_code(std::vector<std::string> arguments) {
        int status = -1;
        ::waitpid(start(std::move(arguments)), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    // Sends the request again and again until the answer is accepted; bounded by `tries`.
    std::optional<HttpMessage> ask(const std::string& method, const std::string& target,
                                   const std::string& body,
                                   const std::function<bool(const HttpMessage&)>& good,
                                   int tries = 200) {
        std::optional<HttpMessage> result;
        io::HttpClient client(loop, loopback_address(front), 1, 1 << 20);
        io::Timer again(loop,
                        [&] { send(client, method, target, body, good, tries, result, again); });
        again.start(0);
        loop.run();
        return result;
    }
    void send(io::HttpClient& client, const std::string& method, const std::string& target,
              const std::string& body, const std::function<bool(const HttpMessage&)>& good,
              int& tries, std::optional<HttpMessage>& result, io::Timer& again) {
        client.request(method, target, body, 3, [&, this](const HttpMessage* m) {
            if (m != nullptr && good(*m)) {
                result = *m;
                loop.stop();
            } else if (--tries == 0) {
                loop.stop();
            } else {
                again.start(0.05);
            }
        });
    }

    io::Loop loop;
    int front = free_port();
    int state_port = free_port();
    int cloud_port = free_port();
    std::string path;
    int child = 0;
};

TEST_F(Program, SaysWhatIsWrongWithItsSettingsAndEnds) {
    EXPECT_EQ(exit_code({"--config", path, "--check-config"}), 0);
    EXPECT_EQ(exit_code({"--version"}), 0);
    EXPECT_NE(exit_code({"--config", path + ".none"}), 0);
    std::ofstream(path) << "node_name = 1\n";
    EXPECT_EQ(exit_code({"--config", path}), 1);
}

TEST_F(Program, TakesAJobFromSubmissionToDone) {
    StateStandIn state(loop, loopback_address(state_port));
    io::HttpServer cloud(
        loop, loopback_address(cloud_port), 16, [&](std::uint64_t r, HttpMessage&& m) {
            Json body = m.target == "/flavors" ? Json{{"breeds",
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
                        : m.method == "GET" ? Json{{"roosts", Json::array()}, {"has_next", false}}
                                            : Json{{"roosts", Json::array()}};
            cloud.reply(r, 200, wire::encode_cbor(body));
        });
    child = start({"--config", path});
    ASSERT_GT(child, 0);
    auto is = [](int status) {
        return [status](const HttpMessage& m) { return m.status == status; };
    };
    ASSERT_TRUE(ask("GET", "/healthz", "", is(200)));

    Json job = {{"uid", "req-000001"}, {"flock", "c"},      {"crew", "t"},   {"gait", "array"},
                {"rank", "normal"},    {"hatchlings", 1},   {"cpus", 1},     {"gpus", 0},
                {"mem_gb", 1},         {"plumage", "i"},    {"size_gb", 1},  {"together", false},
                {"spread", false},     {"driftwood", true}, {"flight_s", 1}, {"nestmark_s", 0},
                {"preen_s", 0}};
    EXPECT_TRUE(ask("POST", "/work", wire::encode_cbor(job), is(201), 1));
    EXPECT_TRUE(ask("POST", "/work", wire::encode_cbor(job), is(200), 1));
    EXPECT_TRUE(ask("POST", "/work", "not cbor", is(400), 1));
    EXPECT_TRUE(ask("POST", "/work", std::string(70000, 'x'), is(413), 1));
    EXPECT_TRUE(ask("GET", "/work/req-000404", "", is(404), 1));
    EXPECT_TRUE(ask("DELETE", "/work", "", is(405), 1));

    // A worker of ours: reports until it is told to start the task, then says it is done.
    core::Heartbeat report{"vm-1", loopback_address(1), "g", "a", false, 1, 1, 0, std::nullopt, {}};
    std::optional<Json> start_call;
    for (int i = 0; i < 40 && !start_call; ++i) {
        auto answer =
            ask("POST", "/hello", wire::encode_cbor(wire::encode_heartbeat(report)), is(200), 1);
        ASSERT_TRUE(answer);
        auto body = *wire::decode_cbor(answer->body);
        report.token = body.at("crest").get<std::uint64_t>();
        report.seq++;
        for (const auto& call : body.at("calls")) {
            if (call.at("call_kind") == "run") {
                start_call = call;
            }
        }
    }
    ASSERT_TRUE(start_call);
    EXPECT_EQ(start_call->at("hatchling"), "req-000001/0");
    core::TaskStatus ended;
    ended.id.uid = "req-000001";
    ended.attempt = start_call->at("launch").get<std::uint64_t>();
    ended.state = core::TaskState::exited;
    ended.exit_reason = core::ExitReason::done;
    report.tasks.push_back(ended);
    EXPECT_TRUE(
        ask("POST", "/hello", wire::encode_cbor(wire::encode_heartbeat(report)), is(200), 1));
    auto done = ask("GET", "/work/req-000001", "", [](const HttpMessage& m) {
        auto body = wire::decode_cbor(m.body);
        return m.status == 200 && body && body->value("stance", "") == "done";
    });
    EXPECT_TRUE(done);
    EXPECT_EQ(state.kv.count("c/b/req-000001/0"), 1U);
}

}  // namespace
}  // namespace cranemoor

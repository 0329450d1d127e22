// The command-line client against a fake controller on an ephemeral loopback port.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>

#include "ctl/client_request.hpp"
#include "io/http_server.hpp"
#include "ports.hpp"
#include "wire/cbor.hpp"

namespace cranemoor {
namespace {

using core::Json;
using io::HttpMessage;

struct Ctl : ::testing::Test {
    // The server sends these in order and repeats the last one.
    struct CannedReply {
        int status;
        Json body;
        int retry_after_s = 0;
    };
    std::vector<CannedReply> replies;
    std::vector<std::string> received;
    std::vector<std::string> bodies;
    std::string address = loopback_address(free_port());
    io::Loop loop;
    io::HttpServer server{loop, address, 8,
                          [this](std::uint64_t request_id, HttpMessage&& message) {
                              received.push_back(message.method + " " + message.target);
                              bodies.push_back(message.body);
                              CannedReply reply = replies.front();
                              if (replies.size() > 1) {
                                  replies.erase(replies.begin());
                              }
                              server.reply(request_id, reply.status, wire::encode_cbor(reply.body),
                                           reply.retry_after_s);
                          }};
    static ctl::RetryPolicy fast_retry_policy() {
        ctl::RetryPolicy policy;
        policy.retry_duration_s = 2;
        policy.retry_interval_s = policy.poll_interval_s = 0.01;
        policy.retry_after_max_s = 0.02;
        return policy;
    }
    ctl::ClientRequest request{loop, address, fast_retry_policy()};
    Json job = {{"uid", "req-000001"}, {"flock", "c"},      {"crew", "t"},
                {"gait", "array"},     {"rank", "normal"},  {"hatchlings", 1},
                {"cpus", 1},           {"gpus", 0},         {"mem_gb", 1},
                {"plumage", "i"},      {"size_gb", 1},      {"together", false},
                {"spread", false},     {"driftwood", true}, {"flight_s", 1},
                {"nestmark_s", 0},     {"preen_s", 0},      {"follows", {"req-000007"}}};

    // Runs the program and returns its exit code; `output` gets its stdout and stderr.
    static int run(std::vector<std::string> arguments, std::string& output) {
        std::string output_path = ::testing::TempDir() + "ctl-" + std::to_string(::getpid());
        posix_spawn_file_actions_t files;
        ::posix_spawn_file_actions_init(&files);
        ::posix_spawn_file_actions_addopen(&files, 1, output_path.c_str(),
                                           O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::posix_spawn_file_actions_adddup2(&files, 1, 2);
        std::string program = CRANEMOORCTL_PROGRAM;
        std::vector<char*> argv = {program.data()};
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        pid_t pid = -1;
        ::posix_spawn(&pid, program.c_str(), &files, nullptr, argv.data(), environ);
        ::posix_spawn_file_actions_destroy(&files);
        int status = -1;
        ::waitpid(pid, &status, 0);
        std::ifstream stream(output_path);
        output.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
        std::remove(output_path.c_str());
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
};

TEST_F(Ctl, SubmissionIsRetriedUntilItIsAcceptedOrRejected) {
    Json pending = {{"uid", "req-000001"}, {"stance", "pending"}};
    replies = {{503, {{"error", "not now"}}, 1}, {201, pending}};
    auto response = request.submit(job);
    EXPECT_EQ(response.exit, ctl::ExitCode::done);
    EXPECT_EQ(received, std::vector<std::string>(2, "POST /work"));
    EXPECT_EQ(wire::decode_cbor(bodies[1])->at("follows"), Json({"req-000007"}));
    EXPECT_EQ(ctl::describe(response, false), "req-000001 pending");
    replies = {{422, {{"uid", "req-000001"}, {"error", "unknown team"}}}};
    response = request.submit(job);
    EXPECT_EQ(response.exit, ctl::ExitCode::rejected);
    EXPECT_EQ(received.size(), 3U);
    EXPECT_EQ(ctl::describe(response, false), "req-000001: unknown team (422)");
}

TEST_F(Ctl, WaitPollsUntilAFinalStateAndExitCodesFollowTheReplies) {
    Json running = {{"uid", "req-000001"}, {"stance", "running"}, {"done", 1}, {"running", 2}};
    Json done = {{"uid", "req-000001"}, {"stance", "done"}, {"done", 3}, {"running", 0}};
    Json withdrawn = {{"uid", "req-000001"}, {"stance", "withdrawn"}};
    replies = {{200, running}, {503, Json::object()}, {200, done}};
    auto response = request.wait("req-000001");
    EXPECT_EQ(response.exit, ctl::ExitCode::done);
    EXPECT_EQ(received.size(), 3U);
    EXPECT_EQ(ctl::describe(response, false), "req-000001 done, 3 done, 0 running");
    replies = {{200, running}, {200, withdrawn}};
    EXPECT_EQ(request.wait("req-000001").exit, ctl::ExitCode::cancelled);
    replies = {{404, {{"uid", "req-000001"}, {"error", "no such job"}}}};
    EXPECT_EQ(request.wait("req-000001").exit, ctl::ExitCode::rejected);
    replies = {{200, withdrawn}};
    EXPECT_EQ(request.cancel("req-000001").exit, ctl::ExitCode::done);
    EXPECT_EQ(received.back(), "POST /work/req-000001/cancel");
    replies = {{200, running}};
    EXPECT_EQ(Json::parse(ctl::describe(request.status("req-000001"), true)).at("running"), 2);
}

TEST_F(Ctl, InvalidInputGivesAOneLineErrorAndExitCode) {
    std::string output;
    std::string file = ::testing::TempDir() + "job-" + std::to_string(::getpid()) + ".json";
    job["follows"] = {"req-000007", 8};
    std::ofstream(file) << job.dump();
    EXPECT_EQ(run({"submit", file}, output), 2);
    EXPECT_EQ(output, "cranemoorctl: " + file + ": field missing or invalid: follows\n");
    job.erase("follows");
    job.erase("crew");
    std::ofstream(file) << job.dump();
    EXPECT_EQ(run({"submit", file}, output), 2);
    EXPECT_EQ(output, "cranemoorctl: " + file + ": field missing or invalid: crew\n");
    std::ofstream(file) << "{";
    EXPECT_EQ(run({"submit", file}, output), 2);
    EXPECT_EQ(output, "cranemoorctl: " + file + ": not JSON\n");
    EXPECT_EQ(run({"status", "412"}, output), 2);
    EXPECT_EQ(run({"--version"}, output), 0);
    EXPECT_EQ(run({}, output), 2);
    // Nothing listens on that port.
    EXPECT_EQ(run({"--server", "127.0.0.1:1", "--timeout", "0.1", "status", "req-000001"}, output),
              4);
    std::remove(file.c_str());
}

TEST_F(Ctl, JobFileNestedWithoutBoundIsRefusedWithItsLine) {
    std::string output;
    std::string file = ::testing::TempDir() + "nested-" + std::to_string(::getpid()) + ".json";
    std::ofstream(file) << "{\"uid\":\n" << std::string(200000, '[');
    EXPECT_EQ(run({"submit", file}, output), 2);
    EXPECT_EQ(output, "cranemoorctl: " + file + ": line 2: nested too deep\n");
    std::ofstream(file) << std::string(200000, '[') << std::string(200000, ']');
    EXPECT_EQ(run({"submit", file}, output), 2);
    EXPECT_EQ(output, "cranemoorctl: " + file + ": line 1: nested too deep\n");
    std::remove(file.c_str());
}

}  // namespace
}  // namespace cranemoor

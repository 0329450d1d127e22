/// Runs the controller program as a child process on ephemeral loopback ports.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/http_client.hpp"
#include "ports.hpp"

namespace cranemoor {

/// Writes a settings file for one controller and ends the process that a test has started.
struct Program : ::testing::Test {
    void SetUp() override {
        path = ::testing::TempDir() + "cranemoor-" + std::to_string(::getpid()) + ".toml";
        std::ofstream(path) << "node_name = \"n0\"\nzone = \"a\"\nserve_on = \""
                            << loopback_address(users_port) << "\"\nback = \""
                            << loopback_address(peers_port) << "\"\n[services]\ncloud = \""
                            << loopback_address(cloud_port) << "\"\nstate = \""
                            << loopback_address(store_port)
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
        std::remove(log_path().c_str());
    }
    // The standard error of the process that start_controller() starts.
    std::string log_path() const { return path + ".log"; }
    std::string log() const {
        std::ifstream file(log_path());
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }
    // Starts `child` under the usual limit of the stack, whatever the limit of the tests is.
    void start_controller() {
        rlimit inherited{};
        ::getrlimit(RLIMIT_STACK, &inherited);
        rlimit usual = inherited;
        usual.rlim_cur = std::min<rlim_t>(inherited.rlim_max, usual_stack_bytes);
        ::setrlimit(RLIMIT_STACK, &usual);
        posix_spawn_file_actions_t actions{};
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path().c_str(),
                                           O_WRONLY | O_CREAT | O_TRUNC, S_IRUSR | S_IWUSR);
        child = start({"--config", path}, &actions);
        ::posix_spawn_file_actions_destroy(&actions);
        ::setrlimit(RLIMIT_STACK, &inherited);
    }
    // Whether `child` has not ended.
    bool is_running() const { return ::waitpid(child, nullptr, WNOHANG) == 0; }
    // Waits for the end of `child`; returns the number of the signal that ended it, 0 if none did.
    int wait_for_signal() {
        int status = 0;
        ::waitpid(std::exchange(child, 0), &status, 0);
        return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    }
    static int start(std::vector<std::string> arguments,
                     const posix_spawn_file_actions_t* file_actions = nullptr) {
        std::vector<char*> argv;
        std::string program = CRANEMOOR_PROGRAM;
        argv.push_back(program.data());
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        pid_t pid = -1;
        ::posix_spawn(&pid, program.c_str(), file_actions, nullptr, argv.data(), environ);
        return pid;
    }
    static int exit_code(std::vector<std::string> arguments) {
        int status = -1;
        ::waitpid(start(std::move(arguments)), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    // Repeats the request until `accept` holds for a reply, at most `tries` times; null if it never
    // does.
    std::optional<io::HttpMessage> ask(const std::string& method, const std::string& target,
                                       const std::string& body,
                                       const std::function<bool(const io::HttpMessage&)>& accept,
                                       int tries = 200) {
        io::HttpClient client(loop, loopback_address(users_port), 1, 1 << 20);
        return ask(client, method, target, body, accept, tries);
    }
    // The same over an existing client.
    std::optional<io::HttpMessage> ask(io::HttpClient& client, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       const std::function<bool(const io::HttpMessage&)>& accept,
                                       int tries = 200) {
        std::optional<io::HttpMessage> result;
        io::Timer retry(loop,
                        [&] { send(client, method, target, body, accept, tries, result, retry); });
        retry.start(0);
        loop.run();
        return result;
    }
    void send(io::HttpClient& client, const std::string& method, const std::string& target,
              const std::string& body, const std::function<bool(const io::HttpMessage&)>& accept,
              int& tries, std::optional<io::HttpMessage>& result, io::Timer& retry) {
        client.request(method, target, body, 3, [&, this](const io::HttpMessage* message) {
            if (message != nullptr && accept(*message)) {
                result = *message;
                loop.stop();
            } else if (--tries == 0) {
                loop.stop();
            } else {
                retry.start(0.05);
            }
        });
    }

    static constexpr rlim_t usual_stack_bytes = 8UL << 20;

    io::Loop loop;
    int users_port = free_port();
    int peers_port = free_port();
    int store_port = free_port();
    int cloud_port = free_port();
    std::string path;
    int child = 0;
};

}  // namespace cranemoor

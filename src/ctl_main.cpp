/// cranemoorctl: the users' command line. docs/operations.md lists its commands and exit codes.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "ctl/client_request.hpp"
#include "ctl/job_file.hpp"
#include "wire/user_messages.hpp"

namespace {

using cranemoor::core::Json;
namespace ctl = cranemoor::ctl;
namespace wire = cranemoor::wire;

/// Prints an error in the command line or the job file and returns the exit code.
int usage_error(const std::string& text) {
    std::fprintf(stderr, "cranemoorctl: %s\n", text.c_str());
    return static_cast<int>(ctl::ExitCode::usage_error);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"cranemoorctl, the users' command line of cranemoor"};
    app.require_subcommand(1);
    std::string server = "127.0.0.1:8080";
    bool json = false;
    ctl::RetryPolicy policy;
    std::string file;
    std::string uid;
    app.add_option("--server", server, "IPv4 address of a controller or load balancer, host:port")
        ->capture_default_str();
    app.add_flag("--json", json, "print responses as JSON");
    app.add_option("--timeout", policy.retry_duration_s,
                   "time limit for retrying a request, in seconds")
        ->check(CLI::Range(0.1, 86400.0))
        ->capture_default_str();
    app.set_version_flag("--version", "cranemoorctl " CRANEMOOR_VERSION);
    auto* submit = app.add_subcommand("submit", "submit a job described in a JSON file");
    submit->add_option("FILE", file, "job file in the protocol's format; - for standard input")
        ->required();
    auto* status = app.add_subcommand("status", "show the state of a job");
    auto* cancel = app.add_subcommand("cancel", "cancel a job and all jobs that depend on it");
    auto* wait = app.add_subcommand("wait", "wait until a job has ended");
    for (auto* command : {status, cancel, wait}) {
        command->add_option("UID", uid, "uid of the job, such as req-000412")->required();
    }
    wait->add_option("--for", policy.wait_timeout_s,
                     "time limit for waiting, in seconds; default: no limit")
        ->check(CLI::Range(0.1, 1e7));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        int code = app.exit(error);
        return code == 0 ? 0 : static_cast<int>(ctl::ExitCode::usage_error);
    }
    std::signal(SIGPIPE, SIG_IGN);

    Json job;
    if (*submit) {
        try {
            job = ctl::read_job_file(file);
        } catch (const ctl::JobFileError& error) {
            return usage_error(error.what());
        }
    } else if (!wire::is_valid_uid(uid)) {
        return usage_error("invalid job uid: " + uid);
    }
    cranemoor::io::Loop loop;
    ctl::ClientRequest request(loop, server, policy);
    ctl::Response response = *submit   ? request.submit(job)
                             : *status ? request.status(uid)
                             : *cancel ? request.cancel(uid)
                                       : request.wait(uid);
    std::puts(ctl::describe(response, json).c_str());
    return static_cast<int>(response.exit);
}

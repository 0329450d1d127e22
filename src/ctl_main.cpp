/// cranemoorctl: the users' command line. docs/operations.md lists its commands and exit codes.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "ctl/client_request.hpp"
#include "wire/cbor.hpp"
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

/// A job read from a file, or the error in the file.
struct JobFile {
    Json job;
    std::string error;  // empty: no error
};

/// Reads and validates a submission in JSON; the file "-" is standard input.
JobFile read_job_file(const std::string& file) {
    std::ifstream file_input;
    if (file != "-") {
        file_input.open(file, std::ios::binary);
        if (!file_input) {
            return {Json(), file + ": cannot open the file"};
        }
    }
    std::istream& input = file == "-" ? std::cin : file_input;
    std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    Json job = Json::parse(text, nullptr, false);
    if (job.is_discarded()) {
        return {Json(), file + ": not JSON"};
    }
    auto spec = wire::decode_submission(wire::encode_cbor(job));
    if (!spec) {
        return {Json(), file + ": " + spec.error().error.message};
    }
    return {std::move(job), ""};
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
        JobFile read = read_job_file(file);
        if (!read.error.empty()) {
            return usage_error(read.error);
        }
        job = std::move(read.job);
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

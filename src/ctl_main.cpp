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

int mistake(const std::string& text) {
    std::fprintf(stderr, "cranemoorctl: %s\n", text.c_str());
    return static_cast<int>(ctl::Exit::mistake);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"cranemoorctl, the users' command line of cranemoor"};
    app.require_subcommand(1);
    std::string server = "127.0.0.1:8080";
    bool json = false;
    ctl::Patience patience;
    std::string file;
    std::string uid;
    app.add_option("--server", server, "address of the controllers, host:port")
        ->capture_default_str();
    app.add_flag("--json", json, "print answers as JSON");
    app.add_option("--timeout", patience.request_s, "seconds a request is repeated at the most")
        ->check(CLI::Range(0.1, 86400.0))
        ->capture_default_str();
    app.set_version_flag("--version", "cranemoorctl " CRANEMOOR_VERSION);
    auto* submit = app.add_subcommand("submit", "submit the job that a JSON file describes");
    submit->add_option("FILE", file, "the job, as the protocol has it; - reads standard input")
        ->required();
    auto* status = app.add_subcommand("status", "say how a job stands");
    auto* cancel = app.add_subcommand("cancel", "cancel a job and all that need it");
    auto* wait = app.add_subcommand("wait", "wait until a job is over");
    for (auto* command : {status, cancel, wait}) {
        command->add_option("UID", uid, "the job, as in req-000412")->required();
    }
    wait->add_option("--for", patience.wait_s, "seconds to wait at the most")
        ->check(CLI::Range(0.1, 1e7));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int code = app.exit(e);
        return code == 0 ? 0 : static_cast<int>(ctl::Exit::mistake);
    }
    std::signal(SIGPIPE, SIG_IGN);

    Json job;
    if (*submit) {
        std::ifstream in;
        if (file != "-") {
            in.open(file, std::ios::binary);
            if (!in) {
                return mistake(file + ": cannot be read");
            }
        }
        std::istream& from = file == "-" ? std::cin : in;
        std::string text{std::istreambuf_iterator<char>(from), std::istreambuf_iterator<char>()};
        job = Json::parse(text, nullptr, false);
        if (job.is_discarded()) {
            return mistake(file + ": not JSON");
        }
        auto spec = wire::decode_submission(wire::encode_cbor(job));
        if (!spec) {
            return mistake(file + ": " + spec.error().error.message);
        }
    } else if (!wire::is_valid_uid(uid)) {
        return mistake("no uid of a job: " + uid);
    }
    cranemoor::io::Loop loop;
    ctl::ClientRequest errand(loop, server, patience);
    ctl::Outcome outcome = *submit   ? errand.submit(job)
                           : *status ? errand.status(uid)
                           : *cancel ? errand.cancel(uid)
                                     : errand.wait(uid);
    std::puts(ctl::describe(outcome, json).c_str());
    return static_cast<int>(outcome.exit);
}

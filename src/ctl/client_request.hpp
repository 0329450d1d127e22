// One errand of a user at the controllers: a request with the protocol's retries, or the polls of
// a job until it is over.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/model/actions.hpp"
#include "core/model/constants.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"

namespace cranemoor::ctl {

using core::Json;

// What the command ends with; docs/operations.md lists them.
enum class Exit { done = 0, mistake = 2, refused = 3, no_answer = 4, cancelled = 5 };

struct Outcome {
    Exit exit = Exit::no_answer;
    int status = 0;  // of the last answer, 0: none came
    Json body = Json::object();
};

// Seconds of the protocol, and how long to wait for a job.
struct Patience {
    double request_s = core::constants::user_patience_s;
    double again_s = core::constants::user_again_s;
    double retry_max_s = core::constants::user_retry_max_s;
    double poll_s = core::constants::user_poll_s;
    double wait_s = 0;  // for a job to be over; 0: as long as it takes
};

class ClientRequest {
  public:
    ClientRequest(io::Loop& loop, const std::string& server, Patience patience);

    // Each returns when it is over.
    Outcome submit(const Json& job);
    Outcome status(const std::string& uid);
    Outcome cancel(const std::string& uid);
    Outcome wait(const std::string& uid);

  private:
    // What an answer means: nothing while the request should be sent again.
    using Judge = std::function<std::optional<Exit>(int status, const Json& body)>;
    Outcome run(const std::string& method, const std::string& target, const std::string& body,
                double answer_s, double pause_s, double patience_s, Judge judge);
    void send();

    io::Loop& loop_;
    io::HttpClient client_;
    Patience patience_;
    io::Timer again_;
    std::string method_;
    std::string target_;
    std::string body_;
    double answer_s_ = 0;
    double pause_s_ = 0;
    double until_ = 0;
    Judge judge_;
    Outcome outcome_;
};

// "req-000412 running, 3 done, 13 running" or the body as JSON.
std::string describe(const Outcome& outcome, bool json);

}  // namespace cranemoor::ctl

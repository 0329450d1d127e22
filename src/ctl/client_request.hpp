// A client's request to the controllers: sent again as the protocol has it until it is answered for
// good, or a job polled until it is over.
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

/// Exit code of the command; docs/operations.md lists them.
enum class ExitCode { done = 0, usage_error = 2, rejected = 3, no_answer = 4, cancelled = 5 };

/// How a request ended, and the last response to it.
struct Response {
    ExitCode exit = ExitCode::no_answer;
    int status = 0;              ///< HTTP status of the last response, 0: none came
    Json body = Json::object();  ///< of the last response; empty if it was no map
};

/// When requests are sent again, and for how long; all in seconds.
struct RetryPolicy {
    /// A submission, cancellation or status query is repeated for so long.
    double request_s = core::constants::client_retry_duration_s;
    /// Least time between two tries.
    double again_s = core::constants::client_retry_interval_min_s;
    /// Longest `retry-after` that is obeyed.
    double retry_max_s = core::constants::client_retry_after_max_s;
    /// Time between two polls of a job that is waited for.
    double poll_s = core::constants::client_poll_interval_s;
    /// A job is waited for so long; 0: as long as it takes.
    double wait_s = 0;
};

/// Sends requests to the controllers at one address. Each call runs the event loop until it is over
/// and returns how it ended; ExitCode::no_answer if the retry policy's time is up.
class ClientRequest {
  public:
    /// `server`: host:port of the controllers or of their load balancer.
    ClientRequest(io::Loop& loop, const std::string& server, RetryPolicy policy);

    /// Submits a job, in the protocol's form.
    Response submit(const Json& job);
    /// Asks for the state of job `uid`.
    Response status(const std::string& uid);
    /// Cancels job `uid`.
    Response cancel(const std::string& uid);
    /// Polls job `uid` until it is done or cancelled.
    Response wait(const std::string& uid);

  private:
    /// What a response means; std::nullopt: the request is to be sent again.
    using Classifier = std::function<std::optional<ExitCode>(int status, const Json& body)>;

    struct Call {
        std::string method;
        std::string target;
        std::string body;
        double answer_timeout_s = 0;
        double pause_s = 0;  // between two tries
        double limit_s = 0;  // on all tries together; 0: none
        Classifier classify;
    };

    Response run(Call call);
    void send();
    void on_answer(const io::HttpMessage* message);
    void finish(ExitCode exit);

    io::Loop& loop_;
    io::HttpClient client_;
    RetryPolicy policy_;
    io::Timer retry_timer_;
    Call call_;
    double deadline_ = 0;  // steady time
    Response response_;
};

/// The response as the user reads it: "req-000412 running, 3 done, 13 running", or as JSON.
std::string describe(const Response& response, bool json);

}  // namespace cranemoor::ctl

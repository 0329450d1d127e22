/// Client requests to the controllers. A request is retried according to the protocol until it gets
/// a final response, and a job is polled until it has ended.
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
enum class ExitCode { done = 0, usage_error = 2, rejected = 3, no_response = 4, cancelled = 5 };

/// Outcome of a request and the last response to it.
struct Response {
    ExitCode exit = ExitCode::no_response;
    int status = 0;              ///< HTTP status of the last response; 0: no response
    Json body = Json::object();  ///< of the last response; empty if it was not a map
};

/// When and for how long requests are retried; all values in seconds.
struct RetryPolicy {
    /// Time limit for the retries of a submission, cancellation or status query.
    double retry_duration_s = core::constants::client_retry_duration_s;
    /// Minimum time between two attempts.
    double retry_interval_s = core::constants::client_retry_interval_min_s;
    /// Upper limit applied to the `retry-after` of a response.
    double retry_after_max_s = core::constants::client_retry_after_max_s;
    /// Time between two polls while waiting for a job.
    double poll_interval_s = core::constants::client_poll_interval_s;
    /// Time limit for waiting for a job; 0: no limit.
    double wait_timeout_s = 0;
};

/// Sends requests to the controllers at one address. Each call runs the event loop until the
/// request has ended; its exit code is ExitCode::no_response if the time limit of the retry policy
/// expired.
class ClientRequest {
  public:
    /// `server`: IPv4 address and port ("host:port") of a controller or of the load balancer.
    ClientRequest(io::Loop& loop, const std::string& server, RetryPolicy policy);

    /// Submits a job in the protocol's format.
    Response submit(const Json& job);
    /// Queries the state of job `uid`.
    Response status(const std::string& uid);
    /// Cancels job `uid`.
    Response cancel(const std::string& uid);
    /// Polls job `uid` until it is done or cancelled, or unknown to the controllers.
    Response wait(const std::string& uid);

  private:
    /// Maps a response to an exit code; std::nullopt: retry the request.
    using Classifier = std::function<std::optional<ExitCode>(int status, const Json& body)>;

    struct Call {
        std::string method;
        std::string target;
        std::string body;
        double response_timeout_s = 0;
        double retry_delay_s = 0;    // minimum time between two attempts
        double total_timeout_s = 0;  // for all attempts together; 0: no limit
        Classifier classify;
    };

    Response run(Call call);
    void send();
    void handle_response(const io::HttpMessage* message);
    void finish(ExitCode exit);

    io::Loop& loop_;
    io::HttpClient client_;
    RetryPolicy policy_;
    io::Timer retry_timer_;
    Call call_;
    double deadline_ = 0;  // in seconds on the steady clock
    Response response_;
};

/// Formats the response for the user, such as "req-000412 running, 3 done, 13 running", or as JSON.
std::string describe(const Response& response, bool json);

}  // namespace cranemoor::ctl

// Open requests: users' requests that have not been answered yet, their deadlines, and the only way
// by which an answer leaves the core.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/context/context.hpp"
#include "core/requests/rejection.hpp"

namespace cranemoor::core {

/// Id of a user's request, unique within the process; assigned by the HTTP server.
using RequestId = std::uint64_t;

/// State of a job as returned to users.
enum class JobState { queued, running, done, cancelled };

/// A successful answer: the state of a job.
struct JobAnswer {
    HttpStatus status = HttpStatus::ok;
    JobState state = JobState::queued;
    std::optional<std::pair<int, int>> counts =
        {};  ///< tasks done and running; null: not requested
};

/// The user requests that wait for an answer. Every answer is sent through this class.
class OpenRequests {
  public:
    /// What to run when a request is resumed; run at most once.
    using Continuation = std::function<void()>;

    explicit OpenRequests(Context& ctx) : ctx_(ctx) {}

    /// Registers a request that can't be answered at once. After `timeout_s` seconds without an
    /// answer it is rejected as unavailable. `on_fresh`: run by resume().
    void open(RequestId request, const std::string& uid, double timeout_s,
              Continuation on_fresh = nullptr);
    /// Whether the request still waits for its answer.
    bool is_open(RequestId request) const { return open_.contains(request); }
    /// Number of requests that wait for an answer.
    std::size_t count() const { return open_.size(); }
    /// Runs the request's `on_fresh`, unless it was answered or resumed already.
    void resume(RequestId request);

    /// Answers with the state of job `uid`.
    void answer(RequestId request, const std::string& uid, const JobAnswer& answer);
    /// Answers with a rejection; `uid` is empty if the request names no job. `retry_after_s` is
    /// sent with status 503 only.
    void reject(RequestId request, const std::string& uid, const Rejection& rejection,
                int retry_after_s = constants::retry_after_s);
    /// Rejects the request as unavailable: nothing was decided, and the client may retry.
    void reject_unavailable(RequestId request, const std::string& uid);
    /// The same for a request that may have been answered already.
    void reject_unavailable_if_open(RequestId request);
    /// Rejects the requests that have timed out, as unavailable.
    void reject_expired();

  private:
    struct OpenRequest {
        std::string uid;
        double deadline = 0;  // steady time
        Continuation on_fresh;
    };

    void send(UserReply reply);

    Context& ctx_;
    std::map<RequestId, OpenRequest> open_;
};

}  // namespace cranemoor::core

// Request handler: users' submissions, status queries and cancellations. Nothing is returned to
// users before it is durable, and nothing that may have changed is returned without a fresh read of
// the key-value store.
#pragma once

#include <optional>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/jobs/dependencies.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/requests/cancellation_handler.hpp"
#include "core/requests/finished_jobs.hpp"
#include "core/requests/fresh_reads.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/running_task_counter.hpp"
#include "core/requests/status_query.hpp"
#include "core/requests/submission_handler.hpp"
#include "core/requests/submission_queue.hpp"

namespace cranemoor::core {

/// Combines the handlers of users' requests. Every request is answered by exactly one UserReply, at
/// once or later; all answers together are linearizable across the controllers.
class RequestHandler {
  public:
    RequestHandler(Context& ctx, Membership& membership, const AgentRegistry& agents,
                   const Quota& quota, const Dependencies& dependencies);

    /// See SubmissionHandler::submit.
    void submit(RequestId request, const JobSpec& spec);
    /// See SubmissionHandler::submit_malformed.
    void submit_malformed(RequestId request, const std::optional<std::string>& uid,
                          const std::string& error);
    /// See StatusQuery::poll.
    void poll(RequestId request, const std::string& uid);
    /// See CancellationHandler::cancel.
    void cancel(RequestId request, const std::string& uid);
    /// Sends the read checks and writes that are due, and rejects the requests that have timed out.
    void tick();

  private:
    void prune_if_due();

    Context& ctx_;
    OpenRequests open_requests_;
    FinishedJobs finished_jobs_;
    RunningTaskCounter running_task_counter_;
    SubmissionQueue submission_queue_;
    FreshReads fresh_reads_;
    StatusQuery status_query_;
    SubmissionHandler submission_handler_;
    CancellationHandler cancellation_handler_;
    double next_prune_ = 0;  // steady time
};

}  // namespace cranemoor::core

// Submission handler: idempotent submissions. A job is accepted once, no matter how often and to
// which controllers it is submitted; each submission of a known job is answered with its state.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/jobs/dependencies.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/requests/finished_jobs.hpp"
#include "core/requests/fresh_reads.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/status_query.hpp"
#include "core/requests/submission_queue.hpp"
#include "core/requests/submission_writer.hpp"

namespace cranemoor::core {

/// Validates submissions, queues them to be written, and answers them once they are durable.
class SubmissionHandler {
  public:
    SubmissionHandler(Context& ctx, const Membership& membership, const AgentRegistry& agents,
                      const Quota& quota, const Dependencies& dependencies,
                      OpenRequests& open_requests, FreshReads& fresh_reads,
                      FinishedJobs& finished_jobs, StatusQuery& status_query,
                      SubmissionQueue& submission_queue);
    SubmissionHandler(const SubmissionHandler&) = delete;
    SubmissionHandler& operator=(const SubmissionHandler&) = delete;

    /// Accepts a job and answers 201, or 200 with its state if it was accepted before, or 422 if it
    /// can't be accepted; 503 if that can't be decided now.
    void submit(RequestId request, const JobSpec& spec);
    /// Answers a submission that can't be parsed with 400 and `error`, unless its uid is that of a
    /// job accepted before. `uid` is std::nullopt if the uid couldn't be parsed either.
    void submit_malformed(RequestId request, const std::optional<std::string>& uid,
                          const std::string& error);
    /// Writes the waiting submissions that may be written now.
    void tick();

  private:
    bool is_known(const std::string& uid) const;
    void accept_new(RequestId request, const JobSpec& spec);
    void accept_dependent(RequestId request, const JobSpec& spec);
    bool is_cancelled(const std::string& uid) const;
    void accept(RequestId request, const JobSpec& spec, int attempts_left, bool cancelled);
    void on_written(const SubmissionWriter::Batch& batch, const StoreReply& reply);
    void record_accepted(const JobSpec& spec, Revision revision);
    void answer_written(RequestId request, const PendingSubmission& submission,
                        const StoreReply& reply);
    void answer_accepted(RequestId request, const PendingSubmission& submission);
    void retry_accept(RequestId request, const PendingSubmission& submission);

    Context& ctx_;
    const Membership& membership_;
    const AgentRegistry& agents_;
    const Quota& quota_;
    const Dependencies& dependencies_;
    OpenRequests& open_requests_;
    FreshReads& fresh_reads_;
    FinishedJobs& finished_jobs_;
    StatusQuery& status_query_;
    SubmissionQueue& submission_queue_;
    SubmissionWriter writer_;
    std::set<std::string> accepted_not_in_replica_;  // uids of jobs accepted by this process
};

}  // namespace cranemoor::core

// Status queries: the job states that users' requests are answered with.
#pragma once

#include <functional>
#include <string>

#include "core/context/context.hpp"
#include "core/jobs/dependencies.hpp"
#include "core/membership/membership.hpp"
#include "core/requests/finished_jobs.hpp"
#include "core/requests/fresh_reads.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/running_task_counter.hpp"

namespace cranemoor::core {

/// Whether an answer contains the numbers of done and running tasks in addition to the job's state.
enum class AnswerDetail { state, state_and_counts };

/// Answers polls, and all other requests about a job that is already known.
class StatusQuery {
  public:
    StatusQuery(Context& ctx, const Membership& membership, const Dependencies& dependencies,
                OpenRequests& open_requests, FreshReads& fresh_reads, FinishedJobs& finished_jobs,
                RunningTaskCounter& running_task_counter)
        : ctx_(ctx),
          membership_(membership),
          dependencies_(dependencies),
          open_requests_(open_requests),
          fresh_reads_(fresh_reads),
          finished_jobs_(finished_jobs),
          running_task_counter_(running_task_counter) {}

    /// Answers a poll: at once if the job's final state is in memory, else after a fresh read; 404
    /// for a job that was never accepted.
    void poll(RequestId request, const std::string& uid);
    /// Answers with the state of a job that is in the replica or has a final state, and runs
    /// `on_unknown` for any other. Rejects the request as unavailable if that can't be read now.
    void answer_known(RequestId request, const std::string& uid, AnswerDetail detail,
                      std::function<void()> on_unknown);
    /// Answers with the state of a job that has no final state. Rejects the request as unavailable
    /// while a cancellation may not be confirmed yet, or is being propagated to dependent jobs.
    void answer_job(RequestId request, HttpStatus status, const Job& job, AnswerDetail detail);
    /// Answers with the state of a finished job.
    void answer_finished(RequestId request, const std::string& uid, const Finished& final_state,
                         AnswerDetail detail);

  private:
    Context& ctx_;
    const Membership& membership_;
    const Dependencies& dependencies_;
    OpenRequests& open_requests_;
    FreshReads& fresh_reads_;
    FinishedJobs& finished_jobs_;
    RunningTaskCounter& running_task_counter_;
};

}  // namespace cranemoor::core

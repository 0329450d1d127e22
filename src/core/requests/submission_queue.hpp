// Submission queue: submissions that wait to be written, one queue for each flow (a team's class of
// jobs), in the fair order of admission::AdmissionController.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "admission/admission_controller.hpp"
#include "core/context/context.hpp"
#include "core/requests/open_requests.hpp"

namespace cranemoor::core {

/// A job whose record is still to be written, with the requests that submitted it.
struct PendingSubmission {
    std::vector<RequestId> requests;  ///< every request that has submitted this job
    JobSpec spec;
    int attempts_left = 0;          ///< writes that may still be tried; a conflict uses up one
    int dependency_part_count = 0;  ///< records that hold its dependencies; 0: its own does
    Revision dependency_parts_revision = 0;  ///< of the last of those records
    bool cancelled = false;                  ///< because a dependency was cancelled
};

/// The flow that a job's submission belongs to.
inline admission::FlowName flow_of(const JobSpec& spec) {
    return {spec.team, spec.job_class};
}

/// The submissions that wait to be written.
class SubmissionQueue {
  public:
    SubmissionQueue(Context& ctx, OpenRequests& open_requests)
        : ctx_(ctx), open_requests_(open_requests) {}

    /// Returns whether one more request may wait; at the limit, rejects the newest submission of
    /// the flow with the most waiting ones, unless that is `flow` itself. A class with thousands of
    /// waiting submissions thus doesn't cause other classes' submissions, or status queries, to be
    /// rejected. `flow` is empty for a request that is not a submission.
    bool make_room(const admission::FlowName& flow);
    /// Rejects a submission for which there is no room, with the time after which to retry.
    void reject_full(RequestId request, const std::string& uid);

    void enqueue(PendingSubmission submission);
    /// The submission of job `uid`; nullptr if none waits.
    PendingSubmission* find(const std::string& uid);
    /// The submission that is next to be written, after dropping those whose requests were all
    /// answered; nullptr if none is left. Valid until the queue changes.
    PendingSubmission* front();
    /// Removes and returns the submission that front() returned.
    PendingSubmission pop_front();
    /// Whether the queue is empty. Submissions whose requests were answered still count as queued.
    bool empty() const { return queues_.empty(); }

    /// Records that `jobs` submissions were accepted now, for the rate at which the queue moves.
    void record_accepted(std::size_t jobs);
    /// Drops the acceptances that are too old to count towards that rate.
    void prune();

  private:
    enum class Removal { served, abandoned, evicted };
    struct AcceptedBatch {
        double at = 0;  // steady time
        std::size_t jobs = 0;
    };

    PendingSubmission remove(const admission::FlowName& flow, Removal removal);
    int retry_after_s(const std::string& uid) const;

    Context& ctx_;
    OpenRequests& open_requests_;
    std::map<admission::FlowName, std::deque<PendingSubmission>> queues_;  // none is empty
    admission::AdmissionController admission_controller_;                  // over queues_
    std::deque<AcceptedBatch> accepted_batches_;                           // recent, oldest first
};

}  // namespace cranemoor::core

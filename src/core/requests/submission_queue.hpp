// Submission queue: submissions that wait for their write, one queue for each flow (a team's class
// of jobs), in the fair order of admission::AdmissionController.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "admission/admission_controller.hpp"
#include "core/context/context.hpp"
#include "core/requests/open_requests.hpp"

namespace cranemoor::core {

/// A job whose record is still to be written, and who asked for it.
struct PendingSubmission {
    std::vector<RequestId> requests;  ///< every request that submitted this job meanwhile
    JobSpec spec;
    int tries_left = 0;                  ///< writes left to try, after conflicts
    int follow_parts = 0;                ///< records that hold the jobs it depends on; 0: its own
    Revision follow_parts_revision = 0;  ///< of the last of these records
    bool cancelled = false;              ///< with a job that it depends on
};

/// The flow that a job's submission belongs to.
inline admission::FlowName flow_of(const JobSpec& spec) {
    return {spec.team, spec.job_class};
}

/// The submissions that wait for their write.
class SubmissionQueue {
  public:
    SubmissionQueue(Context& ctx, OpenRequests& open_requests)
        : ctx_(ctx), open_requests_(open_requests) {}

    /// Whether one more request may wait. If too many do, the newest submission of the flow with
    /// the most waiting ones makes room, unless that is `flow` itself: one class of which thousands
    /// wait doesn't get other classes' submissions, or status queries, refused. `flow` is empty for
    /// a request that is no submission.
    bool make_room(const admission::FlowName& flow);
    /// Rejects a submission for which there is no room, with the time after which to come back.
    void reject_full(RequestId request, const std::string& uid);

    void enqueue(PendingSubmission submission);
    /// The submission of job `uid`; nullptr if none waits.
    PendingSubmission* find(const std::string& uid);
    /// The submission whose turn it is. Those whose requests were all answered are dropped; nullptr
    /// if nothing else waits. Valid until the queue changes.
    PendingSubmission* front();
    /// Takes out the submission that front() returned.
    PendingSubmission pop_front();
    /// Whether nothing waits, not even submissions whose requests were answered.
    bool empty() const { return queues_.empty(); }

    /// Records that `jobs` submissions were accepted now: the rate at which the queue moves.
    void note_accepted(std::size_t jobs);
    /// Forgets the acceptances that are too old to count for that rate.
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
    std::map<admission::FlowName, std::deque<PendingSubmission>> queues_;  // none of them empty
    admission::AdmissionController admission_controller_;                  // over queues_
    std::deque<AcceptedBatch> accepted_;                                   // lately, oldest first
};

}  // namespace cranemoor::core

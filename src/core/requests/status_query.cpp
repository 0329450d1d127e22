#include "core/requests/status_query.hpp"

namespace cranemoor::core {

void StatusQuery::poll(RequestId request, const std::string& uid) {
    if (const Finished* final_state = finished_jobs_.find(uid)) {
        answer_finished(request, uid, *final_state, AnswerDetail::state_and_counts);
        return;
    }
    fresh_reads_.when_fresh(request, uid, constants::status_query_timeout_s, [this, request, uid] {
        answer_known(request, uid, AnswerDetail::state_and_counts, [this, request, uid] {
            open_requests_.reject(request, uid, {RejectionReason::no_such_job});
        });
    });
}

void StatusQuery::answer_known(RequestId request, const std::string& uid, AnswerDetail detail,
                               std::function<void()> on_unknown) {
    if (const Job* job = ctx_.jobs.find(uid)) {
        answer_job(request, HttpStatus::ok, *job, detail);
        return;
    }
    finished_jobs_.look_up(request, uid,
                           [this, request, uid, detail,
                            on_unknown = std::move(on_unknown)](const Finished* final_state) {
                               if (final_state != nullptr) {
                                   answer_finished(request, uid, *final_state, detail);
                               } else {
                                   on_unknown();
                               }
                           });
}

void StatusQuery::answer_job(RequestId request, HttpStatus status, const Job& job,
                             AnswerDetail detail) {
    bool cancelled = job.cancelled;
    if (job.waiting && !cancelled) {
        // Guards against an answer that is older than the cancellation of a dependency, which may
        // still have to be propagated to this job.
        auto effective_outcome = dependencies_.effective_outcome(job.spec.uid);
        if (!effective_outcome) {
            open_requests_.reject_unavailable(request, job.spec.uid);
            return;
        }
        cancelled = effective_outcome == Dependencies::Outcome::cancelled;
    }
    if (cancelled && !membership_.may_confirm_cancellations()) {
        open_requests_.reject_unavailable(request, job.spec.uid);
        return;
    }
    int running = running_task_counter_.running_tasks(job);
    JobAnswer answer;
    answer.status = status;
    if (cancelled) {
        answer.state = JobState::cancelled;
    } else {
        // Running also when every task is done: until the final state is written, a cancellation
        // may still be written before it, and "done" would have to be retracted.
        answer.state = running > 0 || job.done() > 0 ? JobState::running : JobState::queued;
    }
    if (detail == AnswerDetail::state_and_counts) {
        answer.counts = std::make_pair(job.done(), running);
    }
    open_requests_.answer(request, job.spec.uid, answer);
}

void StatusQuery::answer_finished(RequestId request, const std::string& uid,
                                  const Finished& final_state, AnswerDetail detail) {
    JobAnswer answer;
    answer.state = final_state.cancelled ? JobState::cancelled : JobState::done;
    if (detail == AnswerDetail::state_and_counts) {
        answer.counts = std::make_pair(final_state.cancelled ? 0 : final_state.tasks, 0);
    }
    open_requests_.answer(request, uid, answer);
}

}  // namespace cranemoor::core

#include "core/requests/submission_handler.hpp"

#include <algorithm>

#include "core/requests/submission_validation.hpp"

namespace cranemoor::core {

SubmissionHandler::SubmissionHandler(Context& ctx, const Membership& membership,
                                     const AgentRegistry& agents, const Quota& quota,
                                     const Dependencies& dependencies, OpenRequests& open_requests,
                                     FreshReads& fresh_reads, FinishedJobs& finished_jobs,
                                     StatusQuery& status_query, SubmissionQueue& submission_queue)
    : ctx_(ctx),
      membership_(membership),
      agents_(agents),
      quota_(quota),
      dependencies_(dependencies),
      open_requests_(open_requests),
      fresh_reads_(fresh_reads),
      finished_jobs_(finished_jobs),
      status_query_(status_query),
      submission_queue_(submission_queue),
      writer_(ctx, agents, open_requests, submission_queue,
              [this](const SubmissionWriter::Batch& batch, const StoreReply& reply) {
                  on_written(batch, reply);
              }) {}

void SubmissionHandler::submit(RequestId request, const JobSpec& spec) {
    if (!ctx_.is_member || agents_.types().empty()) {
        open_requests_.reject_unavailable(request, spec.uid);
        return;
    }
    if (const Finished* final_state = finished_jobs_.find(spec.uid)) {
        status_query_.answer_finished(request, spec.uid, *final_state, AnswerDetail::state);
        return;
    }
    auto rejection = validate(spec, ctx_, quota_, agents_);
    if (!rejection && !is_known(spec.uid) && spec.depends_on.empty()) {
        accept_new(request, spec);
        return;
    }
    // The job is known, has dependencies or would be rejected. A job that was accepted earlier is
    // never answered with 422, so it is looked up first.
    fresh_reads_.when_fresh(
        request, spec.uid, constants::submission_timeout_s, [this, request, spec, rejection] {
            status_query_.answer_known(
                request, spec.uid, AnswerDetail::state, [this, request, spec, rejection] {
                    if (rejection) {
                        open_requests_.reject(request, spec.uid, *rejection);
                    } else if (!spec.depends_on.empty()) {
                        accept_dependent(request, spec);
                    } else {
                        accept(request, spec, constants::accept_attempts_max, false);
                    }
                });
        });
}

void SubmissionHandler::submit_malformed(RequestId request, const std::optional<std::string>& uid,
                                         const std::string& error) {
    Rejection rejection{RejectionReason::malformed, error};
    if (!uid) {
        open_requests_.reject(request, "", rejection);
        return;
    }
    fresh_reads_.when_fresh(
        request, *uid, constants::submission_timeout_s, [this, request, uid = *uid, rejection] {
            status_query_.answer_known(request, uid, AnswerDetail::state,
                                       [this, request, uid, rejection] {
                                           open_requests_.reject(request, uid, rejection);
                                       });
        });
}

void SubmissionHandler::tick() {
    writer_.write_pending();
}

bool SubmissionHandler::is_known(const std::string& uid) const {
    return ctx_.jobs.find(uid) != nullptr || accepted_not_in_replica_.contains(uid);
}

// A job that this controller knows nothing of is written without a fresh read: the conditions of
// the write fail if the job was accepted elsewhere.
void SubmissionHandler::accept_new(RequestId request, const JobSpec& spec) {
    if (!membership_.has_store_contact()) {
        open_requests_.reject_unavailable(request, spec.uid);
        return;
    }
    if (!submission_queue_.make_room(flow_of(spec))) {
        submission_queue_.reject_full(request, spec.uid);
        return;
    }
    open_requests_.open(request, spec.uid, constants::submission_timeout_s);
    accept(request, spec, constants::accept_attempts_max, false);
}

// Called after a fresh read. Every dependency must be a job that was accepted. Most are in memory;
// one that finished too long ago to be there is read from the key-value store, within the rate
// limit of such reads, and cached in case the user has to submit again.
void SubmissionHandler::accept_dependent(RequestId request, const JobSpec& spec) {
    if (!ctx_.all_controllers_support()) {
        // A controller of the previous version may still come back, and would start the job.
        open_requests_.reject_unavailable(request, spec.uid);
        return;
    }
    for (const auto& dependency : spec.depends_on) {
        if (is_known(dependency) || finished_jobs_.find(dependency) != nullptr) {
            continue;
        }
        finished_jobs_.look_up(
            request, dependency, [this, request, spec, dependency](const Finished* final_state) {
                if (final_state == nullptr) {
                    open_requests_.reject(request, spec.uid,
                                          {RejectionReason::unknown_dependency, dependency});
                } else {
                    accept_dependent(request, spec);
                }
            });
        return;
    }
    // A done job stays done, so the job only has to wait for the other dependencies.
    JobSpec remaining = spec;
    std::erase_if(remaining.depends_on, [&](const std::string& dependency) {
        const Finished* final_state = finished_jobs_.find(dependency);
        return final_state != nullptr && !final_state->cancelled;
    });
    bool cancelled =
        std::any_of(remaining.depends_on.begin(), remaining.depends_on.end(),
                    [&](const std::string& dependency) { return is_cancelled(dependency); });
    accept(request, remaining, constants::accept_attempts_max, cancelled);
}

// Whether a dependency was cancelled. Precondition: it isn't done.
bool SubmissionHandler::is_cancelled(const std::string& uid) const {
    return finished_jobs_.find(uid) != nullptr ||
           dependencies_.effective_outcome(uid) == Dependencies::Outcome::cancelled;
}

// Queues the job of an open request to be written.
void SubmissionHandler::accept(RequestId request, const JobSpec& spec, int attempts_left,
                               bool cancelled) {
    if (!ctx_.is_member || attempts_left == 0) {
        open_requests_.reject_unavailable(request, spec.uid);
        return;
    }
    if (PendingSubmission* existing = submission_queue_.find(spec.uid)) {
        existing->requests.push_back(request);
        return;
    }
    PendingSubmission submission;
    submission.requests = {request};
    submission.spec = spec;
    submission.attempts_left = attempts_left;
    submission.cancelled = cancelled;
    submission_queue_.enqueue(std::move(submission));
    writer_.write_pending();
}

void SubmissionHandler::on_written(const SubmissionWriter::Batch& batch, const StoreReply& reply) {
    bool written = reply.status == StoreReply::Status::ok;
    if (written) {
        submission_queue_.record_accepted(batch.size());
    }
    for (const auto& submission : batch) {
        if (written) {
            record_accepted(submission.spec, reply.revision);
        }
        for (auto request : submission.requests) {
            if (open_requests_.is_open(request)) {
                answer_written(request, submission, reply);
            }
        }
    }
}

void SubmissionHandler::record_accepted(const JobSpec& spec, Revision revision) {
    // Until the replica shows the job, another submission of it needs a fresh read.
    accepted_not_in_replica_.insert(spec.uid);
    ctx_.when_replica_reaches(revision,
                              [this, uid = spec.uid] { accepted_not_in_replica_.erase(uid); });
    ctx_.info("job {}: accepted, {} of {} tasks, class {} team {} image {}", spec.uid,
              kind_name(spec.kind), spec.tasks, spec.job_class, spec.team, spec.image);
}

void SubmissionHandler::answer_written(RequestId request, const PendingSubmission& submission,
                                       const StoreReply& reply) {
    if (reply.status == StoreReply::Status::ok) {
        answer_accepted(request, submission);
    } else if (reply.status != StoreReply::Status::conflict) {
        open_requests_.reject_unavailable(request, submission.spec.uid);
    } else {
        ctx_.when_replica_reaches(
            reply.revision, [this, request, submission] { retry_accept(request, submission); });
    }
}

// Guards against a late answer that is older than what other controllers have answered meanwhile:
// an end of the job that the replica shows takes precedence over "queued".
void SubmissionHandler::answer_accepted(RequestId request, const PendingSubmission& submission) {
    const auto& uid = submission.spec.uid;
    const Job* job = ctx_.jobs.find(uid);
    if (const Finished* final_state = finished_jobs_.find(uid)) {
        status_query_.answer_finished(request, uid, *final_state, AnswerDetail::state);
    } else if (job != nullptr && job->cancelled) {
        status_query_.answer_job(request, HttpStatus::created, *job, AnswerDetail::state);
    } else if (submission.cancelled && !membership_.may_confirm_cancellations()) {
        open_requests_.reject_unavailable(request, uid);
    } else {
        JobState state = submission.cancelled ? JobState::cancelled : JobState::queued;
        open_requests_.answer(request, uid, {HttpStatus::created, state});
    }
}

// Called after a conflict, which another job of the same transaction or a new epoch may have
// caused.
void SubmissionHandler::retry_accept(RequestId request, const PendingSubmission& submission) {
    if (!open_requests_.is_open(request)) {
        return;
    }
    status_query_.answer_known(
        request, submission.spec.uid, AnswerDetail::state, [this, request, submission] {
            accept(request, submission.spec, submission.attempts_left - 1, submission.cancelled);
        });
}

}  // namespace cranemoor::core

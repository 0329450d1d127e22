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
    // Known, or to be rejected: a job accepted earlier is never told 422.
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
    return ctx_.jobs.find(uid) != nullptr || accepted_here_.contains(uid);
}

// A job that nothing is known of is written without a fresh read: the write's conditions fail if it
// was accepted elsewhere.
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

// A job that depends on others, after a fresh read: each of them must have been accepted. Most are
// in memory; what is over so long that it isn't is read, within the budget of look-ups, and kept
// for the case that the user has to come again.
void SubmissionHandler::accept_dependent(RequestId request, const JobSpec& spec) {
    if (!ctx_.all_controllers_support()) {
        // A controller of the version before may still have to come back and would start it.
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
    // What is done stays done: only the others have to be waited for.
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

// Of a dependency that isn't done.
bool SubmissionHandler::is_cancelled(const std::string& uid) const {
    return finished_jobs_.find(uid) != nullptr ||
           dependencies_.verdict(uid) == Dependencies::End::cancelled;
}

// Queues an open request's job to be written.
void SubmissionHandler::accept(RequestId request, const JobSpec& spec, int tries_left,
                               bool cancelled) {
    if (!ctx_.is_member || tries_left == 0) {
        open_requests_.reject_unavailable(request, spec.uid);
        return;
    }
    if (PendingSubmission* same = submission_queue_.find(spec.uid)) {
        same->requests.push_back(request);
        return;
    }
    PendingSubmission submission;
    submission.requests = {request};
    submission.spec = spec;
    submission.tries_left = tries_left;
    submission.cancelled = cancelled;
    submission_queue_.enqueue(std::move(submission));
    writer_.write_pending();
}

void SubmissionHandler::on_written(const SubmissionWriter::Batch& batch, const StoreReply& reply) {
    bool written = reply.status == StoreReply::Status::ok;
    if (written) {
        submission_queue_.note_accepted(batch.size());
    }
    for (const auto& submission : batch) {
        if (written) {
            note_accepted(submission.spec, reply.revision);
        }
        for (auto request : submission.requests) {
            if (open_requests_.is_open(request)) {
                answer_written(request, submission, reply);
            }
        }
    }
}

void SubmissionHandler::note_accepted(const JobSpec& spec, Revision revision) {
    // Until the replica shows it, a second submission is looked up by a fresh read.
    accepted_here_.insert(spec.uid);
    ctx_.when_replica_reaches(revision, [this, uid = spec.uid] { accepted_here_.erase(uid); });
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
            reply.revision, [this, request, submission] { accept_again(request, submission); });
    }
}

// Guards against an answer that comes late and is older than what others told meanwhile: what the
// replica knows of the job's end goes before "queued".
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

// After a conflict, which may be another job's of the same record, or the epoch's.
void SubmissionHandler::accept_again(RequestId request, const PendingSubmission& submission) {
    if (!open_requests_.is_open(request)) {
        return;
    }
    status_query_.answer_known(
        request, submission.spec.uid, AnswerDetail::state, [this, request, submission] {
            accept(request, submission.spec, submission.tries_left - 1, submission.cancelled);
        });
}

}  // namespace cranemoor::core

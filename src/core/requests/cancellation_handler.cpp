#include "core/requests/cancellation_handler.hpp"

#include <algorithm>

namespace cranemoor::core {

void CancellationHandler::cancel(RequestId request, const std::string& uid) {
    if (const Finished* final_state = finished_jobs_.find(uid)) {
        status_query_.answer_finished(request, uid, *final_state, AnswerDetail::state);
        return;
    }
    fresh_reads_.when_fresh(request, uid, constants::submission_timeout_s, [this, request, uid] {
        write_cancellation(request, uid, constants::cancel_attempts_max);
    });
}

void CancellationHandler::write_cancellation(RequestId request, const std::string& uid,
                                             int attempts_left) {
    const Job* job = ctx_.jobs.find(uid);
    if (job == nullptr || job->cancelled) {
        status_query_.answer_known(request, uid, AnswerDetail::state, [this, request, uid] {
            open_requests_.reject(request, uid, {RejectionReason::no_such_job});
        });
        return;
    }
    if (!ctx_.is_member || attempts_left == 0) {
        open_requests_.reject_unavailable(request, uid);
        return;
    }
    double cancelled_wall = std::max(1.0, ctx_.now.wall);  // 0 means not cancelled
    ctx_.send_txn(cancellation_txn(*job, cancelled_wall),
                  [this, request, uid, attempts_left, cancelled_wall](const StoreReply& reply) {
                      if (reply.status == StoreReply::Status::ok) {
                          ctx_.info("job {}: cancelled", uid);
                          // Guards against an outage of the key-value store at this moment, in
                          // which the watch may never deliver the cancellation.
                          membership_.note_cancelled(uid, cancelled_wall);
                      }
                      on_written(request, uid, attempts_left, reply);
                  });
}

// Every claim is conditional on the record that is changed here, so no claim can follow.
Txn CancellationHandler::cancellation_txn(const Job& job, double cancelled_wall) const {
    const auto& uid = job.spec.uid;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.purpose = Txn::Purpose::cancel;
    txn.conditions = JobStore::live_conditions(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    JobRecord record = job.record();
    record.cancelled_wall = cancelled_wall;
    if (job.own_record) {
        // Guards against a job that is answered as done and then cancelled: its final state is
        // written to the first block and leaves the job's own record unchanged.
        txn.conditions.push_back({keys::block(uid, 0), job.first_block_record().revision});
        txn.writes = {{keys::job(uid), encode(record)}};
    } else if (bytes_of(job.block(0)) > ctx_.value_bytes_max()) {
        // The block is too large to be written again. A record of the job's own takes precedence
        // over the one that it shares.
        txn.conditions.push_back({keys::block(uid, 0), job.block(0).revision});
        txn.writes = {{keys::job(uid), encode(record)}};
    } else {
        Block block = job.block(0);
        block.cancelled_wall = cancelled_wall;
        txn.conditions.push_back({keys::block(uid, 0), block.revision});
        txn.writes = {{keys::block(uid, 0), encode(block)}};
    }
    return txn;
}

void CancellationHandler::on_written(RequestId request, const std::string& uid, int attempts_left,
                                     const StoreReply& reply) {
    if (!open_requests_.is_open(request)) {
        return;
    }
    if (reply.status == StoreReply::Status::ok && membership_.may_confirm_cancellations()) {
        open_requests_.answer(request, uid, {HttpStatus::ok, JobState::cancelled});
    } else if (reply.status == StoreReply::Status::conflict) {
        ctx_.when_replica_reaches(reply.revision, [this, request, uid, attempts_left] {
            if (open_requests_.is_open(request)) {
                write_cancellation(request, uid, attempts_left - 1);
            }
        });
    } else {
        open_requests_.reject_unavailable(request, uid);
    }
}

}  // namespace cranemoor::core

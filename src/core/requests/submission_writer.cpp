#include "core/requests/submission_writer.hpp"

#include <algorithm>

#include "core/jobs/block_limits.hpp"

namespace cranemoor::core {

namespace {

// Bytes that an element of a list of names takes beside the name: its quotes and a comma.
constexpr std::size_t name_frame_bytes = 3;
// Conditions that one more job brings to a transaction at the most.
constexpr std::size_t conditions_per_job = 4;

std::size_t encoded_size(const JobRecord& record) {
    return encode(record).dump().size();
}

}  // namespace

void SubmissionWriter::write_pending() {
    const auto& table = ctx_.jobs.admission_table();
    bool write_overload = table && table->shared;
    while (!submission_queue_.empty() &&
           writes_in_flight_ < constants::accept_writes_in_flight_max &&
           (!write_overload || ctx_.now.steady >= next_write_)) {
        next_write_ = ctx_.now.steady + constants::accept_write_interval_s;
        BatchBuilder builder = collect_batch();
        if (builder.batch.empty()) {
            return;
        }
        if (!builder.listed.empty()) {
            builder.txn.writes.push_back({keys::job_listing(ctx_.self.id, ++shared_records_),
                                          encode_listing(std::move(builder.listed))});
        }
        ++writes_in_flight_;
        ctx_.send_txn(std::move(builder.txn),
                      [this, batch = std::move(builder.batch)](const StoreReply& reply) {
                          --writes_in_flight_;
                          on_written_(batch, reply);
                          write_pending();
                      });
    }
}

SubmissionWriter::BatchBuilder SubmissionWriter::collect_batch() {
    BatchBuilder builder;
    builder.txn.urgency = Urgency::high;
    builder.txn.purpose = Txn::Purpose::accept;
    builder.txn.conditions.push_back(ctx_.epoch_condition());
    builder.room = ctx_.value_bytes_max() -
                   std::min(ctx_.value_bytes_max(), constants::listing_overhead_bytes);
    while (const PendingSubmission* submission = submission_queue_.front()) {
        if (!add_front(builder, *submission)) {
            break;
        }
    }
    return builder;
}

// Moves the submission at the queue's front into the batch, or wherever else it belongs. False: the
// batch is full, and the submission stays in the queue.
bool SubmissionWriter::add_front(BatchBuilder& builder, const PendingSubmission& submission) {
    const auto& uid = submission.spec.uid;
    JobRecord record = new_record(submission);
    if (record.waiting && submission.follow_parts == 0 &&
        encoded_size(record) > ctx_.value_bytes_max()) {
        write_dependency_parts(submission_queue_.pop_front());
        return true;
    }
    // A job of several blocks has a record of its own, since claims on its blocks don't see each
    // other, and so has one that waits for others, which is written again when they are done.
    bool own_record = record.waiting || submission.spec.tasks > record.block_size;
    Json value = encode(record);
    std::size_t size = value.dump().size();
    if (size > ctx_.value_bytes_max()) {
        reject_too_long(submission_queue_.pop_front());
        return true;
    }
    std::size_t bytes = own_record ? 0 : size + 1;
    if (!builder.batch.empty() && !fits(builder, own_record, bytes)) {
        return false;
    }
    builder.room -= std::min(builder.room, bytes);
    // Neither known in any form nor over: a write that comes late must not revive it.
    for (const auto& key : {keys::job(uid), keys::block(uid, 0), keys::final_state(uid)}) {
        builder.txn.conditions.push_back({key, 0});
    }
    if (submission.follow_parts > 0) {
        builder.txn.conditions.push_back({keys::dependencies(uid, submission.follow_parts - 1),
                                          submission.follow_parts_revision});
    }
    if (own_record) {
        builder.txn.writes.push_back({keys::job(uid), std::move(value)});
    } else {
        builder.listed.push_back(std::move(value));
    }
    builder.batch.push_back(submission_queue_.pop_front());
    return true;
}

// Whether one more job fits into the transaction; bytes: what it takes of the shared record.
bool SubmissionWriter::fits(const BatchBuilder& builder, bool own_record, std::size_t bytes) const {
    std::size_t writes = builder.txn.writes.size();
    if (own_record || builder.listed.empty()) {
        ++writes;
    }
    if (own_record && !builder.listed.empty()) {
        ++writes;  // the shared record, which is added last
    }
    return bytes <= builder.room && writes <= ctx_.txn_ops_max() &&
           builder.txn.conditions.size() + conditions_per_job <= ctx_.txn_conditions_max();
}

JobRecord SubmissionWriter::new_record(const PendingSubmission& submission) const {
    JobRecord record;
    record.spec = submission.spec;
    record.submitted_wall = ctx_.now.wall;
    record.block_size = tasks_per_block(ctx_);
    record.waiting = !submission.spec.depends_on.empty();
    record.dependency_part_count = submission.follow_parts;
    record.cancelled_wall = submission.cancelled ? std::max(1.0, ctx_.now.wall) : 0;
    if (record.spec.machine_types && encoded_size(record) > ctx_.value_bytes_max()) {
        // A list of many types is cut to those that can be rented.
        std::erase_if(*record.spec.machine_types,
                      [&](const std::string& type) { return agents_.type(type) == nullptr; });
    }
    return record;
}

// Names of hundreds of characters that take several bytes each: no record of the job can be kept.
void SubmissionWriter::reject_too_long(const PendingSubmission& submission) {
    for (auto request : submission.requests) {
        open_requests_.reject(request, submission.spec.uid,
                              {RejectionReason::description_too_long});
    }
}

// A long list of dependencies is written before the record that accepts the job, a part in each
// write. Without that record the parts mean nothing, and are removed after a while.
void SubmissionWriter::write_dependency_parts(PendingSubmission submission) {
    std::size_t room = ctx_.value_bytes_max() -
                       std::min(ctx_.value_bytes_max() / 2, constants::listing_overhead_bytes);
    DependencyParts parts(1);
    std::size_t bytes = 0;
    for (const auto& dependency : submission.spec.depends_on) {
        std::size_t added = dependency.size() + name_frame_bytes;
        if (bytes + added > room) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += added;
        parts.back().push_back(dependency);
    }
    write_next_part(std::make_shared<PendingSubmission>(std::move(submission)), std::move(parts));
}

void SubmissionWriter::write_next_part(const std::shared_ptr<PendingSubmission>& submission,
                                       DependencyParts parts) {
    auto written = static_cast<std::size_t>(submission->follow_parts);
    if (written == parts.size()) {
        submission_queue_.enqueue(std::move(*submission));
        write_pending();
        return;
    }
    auto key = keys::dependencies(submission->spec.uid, submission->follow_parts);
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition(), {key, ctx_.jobs.revision_of(key)}};
    txn.writes = {{key, encode_dependencies(parts[written])}};
    ctx_.send_txn(std::move(txn),
                  [this, submission, parts = std::move(parts)](const StoreReply& reply) {
                      if (reply.status != StoreReply::Status::ok) {
                          for (auto request : submission->requests) {
                              if (open_requests_.is_open(request)) {
                                  open_requests_.reject_unavailable(request, submission->spec.uid);
                              }
                          }
                          return;
                      }
                      ++submission->follow_parts;
                      submission->follow_parts_revision = reply.revision;
                      write_next_part(submission, parts);
                  });
}

}  // namespace cranemoor::core

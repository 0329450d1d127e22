#include "core/requests/submission_writer.hpp"

#include <algorithm>

#include "core/jobs/block_limits.hpp"

namespace cranemoor::core {

namespace {

// Bytes that an element of a list of names takes in addition to the name: quotes and a comma.
constexpr std::size_t name_overhead_bytes = 3;
// Most conditions that one more job adds to a transaction.
constexpr std::size_t conditions_per_job_max = 4;

std::size_t encoded_size(const JobRecord& record) {
    return encode(record).dump().size();
}

}  // namespace

void SubmissionWriter::write_pending() {
    const auto& table = ctx_.jobs.admission_table();
    bool write_overload = table && table->write_overload;
    while (!submission_queue_.empty() &&
           writes_in_flight_ < constants::accept_writes_in_flight_max &&
           (!write_overload || ctx_.now.steady >= next_write_)) {
        next_write_ = ctx_.now.steady + constants::accept_write_interval_s;
        BatchBuilder builder = collect_batch();
        if (builder.batch.empty()) {
            return;
        }
        if (!builder.shared_jobs.empty()) {
            builder.txn.writes.push_back(
                {keys::job_listing(ctx_.self.id, ++shared_records_written_),
                 encode_listing(std::move(builder.shared_jobs))});
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
    builder.shared_bytes_left = ctx_.value_bytes_max() -
                                std::min(ctx_.value_bytes_max(), constants::listing_overhead_bytes);
    while (const PendingSubmission* submission = submission_queue_.front()) {
        if (!add_front(builder, *submission)) {
            break;
        }
    }
    return builder;
}

// Takes the submission at the front of the queue and adds it to the batch, writes its dependencies
// or rejects it. Returns false if the batch is full; the submission then stays in the queue.
bool SubmissionWriter::add_front(BatchBuilder& builder, const PendingSubmission& submission) {
    const auto& uid = submission.spec.uid;
    JobRecord record = make_record(submission);
    if (record.waiting && submission.dependency_part_count == 0 &&
        encoded_size(record) > ctx_.value_bytes_max()) {
        write_dependency_parts(submission_queue_.pop_front());
        return true;
    }
    // A job of several blocks gets a record of its own, since claims on different blocks don't see
    // each other. So does a job that waits for dependencies: it is rewritten when they are done.
    bool own_record = record.waiting || submission.spec.tasks > record.block_size;
    Json value = encode(record);
    std::size_t size = value.dump().size();
    if (size > ctx_.value_bytes_max()) {
        reject_too_long(submission_queue_.pop_front());
        return true;
    }
    std::size_t shared_bytes = own_record ? 0 : size + 1;
    if (!builder.batch.empty() && !fits(builder, own_record, shared_bytes)) {
        return false;
    }
    builder.shared_bytes_left -= std::min(builder.shared_bytes_left, shared_bytes);
    // The job must neither exist in any form nor be finished: a late write must not revive it.
    for (const auto& key : {keys::job(uid), keys::block(uid, 0), keys::final_state(uid)}) {
        builder.txn.conditions.push_back({key, 0});
    }
    if (submission.dependency_part_count > 0) {
        builder.txn.conditions.push_back(
            {keys::dependencies(uid, submission.dependency_part_count - 1),
             submission.dependency_parts_revision});
    }
    if (own_record) {
        builder.txn.writes.push_back({keys::job(uid), std::move(value)});
    } else {
        builder.shared_jobs.push_back(std::move(value));
    }
    builder.batch.push_back(submission_queue_.pop_front());
    return true;
}

// Whether one more job fits into the transaction. `shared_bytes` is its size in the shared record.
bool SubmissionWriter::fits(const BatchBuilder& builder, bool own_record,
                            std::size_t shared_bytes) const {
    std::size_t writes = builder.txn.writes.size();
    if (own_record || builder.shared_jobs.empty()) {
        ++writes;
    }
    if (own_record && !builder.shared_jobs.empty()) {
        ++writes;  // the shared record, which is added last
    }
    return shared_bytes <= builder.shared_bytes_left && writes <= ctx_.txn_ops_max() &&
           builder.txn.conditions.size() + conditions_per_job_max <= ctx_.txn_conditions_max();
}

JobRecord SubmissionWriter::make_record(const PendingSubmission& submission) const {
    JobRecord record;
    record.spec = submission.spec;
    record.submitted_wall = ctx_.now.wall;
    record.block_size = tasks_per_block(ctx_);
    record.waiting = !submission.spec.depends_on.empty();
    record.dependency_part_count = submission.dependency_part_count;
    record.cancelled_wall = submission.cancelled ? std::max(1.0, ctx_.now.wall) : 0;
    if (record.spec.machine_types && encoded_size(record) > ctx_.value_bytes_max()) {
        // A list of many types is cut to those that can be launched.
        std::erase_if(*record.spec.machine_types,
                      [&](const std::string& type) { return agents_.type(type) == nullptr; });
    }
    return record;
}

// For a job whose record exceeds the value limit, such as one with names of hundreds of multi-byte
// characters: no record of it can be kept.
void SubmissionWriter::reject_too_long(const PendingSubmission& submission) {
    for (auto request : submission.requests) {
        open_requests_.reject(request, submission.spec.uid,
                              {RejectionReason::description_too_long});
    }
}

// Writes a long list of dependencies before the record that accepts the job, one part per write.
// Without that record the parts have no effect, and they are removed after a while.
void SubmissionWriter::write_dependency_parts(PendingSubmission submission) {
    std::size_t part_bytes_max =
        ctx_.value_bytes_max() -
        std::min(ctx_.value_bytes_max() / 2, constants::listing_overhead_bytes);
    DependencyParts parts(1);
    std::size_t part_bytes = 0;
    for (const auto& dependency : submission.spec.depends_on) {
        std::size_t name_bytes = dependency.size() + name_overhead_bytes;
        if (part_bytes + name_bytes > part_bytes_max) {
            parts.emplace_back();
            part_bytes = 0;
        }
        part_bytes += name_bytes;
        parts.back().push_back(dependency);
    }
    write_next_part(std::make_shared<PendingSubmission>(std::move(submission)), std::move(parts));
}

void SubmissionWriter::write_next_part(const std::shared_ptr<PendingSubmission>& submission,
                                       DependencyParts parts) {
    auto parts_written = static_cast<std::size_t>(submission->dependency_part_count);
    if (parts_written == parts.size()) {
        submission_queue_.enqueue(std::move(*submission));
        write_pending();
        return;
    }
    auto key = keys::dependencies(submission->spec.uid, submission->dependency_part_count);
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition(), {key, ctx_.jobs.revision_of(key)}};
    txn.writes = {{key, encode_dependencies(parts[parts_written])}};
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
                      ++submission->dependency_part_count;
                      submission->dependency_parts_revision = reply.revision;
                      write_next_part(submission, parts);
                  });
}

}  // namespace cranemoor::core

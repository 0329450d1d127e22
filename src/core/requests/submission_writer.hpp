// Submission writer: the transactions that make submissions durable. Jobs that arrive while others
// are being written share a record, so that one write accepts them all.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/submission_queue.hpp"

namespace cranemoor::core {

/// Writes the submissions of a SubmissionQueue in the queue's order.
class SubmissionWriter {
  public:
    using Batch = std::vector<PendingSubmission>;
    /// Called with each batch and the key-value store's reply to its transaction.
    using OnWritten = std::function<void(const Batch& batch, const StoreReply& reply)>;

    SubmissionWriter(Context& ctx, const AgentRegistry& agents, OpenRequests& open_requests,
                     SubmissionQueue& submission_queue, OnWritten on_written)
        : ctx_(ctx),
          agents_(agents),
          open_requests_(open_requests),
          submission_queue_(submission_queue),
          on_written_(std::move(on_written)) {}

    /// Sends the transactions that may be sent now. Rejects submissions too large for a record.
    void write_pending();

  private:
    /// A transaction that is being built, within the key-value store's limits.
    struct BatchBuilder {
        Batch batch;
        Txn txn;
        Json shared_jobs = Json::array();   // contents of the record that jobs share
        std::size_t shared_bytes_left = 0;  // left in that record
    };
    using DependencyParts = std::vector<std::vector<std::string>>;

    BatchBuilder collect_batch();
    bool add_front(BatchBuilder& builder, const PendingSubmission& submission);
    bool fits(const BatchBuilder& builder, bool own_record, std::size_t shared_bytes) const;
    JobRecord make_record(const PendingSubmission& submission) const;
    void reject_too_long(const PendingSubmission& submission);
    void write_dependency_parts(PendingSubmission submission);
    void write_next_part(const std::shared_ptr<PendingSubmission>& submission,
                         DependencyParts parts);

    Context& ctx_;
    const AgentRegistry& agents_;
    OpenRequests& open_requests_;
    SubmissionQueue& submission_queue_;
    OnWritten on_written_;
    std::size_t writes_in_flight_ = 0;
    double next_write_ = 0;                     // steady time; applies during write overload only
    std::uint64_t shared_records_written_ = 0;  // numbers the keys of shared records
};

}  // namespace cranemoor::core

// Submission writer: the transactions that make submissions durable. Jobs that come while others
// are being written share a record, so that one write accepts them all.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/submission_queue.hpp"

namespace cranemoor::core {

/// Writes the submissions of a SubmissionQueue in its order.
class SubmissionWriter {
  public:
    using Batch = std::vector<PendingSubmission>;
    /// Called with each batch and the key-value store's reply to its transaction.
    using OnWritten = std::function<void(const Batch& batch, const StateReply& reply)>;

    SubmissionWriter(Context& ctx, const Fleet& fleet, OpenRequests& open_requests,
                     SubmissionQueue& submission_queue, OnWritten on_written)
        : ctx_(ctx),
          fleet_(fleet),
          open_requests_(open_requests),
          submission_queue_(submission_queue),
          on_written_(std::move(on_written)) {}

    /// Sends the transactions that may be sent now. Submissions that fit in no record are rejected.
    void write_pending();

  private:
    /// A transaction in the making, within the key-value store's limits.
    struct BatchBuilder {
        Batch batch;
        Txn txn;
        Json listed = Json::array();  // records of the jobs that share one
        std::size_t room = 0;         // bytes left in the shared record
    };
    using DependencyParts = std::vector<std::vector<std::string>>;

    BatchBuilder collect_batch();
    bool add_front(BatchBuilder& builder, const PendingSubmission& submission);
    bool fits(const BatchBuilder& builder, bool own_record, std::size_t bytes) const;
    JobRecord new_record(const PendingSubmission& submission) const;
    void reject_too_long(const PendingSubmission& submission);
    void write_dependency_parts(PendingSubmission submission);
    void write_next_part(const std::shared_ptr<PendingSubmission>& submission,
                         DependencyParts parts);

    Context& ctx_;
    const Fleet& fleet_;
    OpenRequests& open_requests_;
    SubmissionQueue& submission_queue_;
    OnWritten on_written_;
    std::size_t writes_in_flight_ = 0;
    double next_write_ = 0;             // steady time; counts under write overload only
    std::uint64_t shared_records_ = 0;  // written so far: the number in the next one's key
};

}  // namespace cranemoor::core

// Cancellation handler: users' cancellations of jobs.
#pragma once

#include <string>

#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/requests/finished_jobs.hpp"
#include "core/requests/fresh_reads.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/status_query.hpp"

namespace cranemoor::core {

/// Cancels jobs. A cancellation is confirmed to the user only after it is durable, in the record
/// that every claim of the job is conditional on.
class CancellationHandler {
  public:
    CancellationHandler(Context& ctx, Membership& membership, OpenRequests& open_requests,
                        FreshReads& fresh_reads, FinishedJobs& finished_jobs,
                        StatusQuery& status_query)
        : ctx_(ctx),
          membership_(membership),
          open_requests_(open_requests),
          fresh_reads_(fresh_reads),
          finished_jobs_(finished_jobs),
          status_query_(status_query) {}

    /// Cancels job `uid` and answers with its state afterwards, which is `done` for a job that was
    /// done before; 404 for a job that was never accepted.
    void cancel(RequestId request, const std::string& uid);

  private:
    void write_cancellation(RequestId request, const std::string& uid, int attempts_left);
    Txn cancellation_txn(const Job& job, double cancelled_wall) const;
    void on_written(RequestId request, const std::string& uid, int attempts_left,
                    const StoreReply& reply);

    Context& ctx_;
    Membership& membership_;
    OpenRequests& open_requests_;
    FreshReads& fresh_reads_;
    FinishedJobs& finished_jobs_;
    StatusQuery& status_query_;
};

}  // namespace cranemoor::core

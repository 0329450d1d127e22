// Fresh reads: linearizable reads from the replica. A request waits until the replica is known to
// be at least as new as the request.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/submission_queue.hpp"

namespace cranemoor::core {

/// Delays requests until the replica is at least as new as they are (a read index). One
/// compare-only transaction, a read check, serves all waiting requests: its reply contains the
/// key-value store's revision at a moment after they arrived, and once the watched replica has
/// reached that revision it is as fresh as a read of each key would be.
class FreshReads {
  public:
    FreshReads(Context& ctx, const Membership& membership, OpenRequests& open_requests,
               SubmissionQueue& submission_queue)
        : ctx_(ctx),
          membership_(membership),
          open_requests_(open_requests),
          submission_queue_(submission_queue) {}

    /// Opens the request and runs `on_fresh` once the replica is at least as new as this moment.
    /// Rejects the request as unavailable if the replica is incomplete, the store is out of contact
    /// or too many requests wait, and after `timeout_s` seconds.
    void when_fresh(RequestId request, const std::string& uid, double timeout_s,
                    OpenRequests::Continuation on_fresh);
    /// Sends the next read check if requests wait and the check is due.
    void send_read_check();

  private:
    Context& ctx_;
    const Membership& membership_;
    OpenRequests& open_requests_;
    SubmissionQueue& submission_queue_;
    std::vector<RequestId> waiting_requests_;  // for the next read check
    int checks_in_flight_ = 0;
    double next_check_ = 0;  // steady time
};

}  // namespace cranemoor::core

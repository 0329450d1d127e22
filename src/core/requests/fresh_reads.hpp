// Fresh reads: answers that are linearizable, from the replica. A request waits until the replica
// is known to be at least as new as the request.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/requests/open_requests.hpp"
#include "core/requests/submission_queue.hpp"

namespace cranemoor::core {

/// Lets requests wait for a replica at least as new as they are (a read index). One compare-only
/// transaction serves all requests that wait: its reply names the key-value store's revision at a
/// moment after they came, and once the watched replica has reached that revision it is as fresh as
/// a read of each key would be.
class FreshReads {
  public:
    FreshReads(Context& ctx, const Membership& membership, OpenRequests& open_requests,
               SubmissionQueue& submission_queue)
        : ctx_(ctx),
          membership_(membership),
          open_requests_(open_requests),
          submission_queue_(submission_queue) {}

    /// Opens the request and runs `on_fresh` once the replica is at least as new as this moment.
    /// The request is rejected as unavailable without contact to the store or without room for it,
    /// and after `timeout_s` seconds.
    void when_fresh(RequestId request, const std::string& uid, double timeout_s,
                    OpenRequests::Continuation on_fresh);
    /// Sends the next read check if requests wait and its time has come.
    void send_read_check();

  private:
    Context& ctx_;
    const Membership& membership_;
    OpenRequests& open_requests_;
    SubmissionQueue& submission_queue_;
    std::vector<RequestId> waiting_;  // for the next read check
    int checks_in_flight_ = 0;
    double next_check_ = 0;  // steady time
};

}  // namespace cranemoor::core

/// Safe time: the steady time as of which the local replica of the key-value store's records is
/// known to be complete.
///
/// A reply proves what had been committed when its request was sent, not when the reply arrives:
/// whatever the store committed before the request was sent has at most the revision that the reply
/// names. So once the replica has applied that revision, it holds all that was committed, and
/// therefore all that was acknowledged to any user, before the request was sent. Renewed leases and
/// replies that arrive late prove nothing of the kind. This is the read-index argument of Raft
/// (section 6.4 of Ongaro's thesis) turned into a time.
#pragma once

#include <cstdint>
#include <map>

namespace cranemoor::read_leases {

/// Tracks the requests that will be answered with a store revision and turns the revisions that the
/// replica has applied into the safe time. Pure: every input comes with its time.
class SafeTime {
  public:
    /// A request that will be answered with the store's revision was sent. `request_id`: id of the
    /// key-value store call; `now`: steady time in seconds.
    void on_request_sent(std::uint64_t request_id, double now) { sent_at_[request_id] = now; }
    /// The reply to that request; revision 0 means that it named none. Replies to requests that
    /// were never recorded are ignored.
    void on_reply(std::uint64_t request_id, std::uint64_t revision);
    /// The replica now holds every change up to and including that revision.
    void on_revision_applied(std::uint64_t revision);

    /// Steady time in seconds as of which the replica is complete; -1e9 until the revision of a
    /// first reply has been applied.
    double complete_as_of() const { return complete_as_of_; }

  private:
    // Send times of requests without a reply, by request id.
    std::map<std::uint64_t, double> sent_at_;
    // By revision not yet applied: send time of the latest request whose reply named it.
    std::map<std::uint64_t, double> sent_by_revision_;
    double complete_as_of_ = -1e9;
};

}  // namespace cranemoor::read_leases

// StoreContact: when the key-value store last answered this process, as of when the local replica
// is known to be complete, and how long to wait after a failed call.
#pragma once

#include <cstdint>

#include "core/context/context.hpp"
#include "read_leases/safe_time.hpp"

namespace cranemoor::core {

/// Tracks this process's contact with the key-value store from the calls that go out and the
/// replies that come back.
class StoreContact {
  public:
    explicit StoreContact(Context& ctx) : ctx_(ctx) {}

    /// Every call to the key-value store as it goes out; calls whose reply names the store's
    /// revision (compare-and-swap, list, watch) count towards the safe time.
    void on_request_sent(const StoreCall& call);
    /// The reply to call `call_id`; any reply but refused or unknown proves contact.
    void on_reply(std::uint64_t call_id, const StoreReply& reply);
    /// After a reply was applied to the replica: the revision it has reached moves the safe time.
    void on_replica_advanced();
    /// Asks the store for its revision when no other reply has moved the safe time for
    /// `constants::safe_time_refresh_interval_s`.
    void refresh_safe_time();

    /// Seconds since the key-value store last answered this process.
    double seconds_without_store() const { return ctx_.now.steady - last_reply_s_; }
    /// Whether the key-value store answered within the last `constants::store_contact_timeout_s`.
    bool has_contact() const {
        return seconds_without_store() < constants::store_contact_timeout_s;
    }
    /// Steady time in seconds as of which the replica is complete; see `read_leases::SafeTime`.
    double safe_time_s() const { return safe_time_.complete_as_of(); }
    /// Whether any reply has moved the safe time since the start.
    bool has_safe_time() const { return safe_time_s() > -1e9; }

    /// Holds further attempts back for `constants::store_retry_delay_s` after a failed call.
    void delay_retries() { retry_at_s_ = ctx_.now.steady + constants::store_retry_delay_s; }
    /// Whether that delay is over.
    bool may_retry() const { return ctx_.now.steady >= retry_at_s_; }

  private:
    Context& ctx_;
    read_leases::SafeTime safe_time_;
    // Guards against a process that says it has contact because it has just begun: peers that rely
    // on each other would give up all their workers for it.
    double last_reply_s_ = -1e9;
    double retry_at_s_ = 0;
    bool requesting_safe_time_ = false;
};

}  // namespace cranemoor::core

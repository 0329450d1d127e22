/// StoreContact: when the key-value store last answered this process, the time as of which the
/// local replica is known to be complete, and the delay before retries after a failed call.
#pragma once

#include <cstdint>

#include "core/context/context.hpp"
#include "read_leases/safe_time.hpp"

namespace cranemoor::core {

/// Tracks this process's contact with the key-value store from the calls sent and the replies
/// received.
class StoreContact {
  public:
    explicit StoreContact(Context& ctx) : ctx_(ctx) {}

    /// Must be called for every call to the key-value store when it is sent; calls whose reply
    /// contains the store's revision (compare-and-swap, list, watch) count towards the safe time.
    void on_request_sent(const StoreCall& call);
    /// Must be called with the reply to call `call_id`; any reply but refused or unknown proves
    /// contact.
    void on_reply(std::uint64_t call_id, const StoreReply& reply);
    /// Must be called after a reply was applied to the replica: the revision that the replica has
    /// reached advances the safe time.
    void on_replica_advanced();
    /// Requests the store's revision when the safe time is
    /// `constants::safe_time_refresh_interval_s` old.
    void refresh_safe_time();

    /// Seconds since the key-value store last answered this process.
    double seconds_without_store() const { return ctx_.now.steady - last_reply_s_; }
    /// Whether the key-value store answered within the last `constants::store_contact_timeout_s`.
    bool has_contact() const {
        return seconds_without_store() < constants::store_contact_timeout_s;
    }
    /// Steady time in seconds as of which the replica is complete; see `read_leases::SafeTime`.
    double safe_time_s() const { return safe_time_.complete_as_of(); }
    /// Whether any reply has advanced the safe time since the start.
    bool has_safe_time() const { return safe_time_s() > -1e9; }

    /// Delays retries by `constants::store_retry_delay_s`; to be called after a failed call.
    void delay_retries() { retry_at_s_ = ctx_.now.steady + constants::store_retry_delay_s; }
    /// Whether the delay after the last failed call is over.
    bool may_retry() const { return ctx_.now.steady >= retry_at_s_; }

  private:
    Context& ctx_;
    read_leases::SafeTime safe_time_;
    // Far in the past, so that a process that has just started does not announce store contact:
    // peers that rely on each other's read leases would give up all their workers because of it.
    double last_reply_s_ = -1e9;
    double retry_at_s_ = 0;  // steady time
    bool revision_request_in_flight_ = false;
};

}  // namespace cranemoor::core

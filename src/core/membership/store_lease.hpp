/// StoreLease: this process's lease in the key-value store. The member record is attached to it, so
/// that the store deletes the record soon after the process has died.
#pragma once

#include <cstdint>
#include <functional>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Requests the lease, renews it, and requests a new one once it has expired.
class StoreLease {
  public:
    explicit StoreLease(Context& ctx) : ctx_(ctx) {}

    /// Called when the store has granted a lease.
    std::function<void()> on_granted;
    /// Called when the store's reply says that the lease has expired, after a new one was
    /// requested.
    std::function<void()> on_expired;

    /// The lease's id in the key-value store; 0 without one.
    std::uint64_t id() const { return id_; }
    /// Requests a lease unless one is held or already requested.
    void request();
    /// Abandons the held lease without revoking it and requests a new one.
    void replace();
    /// Renews the lease every `constants::lease_renewal_interval_s`.
    void keep_alive();

  private:
    void renew();

    Context& ctx_;
    std::uint64_t id_ = 0;
    bool request_in_flight_ = false;
    bool renewal_in_flight_ = false;
    double next_renewal_s_ = 0;  // steady time
};

}  // namespace cranemoor::core

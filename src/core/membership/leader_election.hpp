// LeaderElection: the epochs. An epoch is a number, which is the fencing token, and the list of the
// members, oldest first; the first one is the leader. Epochs follow each other by compare-and-swap
// on one record of the key-value store.
#pragma once

#include <optional>
#include <string>

#include "core/context/context.hpp"
#include "core/membership/store_contact.hpp"
#include "core/membership/store_lease.hpp"

namespace cranemoor::core {

/// Adds this process to the epoch, removes members whose lease has expired, and keeps this
/// process's membership in the `Context` as the replica shows it.
class LeaderElection {
  public:
    LeaderElection(Context& ctx, StoreLease& lease, StoreContact& store_contact)
        : ctx_(ctx), lease_(lease), store_contact_(store_contact) {}

    /// Takes in the replica's epoch; returns whether it changed since the last call.
    bool observe_epoch();
    /// The epoch that `observe_epoch` took in last.
    const std::optional<Epoch>& observed_epoch() const { return observed_epoch_; }
    /// Writes the next epoch with this process in it, unless it is a member already.
    void join();
    /// Writes the next epoch without the members whose member record is gone. The oldest live
    /// member does so at once, the others later in their order.
    void remove_dead_members();

    /// The member that owns a machine, nullptr without members.
    const Member* owner(const std::string& machine, const std::string& zone) const;
    /// Whether this process is a member and the owner of that machine (see `owner`).
    bool owned_by_us(const std::string& machine, const std::string& zone) const;
    /// Whether this process is the leader: the first member of the current epoch.
    bool is_leader() const;

  private:
    void log_epoch(const Epoch& epoch);
    bool has_live_record(const Member& member) const;
    bool has_joined() const;
    Epoch epoch_with_us() const;
    void write_joined_epoch(const Epoch& next);
    void on_join_reply(const StateReply& reply);
    bool is_our_turn_to_remove(const Epoch& survivors);
    void write_epoch_of_survivors(const Epoch& survivors);

    Context& ctx_;
    StoreLease& lease_;
    StoreContact& store_contact_;
    Revision observed_revision_ = 0;  // of the epoch's record
    std::optional<Epoch> observed_epoch_;
    bool join_in_flight_ = false;
    bool removal_in_flight_ = false;
    double dead_since_s_ = -1;  // steady time at which dead members were noticed; -1: none
};

}  // namespace cranemoor::core

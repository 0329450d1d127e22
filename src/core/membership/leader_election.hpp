/// LeaderElection: the membership epochs. An epoch is a number, which is the fencing token, and the
/// list of the members, oldest first; the first one is the leader. Each epoch replaces the one
/// before by compare-and-swap on a single record of the key-value store.
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

    /// Updates this process's membership in the `Context` from the replica's epoch; returns whether
    /// the epoch changed since the last call.
    bool observe_epoch();
    /// The epoch as of the last call of `observe_epoch`; empty if there was none.
    const std::optional<Epoch>& observed_epoch() const { return observed_epoch_; }
    /// Writes the next epoch with this process in it, unless it is already a member, has no lease,
    /// or waits for the outcome of an earlier attempt.
    void join();
    /// Writes the next epoch without the members whose member record no longer exists. The oldest
    /// live member does so at once, the others after a delay that grows with their rank.
    void remove_dead_members();

    /// The member that owns a machine; null if there are no members.
    const Member* owner(const std::string& machine, const std::string& zone) const;
    /// Whether this process is a member and the owner of that machine (see `owner`).
    bool owned_by_us(const std::string& machine, const std::string& zone) const;
    /// Whether this process is the leader: the first member of the current epoch.
    bool is_leader() const;

  private:
    void log_epoch(const Epoch& epoch);
    bool has_live_record(const Member& member) const;
    bool has_joined() const;
    Epoch next_epoch_with_self() const;
    void write_joined_epoch(const Epoch& next);
    void on_join_reply(const StoreReply& reply);
    bool is_our_turn_to_remove(const Epoch& survivors);
    void write_epoch_of_survivors(const Epoch& survivors);

    Context& ctx_;
    StoreLease& lease_;
    StoreContact& store_contact_;
    Revision observed_revision_ = 0;  // of the epoch's record
    std::optional<Epoch> observed_epoch_;
    bool join_in_flight_ = false;
    bool removal_in_flight_ = false;
    double dead_members_noticed_s_ = -1;  // steady time; -1: no dead members
};

}  // namespace cranemoor::core

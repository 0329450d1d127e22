/// Membership: this process as one of the controllers. It composes the contact with the key-value
/// store, the lease there, the local replica of the records, the election of the leader and the
/// heartbeats between controllers, and decides what this process may do as a result.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/context/context.hpp"
#include "core/membership/leader_election.hpp"
#include "core/membership/peer_contact.hpp"
#include "core/membership/replica_sync.hpp"
#include "core/membership/store_contact.hpp"
#include "core/membership/store_lease.hpp"

namespace cranemoor::core {

/// The membership of this process. Its parts keep `Context::jobs`, `replica_complete`, `self`,
/// `is_member` and `fencing_token` up to date.
class Membership {
  public:
    explicit Membership(Context& ctx);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Starts the peer heartbeats and the first full read of the records, and requests the lease.
    void start();
    /// Retries failed calls, and sends the renewals and heartbeats that are due.
    void tick();
    /// Handles any message from the controller named `peer`.
    void on_peer_message(const std::string& peer, const PeerCall& message);
    /// Must be called for every call to the key-value store when it is sent.
    void on_request_sent(const StoreCall& call) { store_contact_.on_request_sent(call); }
    /// Must be called with the reply to call `call_id` before the reply is applied to the replica.
    void on_reply(std::uint64_t call_id, const StoreReply& reply) {
        store_contact_.on_reply(call_id, reply);
    }
    /// Must be called after a reply was applied to the replica.
    void on_replica_advanced() { store_contact_.on_replica_advanced(); }

    /// Called after the replica changed or a cancellation was noted, with whether the epoch changed
    /// and the epoch before.
    std::function<void(bool epoch_changed, const std::optional<Epoch>& before)> on_change;

    /// The member that owns a machine; null if there are no members.
    const Member* owner(const std::string& machine, const std::string& zone) const {
        return election_.owner(machine, zone);
    }
    /// Whether this process is a member and the owner of that machine (see `owner`).
    bool owned_by_us(const std::string& machine, const std::string& zone) const {
        return election_.owned_by_us(machine, zone);
    }
    /// Whether this process is the leader: the first member of the current epoch. The leader alone
    /// scales out and scales in, and publishes the admission table.
    bool is_leader() const { return election_.is_leader(); }

    /// Whether the key-value store answered this process within the last
    /// `constants::store_contact_timeout_s`.
    bool has_store_contact() const { return store_contact_.has_contact(); }
    /// Whether some peer said lately that the key-value store answers it.
    bool peers_have_store_contact() const { return peers_.any_has_store_contact(); }
    /// Whether this process may answer its workers, and so renew their leases: rule 8 of the
    /// protocol's rules for controllers.
    bool may_answer_workers() const;
    /// Whether a task may be started now: only while every cancellation that was confirmed to users
    /// until `constants::start_staleness_max_s` ago is known here.
    bool may_start_tasks() const;
    /// Records a cancellation that is already durable although the replica may not show it yet.
    /// `cancelled_wall`: when it was requested, in seconds since the Unix epoch.
    void note_cancelled(const std::string& uid, double cancelled_wall);
    /// Whether cancellations may be confirmed to users: not while this process's promise to a peer
    /// to confirm none holds (see src/read_leases).
    bool may_confirm_cancellations() const { return !peers_.has_promised_not_to_confirm(); }
    /// Whether users may be sent to this process: it is a member, and either the key-value store
    /// answers it or every peer said lately that the store does not answer that peer.
    bool healthy() const;

  private:
    void on_replica_changed();
    void apply_noted_cancellations();
    void log_permissions();
    double cancellations_unknown_for_s() const;

    Context& ctx_;
    StoreContact store_contact_;
    StoreLease lease_;
    LeaderElection election_;
    ReplicaSync replica_;
    PeerContact peers_;
    bool has_unapplied_cancellation_ = false;  // on_change not called for it yet
    bool answers_workers_ = false;             // as last logged
    bool starts_tasks_ = false;                // as last logged
};

}  // namespace cranemoor::core

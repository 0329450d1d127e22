// Membership: this process as one of the controllers. It composes the contact with the key-value
// store, the lease there, the replica of its records, the election of the leader and the heartbeats
// between peers, and says what this process may do as a result.
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

/// The membership of this process. Its parts keep `Context::jobs`, `whole`, `me`, `member` and
/// `fencing_token` up to date.
class Membership {
  public:
    explicit Membership(Context& ctx);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Begins to read the records and requests the lease.
    void start();
    /// Repeats what failed, and sends what is due.
    void tick();
    /// A message of `peer` (by name), whatever it carries.
    void on_peer_message(const std::string& peer, const PeerCall& message);
    /// Every call to the key-value store as it goes out.
    void on_request_sent(const StateCall& call) { store_contact_.on_request_sent(call); }
    /// The reply to call `call_id`, before it is applied.
    void on_reply(std::uint64_t call_id, const StateReply& reply) {
        store_contact_.on_reply(call_id, reply);
    }
    /// After a reply was applied to the replica.
    void on_replica_advanced() { store_contact_.on_replica_advanced(); }

    /// Called after the records changed, with whether the epoch did, and the epoch before.
    std::function<void(bool epoch_changed, const std::optional<Epoch>& before)> on_change;

    /// The member that owns a machine, nullptr without members.
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

    /// Whether the key-value store answered this process lately.
    bool has_store_contact() const { return store_contact_.has_contact(); }
    /// Whether peers say that the key-value store answers them.
    bool peers_have_store_contact() const { return peers_.any_has_store_contact(); }
    /// Whether this process may answer its workers, and so renew their leases: rule 8 of the
    /// protocol's rules for controllers.
    bool may_answer_workers() const;
    /// Whether a task may be started now: only while every cancellation that users were told of
    /// until a moment ago is known here.
    bool may_start_tasks() const;
    /// Takes in a cancellation that is durable although the replica may not show it yet. `wall`:
    /// when it was asked for, in seconds since the Unix epoch.
    void note_cancelled(const std::string& uid, double wall);
    /// Whether users may be told of a cancellation: not while a peer relies on being told first.
    bool may_confirm_cancellations() const { return !peers_.has_promised_silence(); }
    /// Whether users may be sent to this process: it is a member, and no peer would serve them
    /// better.
    bool healthy() const;

  private:
    void on_replica_changed();
    void take_in_noted_cancellations();
    double cancellations_unknown_for_s() const;

    Context& ctx_;
    StoreContact store_contact_;
    StoreLease lease_;
    LeaderElection election_;
    ReplicaSync replica_;
    PeerContact peers_;
    bool has_noted_cancellation_ = false;  // which on_change has not been called for
};

}  // namespace cranemoor::core

/// PeerContact: the heartbeats between controllers. They carry whether the key-value store answers
/// the sender, the sender's write load, and the read leases with which controllers continue to
/// serve their workers while the store answers none of them (src/read_leases).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/replica_sync.hpp"
#include "core/membership/store_contact.hpp"
#include "read_leases/read_leases.hpp"

namespace cranemoor::core {

/// Sends this process's heartbeats to its peers and tracks the peers' status from their messages.
class PeerContact {
  public:
    PeerContact(Context& ctx, const StoreContact& store_contact, const ReplicaSync& replica)
        : ctx_(ctx), store_contact_(store_contact), replica_(replica) {}

    /// Must be called before any other function; assumes that an earlier process of this name may
    /// have granted read leases.
    void start();
    /// Sends heartbeats every `constants::peer_heartbeat_interval_s`, and at once when their
    /// content about store contact or read leases has changed.
    void tick();
    /// Handles any message from the controller named `peer`, with whether the key-value store
    /// answers the sender.
    void on_message(const std::string& peer, bool has_store_contact);
    /// Handles a heartbeat of `peer` without the read lease part, from a version that has none.
    void on_heartbeat_without_leases(const std::string& peer);
    /// Handles a heartbeat of `peer`; the cancellations that came with it must already be noted.
    void on_heartbeat(const std::string& peer, const read_leases::Heartbeat& heartbeat);

    /// Whether some peer said lately that the key-value store answers it.
    bool any_has_store_contact() const;
    /// Whether every peer said lately that the key-value store does not answer it; true without
    /// peers.
    bool all_lack_store_contact() const;
    /// Steady time in seconds until which all cancellations that any controller confirmed to users
    /// are known here.
    double cancellations_known_until_s() const;
    /// Whether a promise of this process to a peer to confirm no cancellation to users holds.
    bool has_promised_not_to_confirm() const {
        return read_leases_->has_active_promise(ctx_.now.steady);
    }

  private:
    struct PeerStatus {
        double received_s = -1e9;  // steady time
        bool has_store_contact = false;
    };

    static bool is_recent(const PeerStatus& status, double now_s);
    bool relies_on_read_leases() const;
    void schedule_heartbeat_if_changed();
    void send_heartbeats();
    LeaseHeartbeat lease_heartbeat(const std::string& peer,
                                   const std::optional<std::vector<Cancellation>>& cancellations);
    std::optional<std::vector<Cancellation>> known_cancellations() const;

    Context& ctx_;
    const StoreContact& store_contact_;
    const ReplicaSync& replica_;
    std::optional<read_leases::ReadLeases> read_leases_;  // set by start()
    std::map<std::string, PeerStatus> peer_status_;       // by name, as of the last message
    double next_heartbeat_s_ = 0;                         // steady time
    bool sent_store_contact_ = false;                     // in the last heartbeats
    bool sent_relies_on_read_leases_ = false;             // in the last heartbeats
};

}  // namespace cranemoor::core

/// Read leases between controllers: they tell until when a controller knows every cancellation that
/// was confirmed to a user, although the key-value store does not answer it.
///
/// A worker's lease is renewed only by a controller that knows of all cancellations confirmed
/// until some time ago. With the key-value store, this is a matter of reading. Without it, "no
/// controller has store contact now" proves nothing about a moment ago: another controller may have
/// confirmed cancellations between this one's last read and the outage. The other controllers
/// therefore grant leases, as in quorum leases for replicated reads: with each heartbeat, a
/// controller that has no store contact itself
///   - hands over all cancellations that it knows of, and
///   - promises to confirm none to users until the lease that it grants this way has ended or
///     was given back.
/// The holder knows all that the granter confirmed until the end of that lease. The granter
/// counts its promise from when it grants, the holder its lease from when it requested it, which is
/// earlier; they never compare clocks.
///
/// A controller that was restarted may have promised without remembering: it keeps a promise to
/// every peer for as long as a lease lasts, unless that peer says that it holds none. What its
/// earlier process confirmed it knows only once it has read the records. Before that, it grants
/// a process-only lease, which says just that this process has confirmed nothing to anybody. A
/// process-only lease counts only where nothing can have been confirmed in between: while an
/// earlier lease from the same controller still holds, or if this very process had already been
/// heard from when the holder last read all records.
///
/// Heartbeats may arrive late, twice, out of order and from processes that have ended: they are
/// numbered, identify their process, and repeat the newest number received from the receiver.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranemoor::read_leases {

/// What a heartbeat grants its receiver.
enum class Grant {
    none,
    process_only,  ///< a lease for what the sender's current process confirms to users
    full           ///< a lease for all that this and its earlier processes confirm to users
};

/// The read lease fields of a heartbeat from one controller to another.
struct Heartbeat {
    std::string boot_id;                ///< differs for each start of the sender
    std::uint64_t sequence_number = 0;  ///< of this heartbeat, within its process
    /// Process that sent the newest heartbeat received from the receiver; empty: none received.
    std::string acknowledged_boot_id;
    std::uint64_t acknowledged_sequence_number = 0;  ///< of that heartbeat
    bool relies_on_leases = false;                   ///< the sender relies on leases, or would
    Grant grant = Grant::none;
};

/// What a controller knows about itself when it sends a heartbeat.
struct SenderState {
    bool has_store_contact = false;  ///< the key-value store answers it
    /// What it knows of confirmed cancellations. `none`: it has never read the records;
    /// `complete`: all that it and every earlier process of its name confirmed; `partial`:
    /// anything in between, which is no ground for a lease.
    enum class Knowledge { none, complete, partial } knowledge = Knowledge::partial;
};

/// Durations in seconds.
struct Timing {
    double lease_s = 0;          ///< for which a lease is granted
    double margin_s = 0;         ///< by which its holder ends it sooner, against clock drift
    double heartbeat_ttl_s = 0;  ///< an older heartbeat no longer requests a lease
};

/// The leases that this controller holds and the promises that it made. Pure: every input comes
/// with its steady time in seconds (`now`).
class ReadLeases {
  public:
    /// `boot_id`: differs for each start of this controller. Until `now` plus the lease duration, a
    /// promise that an earlier process may have made to a peer counts as made.
    ReadLeases(const std::vector<std::string>& peers, std::string boot_id, double now,
               Timing timing);

    /// Sets whether this controller relies on leases from now on. Once it doesn't, those that it
    /// holds are given back with the next heartbeats.
    void set_relies_on_leases(bool relies);
    /// Begins a round of heartbeats; `make_heartbeat` then says what goes to each peer.
    void begin_round(double now);
    /// The heartbeat for a peer. If it grants a lease, the promise counts from `now`.
    Heartbeat make_heartbeat(const std::string& peer_name, double now, const SenderState& self);
    /// A heartbeat arrived. The cancellations that came with it must already be known here.
    /// `safe_time`: steady time as of which the local replica is complete (`SafeTime`). Returns
    /// true if it is from another process than the last one heard from.
    bool on_heartbeat(const std::string& peer_name, const Heartbeat& heartbeat, double now,
                      double safe_time);

    /// A heartbeat without read lease fields arrived: from an earlier version, which holds no
    /// leases.
    void on_heartbeat_without_leases(const std::string& peer_name);

    /// Steady time until which all cancellations that any controller confirmed to users are known
    /// here.
    double cancellations_known_until_s(double safe_time) const;
    /// Whether a promise to confirm no cancellation to users is in force.
    bool has_active_promise(double now) const;

  private:
    // Times are steady times in seconds.
    struct Peer {
        std::string boot_id;                     // of the process heard from last
        std::set<std::string> earlier_boot_ids;  // of the processes before it
        std::uint64_t sequence_number = 0;       // of its newest heartbeat
        double last_heard_s = -1e9;              // when that arrived
        double first_heard_s = 1e18;             // when the first one of that process arrived
        bool relies_on_leases = false;
        std::uint64_t acknowledged_sequence_number = 0;  // newest of our heartbeats that it named
        double covered_until_s = -1e9;  // all that it confirmed to users until then is known
        // Ends of the promises made to it, by its boot id; "": to any of its processes, by a
        // process of ours before this one.
        std::map<std::string, double> promise_ends_s;
    };

    static bool is_newer(const Peer& peer, const Heartbeat& heartbeat, bool acknowledges_us);
    void take_lease(Peer& peer, const Heartbeat& heartbeat, double now, double safe_time) const;

    std::map<std::string, Peer> peers_;
    std::string boot_id_;
    Timing timing_;
    std::uint64_t sequence_number_ = 0;
    // Sequence numbers and send times of recent heartbeats.
    std::deque<std::pair<std::uint64_t, double>> sent_;
    bool relies_on_leases_ = false;
    // Leases requested by heartbeats before this one were given back.
    std::uint64_t first_valid_request_ = 0;
};

}  // namespace cranemoor::read_leases

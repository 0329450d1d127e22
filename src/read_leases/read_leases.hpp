// Read leases: until when a controller knows every cancellation that users were told of, although
// the state service doesn't answer it.
//
// A worker's lease is renewed only by who knows of all cancellations told some time ago. With the
// state service that is a matter of reading. Without it, "nobody has contact now" proves nothing
// about a moment ago: another controller may have confirmed cancellations between this one's last
// read and the outage. So the others grant leases, as in quorum leases for replicated reads: with
// each heartbeat, a controller that has no contact itself
//   - hands over all cancellations that it knows of, and
//   - promises to tell users of none until the lease that it grants so is over, or given back.
// The holder knows all that the granter told until the end of that lease. The granter counts its
// promise from when it grants, the holder its lease from when it asked, which is earlier; they
// never compare clocks.
//
// A controller that was restarted may have promised without remembering: it keeps a promise towards
// everybody for as long as a lease lasts, unless they say that they hold none. What the process
// before it told it only knows once it has read the records. Before that it grants a blank lease,
// which says just that this process told nobody anything. A blank lease counts where nothing can
// have been told between: while an earlier lease of the same controller still holds, or if this
// very process was already heard when the holder last read all records.
//
// Heartbeats may arrive late, twice, out of order and from processes that are no more: they are
// numbered, name their process, and repeat the newest number heard of the receiver.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranemoor::read_leases {

enum class Grant { none, blank, full };

// What goes with a heartbeat from one controller to another.
struct Heartbeat {
    std::string boot;              // tells this start of the sender from every other one
    std::uint64_t beat = 0;        // number of the heartbeat
    std::string heard_boot;        // of the newest one of the receiver's that arrived
    std::uint64_t heard_beat = 0;  // the same
    bool wants = false;            // the sender relies on leases, or would
    Grant grant = Grant::none;
};

// What a controller says of itself when it writes a heartbeat.
struct Self {
    bool contact = false;  // the state service answers it
    // What it knows of cancellations: nothing, having never read; all that it and every process of
    // its name before it told; or something between, which is no ground for a lease.
    enum class Knows { nothing, all, some } knows = Knows::some;
};

struct Times {
    double lease_s = 0;   // for which a lease is granted
    double margin_s = 0;  // by which its holder ends it sooner, for clocks that drift apart
    double fresh_s = 0;   // a heartbeat older than that asks for nothing any more
};

class ReadLeases {
  public:
    ReadLeases(const std::vector<std::string>& peers, std::string boot, double now, Times times);

    // Whether this controller relies on leases from now on. Once it doesn't, those that it holds
    // are given back with the next heartbeats.
    void rely(bool wants);
    // A round of heartbeats begins; next() then says what goes to each peer.
    void begin(double now);
    Heartbeat next(const std::string& peer, double now, const Self& self);
    // A heartbeat arrived; true: from a process not heard before. The cancellations that came with
    // it must be known by then. safe_time: steady time as of which the own copy of the records is
    // complete (SafeTime).
    bool hear(const std::string& peer, const Heartbeat& heartbeat, double now, double safe_time);

    // A heartbeat that says nothing of leases: from a version before, which holds no leases.
    void hear_older(const std::string& peer);

    // Steady time until which all cancellations that anybody told are known here.
    double known_until(double safe_time) const;
    // Whether a promise to tell users of no cancellation holds.
    bool promised(double now) const;

  private:
    struct Peer {
        std::string boot;            // of the process heard last
        std::set<std::string> past;  // of those before it
        std::uint64_t beat = 0;      // newest heard of it
        double heard_at = -1e9;      // when
        double first_heard = 1e18;   // when the first of that process was
        bool wants = false;
        std::uint64_t echo = 0;                  // newest of our heartbeats that it named
        double covered = -1e9;                   // all that it told until then is known here
        std::map<std::string, double> promises;  // to it, by boot; "": to any before this start
    };

    static bool newer(const Peer& p, const Heartbeat& heartbeat, bool echoes);
    void take_lease(Peer& p, const Heartbeat& heartbeat, double now, double safe_time) const;

    std::map<std::string, Peer> peers_;
    std::string boot_;
    Times times_;
    std::uint64_t beat_ = 0;
    std::deque<std::pair<std::uint64_t, double>> sent_;  // heartbeats of late, and when they went
    bool wants_ = false;
    std::uint64_t relies_from_ = 0;  // leases asked for by earlier heartbeats were given back
};

}  // namespace cranemoor::read_leases

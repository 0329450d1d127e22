/// Machine: a controller's view of one worker machine and of the task attempts on it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/model/types.hpp"
#include "core/store/job_store.hpp"

namespace cranemoor::core {

/// One attempt of a task, ordered by task and then by attempt number.
struct Attempt {
    TaskId task;
    std::uint64_t number = 0;  ///< as in the task's placement
    friend bool operator<(const Attempt& a, const Attempt& b) {
        return std::tie(a.task, a.number) < std::tie(b.task, b.number);
    }
    friend bool operator==(const Attempt& a, const Attempt& b) {
        return std::tie(a.task, a.number) == std::tie(b.task, b.number);
    }
};

/// An image that a machine is estimated to have in its cache.
struct CachedImage {
    int number = 0;  ///< see `AgentRegistry::image_number`
    double size_gb = 0;
};

/// Steady-clock time, in seconds, of an event that has not happened yet.
inline constexpr double never_s = -1e9;

/// State of one worker machine (agent) as this controller knows it, from heartbeats, job records
/// and the cloud provider's listing. Times are steady-clock seconds.
struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;

    // From its heartbeats.
    bool heartbeat_received = false;  // at least one heartbeat has been applied
    // Incarnation of the worker agent; grows each time the worker's lease expires.
    std::uint64_t agent_epoch = 0;
    std::uint64_t heartbeat_seq = 0;  // sequence number of the heartbeat within the agent epoch
    Token fencing_token = 0;          // fencing token the worker last accepted
    double last_heartbeat_at = never_s;
    bool last_heartbeat_relayed = false;  // the last heartbeat was relayed by another controller
    // When the spot instance will be interrupted; null: no interruption notice received.
    std::optional<double> interruption_deadline;
    std::map<Attempt, TaskStatus> tasks;

    // Ownership by this controller.
    bool owned_by_us = false;
    // The worker has accepted our fencing token. Until then no command but the token raise is sent
    // to it.
    bool adopted = false;
    double owned_since = 0;
    std::set<Attempt> starts_sent;   // a reply of ours has carried their start since adoption
    std::set<Attempt> seen_running;  // reported alive since adoption
    /// A stop command that is repeated until the task has exited.
    struct PendingStop {
        double grace_s = 0;  ///< time to save a checkpoint; 0: stop at once
        double first_requested_at = 0;
        double last_sent_at = never_s;
    };
    std::map<Attempt, PendingStop> pending_stops;
    std::set<std::string> failed_jobs;     // uids of jobs that failed on it since a task succeeded
    double claim_backoff_until = never_s;  // no new claims on it before this time
    // The reply to its heartbeat is held open (long poll) until `reply_deadline` or a change.
    bool reply_held_open = false;
    bool probe_in_flight = false;
    int probe_failures = 0;
    bool cordon_write_pending = false;  // a cordon of it is to be written or in flight
    bool release_confirmed = false;     // the cloud provider confirmed its release

    // The heartbeat request that has not been answered yet; null: none.
    std::optional<std::uint64_t> open_request;
    // Listed in `HeartbeatReplies`: its request is open or was answered since the last tick.
    bool awaiting_reply = false;
    double reply_deadline = 0;
    // Receipt of the last heartbeat that this process answered with 200.
    double answered_heartbeat_at = never_s;
    int claims_in_flight = 0;        // claim writes for it without a result yet
    bool seen_by_scheduler = false;  // a scheduling round has seen it since that heartbeat

    // Cached result of `AgentRegistry::free_resources`, computed again after a change.
    mutable Resources free_resources;
    mutable bool free_resources_valid = false;
    // Numbers of the images that its tasks are waiting for, computed at the same time.
    mutable std::vector<int> images_pulling;

    // Cached result of `AgentRegistry::placements_on`, as of this `JobStore::load_count`.
    mutable std::shared_ptr<const MachinePlacements> placements;
    mutable std::uint64_t placements_load_count = 0;

    // As listed by the cloud provider.
    bool listed = false;
    ListedState listed_state = ListedState::starting;
    double listed_at = never_s;
    double launched_at = 0;     // as far as known; 0: unknown
    double running_since = -1;  // first listed as running; -1: not yet
    double empty_since = -1;    // without placements since then; -1: has placements

    /// Whether it is known to have started. Only its owner gets its heartbeats; the other
    /// controllers rely on the cloud provider's listing.
    bool up() const { return heartbeat_received || running_since >= 0; }

    // Images it is estimated to have cached, most recently used first.
    std::vector<CachedImage> cached_images;
};

}  // namespace cranemoor::core

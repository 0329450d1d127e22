// Machine: what one controller knows of one worker machine, and the attempts of tasks on it.
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

/// One attempt of a task; ordered by task, then by attempt number.
struct Attempt {
    TaskId task;
    std::uint64_t number = 0;  // attempt number, as in the task's placement
    friend bool operator<(const Attempt& a, const Attempt& b) {
        return std::tie(a.task, a.number) < std::tie(b.task, b.number);
    }
    friend bool operator==(const Attempt& a, const Attempt& b) {
        return std::tie(a.task, a.number) == std::tie(b.task, b.number);
    }
};

/// An image that a machine is thought to have cached.
struct CachedImage {
    int number = 0;      // see AgentRegistry::image_number()
    double size_gb = 0;  // size in GB
};

/// Steady time of something that has never happened, in seconds.
inline constexpr double never_s = -1e9;

/// What this controller knows of one worker machine (agent): its identity, its latest heartbeat,
/// whether this controller owns and has adopted it, the stops sent to it, the heartbeat request
/// that waits for its reply, cached figures derived from the job records, and what the cloud
/// provider's listing says of it. Times are steady-clock seconds unless named otherwise.
struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;

    // From its heartbeats.
    bool heartbeat_received = false;  // at least one heartbeat has been taken in
    std::uint64_t agent_epoch = 0;    // incarnation of the worker agent; grows on each restart
    std::uint64_t heartbeat_seq = 0;  // sequence number of the heartbeat within the agent epoch
    Token fencing_token = 0;          // fencing token the worker last accepted
    double last_heartbeat_at = never_s;
    bool last_heartbeat_relayed = false;  // the last heartbeat came by way of another controller
    // The spot instance is to be interrupted at this time (interruption notice of the provider).
    std::optional<double> interruption_deadline;
    std::map<Attempt, TaskStatus> tasks;

    // Ownership by this controller.
    bool owned_by_us = false;
    // Adopted: this controller has taken the agent over, i.e. the worker has accepted our fencing
    // token. Until then no command but the token raise is sent to it.
    bool adopted = false;
    double owned_since = 0;
    std::set<Attempt> starts_sent;   // started by a reply of ours since adoption
    std::set<Attempt> seen_running;  // reported alive since adoption
    /// A stop (kill with a grace period) sent to a task and repeated until the task has exited.
    struct PendingStop {
        double grace_s = 0;
        double first_requested_at = 0;
        double last_sent_at = never_s;
    };
    std::map<Attempt, PendingStop> pending_stops;
    std::set<std::string> failed_jobs;     // that failed there since the last task was done
    double claim_backoff_until = never_s;  // no new claims on it before this time
    // Its reply is held open (long poll) until reply_deadline, unless something changes.
    bool reply_held_open = false;
    bool probe_in_flight = false;
    int probe_failures = 0;
    bool release_mark_pending = false;  // a mark for its release is being written
    bool release_confirmed = false;     // the cloud confirmed its release

    // The heartbeat request that waits for its reply.
    std::optional<std::uint64_t> open_request;
    bool awaiting_reply = false;  // in the list of those that wait, or of those just answered
    double reply_deadline = 0;
    int claims_in_flight = 0;        // claims under way for it
    bool seen_by_scheduler = false;  // a scheduler round has seen it since that heartbeat

    // Room left, counted anew after a change; see AgentRegistry::room.
    mutable Resources room;
    mutable bool room_known = false;
    mutable std::vector<int> images_pulling;  // images that its tasks wait for, as of then

    // What the job records say of it, as of load number site_of; see AgentRegistry::site.
    mutable std::shared_ptr<const MachinePlacements> site;
    mutable std::uint64_t site_of = 0;

    // As listed by the cloud provider.
    bool listed = false;
    ListedState listed_state = ListedState::starting;
    double listed_at = never_s;
    double launched_at = 0;     // steady time of its rental, as far as known
    double running_since = -1;  // first listed as running
    double empty_since = -1;    // no placements since, -1: has some

    /// Whether it is up as far as known here: only its owner gets its heartbeats, the other
    /// controllers have the cloud provider's listing.
    bool up() const { return heartbeat_received || running_since >= 0; }

    // Images it is thought to have cached, most recently used first.
    std::vector<CachedImage> cached_images;
};

}  // namespace cranemoor::core

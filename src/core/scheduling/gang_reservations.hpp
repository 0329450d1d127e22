// Gang reservations: the free room of a machine is kept for one job for a limited time, so that
// smaller jobs don't overtake a gang that needs several machines at once or a job for which work
// was preempted. Jobs of a higher priority may use the room nevertheless.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/placement_constraints.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// The reservations that this controller made on its own machines. They are kept in memory only: a
/// later owner of a machine doesn't know of them.
class GangReservations {
  public:
    /// The reservation of a machine's room for one job.
    struct Reservation {
        std::string uid;
        double expires_at_s = 0;  ///< steady clock
        Priority priority = Priority::normal;
    };

    /// All arguments must outlive this object.
    GangReservations(Context& ctx, const AgentRegistry& agents,
                     const PlacementConstraints& constraints)
        : ctx_(ctx), agents_(agents), constraints_(constraints) {}

    /// The reservation in force on that machine, or nullptr.
    const Reservation* find(const std::string& machine) const;
    /// Whether the machine is reserved for a job other than `uid`.
    bool is_reserved_for_other(const std::string& machine, const std::string& uid) const;
    /// Whether the gang may reserve machines now, or did so and is in the pause that follows.
    bool is_reserving(const std::string& uid) const { return reserving_since_s_.contains(uid); }
    /// Reserves the machine for a job for that many seconds, replacing any other reservation of it.
    void reserve(const std::string& machine, const JobSpec& spec, double seconds);
    /// Lets a gang that does not fit reserve the machines of this controller that will be empty
    /// soonest: the first gang of each team in the round, and further gangs of flows below their
    /// minimum share. When its reservation time is over the gang must pause, so that others get a
    /// chance and a gang that reservations don't help keeps no machine idle.
    void reserve_for_gang(SchedulingRound& round, const PendingJob& pending);
    /// Drops the reservations of jobs that have nothing left to place or have ended; if there are
    /// any such jobs, also all expired reservations.
    void on_jobs_placed(const std::set<std::string>& uids);
    /// Drops all reservations after a change of the membership epoch: machines may have another
    /// owner now.
    void epoch_changed() { reservations_.clear(); }

  private:
    // A machine that may be reserved.
    struct Reservable {
        double remaining_work_s = 0;  // until its last task is expected to end
        const Machine* machine = nullptr;
    };

    bool may_reserve(SchedulingRound& round, const PendingJob& pending) const;
    int count_reserved(const std::string& uid) const;
    bool is_reservable(const Machine& machine, const Job& job) const;
    std::vector<Reservable> reservable_machines(const Job& job) const;

    Context& ctx_;
    const AgentRegistry& agents_;
    const PlacementConstraints& constraints_;
    std::map<std::string, Reservation> reservations_;  // by machine
    std::map<std::string, double> reserving_since_s_;  // by gang; steady clock
};

}  // namespace cranemoor::core

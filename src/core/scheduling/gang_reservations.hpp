// Gang reservations: free room of a machine is kept for one job for a limited time, so that a gang
// that needs several machines at once, or a job that work was preempted for, is not overtaken by
// smaller ones. More urgent jobs may use the room all the same.
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

/// The reservations made by this controller, of its own machines. They are in memory only: another
/// owner of a machine doesn't know of them.
class GangReservations {
  public:
    /// A machine's room, reserved for one job.
    struct Reservation {
        std::string uid;
        double until = 0;  // steady s
        Priority priority = Priority::normal;
    };

    /// All arguments must outlive this object.
    GangReservations(Context& ctx, const AgentRegistry& agents,
                     const PlacementConstraints& constraints)
        : ctx_(ctx), agents_(agents), constraints_(constraints) {}

    /// The reservation of a machine that is in force, or nullptr.
    const Reservation* find(const std::string& machine) const;
    /// Whether the machine is reserved for another job than `uid`.
    bool is_reserved_for_other(const std::string& machine, const std::string& uid) const;
    /// Whether the gang reserves machines, or did so lately.
    bool is_reserving(const std::string& uid) const { return reserving_since_.contains(uid); }
    /// Reserves the machine for a job for that time, in place of any reservation that it has.
    void reserve(const std::string& machine, const JobSpec& spec, double seconds);
    /// Lets a gang that does not fit reserve the machines of ours that will be empty soonest: the
    /// first of each team in the round, and further ones of flows below their minimum share. After
    /// its time is over it must pause, so that others get a chance and a gang that can't be helped
    /// in this way keeps nothing idle.
    void reserve_for_gang(SchedulingRound& round, const PendingJob& pending);
    /// Drops what is reserved for jobs that have nothing left to place, or are over, and what has
    /// expired.
    void on_jobs_placed(const std::set<std::string>& uids);
    /// Machines may have changed their owner: drops all reservations.
    void epoch_changed() { reservations_.clear(); }

  private:
    /// A machine that may be reserved.
    struct Reservable {
        double remaining_work_s = 0;  // until the last of its tasks is expected to end
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
    std::map<std::string, double> reserving_since_;    // by gang, steady s
};

}  // namespace cranemoor::core

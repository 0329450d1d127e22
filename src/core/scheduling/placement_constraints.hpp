// Placement constraints: which machines a job's tasks may be placed on (machine type, zone, spot,
// all in one zone), how many tasks its spread rule allows in a zone, and what part of a machine's
// free room it may use.
#pragma once

#include <string>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// The hard constraints of jobs on machines: the filter before machines are scored.
class PlacementConstraints {
  public:
    /// `ctx` and `fleet` must outlive this object.
    PlacementConstraints(const Context& ctx, const Fleet& fleet) : ctx_(ctx), fleet_(fleet) {}

    /// Whether the job's type, zone and spot rules allow its tasks on that machine. Of a job whose
    /// tasks must run in one zone, only the zone that it has settled on.
    bool allows(const Job& job, const Machine& machine) const;
    /// How much of an offer's room the job may use. Best-effort spot work gets only what is left
    /// over, except on spot machines: never an empty ordinary machine.
    Resources usable_room(const MachineOffer& offer, const JobSpec& spec) const;
    /// Whether a task of the job fits the offer, which allows it. Reservations aren't looked at.
    bool fits(const MachineOffer& offer, const Job& job) const;

    /// Whether the job is best-effort work that may use spot machines: it is served last, and on
    /// ordinary machines uses only what is left over.
    static bool is_best_effort_spot(const JobSpec& spec);
    /// What of an ordinary machine's free room is left over for work without GPUs: all but the
    /// CPUs and the memory that its free GPUs may need.
    static Resources leftover_room(const MachineType& type, Resources room);
    /// How many more tasks the spread rule (at most half of the tasks in a zone, rounded up)
    /// allows in that zone, of the tasks of one block.
    static int spread_allowance(const Job& job, int block, const std::string& zone);

  private:
    const Context& ctx_;
    const Fleet& fleet_;
};

}  // namespace cranemoor::core

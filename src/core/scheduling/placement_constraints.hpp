// Placement constraints: which machines a job's tasks may be placed on (machine type, zone, spot,
// same zone for all tasks), how many tasks its zone spread rule allows in a zone, and what part of
// a machine's free room it may use.
#pragma once

#include <optional>
#include <string>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/scheduling/scheduling_round.hpp"

namespace cranemoor::core {

/// The hard constraints of jobs on machines: the filter that runs before machines are scored.
class PlacementConstraints {
  public:
    /// `ctx` and `agents` must outlive this object.
    PlacementConstraints(const Context& ctx, const AgentRegistry& agents)
        : ctx_(ctx), agents_(agents) {}

    /// Whether the job's machine type, zone and spot rules allow its tasks on that machine. A job
    /// whose tasks must run in one zone is allowed only the zone already chosen for it.
    bool allows(const Job& job, const Machine& machine) const;
    /// The only zone that the job's tasks may ever run in; null: its tasks' placements decide. A
    /// job of several block records whose tasks must share a zone has one derived from its uid,
    /// since concurrent claims on different blocks don't see each other's placements.
    std::optional<std::string> fixed_zone(const Job& job) const;
    /// How much of an offer's free room the job may use. On ordinary machines best-effort spot work
    /// gets only leftover room, and never an empty machine.
    Resources usable_room(const MachineOffer& offer, const JobSpec& spec) const;
    /// Whether the job is allowed on the offer's machine and one of its tasks fits the room that
    /// the job may use there. Reservations aren't considered.
    bool fits(const MachineOffer& offer, const Job& job) const;

    /// Whether the job is best-effort work that may use spot machines. Such a job is served last,
    /// and on ordinary (not spot) machines uses only leftover room.
    static bool is_best_effort_spot(const JobSpec& spec);
    /// The part of an ordinary machine's free room that work without GPUs may use as leftover: all
    /// but the CPUs and the memory that belong to its free GPUs in proportion.
    static Resources leftover_room(const MachineType& type, Resources room);
    /// How many more tasks of one block the zone spread rule (at most half of the tasks in a zone,
    /// rounded up) allows in that zone.
    static int spread_allowance(const Job& job, int block, const std::string& zone);

  private:
    const Context& ctx_;
    const AgentRegistry& agents_;
};

}  // namespace cranemoor::core

/// The data of one scheduling round: the machines with free room (offers), and cached results that
/// are the same for many jobs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/agents/agent_registry.hpp"

namespace cranemoor::core {

/// A machine with free room in this round.
struct MachineOffer {
    Machine* machine = nullptr;
    /// Free room, less what claims in flight and claims of this round take.
    Resources room;
    /// This controller owns the machine.
    bool owned_by_us = false;
    /// No task is placed on it.
    bool is_empty = false;
    /// The uid of the job that its room is reserved for; empty: not reserved.
    std::string reserved_for;
    Priority reserved_priority = Priority::normal;
    /// Images (by number) of the tasks claimed on it in this round: it will have them.
    std::vector<int> images_claimed;

    /// Whether its room is reserved for another job that is at least as urgent as `spec`.
    bool is_reserved_against(const JobSpec& spec) const {
        return !reserved_for.empty() && reserved_for != spec.uid &&
               spec.priority <= reserved_priority;
    }
};

/// A machine that a job's tasks may be placed on, with its score for that job.
struct Candidate {
    MachineOffer* offer = nullptr;
    /// The machine has the job's image, or the job needs none.
    bool has_image = false;
    /// See MachineScoring::score: the lowest score is used first.
    double score = 0;
    /// The job may use all of the machine's room, see MachineScoring::may_use_empty_machine.
    bool may_use_all_room = false;
};

/// Sorts candidates into the order of use: machines with the job's image first, then by score.
/// The sort is stable: equal candidates keep the order of the offers.
void sort_candidates(std::vector<Candidate>& candidates);

/// A query over all machines whose result is the same for every job of an equivalence class.
struct FleetQuery {
    enum class Kind { fits_machine_in_use, fits_spot_machine, has_spot_machine, finds_image };
    Kind kind = Kind::fits_machine_in_use;
    int equivalence_class = 0;
    int image = 0;
    int tasks = 0;
    /// Orders queries in the map of results.
    friend bool operator<(const FleetQuery& a, const FleetQuery& b) {
        return std::tie(a.kind, a.equivalence_class, a.image, a.tasks) <
               std::tie(b.kind, b.equivalence_class, b.image, b.tasks);
    }
};

/// The properties of a gang that decide where it fits.
struct GangSize {
    int tasks = 0;
    int equivalence_class = 0;
    /// Orders gang sizes in a set.
    friend bool operator<(const GangSize& a, const GangSize& b) {
        return std::tie(a.tasks, a.equivalence_class) < std::tie(b.tasks, b.equivalence_class);
    }
};

/// The state of one scheduling round, created anew for each round.
struct SchedulingRound {
    std::vector<MachineOffer> offers;
    /// The offers include machines of other controllers, which only gangs use.
    bool includes_other_owners = false;
    /// Equivalence classes of jobs that fit no offer of this controller's machines.
    std::set<int> unplaceable_classes;
    /// The same for best-effort work that may use an empty machine.
    std::set<int> unplaceable_on_empty_classes;
    /// Gangs, by size, that fit no set of offers.
    std::set<GangSize> unplaceable_gangs;
    /// Results of the queries made in this round.
    std::map<FleetQuery, bool> query_results;
    /// Teams whose first pending gang has had its turn to reserve machines in this round.
    std::set<std::string> teams_reserving;
};

}  // namespace cranemoor::core

// The data of one scheduling round: the machines with free room (offers), and what the round has
// already found out, so that a question with the same answer for many jobs is asked once.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/agents/fleet.hpp"

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
    /// The job that its room is reserved for; empty if there is none.
    std::string reserved_for;
    Priority reserved_priority = Priority::normal;
    /// Images (by number) of the tasks claimed on it in this round.
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
    /// See MachineScoring::score: the least is used first.
    double score = 0;
};

/// Sorts candidates into the order of use: machines with the job's image first, then by score.
/// Stable, so that equal ones keep the order of the offers.
void sort_candidates(std::vector<Candidate>& candidates);

/// A question about all machines whose answer is the same for every job of an equivalence class.
struct FleetQuestion {
    enum class Kind { fits_machine_in_use, fits_spot_machine, finds_image };
    Kind kind = Kind::fits_machine_in_use;
    int equivalence_class = 0;
    int image = 0;
    int tasks = 0;
    /// Orders questions in the map of answers.
    friend bool operator<(const FleetQuestion& a, const FleetQuestion& b) {
        return std::tie(a.kind, a.equivalence_class, a.image, a.tasks) <
               std::tie(b.kind, b.equivalence_class, b.image, b.tasks);
    }
};

/// The size of a gang, as far as it decides where it fits.
struct GangSize {
    int tasks = 0;
    int equivalence_class = 0;
    /// Orders sizes in a set.
    friend bool operator<(const GangSize& a, const GangSize& b) {
        return std::tie(a.tasks, a.equivalence_class) < std::tie(b.tasks, b.equivalence_class);
    }
};

/// What one scheduling round works with; made anew for each.
struct SchedulingRound {
    std::vector<MachineOffer> offers;
    /// Machines of other controllers are among the offers; only gangs ask for them.
    bool includes_other_owners = false;
    /// Demands that fit no offer of a machine of ours.
    std::set<int> unplaceable_classes;
    std::set<GangSize> unplaceable_gangs;
    /// Answers of this round.
    std::map<FleetQuestion, bool> answers;
    /// Teams whose first waiting gang has had its chance to reserve machines.
    std::set<std::string> teams_reserving;
};

}  // namespace cranemoor::core

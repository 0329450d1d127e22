// Minimum shares: the share of all machines below which no flow is left once it has waited long
// enough, in the manner of the minimum share with a preemption timeout of fair schedulers. A pure
// policy with no input or output: what flows hold and how long they have waited in, what each one
// lacks of its minimum share out.
//
// A flow is one team's class of jobs. Each team that waits has a fair share of all machines by its
// weight, and each of its classes that wait an equal part of that; the minimum share is a fraction
// of this fair share. Only flows that wait count, so what one does not ask for goes to the others
// and no machine stays idle for a minimum share. The minimum shares add up to less than all
// machines, so the ordinary priority order decides about the rest. docs/admission.md gives the
// reasoning.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranemoor::admission {

// Names a flow: (team, job class).
using FlowName = std::pair<std::string, std::string>;

// What the minimum-share check needs to know about one flow that has tasks waiting.
struct WaitingFlow {
    FlowName name;
    double team_weight = 1;            // weight of its team, in machines; the same for each class
    bool was_below_min_share = false;  // lacked machines at the last check: it goes ahead until
                                       // it reaches its minimum share, whatever it waited
    bool best_effort = false;          // of the best-effort priority, served after all other work
    double machines_held = 0;          // machines that its running tasks take, in parts of one
    double longest_wait_s = 0;         // longest that one of its jobs waited without a placement
};

// Fixed parameters of the minimum-share check.
struct MinShareSettings {
    double fair_share_fraction = 0;   // minimum share, as a fraction of the flow's fair share
    double best_effort_fraction = 0;  // minimum share of each best-effort flow, as a fraction of
                                      // all machines
    double min_wait_s = 0;            // s that a flow must have waited before it may go ahead
};

// Returns, for each flow below its minimum share that has waited at least `settings.min_wait_s`
// (or was below it at the last check), the machines it lacks to reach it; flows at or above their
// minimum share are absent. `flows`: all flows that wait, each once. `total_machines`: all
// machines in use. Never fails; with no weighted flows the non-best-effort minimum shares are 0.
std::map<FlowName, double> min_share_deficits(const std::vector<WaitingFlow>& flows,
                                              double total_machines,
                                              const MinShareSettings& settings);

}  // namespace cranemoor::admission

/// Minimum shares: the share of all machines below which no flow is left once it has waited long
/// enough, like the minimum share with preemption timeout of fair schedulers. A pure policy without
/// I/O: from the machines that flows hold and how long they have waited, it computes how many
/// machines each flow lacks to its minimum share.
///
/// A flow is one team's class of jobs. Each waiting team has a fair share of all machines by its
/// weight, and each of its waiting classes an equal part of that; the minimum share is a fraction
/// of this fair share. Only waiting flows count, so what one does not request goes to the others
/// and no machine stays idle for a minimum share. The minimum shares add up to less than all
/// machines, so the ordinary priority order decides about the rest. docs/admission.md gives the
/// reasoning.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranemoor::admission {

/// Names a flow: (team, job class).
using FlowName = std::pair<std::string, std::string>;

/// A flow with waiting tasks, as input of the minimum share check.
struct WaitingFlow {
    FlowName name;
    double team_weight = 1;  ///< weight of its team, in machines; the same for each class
    /// It was below its minimum share at the last check: it has precedence until it reaches its
    /// minimum share, however long it has waited.
    bool was_below_min_share = false;
    bool best_effort = false;   ///< of the best-effort priority, served after all other work
    double machines_held = 0;   ///< used by its running tasks; a machine used in part is a fraction
    double longest_wait_s = 0;  ///< longest that one of its jobs has waited without a placement
};

/// Parameters of the minimum share check.
struct MinShareSettings {
    double fair_share_fraction = 0;  ///< minimum share, as a fraction of the flow's fair share
    /// Minimum share of each best-effort flow, as a fraction of all machines.
    double best_effort_fraction = 0;
    double min_wait_s = 0;  ///< that a flow must have waited before it gets precedence
};

/// Returns, for each flow below its minimum share that has waited at least `settings.min_wait_s`
/// (or was below it at the last check), the machines that it lacks to reach it; all other flows are
/// absent. `flows`: all waiting flows, each once. `total_machines`: all machines in use. If the
/// team weights add up to 0, the minimum shares of flows that are not best-effort are 0.
std::map<FlowName, double> min_share_deficits(const std::vector<WaitingFlow>& flows,
                                              double total_machines,
                                              const MinShareSettings& settings);

}  // namespace cranemoor::admission

// Floors: the part of all room below which no flow is left while it waits. A flow is a team's class
// of jobs. A pure policy: what flows hold and how long they wait in, what they lack out.
//
// Each team that waits is entitled to room by its weight, each of its classes that wait to an equal
// part of that; the floor is `share` of it. What a flow doesn't ask for counts for the others,
// since only those that wait are entitled at all: nothing stays idle for a floor. The floors' sum
// is below all room, so the ordinary order decides about the rest.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranemoor::admission {

using FlowName = std::pair<std::string, std::string>;  // team, class

struct Flow {
    FlowName name;
    double weight = 1;    // of its team, in machines; the same for all its classes
    bool ahead = false;   // lacked something at the last look: it stays so up to its floor
    bool idle = false;    // work that takes its turn after everybody else's
    double holds = 0;     // machines that its work takes, in parts of one
    double waited_s = 0;  // the longest that one of its jobs has waited without getting anything
};

struct FloorBounds {
    double share = 0;       // of what a flow is entitled to
    double idle_share = 0;  // of all room, for each idle flow
    double after_s = 0;     // s that a flow must have waited
};

// What the flows lack that wait for too long, in machines; nothing of those at or above their
// floor. flows: all that wait, each once. room: all machines.
std::map<FlowName, double> lacks(const std::vector<Flow>& flows, double room,
                                 const FloorBounds& bounds);

}  // namespace cranemoor::admission

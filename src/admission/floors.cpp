#include "admission/floors.hpp"

#include <algorithm>

namespace cranemoor::admission {

std::map<FlowName, double> lacks(const std::vector<Flow>& flows, double room,
                                 const FloorBounds& bounds) {
    struct Team {
        double weight = 0;
        int classes = 0;
    };
    std::map<std::string, Team> teams;
    for (const auto& f : flows) {
        if (!f.idle) {
            Team& t = teams[f.name.first];
            t.weight = std::max(t.weight, f.weight);
            t.classes++;
        }
    }
    double sum = 0;
    for (const auto& [name, t] : teams) {
        sum += t.weight;
    }
    std::map<FlowName, double> found;
    for (const auto& f : flows) {
        double floor = room * bounds.idle_share;
        if (!f.idle) {
            const Team& t = teams.at(f.name.first);
            floor = sum > 0 ? room * bounds.share * t.weight / sum / t.classes : 0;
        }
        if ((f.ahead || f.waited_s >= bounds.after_s) && f.holds < floor) {
            found[f.name] = floor - f.holds;
        }
    }
    return found;
}

}  // namespace cranemoor::admission

#include "admission/min_share.hpp"

#include <algorithm>

namespace cranemoor::admission {

std::map<FlowName, double> min_share_deficits(const std::vector<WaitingFlow>& flows,
                                              double total_machines,
                                              const MinShareSettings& settings) {
    struct Team {
        double weight = 0;
        int classes = 0;
    };
    std::map<std::string, Team> teams;
    for (const auto& flow : flows) {
        if (!flow.best_effort) {
            Team& team = teams[flow.name.first];
            team.weight = std::max(team.weight, flow.team_weight);
            team.classes++;
        }
    }
    double weight_sum = 0;
    for (const auto& [name, team] : teams) {
        weight_sum += team.weight;
    }
    std::map<FlowName, double> deficits;
    for (const auto& flow : flows) {
        double min_share = total_machines * settings.best_effort_fraction;
        if (!flow.best_effort) {
            const Team& team = teams.at(flow.name.first);
            min_share = weight_sum > 0 ? total_machines * settings.fair_share_fraction *
                                             team.weight / weight_sum / team.classes
                                       : 0;
        }
        bool eligible = flow.was_below_min_share || flow.longest_wait_s >= settings.min_wait_s;
        if (eligible && flow.machines_held < min_share) {
            deficits[flow.name] = min_share - flow.machines_held;
        }
    }
    return deficits;
}

}  // namespace cranemoor::admission

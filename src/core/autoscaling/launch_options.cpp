#include "core/autoscaling/launch_options.hpp"

#include <algorithm>
#include <tuple>

namespace cranemoor::core {

namespace {

bool is_allowed(const JobSpec& spec, const MachineType& type) {
    bool allowed = !spec.machine_types ||
                   std::find(spec.machine_types->begin(), spec.machine_types->end(), type.name) !=
                       spec.machine_types->end();
    return allowed && spec.task_resources.fits_in(type.size);
}

void sort_by_price(std::vector<LaunchOption>& options) {
    std::stable_sort(
        options.begin(), options.end(), [](const LaunchOption& a, const LaunchOption& b) {
            return std::make_tuple(!a.spot, a.price()) < std::make_tuple(!b.spot, b.price());
        });
}

std::vector<std::string> zones_of(const std::vector<LaunchOption>& options) {
    std::vector<std::string> zones;
    for (const auto& option : options) {
        for (const auto& zone : option.type->zones) {
            if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
                zones.push_back(zone);
            }
        }
    }
    return zones;
}

LaunchOptions make_options(std::vector<LaunchOption> options) {
    sort_by_price(options);
    auto zones = zones_of(options);
    return {std::move(options), std::move(zones)};
}

}  // namespace

LaunchOptions launch_options_for(const std::vector<MachineType>& types, const JobSpec& spec,
                                 bool spot_only) {
    std::vector<LaunchOption> options;
    for (const auto& type : types) {
        if (!is_allowed(spec, type)) {
            continue;
        }
        if (spec.spot) {
            options.push_back({&type, true});
        }
        if (!spot_only) {
            options.push_back({&type, false});
        }
    }
    return make_options(std::move(options));
}

LaunchOptions launch_options_for_headroom(const std::vector<MachineType>& types, bool spot) {
    std::vector<LaunchOption> options;
    options.reserve(types.size());
    for (const auto& type : types) {
        options.push_back({&type, spot});
    }
    return make_options(std::move(options));
}

}  // namespace cranemoor::core

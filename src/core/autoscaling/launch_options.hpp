// Launch options: the machine types and purchase options that may be launched, in the order in
// which the provider is asked for them.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace cranemoor::core {

/// A machine type, as a spot instance or on demand.
struct LaunchOption {
    const MachineType* type = nullptr;
    bool spot = false;

    /// Nominal price per hour.
    double price() const { return spot ? type->spot_price : type->price; }
};

/// The options for one purpose. They refer to the machine types that they were made from.
struct LaunchOptions {
    std::vector<LaunchOption> in_order;  ///< spot instances first, then by price
    std::vector<std::string> zones;      ///< in which at least one of them is offered
};

/// The options for a job's tasks: the types that the job allows and that a task fits, as spot
/// instances if the job may use them, and on demand unless `spot_only`.
LaunchOptions launch_options_for(const std::vector<MachineType>& types, const JobSpec& spec,
                                 bool spot_only);

/// All machine types, either as spot instances or on demand.
LaunchOptions launch_options_for_headroom(const std::vector<MachineType>& types, bool spot);

}  // namespace cranemoor::core

// InstanceKind: what the cloud provider is asked for when a machine is launched.
#pragma once

#include <compare>
#include <string>

namespace cranemoor::core {

/// Machine type, zone and purchase option of a cloud instance. Ordered by these, in this order.
struct InstanceKind {
    std::string type;   ///< name of the machine type
    std::string zone;   ///< availability zone
    bool spot = false;  ///< spot instance: cheaper, and may be interrupted by the provider

    auto operator<=>(const InstanceKind&) const = default;
};

}  // namespace cranemoor::core

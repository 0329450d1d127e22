// InstanceKind: what the cloud provider is asked for when a machine is launched.
#pragma once

#include <compare>
#include <string>
#include <tuple>

namespace cranemoor::core {

/// Machine type, zone and purchase option of a cloud instance. Ordered by these, in this order.
struct InstanceKind {
    std::string type;   ///< name of the machine type
    std::string zone;   ///< availability zone
    bool spot = false;  ///< spot instance: cheaper, and may be interrupted by the provider

    friend bool operator<(const InstanceKind& a, const InstanceKind& b) {
        return std::tie(a.type, a.zone, a.spot) < std::tie(b.type, b.zone, b.spot);
    }
    friend bool operator==(const InstanceKind& a, const InstanceKind& b) {
        return std::tie(a.type, a.zone, a.spot) == std::tie(b.type, b.zone, b.spot);
    }
};

}  // namespace cranemoor::core

// InstanceKind: the kind of cloud instance that a launch request asks for.
#pragma once

#include <compare>
#include <string>
#include <tuple>

namespace cranemoor::core {

/// Machine type, zone and purchase option of a cloud instance; ordered by these fields in turn.
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

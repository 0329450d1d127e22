/// The admission table: what all members act on together during overload. The leader writes it,
/// each change with the next number; docs/admission.md gives the reasoning.
#pragma once

#include <cstdint>
#include <map>

namespace cranemoor::admission {

/// A member's share when work is divided among the members.
struct MemberShare {
    int weight = 1;  ///< at least 1
};

struct Table {
    std::uint64_t revision = 0;  ///< of its record
    std::uint64_t number = 0;    ///< increases with each change
    /// Writes are overloaded: claims and task exits of arrays share records, and each block has one
    /// member that claims from it.
    bool write_overload = false;
    std::map<std::uint64_t, MemberShare> member_shares;  ///< by member id
};

}  // namespace cranemoor::admission

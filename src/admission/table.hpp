// The admission table: what all members act on together while something is short. The leading
// member writes it, each change with the next number; docs/admission.md says what it rests on.
#pragma once

#include <cstdint>
#include <map>

namespace cranemoor::admission {

// What a member is worth when work is parted among members; the least is 1.
struct Part {
    int weight = 1;
};

struct Table {
    std::uint64_t revision = 0;  // of its record
    std::uint64_t number = 0;
    // Claims and ends of arrays share records, and each block has one member that claims from it.
    bool shared = false;
    std::map<std::uint64_t, Part> parts;  // by member id
};

}  // namespace cranemoor::admission

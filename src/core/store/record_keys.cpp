#include "core/store/record_keys.hpp"

#include <fmt/format.h>

#include <array>
#include <cctype>
#include <string_view>

namespace cranemoor::core {

namespace {

// Escapes a name for use in a key: keys contain no spaces and key parts no slashes, while names
// from the settings may contain any character.
std::string escape_key_part(const std::string& name) {
    std::string escaped;
    for (unsigned char character : name) {
        if (std::isalnum(character) != 0 || character == '-' || character == '_' ||
            character == '.') {
            escaped += static_cast<char>(character);
        } else {
            escaped += fmt::format("%{:02x}", character);
        }
    }
    return escaped;
}
}  // namespace

std::uint64_t stable_hash(const std::string& text) {
    // FNV-1a with a final mix: without it, names that differ in their last letters sort alike.
    std::uint64_t hash = 1469598103934665603ULL;
    for (unsigned char character : text) {
        hash = (hash ^ character) * 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

namespace keys {
std::string member(const std::string& name) {
    return "c/m/" + escape_key_part(name);
}
std::string job(const std::string& uid) {
    return "c/j/" + escape_key_part(uid);
}
std::string block(const std::string& uid, int index) {
    return fmt::format("c/b/{}/{}", escape_key_part(uid), index);
}
std::string job_listing(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/a/{}-{}", member, number);
}
std::string page(const std::string& uid, int index) {
    return fmt::format("c/p/{}/{}", escape_key_part(uid), index);
}
std::string dependencies(const std::string& uid, int part) {
    return fmt::format("c/l/{}/{}", escape_key_part(uid), part);
}
std::string feature_level(const std::string& name) {
    return "c/v/" + escape_key_part(name);
}
std::string claim_batch(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/s/{}-{}", member, number);
}
std::string quota(const std::string& team) {
    return "c/q/" + escape_key_part(team);
}
std::string cordon_batch(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/x/{}-{}", member, number);
}
std::string final_state(const std::string& uid) {
    return "f/" + escape_key_part(uid);
}
}  // namespace keys

namespace {
// Length of the prefix that says the kind of a record. Only the keys of the epoch and of the
// admission table have no such prefix.
constexpr std::size_t kind_prefix_length = 4;

struct KeyPrefix {
    std::string_view text;
    RecordKind kind;
};
constexpr std::array<KeyPrefix, 10> key_prefixes = {{{"c/m/", RecordKind::member},
                                                     {"c/j/", RecordKind::job},
                                                     {"c/a/", RecordKind::listing},
                                                     {"c/b/", RecordKind::block},
                                                     {"c/p/", RecordKind::page},
                                                     {"c/l/", RecordKind::dependencies},
                                                     {"c/v/", RecordKind::feature_level},
                                                     {"c/s/", RecordKind::claim_batch},
                                                     {"c/q/", RecordKind::quota},
                                                     {"c/x/", RecordKind::cordon_batch}}};
}  // namespace

RecordKind kind_of(const std::string& key) {
    if (key == keys::epoch) {
        return RecordKind::epoch;
    }
    if (key == keys::admission_table) {
        return RecordKind::admission_table;
    }
    for (const auto& prefix : key_prefixes) {
        if (key.starts_with(prefix.text)) {
            return prefix.kind;
        }
    }
    return RecordKind::unknown;
}

IndexedKey parse_indexed_key(const std::string& key) {
    auto slash = key.rfind('/');
    return {key.substr(kind_prefix_length, slash - kind_prefix_length),
            std::stoi(key.substr(slash + 1))};
}

std::string uid_of_job_key(const std::string& key) {
    return key.substr(kind_prefix_length);
}

}  // namespace cranemoor::core

#include "core/store/record_keys.hpp"

#include <fmt/format.h>

#include <array>
#include <cctype>
#include <string_view>

namespace cranemoor::core {

namespace {

// Keys hold no spaces and their parts no slashes; names from the settings may hold anything.
std::string safe(const std::string& name) {
    std::string out;
    for (unsigned char c : name) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
            out += static_cast<char>(c);
        } else {
            out += fmt::format("%{:02x}", c);
        }
    }
    return out;
}
}  // namespace

std::uint64_t stable_hash(const std::string& text) {
    // FNV-1a, with a final mix: without it names that differ in their last letters order alike.
    std::uint64_t h = 1469598103934665603ULL;
    for (unsigned char c : text) {
        h = (h ^ c) * 1099511628211ULL;
    }
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    return h;
}

namespace keys {
std::string member(const std::string& name) {
    return "c/m/" + safe(name);
}
std::string job(const std::string& uid) {
    return "c/j/" + safe(uid);
}
std::string block(const std::string& uid, int index) {
    return fmt::format("c/b/{}/{}", safe(uid), index);
}
std::string accepted(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/a/{}-{}", member, number);
}
std::string page(const std::string& uid, int index) {
    return fmt::format("c/p/{}/{}", safe(uid), index);
}
std::string follows(const std::string& uid, int part) {
    return fmt::format("c/l/{}/{}", safe(uid), part);
}
std::string version(const std::string& name) {
    return "c/v/" + safe(name);
}
std::string claim_batch(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/s/{}-{}", member, number);
}
std::string quota(const std::string& team) {
    return "c/q/" + safe(team);
}
std::string marks(std::uint64_t member, std::uint64_t number) {
    return fmt::format("c/x/{}-{}", member, number);
}
std::string finished(const std::string& uid) {
    return "f/" + safe(uid);
}
}  // namespace keys

namespace {
// Every key below keys::live but two begins with a prefix of that length.
constexpr std::size_t prefix_length = 4;

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
                                                     {"c/v/", RecordKind::version},
                                                     {"c/s/", RecordKind::claim_batch},
                                                     {"c/q/", RecordKind::quota},
                                                     {"c/x/", RecordKind::cordons}}};
}  // namespace

RecordKind kind_of(const std::string& key) {
    if (key == keys::epoch) {
        return RecordKind::epoch;
    }
    if (key == keys::table) {
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
    return {key.substr(prefix_length, slash - prefix_length), std::stoi(key.substr(slash + 1))};
}

std::string uid_of_job_key(const std::string& key) {
    return key.substr(prefix_length);
}

}  // namespace cranemoor::core

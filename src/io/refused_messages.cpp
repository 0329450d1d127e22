#include "io/refused_messages.hpp"

#include <fmt/format.h>

#include <utility>

namespace cranemoor::io {

void RefusedMessages::count(const std::string& source, const std::string& reason) {
    std::string kind = source + ": " + reason;
    bool is_full = counts_.size() >= kinds_max && !counts_.contains(kind);
    ++counts_[is_full ? "other" : kind];
}

std::string RefusedMessages::take_summary() {
    std::string summary;
    for (const auto& [kind, number] : std::exchange(counts_, {})) {
        summary += fmt::format("{}{} {}", summary.empty() ? "" : ", ", number, kind);
    }
    return summary;
}

}  // namespace cranemoor::io

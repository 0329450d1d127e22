// The operators' settings file; docs/operations.md lists its elements.
#include <algorithm>
#include <array>
#include <cmath>
#include <pugixml.hpp>

#include "config/settings.hpp"

namespace cranemoor::config {

namespace {

// An element of the file, the value that it sets, and the range of that value.
struct Element {
    const char* name;
    double core::Tunables::*field;
    double min;
    double max;
};

constexpr auto elements = std::to_array<Element>({
    {"locality-wait-s", &core::Tunables::locality_wait_s, 0, 600},
    {"gang-hold-s", &core::Tunables::gang_reservation_s, 0, 3600},
    {"share-timeout-s", &core::Tunables::guarantee_timeout_s, 0, 3600},
    {"headroom-machines", &core::Tunables::headroom_machines_max, 0, 1000},
    {"idle-return-s", &core::Tunables::idle_release_s, 0, 86400},
    {"final-states", &core::Tunables::final_states_max, 0, 100000},
    {"silence-s", &core::Tunables::worker_timeout_s, 4, 600},
});

// The start of an error message: the file name and the line that contains `offset`.
std::string error_prefix(const std::string& text, std::ptrdiff_t offset, const std::string& name) {
    auto end = text.begin() +
               std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(text.size()));
    return name + ": line " + std::to_string(1 + std::count(text.begin(), end, '\n')) + ": ";
}

}  // namespace

core::Tunables parse_tunables(const std::string& text, const std::string& name) {
    pugi::xml_document document;
    auto parsed = document.load_buffer(text.data(), text.size());
    if (!parsed) {
        throw Error(error_prefix(text, parsed.offset, name) + parsed.description());
    }
    pugi::xml_node root = document.document_element();
    if (std::string(root.name()) != "cranemoor") {
        throw Error(error_prefix(text, root.offset_debug(), name) +
                    "the root element must be <cranemoor>");
    }
    core::Tunables tunables;
    for (pugi::xml_node node : root.children()) {
        if (node.type() != pugi::node_element) {
            continue;
        }
        std::string prefix = error_prefix(text, node.offset_debug(), name);
        const auto* found = std::find_if(
            std::begin(elements), std::end(elements),
            [&](const Element& element) { return std::string(node.name()) == element.name; });
        if (found == std::end(elements)) {
            throw Error(prefix + "unknown element <" + node.name() + ">");
        }
        std::string value = node.text().as_string();
        std::size_t parsed_size = 0;
        double number = NAN;
        try {
            number = std::stod(value, &parsed_size);
        } catch (const std::exception&) {
            parsed_size = 0;
        }
        if (parsed_size == 0 || parsed_size != value.size() || !(number >= found->min) ||
            !(number <= found->max)) {
            throw Error(prefix + "<" + found->name + "> must be a number from " +
                        std::to_string(found->min) + " to " + std::to_string(found->max));
        }
        tunables.*(found->field) = number;
    }
    return tunables;
}

void validate_tunables(const core::Settings& settings, const core::Tunables& tunables) {
    double interval_max_s =
        settings.heartbeat_interval_s * core::constants::heartbeat_interval_factor;
    if (tunables.worker_timeout_s > 0 && tunables.worker_timeout_s <= interval_max_s) {
        throw Error("<silence-s> must be above " + std::to_string(interval_max_s) +
                    ": workers that send a heartbeat every " +
                    std::to_string(settings.heartbeat_interval_s) + " s may be silent that long");
    }
}

}  // namespace cranemoor::config

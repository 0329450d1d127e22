// The operators' own settings. docs/operations.md lists the elements.
#include <algorithm>
#include <array>
#include <cmath>
#include <pugixml.hpp>

#include "config/settings.hpp"

namespace cranemoor::config {

namespace {

struct Element {
    const char* name;
    double core::Tunables::*field;
    double least;
    double most;
};

constexpr auto elements = std::to_array<Element>({
    {"locality-wait-s", &core::Tunables::locality_wait_s, 0, 600},
    {"gang-hold-s", &core::Tunables::gang_reservation_s, 0, 3600},
    {"share-timeout-s", &core::Tunables::min_share_timeout_s, 0, 3600},
    {"headroom-machines", &core::Tunables::headroom_machines_max, 0, 1000},
    {"idle-return-s", &core::Tunables::idle_release_s, 0, 86400},
    {"final-states", &core::Tunables::final_states_max, 0, 100000},
    {"silence-s", &core::Tunables::worker_timeout_s, 4, 600},
});

std::string at(const std::string& text, std::ptrdiff_t offset, const std::string& name) {
    auto end = text.begin() +
               std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(text.size()));
    return name + ": line " + std::to_string(1 + std::count(text.begin(), end, '\n')) + ": ";
}

}  // namespace

core::Tunables parse_operators(const std::string& text, const std::string& name) {
    pugi::xml_document document;
    auto parsed = document.load_buffer(text.data(), text.size());
    if (!parsed) {
        throw Error(at(text, parsed.offset, name) + parsed.description());
    }
    pugi::xml_node root = document.document_element();
    if (std::string(root.name()) != "cranemoor") {
        throw Error(at(text, root.offset_debug(), name) + "the root element must be <cranemoor>");
    }
    core::Tunables tunables;
    for (pugi::xml_node node : root.children()) {
        if (node.type() != pugi::node_element) {
            continue;
        }
        std::string where = at(text, node.offset_debug(), name);
        const auto* known =
            std::find_if(std::begin(elements), std::end(elements),
                         [&](const Element& e) { return std::string(node.name()) == e.name; });
        if (known == std::end(elements)) {
            throw Error(where + "unknown element <" + node.name() + ">");
        }
        std::string value = node.text().as_string();
        std::size_t used = 0;
        double number = NAN;
        try {
            number = std::stod(value, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        if (used == 0 || used != value.size() || !(number >= known->least) ||
            !(number <= known->most)) {
            throw Error(where + "<" + known->name + "> must be a number from " +
                        std::to_string(known->least) + " to " + std::to_string(known->most));
        }
        tunables.*(known->field) = number;
    }
    return tunables;
}

void check(const core::Settings& settings, const core::Tunables& tunables) {
    double longest = settings.heartbeat_interval_s * core::constants::heartbeat_interval_factor;
    if (tunables.worker_timeout_s > 0 && tunables.worker_timeout_s <= longest) {
        throw Error("<silence-s> must be above " + std::to_string(longest) +
                    ": workers that report every " + std::to_string(settings.heartbeat_interval_s) +
                    " s may be quiet that long");
    }
}

}  // namespace cranemoor::config

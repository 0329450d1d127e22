#include "config/settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace cranemoor::config {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw Error(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Reads the values of a TOML table. A getter throws `Error`, with the full path of the key, if the
// key is missing or its value is invalid.
class TableReader {
  public:
    TableReader(const toml::table& table, std::string file_name, std::string key_prefix)
        : table_(table), file_name_(std::move(file_name)), key_prefix_(std::move(key_prefix)) {}

    std::string text(const char* key) const {
        auto value = table_[key].value<std::string>();
        if (!value || value->empty()) {
            reject(key, "a non-empty string");
        }
        return *value;
    }
    // A finite number from `min` to `setting_value_max`; `fallback` if the key is missing and not
    // required.
    double number(const char* key, double min, bool required = true, double fallback = 0) const {
        if (!table_.contains(key) && !required) {
            return fallback;
        }
        auto value = table_[key].value<double>();
        if (!value || !std::isfinite(*value) || *value < min ||
            *value > core::constants::setting_value_max) {
            reject(key, "a number of at least " + std::to_string(min));
        }
        return *value;
    }
    bool has(const char* key) const { return table_.contains(key); }
    TableReader table(const char* key) const {
        const auto* subtable = table_[key].as_table();
        if (subtable == nullptr) {
            reject(key, "a table");
        }
        return {*subtable, file_name_, key_prefix_ + key + "."};
    }
    // Calls `visit` with each table of a list; does nothing if the key is missing or not a list.
    template <typename Visitor>
    void for_each(const char* key, Visitor&& visit) const {
        const auto* list = table_[key].as_array();
        if (list == nullptr) {
            return;
        }
        for (const auto& item : *list) {
            const auto* entry = item.as_table();
            if (entry == nullptr) {
                reject(key, "a list of tables");
            }
            visit(TableReader(*entry, file_name_, key_prefix_ + key + "."));
        }
    }
    std::vector<std::string> texts(const char* key) const {
        const auto* list = table_[key].as_array();
        std::vector<std::string> strings;
        if (list != nullptr) {
            for (const auto& item : *list) {
                if (auto value = item.value<std::string>()) {
                    strings.push_back(*value);
                }
            }
        }
        if (strings.empty()) {
            reject(key, "a list with at least one string");
        }
        return strings;
    }

  private:
    [[noreturn]] void reject(const char* key, const std::string& requirement) const {
        throw Error(file_name_ + ": " + key_prefix_ + key + " must be " + requirement);
    }
    const toml::table& table_;
    std::string file_name_;
    std::string key_prefix_;
};

// Reads the names and addresses of this controller, its peers and the services that it uses.
void read_addresses(const TableReader& file, core::Settings& settings) {
    settings.name = file.text("node_name");
    settings.zone = file.text("zone");
    settings.listen_address = file.text("serve_on");
    settings.peer_listen_address = file.text("back");
    file.for_each("known", [&](const TableReader& peer) {
        settings.peers.push_back(
            {peer.text("node_name"), peer.text("zone"), peer.text("endpoint")});
    });
    TableReader services = file.table("services");
    settings.cloud_address = services.text("cloud");
    settings.store_address = services.text("state");
}

core::Team read_team(const TableReader& entry) {
    core::Team team;
    team.name = entry.text("name");
    team.guarantee.cpus = entry.number("cpus", 0, false);
    team.guarantee.gpus = entry.number("gpus", 0, false);
    team.limit.cpus = entry.number("cpus_max", 0, false);
    team.limit.gpus = entry.number("gpus_max", 0, false);
    return team;
}

core::Objective read_objective(const TableReader& entry) {
    core::Objective objective;
    objective.kind = entry.text("kind");
    if (objective.kind == "wait" || objective.kind == "finished") {
        objective.job_class = entry.text("class");
    }
    objective.within_s = entry.number("within_s", 0, false);
    objective.share = entry.number("share", 0, false);
    return objective;
}

void read_worker_timers(const TableReader& workers, core::Settings& settings) {
    settings.heartbeat_interval_s = workers.number("report_s", 0.1);
    settings.lease_s = workers.number("lease_s", 1);
    settings.gang_start_timeout_s = workers.number("gang_wait_s", 0);
    settings.gang_stop_window_s = workers.number("gang_peer_s", 0);
    settings.cancel_deadline_s = workers.number("cancel_s", 1);
}

// Reads the limits of the key-value store.
void read_store_limits(const TableReader& store, core::Settings& settings) {
    const double txn_ops_min = core::constants::txn_ops_min;
    settings.store_requests_per_s = store.number("rps", 1);
    settings.store_writes_per_s = store.number("write_rps", 1);
    settings.store_value_kb_max = store.number("value_kb", 1);
    settings.store_current_value_kb_max = settings.store_value_kb_max;
    settings.store_txn_ops_max = static_cast<int>(store.number("txn_ops", txn_ops_min));
    if (!store.has("next")) {
        return;
    }
    // The announced limits take effect without notice, so they are respected from the start.
    TableReader next = store.table("next");
    double write_rps = next.number("write_rps", 1, false, settings.store_writes_per_s);
    double value_kb = next.number("value_kb", 1, false, settings.store_value_kb_max);
    auto txn_ops =
        static_cast<int>(next.number("txn_ops", txn_ops_min, false, settings.store_txn_ops_max));
    settings.store_writes_per_s = std::min(settings.store_writes_per_s, write_rps);
    settings.store_value_kb_max = std::min(settings.store_value_kb_max, value_kb);
    settings.store_txn_ops_max = std::min(settings.store_txn_ops_max, txn_ops);
}

toml::table parse_toml(const std::string& text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        std::ostringstream message;
        message << name << ": line " << error.source().begin.line << ": " << error.description();
        throw Error(message.str());
    }
}

}  // namespace

core::Settings parse_settings(const std::string& text, const std::string& name) {
    toml::table table = parse_toml(text, name);
    TableReader file(table, name, "");
    core::Settings settings;
    read_addresses(file, settings);
    TableReader platform = file.table("settings");
    settings.zones = platform.texts("zones");
    settings.clock_error_max_s = platform.number("clock_off_ms", 0, false) / 1000;
    platform.for_each(
        "teams", [&](const TableReader& entry) { settings.teams.push_back(read_team(entry)); });
    platform.for_each("objectives", [&](const TableReader& entry) {
        settings.objectives.push_back(read_objective(entry));
    });
    read_worker_timers(platform.table("workers"), settings);
    read_store_limits(platform.table("state"), settings);
    TableReader cloud = platform.table("cloud");
    settings.cloud_requests_per_s = cloud.number("rps", 0.1);
    settings.list_lag_s = cloud.number("list_lag_s", 0, false);
    TableReader machine_limits = platform.table("machine_limits");
    settings.max_connections =
        static_cast<int>(machine_limits.number("max_connections", 16, false, 1000));
    return settings;
}

core::Settings read_settings(const std::string& path) {
    return parse_settings(read_file(path), path);
}

core::Tunables read_tunables(const std::string& path) {
    return parse_tunables(read_file(path), path);
}

}  // namespace cranemoor::config

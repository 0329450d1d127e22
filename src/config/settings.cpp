#include "config/settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace cranemoor::config {

namespace {

std::string slurp(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw Error(path + ": cannot be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

class Reader {
  public:
    Reader(const toml::table& table, std::string file, std::string path)
        : table_(table), file_(std::move(file)), path_(std::move(path)) {}

    std::string text(const char* key) const {
        auto v = table_[key].value<std::string>();
        if (!v || v->empty()) {
            missing(key, "a text");
        }
        return *v;
    }
    double number(const char* key, double least, bool needed = true, double fallback = 0) const {
        if (!table_.contains(key) && !needed) {
            return fallback;
        }
        auto v = table_[key].value<double>();
        if (!v || !std::isfinite(*v) || *v < least || *v > core::constants::setting_value_max) {
            missing(key, "a number of at least " + std::to_string(least));
        }
        return *v;
    }
    bool has(const char* key) const { return table_.contains(key); }
    Reader table(const char* key) const {
        const auto* t = table_[key].as_table();
        if (t == nullptr) {
            missing(key, "a table");
        }
        return {*t, file_, path_ + key + "."};
    }
    template <typename F>
    void each(const char* key, F&& f) const {
        const auto* list = table_[key].as_array();
        if (list == nullptr) {
            return;
        }
        for (const auto& item : *list) {
            const auto* t = item.as_table();
            if (t == nullptr) {
                missing(key, "a list of tables");
            }
            f(Reader(*t, file_, path_ + key + "."));
        }
    }
    std::vector<std::string> texts(const char* key) const {
        const auto* list = table_[key].as_array();
        std::vector<std::string> out;
        if (list != nullptr) {
            for (const auto& item : *list) {
                if (auto v = item.value<std::string>()) {
                    out.push_back(*v);
                }
            }
        }
        if (out.empty()) {
            missing(key, "a list of texts");
        }
        return out;
    }

  private:
    [[noreturn]] void missing(const char* key, const std::string& what) const {
        throw Error(file_ + ": " + path_ + key + " must be " + what);
    }
    const toml::table& table_;
    std::string file_;
    std::string path_;
};

// The names and addresses of this controller, its peers and the services that it uses.
void read_addresses(const Reader& file, core::Settings& settings) {
    settings.name = file.text("node_name");
    settings.zone = file.text("zone");
    settings.listen_address = file.text("serve_on");
    settings.peer_listen_address = file.text("back");
    file.each("known", [&](const Reader& peer) {
        settings.peers.push_back(
            {peer.text("node_name"), peer.text("zone"), peer.text("endpoint")});
    });
    Reader services = file.table("services");
    settings.cloud_address = services.text("cloud");
    settings.store_address = services.text("state");
}

core::Team read_team(const Reader& entry) {
    core::Team team;
    team.name = entry.text("name");
    team.guarantee.cpus = entry.number("cpus", 0, false);
    team.guarantee.gpus = entry.number("gpus", 0, false);
    team.limit.cpus = entry.number("cpus_max", 0, false);
    team.limit.gpus = entry.number("gpus_max", 0, false);
    return team;
}

core::Objective read_objective(const Reader& entry) {
    core::Objective objective;
    objective.kind = entry.text("kind");
    if (objective.kind == "wait" || objective.kind == "finished") {
        objective.job_class = entry.text("class");
    }
    objective.within_s = entry.number("within_s", 0, false);
    objective.share = entry.number("share", 0, false);
    return objective;
}

void read_worker_timers(const Reader& workers, core::Settings& settings) {
    settings.heartbeat_interval_s = workers.number("report_s", 0.1);
    settings.lease_s = workers.number("lease_s", 1);
    settings.gang_start_timeout_s = workers.number("gang_wait_s", 0);
    settings.gang_stop_window_s = workers.number("gang_peer_s", 0);
    settings.cancel_deadline_s = workers.number("cancel_s", 1);
}

// The limits of the key-value store.
void read_store_limits(const Reader& store, core::Settings& settings) {
    const double least_ops = core::constants::txn_ops_min;
    settings.store_requests_per_s = store.number("rps", 1);
    settings.store_writes_per_s = store.number("write_rps", 1);
    settings.store_value_kb_max = store.number("value_kb", 1);
    settings.store_current_value_kb_max = settings.store_value_kb_max;
    settings.store_txn_ops_max = static_cast<int>(store.number("txn_ops", least_ops));
    if (!store.has("next")) {
        return;
    }
    // Announced limits come without notice: kept to from the start, they surprise nobody.
    Reader next = store.table("next");
    double write_rps = next.number("write_rps", 1, false, settings.store_writes_per_s);
    double value_kb = next.number("value_kb", 1, false, settings.store_value_kb_max);
    auto txn_ops =
        static_cast<int>(next.number("txn_ops", least_ops, false, settings.store_txn_ops_max));
    settings.store_writes_per_s = std::min(settings.store_writes_per_s, write_rps);
    settings.store_value_kb_max = std::min(settings.store_value_kb_max, value_kb);
    settings.store_txn_ops_max = std::min(settings.store_txn_ops_max, txn_ops);
}

toml::table parse_toml(const std::string& text, const std::string& name) {
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error& error) {
        std::ostringstream where;
        where << name << ": line " << error.source().begin.line << ": " << error.description();
        throw Error(where.str());
    }
}

}  // namespace

core::Settings parse_settings(const std::string& text, const std::string& name) {
    toml::table table = parse_toml(text, name);
    Reader file(table, name, "");
    core::Settings settings;
    read_addresses(file, settings);
    Reader platform = file.table("settings");
    settings.zones = platform.texts("zones");
    settings.clock_error_max_s = platform.number("clock_off_ms", 0, false) / 1000;
    platform.each("teams",
                  [&](const Reader& entry) { settings.teams.push_back(read_team(entry)); });
    platform.each("objectives", [&](const Reader& entry) {
        settings.objectives.push_back(read_objective(entry));
    });
    read_worker_timers(platform.table("workers"), settings);
    read_store_limits(platform.table("state"), settings);
    Reader cloud = platform.table("cloud");
    settings.cloud_requests_per_s = cloud.number("rps", 0.1);
    settings.list_lag_s = cloud.number("list_lag_s", 0, false);
    Reader machine_limits = platform.table("machine_limits");
    settings.max_connections =
        static_cast<int>(machine_limits.number("max_connections", 16, false, 1000));
    return settings;
}

core::Settings read_settings(const std::string& path) {
    return parse_settings(slurp(path), path);
}

core::Tunables read_operators(const std::string& path) {
    return parse_operators(slurp(path), path);
}

}  // namespace cranemoor::config

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
        if (!v || !std::isfinite(*v) || *v < least || *v > core::constants::setting_most) {
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

}  // namespace

core::Settings parse_settings(const std::string& text, const std::string& name) {
    toml::table table;
    try {
        table = toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        std::ostringstream where;
        where << name << ": line " << e.source().begin.line << ": " << e.description();
        throw Error(where.str());
    }
    Reader top(table, name, "");
    core::Settings s;
    s.name = top.text("node_name");
    s.zone = top.text("zone");
    s.serve_on = top.text("serve_on");
    s.back = top.text("back");
    top.each("known", [&](const Reader& r) {
        s.peers.push_back({r.text("node_name"), r.text("zone"), r.text("endpoint")});
    });
    Reader services = top.table("services");
    s.cloud_address = services.text("cloud");
    s.state_address = services.text("state");
    Reader r = top.table("settings");
    s.zones = r.texts("zones");
    s.clock_off_s = r.number("clock_off_ms", 0, false) / 1000;
    r.each("teams", [&](const Reader& t) {
        core::Team team;
        team.name = t.text("name");
        team.guarantee.cpus = t.number("cpus", 0, false);
        team.guarantee.gpus = t.number("gpus", 0, false);
        team.limit.cpus = t.number("cpus_max", 0, false);
        team.limit.gpus = t.number("gpus_max", 0, false);
        s.teams.push_back(team);
    });
    r.each("objectives", [&](const Reader& o) {
        core::Objective objective;
        objective.kind = o.text("kind");
        if (objective.kind == "wait" || objective.kind == "finished") {
            objective.job_class = o.text("class");
        }
        objective.within_s = o.number("within_s", 0, false);
        objective.share = o.number("share", 0, false);
        s.objectives.push_back(objective);
    });
    Reader w = r.table("workers");
    s.report_s = w.number("report_s", 0.1);
    s.lease_s = w.number("lease_s", 1);
    s.gang_wait_s = w.number("gang_wait_s", 0);
    s.gang_peer_s = w.number("gang_peer_s", 0);
    s.cancel_s = w.number("cancel_s", 1);
    Reader st = r.table("state");
    s.state_rps = st.number("rps", 1);
    s.state_write_rps = st.number("write_rps", 1);
    s.state_value_kb = s.state_value_kb_today = st.number("value_kb", 1);
    s.state_txn_ops = static_cast<int>(st.number("txn_ops", core::constants::txn_ops_least));
    if (st.has("next")) {
        // Announced limits come without notice: kept to from the start, they surprise nobody.
        Reader next = st.table("next");
        s.state_write_rps =
            std::min(s.state_write_rps, next.number("write_rps", 1, false, s.state_write_rps));
        s.state_value_kb =
            std::min(s.state_value_kb, next.number("value_kb", 1, false, s.state_value_kb));
        s.state_txn_ops = std::min(
            s.state_txn_ops, static_cast<int>(next.number("txn_ops", core::constants::txn_ops_least,
                                                          false, s.state_txn_ops)));
    }
    Reader cl = r.table("cloud");
    s.cloud_rps = cl.number("rps", 0.1);
    s.list_lag_s = cl.number("list_lag_s", 0, false);
    s.max_connections =
        static_cast<int>(r.table("machine_limits").number("max_connections", 16, false, 1000));
    return s;
}

core::Settings read_settings(const std::string& path) {
    return parse_settings(slurp(path), path);
}

core::Tunables read_operators(const std::string& path) {
    return parse_operators(slurp(path), path);
}

}  // namespace cranemoor::config

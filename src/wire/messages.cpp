#include "wire/messages.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "core/model/constants.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

// Reads a value and refuses what is nested too deep, or holds bytes, in one go.
class Reader : public nlohmann::json_sax<Json> {
  public:
    bool null() override { return put(nullptr) != nullptr; }
    bool boolean(bool v) override { return put(v) != nullptr; }
    bool number_integer(number_integer_t v) override { return put(v) != nullptr; }
    bool number_unsigned(number_unsigned_t v) override { return put(v) != nullptr; }
    bool number_float(number_float_t v, const string_t& /*s*/) override {
        return put(v) != nullptr;
    }
    bool string(string_t& v) override { return put(std::move(v)) != nullptr; }
    bool binary(binary_t& /*v*/) override { return false; }
    bool start_object(std::size_t /*n*/) override { return open(Json::object()); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*n*/) override { return open(Json::array()); }
    bool end_array() override { return close(); }
    bool key(string_t& k) override {
        member_ = &(*open_.back())[k];
        return true;
    }
    bool parse_error(std::size_t /*at*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*e*/) override {
        return false;
    }
    Json take() { return std::move(root_); }

  private:
    // Where the value now lies: in the array or under the key that was begun last.
    Json* put(Json v) {
        if (open_.empty()) {
            root_ = std::move(v);
            return &root_;
        }
        Json& in = *open_.back();
        if (in.is_array()) {
            in.push_back(std::move(v));
            return &in.back();
        }
        *member_ = std::move(v);
        return member_;
    }
    bool open(Json v) {
        if (open_.size() >= constants::message_depth_max) {
            return false;
        }
        open_.push_back(put(std::move(v)));
        return true;
    }
    bool close() {
        open_.pop_back();
        return true;
    }

    Json root_;
    std::vector<Json*> open_;
    Json* member_ = nullptr;
};

// Guards against text that no record could keep: the library writes none of it.
bool is_utf8(const std::string& text) {
    bool ascii = std::all_of(text.begin(), text.end(),
                             [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    if (ascii) {
        return true;
    }
    try {
        (void)Json(text).dump();
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}

// Reads fields of a map and remembers the first one that is missing or wrong.
class Fields {
  public:
    explicit Fields(const Json& value) : value_(value) {}

    std::string text(const char* key, std::size_t most = 200, std::size_t least = 1) {
        const Json* v = get(key);
        std::size_t size =
            v != nullptr && v->is_string() ? v->get_ref<const std::string&>().size() : SIZE_MAX;
        if (size > most || size < least || !is_utf8(v->get_ref<const std::string&>())) {
            return fail(key, std::string());
        }
        return v->get<std::string>();
    }
    double amount(const char* key, double least = 0, double most = 1e9) {
        const Json* v = get(key);
        if (v == nullptr || !v->is_number()) {
            return fail(key, 0.0);
        }
        auto n = v->get<double>();
        return std::isfinite(n) && n >= least && n <= most ? n : fail(key, 0.0);
    }
    std::optional<double> amount_or_null(const char* key) {
        return null(key) ? std::nullopt : std::optional<double>(amount(key));
    }
    std::uint64_t count(const char* key, std::uint64_t least = 0, std::uint64_t most = UINT64_MAX) {
        const Json* v = get(key);
        // CBOR's non-negative integers; a float, even 3.0, is no count.
        if (v == nullptr || !v->is_number_integer() ||
            (!v->is_number_unsigned() && v->get<std::int64_t>() < 0)) {
            return fail(key, std::uint64_t{0});
        }
        auto n = v->get<std::uint64_t>();
        return n >= least && n <= most ? n : fail(key, std::uint64_t{0});
    }
    bool flag(const char* key) {
        const Json* v = get(key);
        return v != nullptr && v->is_boolean() ? v->get<bool>() : fail(key, false);
    }
    template <typename T, std::size_t N>
    T choice(const char* key, const std::pair<const char*, T> (&names)[N]) {
        std::string s = text(key);
        for (const auto& [name, value] : names) {
            if (s == name) {
                return value;
            }
        }
        return fail(key, names[0].second);
    }
    std::vector<std::string> texts(const char* key) {
        const Json* v = get(key);
        std::vector<std::string> list;
        if (v == nullptr || !v->is_array()) {
            return fail(key, list);
        }
        for (const auto& each : *v) {
            if (!each.is_string() || each.get_ref<const std::string&>().empty() ||
                !is_utf8(each.get_ref<const std::string&>())) {
                return fail(key, std::vector<std::string>());
            }
            list.push_back(each.get<std::string>());
        }
        return list;
    }
    bool null(const char* key) const {
        return !value_.is_object() || !value_.contains(key) || value_.at(key).is_null();
    }
    bool ok() const { return error_.empty(); }
    const std::string& error() const { return error_; }
    template <typename T>
    T fail(const char* key, T value) {
        if (error_.empty()) {
            error_ = std::string("field missing or invalid: ") + key;
        }
        return value;
    }

  private:
    const Json* get(const char* key) const {
        if (!value_.is_object()) {
            return nullptr;
        }
        auto it = value_.find(key);
        return it == value_.end() ? nullptr : &*it;
    }

    const Json& value_;
    std::string error_;
};

constexpr std::pair<const char*, JobKind> kinds[] = {
    {"array", JobKind::array}, {"gang", JobKind::gang}, {"service", JobKind::service}};
constexpr std::pair<const char*, Priority> priorities[] = {{"normal", Priority::normal},
                                                           {"production", Priority::production},
                                                           {"high", Priority::high},
                                                           {"best_effort", Priority::best_effort}};
constexpr std::pair<const char*, TaskState> task_states[] = {{"pulling", TaskState::fetching},
                                                             {"gathering", TaskState::waiting},
                                                             {"running", TaskState::running},
                                                             {"flushing", TaskState::saving},
                                                             {"ended", TaskState::exited}};
constexpr std::pair<const char*, ExitReason> reasons[] = {{"done", ExitReason::done},
                                                          {"halted", ExitReason::stopped},
                                                          {"mates_gone", ExitReason::peers_gone},
                                                          {"incomplete", ExitReason::incomplete},
                                                          {"error", ExitReason::error},
                                                          {"no_room", ExitReason::no_room},
                                                          {"busy", ExitReason::busy},
                                                          {"no_such", ExitReason::unknown_task}};
constexpr std::pair<const char*, ListedState> listed_states[] = {
    {"starting", ListedState::starting},
    {"running", ListedState::running},
    {"failed", ListedState::failed}};

// "req-000412/3"
std::optional<TaskId> read_task(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size() ||
        text.size() - slash > 8) {
        return std::nullopt;
    }
    TaskId id;
    id.uid = text.substr(0, slash);
    for (std::size_t i = slash + 1; i < text.size(); ++i) {
        if (text[i] < '0' || text[i] > '9') {
            return std::nullopt;
        }
        id.index = id.index * 10 + (text[i] - '0');
    }
    return id;
}

Json write_commands(const std::vector<Command>& commands) {
    Json list = Json::array();
    for (const auto& c : commands) {
        Json v = {{"hatchling", c.id.text()}, {"launch", c.attempt}};
        switch (c.kind) {
            case Command::Kind::start:
                v["call_kind"] = "run";
                break;
            case Command::Kind::stop:
                v["call_kind"] = "kill";
                v["settle_s"] = c.grace_s;
                break;
            case Command::Kind::forget:
                v["call_kind"] = "forget";
                break;
        }
        list.push_back(std::move(v));
    }
    return list;
}

std::optional<std::vector<Command>> read_commands(const Json& list) {
    std::vector<Command> commands;
    for (const auto& v : list) {
        Fields f(v);
        Command c;
        c.kind = f.choice<Command::Kind>("call_kind", {{"run", Command::Kind::start},
                                                       {"kill", Command::Kind::stop},
                                                       {"forget", Command::Kind::forget}});
        auto id = read_task(f.text("hatchling"));
        c.attempt = f.count("launch");
        c.grace_s = f.null("settle_s") ? 0 : f.amount("settle_s");
        if (!f.ok() || !id) {
            return std::nullopt;
        }
        c.id = *id;
        commands.push_back(c);
    }
    return commands;
}

std::string escape(const std::string& text) {
    static const char* hex = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += hex[c >> 4];
            out += hex[c & 15];
        }
    }
    return out;
}

}  // namespace

std::optional<Json> decode(const std::string& body) {
    Reader reader;
    if (!Json::sax_parse(body, &reader, Json::input_format_t::cbor)) {
        return std::nullopt;
    }
    return reader.take();
}

std::string encode(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

// --- users --------------------------------------------------------------------------------

bool valid_uid(const std::string& uid) {
    return uid.size() > 4 && uid.size() <= 32 && uid.compare(0, 4, "req-") == 0 &&
           std::all_of(uid.begin() + 4, uid.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::variant<JobSpec, Invalid> read_submission(const std::string& body) {
    auto value = decode(body);
    if (!value) {
        return Invalid{std::nullopt, "not CBOR"};
    }
    if (!value->is_object()) {
        return Invalid{std::nullopt, "not a map"};
    }
    Fields f(*value);
    JobSpec s;
    s.uid = f.text("uid");
    if (!f.ok() || !valid_uid(s.uid)) {
        return Invalid{std::nullopt, "field missing or invalid: uid"};
    }
    try {
        // Guards against text that is no UTF-8: no record could keep it.
        (void)value->dump();
    } catch (const Json::type_error&) {
        return Invalid{s.uid, "not UTF-8"};
    }
    s.job_class = f.text("flock");
    s.team = f.text("crew");
    s.kind = f.choice("gait", kinds);
    s.priority = f.choice("rank", priorities);
    s.tasks = static_cast<int>(f.count("hatchlings", 1, 100000));
    s.each.cpus = f.amount("cpus");
    s.each.gpus = f.amount("gpus");
    s.each.memory_gb = f.amount("mem_gb");
    s.image = f.text("plumage");
    s.image_gb = f.amount("size_gb");
    if (!f.null("breeds")) {
        s.types = f.texts("breeds");
    }
    if (!f.null("marsh")) {
        s.zone = f.text("marsh");
    }
    s.together = f.flag("together");
    s.spread = f.flag("spread");
    s.spot = f.flag("driftwood");
    s.estimate_s = f.amount("flight_s");
    s.checkpoint_s = f.amount("nestmark_s");
    s.save_s = f.amount("preen_s");
    s.deadline_s = f.amount_or_null("dusk_s");
    if (!f.null("follows")) {
        s.follows = f.texts("follows");
        if (!std::all_of(s.follows.begin(), s.follows.end(), valid_uid)) {
            f.fail("follows", 0);
        }
        std::sort(s.follows.begin(), s.follows.end());
        s.follows.erase(std::unique(s.follows.begin(), s.follows.end()), s.follows.end());
    }
    if (!f.ok()) {
        return Invalid{s.uid, f.error()};
    }
    return s;
}

std::string user_body(const UserReply& r) {
    Json v = Json::object();
    if (!r.uid.empty()) {
        v["uid"] = r.uid;
    }
    if (!r.state.empty()) {
        v["stance"] = r.state == "queued"      ? "pending"
                      : r.state == "cancelled" ? "withdrawn"
                                               : r.state;
    }
    if (r.counts) {
        v["done"] = r.counts->first;
        v["running"] = r.counts->second;
    }
    if (!r.error.empty()) {
        v["error"] = r.error;
    }
    return encode(v);
}

// --- workers ------------------------------------------------------------------------------

std::optional<Report> read_report(const Json& value) {
    Fields f(value);
    Report r;
    r.machine = f.text("roost");
    r.address = f.text("endpoint");
    r.type = f.text("breed");
    r.zone = f.text("marsh");
    r.spot = f.flag("driftwood");
    r.session = f.count("perch");
    r.seq = f.count("call_seq");
    r.token = f.count("crest");
    r.notice_s = f.amount_or_null("warning_s");
    if (!f.ok() || !value.contains("hatchlings") || !value.at("hatchlings").is_array()) {
        return std::nullopt;
    }
    for (const auto& v : value.at("hatchlings")) {
        Fields t(v);
        TaskStatus s;
        auto id = read_task(t.text("hatchling"));
        s.attempt = t.count("launch");
        s.state = t.choice("stance", task_states);
        if (!t.ok() || !id) {
            return std::nullopt;
        }
        s.id = *id;
        if (s.state == TaskState::exited) {
            Fields why(v);
            s.why = why.choice("cause", reasons);
            if (!why.ok()) {
                s.why = ExitReason::other;  // a cause that later versions may add
            }
        }
        s.saved = !t.null("saved") && t.flag("saved");
        r.tasks.push_back(std::move(s));
    }
    return r;
}

Json write_report(const Report& r) {
    Json tasks = Json::array();
    for (const auto& t : r.tasks) {
        Json v = {{"hatchling", t.id.text()}, {"launch", t.attempt}};
        for (const auto& [name, state] : task_states) {
            if (state == t.state) {
                v["stance"] = name;
            }
        }
        for (const auto& [name, why] : reasons) {
            if (why == t.why) {
                v["cause"] = name;
            }
        }
        if (t.saved) {
            v["saved"] = true;
        }
        tasks.push_back(std::move(v));
    }
    Json v = {{"roost", r.machine}, {"endpoint", r.address}, {"breed", r.type},
              {"marsh", r.zone},    {"driftwood", r.spot},   {"perch", r.session},
              {"call_seq", r.seq},  {"crest", r.token},      {"hatchlings", tasks}};
    v["warning_s"] = r.notice_s ? Json(*r.notice_s) : Json();
    return v;
}

std::string worker_body(const WorkerReply& r) {
    Json v = Json::object();
    if (r.status == 200) {
        v["crest"] = r.token;
        v["calls"] = write_commands(r.commands);
    } else if (!r.home.empty()) {
        v["home_roost"] = r.home;
    }
    return encode(v);
}

std::string orders_body(const OrderCall& call) {
    return encode(
        {{"crest", call.token}, {"perch", call.session}, {"calls", write_commands(call.commands)}});
}

// --- state service ------------------------------------------------------------------------

Request state_request(const StateCall& call) {
    switch (call.kind) {
        case StateCall::Kind::get:
            return {"GET", "/kv/" + escape(call.key), ""};
        case StateCall::Kind::list: {
            std::string target = "/kv?under=" + escape(call.key);
            if (!call.after.empty()) {
                target += "&from=" + escape(call.after);
            }
            return {"GET", target + "&most=" + std::to_string(constants::list_page), ""};
        }
        case StateCall::Kind::watch:
            return {"GET",
                    "/follow?under=" + escape(call.key) + "&from=" + std::to_string(call.since) +
                        "&hold_ms=" + std::to_string(constants::watch_hold_ms),
                    ""};
        case StateCall::Kind::grant:
            return {"POST", "/grants", encode({{"ttl_ms", constants::member_lease_ms}})};
        case StateCall::Kind::renew:
            return {"POST", "/grants/" + std::to_string(call.lease) + "/touch",
                    encode(Json::object())};
        case StateCall::Kind::txn:
            break;
    }
    Json conditions = Json::array();
    for (const auto& c : call.txn.conditions) {
        conditions.push_back({{"key", c.key}, {"ripple", c.revision}});
    }
    Json body = {{"if", conditions}};
    if (!call.txn.writes.empty()) {
        Json writes = Json::array();
        for (const auto& w : call.txn.writes) {
            Json v = Json::object();
            if (w.value) {
                v["put"] = w.key;
                v["value"] = *w.value;
                if (w.lease != 0) {
                    v["tether"] = w.lease;
                }
            } else {
                v["drop"] = w.key;
            }
            writes.push_back(std::move(v));
        }
        body["then"] = std::move(writes);
    }
    return {"POST", "/txn", encode(body)};
}

namespace {

// An answer that can't be read.
class Unreadable : public std::exception {};

// Guards against the conversion of numbers that no whole number can hold, which is undefined.
std::uint64_t whole(const Json& map, const char* key) {
    Fields f(map);
    auto n = f.count(key);
    if (!f.ok()) {
        throw Unreadable();
    }
    return n;
}

StateReply::Status state_status(int status) {
    switch (status) {
        case 200:
            return StateReply::Status::ok;
        case 409:
            return StateReply::Status::conflict;
        case 404:
            return StateReply::Status::not_found;
        case 410:
            return StateReply::Status::compacted;
        case 429:
        case 503:
            return StateReply::Status::refused;
        case 400:
            return StateReply::Status::bad;
        default:
            return StateReply::Status::unknown;
    }
}

void read_items(Json& v, StateReply& r) {
    r.more = v.at("has_next").get<bool>();
    for (auto& item : v.at("items")) {
        r.events.push_back({item.at("key").get<std::string>(), std::move(item.at("value")),
                            whole(item, "ripple")});
    }
}

void read_log(Json& v, StateReply& r) {
    for (auto& e : v.at("log")) {
        Event event;
        event.revision = whole(e, "ripple");
        if (e.contains("put")) {
            event.key = e.at("put").get<std::string>();
            event.value = std::move(e.at("value"));
        } else {
            event.key = e.at("drop").get<std::string>();
        }
        r.events.push_back(std::move(event));
    }
    std::stable_sort(r.events.begin(), r.events.end(),
                     [](const Event& a, const Event& b) { return a.revision < b.revision; });
}

}  // namespace

StateReply read_state_reply(const StateCall& call, int status, const std::string& body) {
    StateReply r;
    auto value = decode(body);
    Json v = value && value->is_object() ? std::move(*value) : Json::object();
    try {
        r.status = state_status(status);
        r.revision = v.contains("tide") ? whole(v, "tide") : 0;
        if (r.status == StateReply::Status::conflict) {
            r.failed = v.value("failed", std::vector<std::string>());
        }
        if (r.status != StateReply::Status::ok) {
            return r;
        }
        switch (call.kind) {
            case StateCall::Kind::get:
                r.value = std::move(v.at("value"));
                break;
            case StateCall::Kind::list:
                read_items(v, r);
                break;
            case StateCall::Kind::watch:
                read_log(v, r);
                break;
            case StateCall::Kind::grant:
                r.lease = whole(v, "tether");
                break;
            case StateCall::Kind::renew:
            case StateCall::Kind::txn:
                break;
        }
    } catch (const std::exception&) {
        r = {};  // an answer that can't be read says nothing about what was executed
    }
    return r;
}

// --- cloud --------------------------------------------------------------------------------

Request cloud_request(const CloudCall& call) {
    switch (call.kind) {
        case CloudCall::Kind::types:
            return {"GET", "/flavors", ""};
        case CloudCall::Kind::list: {
            std::string target = "/rentals?most=" + std::to_string(constants::machines_page);
            if (!call.after.empty()) {
                target += "&from=" + escape(call.after);
            }
            return {"GET", target, ""};
        }
        case CloudCall::Kind::release:
            return {"POST", "/rentals/release", encode({{"roosts", call.machines}})};
        case CloudCall::Kind::launch:
            break;
    }
    return {"POST", "/rentals",
            encode({{"loan", call.request},
                    {"breed", call.type},
                    {"marsh", call.zone},
                    {"driftwood", call.spot},
                    {"how_many", call.count}})};
}

CloudReply read_cloud_reply(const CloudCall& call, int status, const std::string& body) {
    CloudReply r;
    auto value = decode(body);
    Json v = value && value->is_object() ? std::move(*value) : Json::object();
    try {
        if (status == 503 && call.kind == CloudCall::Kind::launch &&
            v.value("error", "") == "no capacity") {
            r.status = CloudReply::Status::no_capacity;
            return r;
        }
        if (status != 200) {
            r.status = status == 400   ? CloudReply::Status::bad
                       : status == 429 ? CloudReply::Status::refused
                                       : CloudReply::Status::unknown;
            return r;
        }
        r.status = CloudReply::Status::ok;
        if (call.kind == CloudCall::Kind::types) {
            for (const auto& t : v.at("breeds")) {
                MachineType m;
                m.name = t.at("label").get<std::string>();
                m.size = {t.at("cpus").get<double>(), t.at("gpus").get<double>(),
                          t.at("mem_gb").get<double>()};
                m.cache_gb = t.value("local_gb", 0.0);
                m.fetch_gb_per_s = t.value("fetch_gb_per_s", 0.0);
                m.price = t.value("rate", 0.0);
                m.spot_price = t.value("spot_price", 0.0);
                m.boot_s = t.value("ready_s", 60.0);
                m.zones = t.at("marshes").get<std::vector<std::string>>();
                r.types.push_back(std::move(m));
            }
        } else if (call.kind == CloudCall::Kind::launch) {
            r.machines = v.at("roosts").get<std::vector<std::string>>();
        } else if (call.kind == CloudCall::Kind::list) {
            r.more = v.value("has_next", false);
            for (const auto& each : v.at("roosts")) {
                Fields f(each);
                ListedMachine m;
                m.name = f.text("uid");
                m.type = f.text("breed");
                m.zone = f.text("marsh");
                m.spot = f.flag("driftwood");
                m.state = f.choice("stance", listed_states);
                if (!f.ok()) {
                    continue;
                }
                m.address = each.contains("endpoint") && each.at("endpoint").is_string()
                                ? each.at("endpoint").get<std::string>()
                                : "";
                m.age_s = f.null("held_s") ? 0 : f.amount("held_s");
                r.listed.push_back(std::move(m));
            }
        }
    } catch (const Json::exception&) {
        r = {};
    }
    return r;
}

// --- peers --------------------------------------------------------------------------------

namespace {
const std::map<std::string, read_leases::Grant> grants = {{"none", read_leases::Grant::none},
                                                          {"blank", read_leases::Grant::blank},
                                                          {"full", read_leases::Grant::full}};

Json write_lease(const LeaseHeartbeat& lease) {
    const auto& w = lease.heartbeat;
    Json v = {{"boot", w.boot},
              {"beat", w.beat},
              {"heard_boot", w.heard_boot},
              {"heard_beat", w.heard_beat},
              {"wants", w.wants}};
    for (const auto& [name, grant] : grants) {
        if (grant == w.grant) {
            v["grant"] = name;
        }
    }
    for (const auto& c : lease.cancelled) {
        v["cancelled"].push_back({{"uid", c.uid}, {"wall", c.wall}});
    }
    return v;
}
}  // namespace

std::string peer_body(const std::string& from, const PeerCall& call) {
    Json v = {{"from", from}, {"state_contact", call.state_contact}};
    if (call.relay) {
        v["report"] = write_report(*call.relay);
    }
    for (const auto& r : call.launches) {
        v["rentals"].push_back({{"request", r.request},
                                {"type", r.type},
                                {"zone", r.zone},
                                {"spot", r.spot},
                                {"count", r.count},
                                {"open", r.open},
                                {"machines", r.machines}});
    }
    if (call.pressure) {
        v["pressure"] = {{"write_wait_s", call.pressure->write_wait_s},
                         {"writes", call.pressure->writes}};
    }
    if (call.lease) {
        v["lease"] = write_lease(*call.lease);
    }
    return encode(v);
}

namespace {
std::optional<LeaseHeartbeat> read_lease(const Json& value) {
    if (!value.is_object()) {
        return std::nullopt;
    }
    Fields f(value);
    LeaseHeartbeat lease;
    auto& w = lease.heartbeat;
    w.boot = f.text("boot");
    w.beat = f.count("beat");
    w.heard_boot = f.text("heard_boot", 200, 0);
    w.heard_beat = f.count("heard_beat");
    w.wants = f.flag("wants");
    auto grant = grants.find(f.text("grant"));
    if (!f.ok() || grant == grants.end()) {
        return std::nullopt;
    }
    w.grant = grant->second;
    if (f.null("cancelled")) {
        return lease;
    }
    const Json& list = value.at("cancelled");
    if (!list.is_array()) {
        return std::nullopt;
    }
    for (const auto& each : list) {
        Fields c(each);
        lease.cancelled.push_back({c.text("uid"), c.amount("wall", 0, 1e12)});
        if (!c.ok()) {
            return std::nullopt;
        }
    }
    return lease;
}

std::optional<std::vector<LaunchNotice>> read_launch_notices(const Json& list) {
    std::vector<LaunchNotice> notices;
    if (!list.is_array()) {
        return std::nullopt;
    }
    for (const auto& each : list) {
        Fields f(each);
        LaunchNotice r;
        r.request = f.text("request");
        r.type = f.text("type");
        r.zone = f.text("zone");
        r.spot = f.flag("spot");
        r.count = static_cast<int>(f.count("count", 1, constants::launch_machines_max));
        r.open = f.flag("open");
        r.machines = f.texts("machines");
        if (!f.ok()) {
            return std::nullopt;
        }
        notices.push_back(std::move(r));
    }
    return notices;
}
}  // namespace

std::optional<PeerMessage> read_peer(const std::string& body) {
    auto value = decode(body);
    if (!value || !value->is_object()) {
        return std::nullopt;
    }
    Fields f(*value);
    PeerMessage m;
    m.from = f.text("from");
    m.call.state_contact = f.flag("state_contact");
    if (!f.ok()) {
        return std::nullopt;
    }
    if (!f.null("report")) {
        m.call.relay = read_report(value->at("report"));
        if (!m.call.relay) {
            return std::nullopt;
        }
    }
    if (!f.null("rentals")) {
        auto notices = read_launch_notices(value->at("rentals"));
        if (!notices) {
            return std::nullopt;
        }
        m.call.launches = std::move(*notices);
    }
    if (!f.null("lease")) {
        m.call.lease = read_lease(value->at("lease"));
        if (!m.call.lease) {
            return std::nullopt;
        }
    }
    if (!f.null("pressure")) {
        Fields p(value->at("pressure"));
        m.call.pressure = {p.amount("write_wait_s"), p.amount("writes")};
        if (!p.ok()) {
            return std::nullopt;
        }
    }
    return m;
}

std::string peer_reply_body(const WorkerReply& r) {
    return encode({{"status", r.status},
                   {"token", r.token},
                   {"home", r.home},
                   {"commands", write_commands(r.commands)}});
}

std::optional<WorkerReply> read_peer_reply(const std::string& body) {
    auto value = decode(body);
    if (!value || !value->is_object() || !value->contains("commands")) {
        return std::nullopt;
    }
    Fields f(*value);
    WorkerReply r;
    r.status = static_cast<int>(f.count("status", 200, 599));
    r.token = f.count("token");
    r.home = f.null("home") ? "" : f.text("home", 200, 0);
    auto commands = read_commands(value->at("commands"));
    if (!f.ok() || !commands) {
        return std::nullopt;
    }
    r.commands = std::move(*commands);
    return r;
}

}  // namespace cranemoor::wire

#include "world.hpp"

#include <algorithm>

namespace cranemoor::test {

namespace {
constexpr double tick_s = 0.05;
MachineType type8() {
    return {"t8", {64, 8, 512}, 100, 1, 10, 3, 5, {"a", "b", "c"}};
}
bool present(const FakeTask& t) {
    return t.state != TaskState::exited && t.state != TaskState::fetching;
}
}  // namespace

World::World(int nodes, unsigned seed) : random_(seed) {
    tunables.headroom_machines = 0;
    settings.zones = {"a", "b", "c"};
    settings.clock_off_s = 0.25;
    settings.teams = {{"red", {0, 8, 0}, {0, 16, 0}}, {"blue", {0, 8, 0}, {0, 0, 0}}};
    settings.report_s = 3;
    settings.lease_s = 24;
    settings.gang_wait_s = 30;
    settings.gang_peer_s = 4;
    settings.cancel_s = 44;
    settings.state_rps = 200;
    settings.state_write_rps = 50;
    settings.state_value_kb = settings.state_value_kb_today = 8;
    settings.state_txn_ops = 12;
    settings.cloud_rps = 5;
    nodes_.resize(static_cast<std::size_t>(nodes));
}

void World::after(double s, std::function<void()> what) {
    queue_.push({now + s, ++order_, std::move(what)});
}

bool World::chance(double p) {
    return p > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

double World::delay() {
    double d = std::uniform_real_distribution<double>(0.001, 0.008)(random_);
    return chance(slow) ? d + std::uniform_real_distribution<double>(0.2, 6)(random_) : d;
}

void World::start_all() {
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        start(i);
    }
}

void World::start(int i) {
    Settings s = settings;
    s.name = "n" + std::to_string(i);
    s.zone = settings.zones[static_cast<std::size_t>(i) % settings.zones.size()];
    for (int k = 0; k < static_cast<int>(nodes_.size()); ++k) {
        if (k != i) {
            s.peers.push_back({"n" + std::to_string(k),
                               settings.zones[static_cast<std::size_t>(k) % settings.zones.size()],
                               ""});
        }
    }
    Node& n = nodes_[static_cast<std::size_t>(i)];
    n.generation++;
    n.core = std::make_unique<Controller>(s, tunables, fmt::format("boot{}-{}", i, n.generation));
    n.core->start(time());
    drain(i);
}

void World::kill(int i) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    n.core.reset();
    n.frozen = false;
    n.held.clear();
    std::erase_if(watches_, [&](const Watch& w) { return w.node == i; });
}

void World::to_node(int i, int generation, const std::function<void(Controller&)>& f) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (!n.core || n.generation != generation) {
        return;
    }
    if (n.frozen) {
        n.held.push_back(f);
        return;
    }
    f(*n.core);
    drain(i);
}

void World::freeze(int i) {
    nodes_[static_cast<std::size_t>(i)].frozen = true;
}

// What waited is handled in its order, before the first tick: all of it now.
void World::thaw(int i) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    n.frozen = false;
    for (const auto& f : std::exchange(n.held, {})) {
        to_node(i, n.generation, f);
    }
}

void World::heartbeat_of_version_before(int i) {
    PeerCall message;
    message.state_contact = true;
    for (int k = 0; k < static_cast<int>(nodes_.size()); ++k) {
        if (k != i) {
            to_node(k, nodes_[static_cast<std::size_t>(k)].generation, [=, this](Controller& c) {
                c.peer_message(time(), "n" + std::to_string(i), message);
            });
        }
    }
}

void World::drain(int i) {
    auto& core = nodes_[static_cast<std::size_t>(i)].core;
    while (core) {
        auto actions = core->take();
        if (actions.empty()) {
            return;
        }
        for (const auto& action : actions) {
            if (auto* s = std::get_if<StateCall>(&action)) {
                act(i, *s);
            } else if (auto* c = std::get_if<CloudCall>(&action)) {
                act(i, *c);
            } else if (auto* o = std::get_if<OrderCall>(&action)) {
                act(i, *o);
            } else if (auto* p = std::get_if<PeerCall>(&action)) {
                act(i, *p);
            } else if (auto* w = std::get_if<WorkerReply>(&action)) {
                act(i, *w);
            } else if (auto* u = std::get_if<UserReply>(&action)) {
                user_reply(i, *u);
            } else if (auto* l = std::get_if<LogLine>(&action)) {
                log.push_back(fmt::format("{:.3f} n{} {}", now, i, l->text));
            }
        }
    }
}

void World::user_reply(int i, const UserReply& u) {
    replies_[u.request] = u;
    log.push_back(fmt::format("{:.3f} n{} reply {} to {}: {} {} {}", now, i, u.request, u.uid,
                              u.status, u.state, u.error));
    if (auto rule = history_.answered(u, now); !rule.empty()) {
        broken.push_back(rule);
    }
    if (u.state == "done") {
        auto spec = specs_.find(u.uid);
        if (spec == specs_.end() ||
            static_cast<int>(done_tasks_[u.uid].size()) < spec->second.tasks) {
            broken.push_back("not_done: " + u.uid);
        }
    } else if (u.state == "cancelled") {
        cancelled_.try_emplace(u.uid, now);
        if (!needs(u.uid, [&](const auto& x) { return asked_cancel_.count(x) != 0; })) {
            broken.push_back("went_back (nobody cancelled it): " + u.uid);
        }
    } else if (!u.state.empty() && needs(u.uid, [&](const auto& x) {
                   auto c = cancelled_.find(x);
                   return c != cancelled_.end() && now > c->second + settings.cancel_s;
               })) {
        broken.push_back("orphaned: " + u.uid);
    }
    if ((u.status == 200 || u.status == 201) && specs_.count(u.uid) == 0) {
        broken.push_back("invented: " + u.uid);
    }
    bool looked = looks_.count(u.request) != 0 || specs_.count(u.uid) == 0;
    if (close_looks && !u.state.empty() && !looked) {
        look_closely(u.uid);
    }
}

void World::look_closely(const std::string& uid) {
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        for (int k = 0; k < 3; ++k) {
            after(delay(), [=, this] {
                // After ask() and before the answer, which may come at once.
                looks_.insert(next_request_ + 1);
                if (k < 2) {
                    poll(i, uid);
                } else {
                    submit(i, specs_.at(uid));
                }
            });
        }
    }
}

// --- state service

bool World::accepted(const std::string& uid) const {
    if (stored("c/j/" + uid) != nullptr) {
        return true;
    }
    return std::any_of(kv_.begin(), kv_.end(), [&](const auto& item) {
        if (item.first.compare(0, 4, "c/a/") != 0) {
            return false;
        }
        const auto& jobs = item.second.value.at("jobs");
        return std::any_of(jobs.begin(), jobs.end(),
                           [&](const Json& job) { return job.at("uid") == uid; });
    });
}

bool World::finished(const std::string& uid) const {
    const Json* block = stored("c/b/" + uid + "/0");
    return stored("f/" + uid) != nullptr || (block != nullptr && block->contains("final"));
}

const Json* World::stored(const std::string& key) const {
    auto it = kv_.find(key);
    return it == kv_.end() ? nullptr : &it->second.value;
}

std::vector<std::string> World::keys(const std::string& prefix) const {
    std::vector<std::string> list;
    for (const auto& [key, s] : kv_) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            list.push_back(key);
        }
    }
    return list;
}

void World::store(const std::string& key, const Json& value) {
    ++tide_;
    kv_[key] = {value, tide_, 0};
    changed(key, value);
}

void World::set_table(bool shared, const std::vector<int>& weights) {
    const Json* old = stored("c/t");
    const Json* epoch = stored("c/epoch");
    Json parts = Json::object();
    std::size_t i = 0;
    for (const auto& m : epoch != nullptr ? epoch->at("members") : Json::array()) {
        int weight = i < weights.size() ? weights[i] : 1;
        parts[std::to_string(m.at("id").get<std::uint64_t>())] = {{"weight", weight}};
        ++i;
    }
    std::uint64_t number = old != nullptr ? old->at("number").get<std::uint64_t>() + 1 : 1;
    store("c/t", {{"number", number}, {"shared", shared}, {"parts", parts}});
}

void World::drop(const std::string& key) {
    if (kv_.erase(key) != 0) {
        ++tide_;
        changed(key, std::nullopt);
    }
}

void World::changed(const std::string& key, const std::optional<Json>& value) {
    events_.push_back({key, value, tide_});
    writes[key.substr(0, key.find('/', 2))]++;
}

StateReply World::execute(const StateCall& call) {
    StateReply r;
    if (call.kind == StateCall::Kind::txn && refuse_txn && refuse_txn(call.txn)) {
        r.status = StateReply::Status::refused;
        return r;
    }
    r.status = StateReply::Status::ok;
    switch (call.kind) {
        case StateCall::Kind::grant:
            r.lease = ++next_lease_;
            leases_[r.lease] = now + constants::member_lease_ms / 1000.0;
            return r;
        case StateCall::Kind::renew:
            if (leases_.count(call.lease) == 0) {
                r.status = StateReply::Status::not_found;
            } else {
                leases_[call.lease] = now + constants::member_lease_ms / 1000.0;
            }
            return r;
        case StateCall::Kind::get: {
            auto it = kv_.find(call.key);
            r.revision = tide_;
            if (it == kv_.end()) {
                r.status = StateReply::Status::not_found;
            } else {
                r.value = it->second.value;
            }
            return r;
        }
        case StateCall::Kind::list: {
            r.revision = tide_;
            for (auto it = kv_.upper_bound(std::max(call.key, call.after)); it != kv_.end(); ++it) {
                if (it->first.compare(0, call.key.size(), call.key) != 0) {
                    break;
                }
                if (r.events.size() == 20) {  // small pages, so that stories see several
                    r.more = true;
                    break;
                }
                r.events.push_back({it->first, it->second.value, it->second.revision});
            }
            return r;
        }
        default:
            break;
    }
    ++transactions;
    auto ops = static_cast<std::size_t>(txn_ops.value_or(settings.state_txn_ops));
    if (call.txn.writes.size() > ops || call.txn.conditions.size() > 4 * ops) {
        broken.push_back("transaction too large");
        r.status = StateReply::Status::bad;
        return r;
    }
    for (const auto& w : call.txn.writes) {
        if (w.value && static_cast<double>(w.value->dump().size()) >
                           value_kb.value_or(settings.state_value_kb_today) * 1024) {
            broken.push_back("value too large: " + w.key);
            r.status = StateReply::Status::bad;
            return r;
        }
        if (w.lease != 0 && leases_.count(w.lease) == 0) {
            r.status = StateReply::Status::bad;
            return r;
        }
    }
    for (const auto& c : call.txn.conditions) {
        auto it = kv_.find(c.key);
        if ((it == kv_.end() ? 0 : it->second.revision) != c.revision) {
            r.failed.push_back(c.key);
        }
    }
    if (!r.failed.empty()) {
        r.status = StateReply::Status::conflict;
        r.revision = tide_;
        refused_txns.push_back(call.txn);
        return r;
    }
    if (!call.txn.writes.empty()) {
        ++tide_;
    }
    for (const auto& w : call.txn.writes) {
        if (w.value) {
            kv_[w.key] = {*w.value, tide_, w.lease};
        } else {
            kv_.erase(w.key);
        }
        changed(w.key, w.value);
    }
    r.revision = tide_;
    return r;
}

void World::act(int i, const StateCall& call) {
    int generation = nodes_[static_cast<std::size_t>(i)].generation;
    if (call.kind == StateCall::Kind::watch) {
        watches_.push_back({i, generation, call.id, call.since, now + 8});
        return;
    }
    bool txn = call.kind == StateCall::Kind::txn;
    double held = txn && hold_txn ? hold_txn(call.txn) : 0;
    bool late = held > 0 || (txn && chance(late_txn));
    double answer_s = txn && late_answer ? late_answer(call.txn) : 0;
    bool lost = late || chance(lost_answers) || answer_s >= constants::state_timeout_s;
    // Late ones follow newer ones of the same node.
    double wait = held > 0 ? held
                  : late   ? std::uniform_real_distribution<double>(2, 12)(random_)
                           : delay() + (txn && slow_txn ? slow_txn(call.txn) : 0);
    after(wait, [=, this] {
        StateReply reply;
        if (state_down || state_refused.count(i) != 0) {
            reply.status = StateReply::Status::refused;
        } else {
            reply = execute(call);
        }
        if (!lost) {
            after(state_answer_s + answer_s + delay(), [=, this] {
                to_node(i, generation,
                        [=, this](Controller& c) { c.state_reply(time(), call.id, reply); });
            });
        }
    });
    if (lost) {
        after(2, [=, this] {
            to_node(i, generation,
                    [=, this](Controller& c) { c.state_reply(time(), call.id, StateReply{}); });
        });
    }
}

void World::serve_watches() {
    if (state_down) {
        return;
    }
    auto open = std::exchange(watches_, {});
    for (auto& w : open) {
        std::vector<Event> news;
        for (const auto& e : events_) {
            if (e.revision > w.since && e.key.compare(0, 2, "c/") == 0) {
                news.push_back(e);
            }
        }
        if (w.since < forgotten_ && state_refused.count(w.node) == 0) {
            after(delay(), [this, w] {
                StateReply r;
                r.status = StateReply::Status::compacted;
                to_node(w.node, w.generation,
                        [=, this](Controller& c) { c.state_reply(time(), w.id, r); });
            });
            continue;
        }
        w.dead = w.dead || state_refused.count(w.node) != 0;
        if (state_refused.count(w.node) != 0 || (now < w.until && (news.empty() || w.dead))) {
            watches_.push_back(w);
            continue;
        }
        StateReply r;
        r.status = StateReply::Status::ok;
        r.revision = tide_;
        r.events = std::move(news);
        after(state_answer_s + delay(), [this, w, r] {
            to_node(w.node, w.generation,
                    [=, this](Controller& c) { c.state_reply(time(), w.id, r); });
        });
    }
}

void World::expire_leases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (state_down) {
            it->second = now + constants::member_lease_ms / 1000.0;
        }
        if (it->second > now) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, s] : kv_) {
            if (s.lease == it->first) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            drop(key);
        }
        it = leases_.erase(it);
    }
}

// --- cloud

CloudReply World::cloud(const CloudCall& call) {
    CloudReply r;
    r.status = CloudReply::Status::ok;
    switch (call.kind) {
        case CloudCall::Kind::types:
            r.types = {type8()};
            break;
        case CloudCall::Kind::list:
            for (auto& [name, m] : machines) {
                if (!m.deleted && name > call.after && now - m.made >= list_lag_s) {
                    m.info.state = now >= m.up_at ? ListedState::running : ListedState::starting;
                    r.listed.push_back(m.info);
                }
            }
            break;
        case CloudCall::Kind::release:
            for (const auto& name : call.machines) {
                auto it = machines.find(name);
                if (it != machines.end()) {
                    it->second.deleted = true;
                    it->second.tasks.clear();
                }
            }
            break;
        case CloudCall::Kind::rent: {
            auto& names = rented_[call.request];
            if (names.empty()) {
                int count = std::min(call.count, capacity - machines_up());
                if (count <= 0) {
                    r.status = CloudReply::Status::no_capacity;
                    return r;
                }
                ++rentals;
                machines_rented += count;
                for (int k = 0; k < count; ++k) {
                    std::string name = fmt::format("vm-{:06}", ++next_machine_);
                    add_machine(name, call.zone, call.spot).up_at = now + boot_s;
                    names.push_back(name);
                }
            }
            r.machines = names;
            break;
        }
    }
    return r;
}

void World::act(int i, const CloudCall& call) {
    int generation = nodes_[static_cast<std::size_t>(i)].generation;
    after(0.1 + delay(), [=, this] {
        CloudReply reply;
        if (!cloud_down) {
            reply = cloud(call);
        }
        if (chance(lost_answers)) {
            reply = {};
        }
        double held = call.kind == CloudCall::Kind::rent ? rental_answer_s : 0;
        after(held + delay(), [=, this] {
            to_node(i, generation,
                    [=, this](Controller& c) { c.cloud_reply(time(), call.id, reply); });
        });
    });
}

FakeMachine& World::add_machine(const std::string& name, const std::string& zone, bool spot) {
    FakeMachine& m = machines[name];
    m.info = {name, name, "t8", zone, spot, ListedState::starting, 0};
    m.made = now;
    m.up_at = now;
    m.lease_from = now;
    return m;
}

int World::machines_up() const {
    return static_cast<int>(std::count_if(machines.begin(), machines.end(),
                                          [](const auto& m) { return !m.second.deleted; }));
}

// --- workers

Heartbeat World::make_report(FakeMachine& m) {
    Heartbeat r{m.info.name, m.info.name, "t8",    m.info.zone, m.info.spot,
                m.session,   ++m.seq,     m.token, m.notice_s,  {}};
    for (const auto& [id, attempts] : m.tasks) {
        for (const auto& [attempt, t] : attempts) {
            r.tasks.push_back({id, attempt, t.state, t.why, t.saved});
        }
    }
    return r;
}

void World::check_start(const FakeMachine& m, const TaskId& id) {
    const JobSpec& s = specs_[id.uid];
    int same_zone = 0;
    Resources used;
    for (const auto& [name, other] : machines) {
        for (const auto& [tid, attempts] : other.tasks) {
            for (const auto& [attempt, t] : attempts) {
                bool self = name == m.info.name && tid == id;
                if (t.state == TaskState::exited) {
                    continue;
                }
                if (specs_[tid.uid].team == s.team) {
                    used += specs_[tid.uid].each;
                }
                if (self) {
                    same_zone += 1;
                    continue;
                }
                if (tid == id) {
                    broken.push_back("ran_twice: " + id.text());
                }
                if (tid.uid == id.uid) {
                    same_zone += other.info.zone == m.info.zone ? 1 : 0;
                    if (s.together && other.info.zone != m.info.zone) {
                        broken.push_back("wrong_place (together): " + id.text());
                    }
                }
            }
        }
    }
    for (const auto& team : settings.teams) {
        if (team.name == s.team && team.limit.gpus > 0 && used.gpus > team.limit.gpus + 1e-6) {
            broken.push_back("quota: " + s.team);
        }
    }
    if (s.spread && same_zone > (s.tasks + 1) / 2) {
        broken.push_back("wrong_place (spread): " + id.text());
    }
    if ((s.zone && *s.zone != m.info.zone) || (m.info.spot && !s.spot)) {
        broken.push_back("wrong_place: " + id.text());
    }
    for (const auto& other : s.follows) {
        if (static_cast<int>(done_tasks_[other].size()) < specs_[other].tasks) {
            broken.push_back("too_early: " + id.text());
        }
    }
    auto c = cancelled_.find(id.uid);
    if (c != cancelled_.end() && now > c->second + settings.cancel_s) {
        broken.push_back("ran_cancelled: " + id.text());
    }
}

void World::execute(FakeMachine& m, const Command& c) {
    if (on_command) {
        on_command(m.info.name, c);
    }
    auto& attempts = m.tasks[c.id];
    auto it = attempts.find(c.attempt);
    if (c.kind == Command::Kind::forget) {
        if (it != attempts.end() && it->second.state == TaskState::exited) {
            attempts.erase(it);
        }
    } else if (c.kind == Command::Kind::stop) {
        const JobSpec& s = specs_[c.id.uid];
        bool together = s.kind == JobKind::gang && s.tasks > 1 && s.checkpoint_s > 0;
        bool live = it != attempts.end() && it->second.state != TaskState::exited;
        if (live && together && c.grace_s >= s.save_s && c.grace_s > 0 &&
            (it->second.state == TaskState::running || it->second.state == TaskState::saving)) {
            it->second.state = TaskState::saving;
            it->second.told_at = std::min(it->second.told_at, now);
        } else if (live) {
            it->second.state = TaskState::exited;
            it->second.why = ExitReason::stopped;
            it->second.saved = c.grace_s > 0;
        }
    } else if (it == attempts.end()) {
        bool live = std::any_of(attempts.begin(), attempts.end(),
                                [](const auto& a) { return a.second.state != TaskState::exited; });
        Resources left = type8().size;
        for (const auto& [id, others] : m.tasks) {
            for (const auto& [a, t] : others) {
                if (t.state != TaskState::exited) {
                    left -= specs_[id.uid].each;
                }
            }
        }
        FakeTask t;
        t.attempt = c.attempt;
        if (specs_.count(c.id.uid) == 0) {
            t.state = TaskState::exited;
            t.why = ExitReason::unknown_task;
        } else if (live) {
            t.state = TaskState::exited;
            t.why = ExitReason::busy;
        } else if (!specs_[c.id.uid].each.fits_in(left)) {
            t.state = TaskState::exited;
            t.why = ExitReason::no_room;
        } else {
            const auto& image = specs_[c.id.uid].image;
            t.ready_at = now + (m.images.count(image) != 0 ? 0.01 : fetch_s);
        }
        attempts[c.attempt] = t;
        if (t.state != TaskState::exited) {
            check_start(m, c.id);
        }
    }
    if (attempts.empty()) {
        m.tasks.erase(c.id);
    }
    m.next_report = std::min(m.next_report, std::max(now, m.sent_at + 0.5));
}

void World::send_report(FakeMachine& m) {
    m.in_flight = true;
    m.sent_at = now;
    m.next_report = now + settings.report_s;
    Heartbeat r = make_report(m);
    std::size_t target = m.target;
    int generation = nodes_[target].generation;
    bool lost = m.zone_cut || m.mute || (m.only >= 0 && m.only != static_cast<int>(target)) ||
                workers_cut.count(static_cast<int>(target)) != 0 || !nodes_[target].core;
    std::string name = m.info.name;
    std::uint64_t session = m.session;
    double sent = now;
    if (!lost && chance(late_report)) {
        report_again(target, r);
    }
    if (!lost && chance(keep_report)) {
        kept_.push_back(r);
    }
    if (!lost) {
        after(delay(), [=, this] {
            to_node(static_cast<int>(target), generation, [=, this](Controller& c) {
                std::uint64_t request = ++next_request_;
                worker_done_[request] = [=, this](const WorkerReply& reply) {
                    after(delay(), [=, this] { got_reply(name, session, sent, target, reply); });
                };
                c.report(time(), request, r, false);
            });
        });
    }
    after(lost ? 1 : 4, [this, name, sent] {
        auto it = machines.find(name);
        if (it != machines.end() && it->second.in_flight && it->second.sent_at == sent) {
            it->second.in_flight = false;
            it->second.target = (it->second.target + 1) % nodes_.size();
            it->second.next_report = now + 1;
        }
    });
}

// A copy of it comes from 2 s to well over a lease later, to whatever process runs there then.
void World::report_again(std::size_t target, const Heartbeat& report) {
    std::uniform_real_distribution<double> late(2, 1.5 * settings.lease_s);
    after(late(random_), [=, this] {
        to_node(static_cast<int>(target), nodes_[target].generation, [=, this](Controller& c) {
            c.report(time(), ++next_request_, report, false);  // nobody waits for its answer
        });
    });
}

void World::deliver_kept() {
    for (const auto& report : std::exchange(kept_, {})) {
        for (auto& n : nodes_) {
            to_node(static_cast<int>(&n - nodes_.data()), n.generation, [=, this](Controller& c) {
                c.report(time(), ++next_request_, report, false);  // nobody waits for its answer
            });
        }
    }
}

void World::got_reply(const std::string& name, std::uint64_t session, double sent,
                      std::size_t target, const WorkerReply& reply) {
    auto it = machines.find(name);
    if (it == machines.end() || it->second.deleted || it->second.sent_at != sent ||
        !it->second.in_flight || it->second.zone_cut || it->second.deaf || it->second.mute) {
        return;
    }
    FakeMachine& m = it->second;
    m.in_flight = false;
    if (reply.status != 200) {
        std::size_t next = (target + 1) % nodes_.size();
        double pause = 1;
        if (reply.status == 421 && !reply.home.empty() &&
            reply.home != "n" + std::to_string(target)) {
            next = static_cast<std::size_t>(std::stoi(reply.home.substr(1)));
            pause = 0.2;
        }
        m.target = next;
        m.next_report = now + pause;
        return;
    }
    if (reply.token < m.token || session != m.session || m.hangs) {
        return;
    }
    if (reply.token > m.token) {
        m.token = reply.token;
        m.next_report = std::min(m.next_report, sent + 0.5);
    }
    m.lease_from = sent;
    for (const auto& c : reply.commands) {
        execute(m, c);
    }
}

// Gangs complete together: when one task is done, all are.
void World::complete_gang(const std::string& uid, std::uint64_t attempt) {
    for (int t = 0; t < specs_[uid].tasks; ++t) {
        done_tasks_[uid].insert(t);
    }
    for (auto& [name, m] : machines) {
        for (auto& [id, attempts] : m.tasks) {
            auto a = attempts.find(attempt);
            if (id.uid == uid && a != attempts.end() && present(a->second)) {
                a->second.state = TaskState::exited;
                a->second.why = ExitReason::done;
                m.next_report = std::min(m.next_report, now + 0.5);
            }
        }
    }
}

// A gang's tasks save together: all must be told within gang_peer_s of the first.
void World::save_gang(const std::string& uid, std::uint64_t attempt, FakeTask& t) const {
    int told = 0;
    double first = 1e18;
    for (const auto& [name, m] : machines) {
        for (const auto& [id, attempts] : m.tasks) {
            auto a = attempts.find(attempt);
            if (id.uid == uid && a != attempts.end()) {
                told += a->second.told_at < 1e17 ? 1 : 0;
                first = std::min(first, a->second.told_at);
            }
        }
    }
    const JobSpec& s = specs_.at(uid);
    if (now >= first + settings.gang_peer_s && told < s.tasks) {
        t.state = TaskState::exited;
        t.why = ExitReason::peers_gone;
    } else if (now >= t.told_at + s.save_s && told == s.tasks) {
        t.state = TaskState::exited;
        t.why = ExitReason::stopped;
        t.saved = true;
    }
}

void World::step_worker(FakeMachine& m) {
    if (m.deleted || m.hangs || now < m.up_at) {
        return;
    }
    for (const auto& command : std::exchange(m.held, {})) {
        command();  // as long as token and session match, however late
    }
    if (now - m.lease_from > settings.lease_s) {
        m.tasks.clear();
        m.session++;
        m.lease_from = now;
        m.next_report = now;
    }
    bool change = false;
    for (auto& [id, attempts] : m.tasks) {
        for (auto& [attempt, t] : attempts) {
            const JobSpec& s = specs_[id.uid];
            auto before = t.state;
            if (t.state == TaskState::fetching && now >= t.ready_at) {
                m.images.insert(s.image);
                if (m.fails_tasks || mistaken.count(id.uid) != 0) {
                    t.state = TaskState::exited;
                    t.why = ExitReason::error;
                } else if (done_tasks_[id.uid].count(id.index) != 0) {
                    t.state = TaskState::exited;
                    t.why = ExitReason::done;
                } else {
                    t.state = s.kind == JobKind::gang && s.tasks > 1 ? TaskState::waiting
                                                                     : TaskState::running;
                    t.ends_at = s.kind == JobKind::service ? 1e18 : now + run_s;
                }
            }
            if (t.state == TaskState::waiting) {
                int mates = 0;
                for (const auto& [name, other] : machines) {
                    for (const auto& [tid, list] : other.tasks) {
                        auto a = list.find(attempt);
                        mates += tid.uid == id.uid && a != list.end() && present(a->second) ? 1 : 0;
                    }
                }
                if (mates == s.tasks) {
                    t.state = TaskState::running;
                    t.ends_at = now + run_s;
                } else if (now > t.ready_at + settings.gang_wait_s) {
                    t.state = TaskState::exited;
                    t.why = ExitReason::incomplete;
                }
            }
            if (t.state == TaskState::saving) {
                save_gang(id.uid, attempt, t);
                if (t.saved) {
                    saved.insert(id.uid);
                }
            }
            if (t.state == TaskState::running && now >= t.ends_at) {
                t.state = TaskState::exited;
                t.why = ExitReason::done;
                done_tasks_[id.uid].insert(id.index);
                if (s.kind == JobKind::gang) {
                    complete_gang(id.uid, attempt);
                }
            }
            change = change || before != t.state;
        }
    }
    if (change) {
        m.next_report = std::min(m.next_report, std::max(now, m.sent_at + 0.5));
    }
    if (!m.in_flight && now >= m.next_report) {
        send_report(m);
    }
}

void World::act(int i, const OrderCall& call) {
    int generation = nodes_[static_cast<std::size_t>(i)].generation;
    after(delay(), [=, this] {
        OrderReply reply;
        auto it = machines.find(call.address);
        bool way = it != machines.end() && !it->second.deleted && !it->second.zone_cut &&
                   !it->second.deaf && now >= it->second.up_at &&
                   (it->second.only < 0 || it->second.only == i) && workers_cut.count(i) == 0;
        bool reach = way && !it->second.hangs;
        auto carry_out = [this, call, name = call.address] {
            FakeMachine& m = machines[name];
            if (call.agent_epoch == 0 || call.token < m.token || call.agent_epoch != m.session) {
                return false;
            }
            m.token = call.token;
            for (const auto& c : call.commands) {
                execute(m, c);
            }
            return true;
        };
        if (reach) {
            reply.answered = true;
            reply.executed = carry_out();
            reply.heartbeat = make_report(it->second);
        } else if (way) {
            it->second.held.emplace_back(carry_out);
        }
        after(reach ? delay() : 2, [=, this] {
            to_node(i, generation,
                    [=, this](Controller& c) { c.order_reply(time(), call.id, reply); });
        });
    });
}

void World::act(int i, const PeerCall& call) {
    int generation = nodes_[static_cast<std::size_t>(i)].generation;
    int to = std::stoi(call.peer.substr(1));
    if (peers_cut.count({std::min(i, to), std::max(i, to)}) != 0 || !alive(to)) {
        after(1, [=, this] {
            to_node(i, generation, [=, this](Controller& c) {
                c.peer_reply(time(), call.id, false, std::nullopt);
            });
        });
        return;
    }
    int other = nodes_[static_cast<std::size_t>(to)].generation;
    after(delay(), [=, this] {
        to_node(to, other, [=, this](Controller& c) {
            PeerCall message = call;
            if (version_before.count(i) != 0) {
                message.lease.reset();
            }
            c.peer_message(time(), "n" + std::to_string(i), message);
            if (call.relay) {
                std::uint64_t request = ++next_request_;
                worker_done_[request] = [=, this](const WorkerReply& reply) {
                    after(delay(), [=, this] {
                        to_node(i, generation, [=, this](Controller& back) {
                            back.peer_reply(time(), call.id, true, reply);
                        });
                    });
                };
                c.report(time(), request, *call.relay, true);
            }
        });
    });
}

void World::act(int /*node*/, const WorkerReply& reply) {
    auto it = worker_done_.find(reply.request);
    if (it != worker_done_.end()) {
        auto done = std::move(it->second);
        worker_done_.erase(it);
        done(reply);
    }
}

WorkerReply World::report(int i, const Heartbeat& r) {
    std::uint64_t request = ++next_request_;
    auto got = std::make_shared<std::optional<WorkerReply>>();
    worker_done_[request] = [got](const WorkerReply& reply) { *got = reply; };
    to_node(i, nodes_[static_cast<std::size_t>(i)].generation,
            [=, this](Controller& c) { c.report(time(), request, r, false); });
    until([&] { return got->has_value(); }, 5);
    return got->value_or(WorkerReply{});
}

// --- users

JobSpec World::job(int number, JobKind kind, int tasks) const {
    JobSpec s;
    s.uid = fmt::format("req-{:06}", number);
    s.job_class = "c";
    s.team = "blue";
    s.kind = kind;
    s.tasks = tasks;
    s.each = {4, 1, 16};
    s.image = "img-01";
    s.image_gb = 1;
    s.estimate_s = run_s;
    return s;
}

// Whether it holds of a job or of any that it needs.
bool World::needs(const std::string& uid,
                  const std::function<bool(const std::string&)>& what) const {
    auto spec = specs_.find(uid);
    return what(uid) || (spec != specs_.end() &&
                         std::any_of(spec->second.follows.begin(), spec->second.follows.end(),
                                     [&](const auto& other) { return needs(other, what); }));
}

// What users had been told when they asked: only an answer older than that breaks a rule.
std::uint64_t World::ask(const std::string& uid) {
    std::uint64_t request = ++next_request_;
    history_.asked(request, uid, now);
    return request;
}

std::uint64_t World::submit(int i, const JobSpec& spec) {
    specs_.try_emplace(spec.uid, spec);
    std::uint64_t request = ask(spec.uid);
    to_node(i, nodes_[static_cast<std::size_t>(i)].generation,
            [=, this](Controller& c) { c.submit(time(), request, spec); });
    return request;
}

std::uint64_t World::submit_malformed(int i, const std::string& uid) {
    std::uint64_t request = ask(uid);
    to_node(i, nodes_[static_cast<std::size_t>(i)].generation,
            [=, this](Controller& c) { c.invalid(time(), request, uid, "tasks: missing"); });
    return request;
}

std::uint64_t World::poll(int i, const std::string& uid) {
    std::uint64_t request = ask(uid);
    to_node(i, nodes_[static_cast<std::size_t>(i)].generation,
            [=, this](Controller& c) { c.poll(time(), request, uid); });
    return request;
}

std::uint64_t World::cancel(int i, const std::string& uid) {
    std::uint64_t request = ask(uid);
    asked_cancel_.insert(uid);
    to_node(i, nodes_[static_cast<std::size_t>(i)].generation,
            [=, this](Controller& c) { c.cancel(time(), request, uid); });
    return request;
}

UserReply World::answer(std::uint64_t request, double seconds) {
    until([&] { return replies_.count(request) != 0; }, seconds);
    auto it = replies_.find(request);
    UserReply none;
    none.status = 0;
    return it == replies_.end() ? none : it->second;
}

int World::running(const std::string& uid) const {
    return static_cast<int>(places(uid).size());
}

std::vector<std::string> World::places(const std::string& uid) const {
    std::vector<std::string> list;
    for (const auto& [name, m] : machines) {
        for (const auto& [id, attempts] : m.tasks) {
            for (const auto& [attempt, t] : attempts) {
                if (id.uid == uid && t.state == TaskState::running) {
                    list.push_back(name);
                }
            }
        }
    }
    return list;
}

bool World::all_members(std::size_t n) const {
    for (const auto& node : nodes_) {
        if (node.core && (!node.core->context().member ||
                          node.core->context().jobs.epoch()->members.size() != n)) {
            return false;
        }
    }
    return true;
}

void World::check() {
    for (const auto& [uid, at] : cancelled_) {
        if (now <= at + settings.cancel_s) {
            continue;
        }
        for (const auto& [name, m] : machines) {
            if (m.hangs && now - m.lease_from > settings.lease_s) {
                continue;  // whatever hangs there has ended with its lease
            }
            for (const auto& [id, attempts] : m.tasks) {
                for (const auto& [attempt, t] : attempts) {
                    if (id.uid == uid && t.state != TaskState::exited) {
                        broken.push_back("ran_cancelled: " + id.text());
                    }
                }
            }
        }
    }
}

void World::tick() {
    expire_leases();
    serve_watches();
    for (auto& [name, m] : machines) {
        step_worker(m);
    }
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
        const Node& n = nodes_[static_cast<std::size_t>(i)];
        if (!n.frozen) {
            to_node(i, n.generation, [&](Controller& c) { c.tick(time()); });
        }
    }
    check();
}

void World::run(double seconds) {
    until([] { return false; }, seconds);
}

bool World::until(const std::function<bool()>& holds, double seconds) {
    double end = now + seconds;
    double next_tick = now + tick_s;
    while (now < end) {
        if (holds()) {
            return true;
        }
        if (!queue_.empty() && queue_.top().at <= next_tick) {
            Item item = queue_.top();
            queue_.pop();
            now = std::max(now, item.at);
            item.what();
            serve_watches();
        } else {
            now = next_tick;
            next_tick += tick_s;
            tick();
        }
    }
    return holds();
}

}  // namespace cranemoor::test

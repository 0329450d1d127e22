#include "core/scheduling/pending_queue.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

namespace {
double part(double amount, double of) {
    return of > 0 ? amount / of : 0;
}
}  // namespace

bool PendingQueue::Earlier::operator()(const Waiting* a, const Waiting* b) const {
    // Of equals each member first takes those that are its own to place: members that claim
    // from the same job at once fail each other.
    bool a_home = a->turn == 0;
    bool b_home = b->turn == 0;
    if (a_home != b_home) {
        return a_home;
    }
    // Of those that came together, jobs with one image follow each other, so that they fill
    // the same machines: images fetched side by side share the rate, and all are late.
    double a_came = std::floor(a->came_wall / constants::together_s);
    double b_came = std::floor(b->came_wall / constants::together_s);
    return std::tie(a_came, a->image, a->came_wall, a->uid) <
           std::tie(b_came, b->image, b->came_wall, b->uid);
}

void PendingQueue::epoch_changed() {
    if (!current()) {
        return;
    }
    for (auto& [key, lane] : lanes_) {
        lane.clear();
    }
    for (auto& [uid, w] : waiting_) {
        w->turn = turn(*w->job);
        lanes_[{w->team, w->priority}].insert(w.get());
    }
}

void PendingQueue::records_changed(const std::set<std::string>& touched) {
    if (!current()) {
        if (ctx_.jobs.loaded()) {
            read_again();
        }
        return;
    }
    for (const auto& uid : touched) {
        const Job* job = ctx_.jobs.find(uid);
        bool open = job != nullptr && ctx_.jobs.open().count(job) != 0;
        auto old = waiting_.find(uid);
        if (!open) {
            remove(uid);
        } else if (old == waiting_.end()) {
            add(*job, ctx_.now.steady);
        } else if (old->second->priority != job->spec.priority || old->second->job != job) {
            double since = old->second->open_since;
            remove(uid);
            add(*job, since);
        } else {
            Waiting& w = *old->second;
            w.stuck_since = job->open() < w.open ? ctx_.now.steady : w.stuck_since;
            w.open = job->open();
        }
    }
}

// All records were read anew: what is known here names jobs of the copy before.
void PendingQueue::read_again() {
    loads_ = ctx_.jobs.loads();
    auto before = std::exchange(waiting_, {});
    lanes_.clear();
    for (const Job* job : ctx_.jobs.open()) {
        auto old = before.find(job->spec.uid);
        add(*job, old == before.end() ? ctx_.now.steady : old->second->open_since);
    }
}

void PendingQueue::remove(const std::string& uid) {
    auto it = waiting_.find(uid);
    if (it != waiting_.end()) {
        lanes_[{it->second->team, it->second->priority}].erase(it->second.get());
        waiting_.erase(it);
    }
}

void PendingQueue::add(const Job& job, double since) {
    auto w = std::make_unique<Waiting>();
    w->job = &job;
    w->uid = job.spec.uid;
    w->team = job.spec.team;
    w->job_class = job.spec.job_class;
    w->ahead = lack(w->team, w->job_class) > 0;
    w->priority = job.spec.priority;
    w->image = job.spec.image;
    w->came_wall = job.came_wall();
    w->open_since = since;
    w->open = job.open();
    w->stuck_since = since;
    w->turn = turn(job);
    w->demands = demands(job.spec);
    lanes_[{w->team, w->priority}].insert(w.get());
    waiting_[w->uid] = std::move(w);
}

// What decides whether a task fits a machine, apart from zone rules that depend on its job's
// other tasks, as a number: names would be compared over and over.
int PendingQueue::demands(const JobSpec& s) {
    auto text = fmt::format("{}|{}|{}|{}|{}|{}|{}", s.each.cpus, s.each.gpus, s.each.memory_gb,
                            s.spot, s.priority == Priority::best_effort, s.zone ? *s.zone : "",
                            s.types ? fmt::format("{}", fmt::join(*s.types, ",")) : "");
    return demands_.try_emplace(std::move(text), static_cast<int>(demands_.size())).first->second;
}

double PendingQueue::rarely(double most) const {
    return std::clamp(static_cast<double>(waiting_.size()) / constants::plan_jobs, 1.0, most);
}

bool PendingQueue::paused(const Waiting& w) const {
    return w.job->fails > 0 && ctx_.now.steady < job_failures_.pause_until(w.uid);
}

double PendingQueue::dominant(const Resources& amount) const {
    if (agents_.types().empty()) {
        return std::max(amount.gpus, amount.cpus);
    }
    const Resources& size = agents_.types().front().size;
    return std::max(part(amount.gpus, size.gpus), part(amount.cpus, size.cpus));
}

// A zone is drawn first, so that each zone's machines get their share whatever the number of
// members in it.
std::size_t PendingQueue::turn(const Job& job) const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch) {
        return 0;
    }
    auto draw = [&](const Member& m) {
        bool wanted = job.spec.zone && *job.spec.zone == m.zone;
        return std::make_tuple(wanted, stable_hash(job.spec.uid + "|" + m.zone),
                               stable_hash(job.spec.uid + "|" + m.name));
    };
    auto mine = draw(ctx_.self);
    return static_cast<std::size_t>(std::count_if(epoch->members.begin(), epoch->members.end(),
                                                  [&](const Member& m) { return draw(m) > mine; }));
}

// The settings carry no weights: a team weighs what it is guaranteed, else 1. Amounts are compared
// by the resource of which they take most: a team may use CPUs alone.
double PendingQueue::weight(const std::string& team) const {
    for (const auto& t : ctx_.settings.teams) {
        if (t.name == team && dominant(t.guarantee) > 0) {
            return dominant(t.guarantee);
        }
    }
    return 1.0;
}

// PendingQueue that have tasks to place, without jobs that are likely to fail again.
std::vector<admission::WaitingFlow> PendingQueue::waiting_flows() const {
    std::map<admission::FlowName, admission::WaitingFlow> flows;
    for (const auto& [uid, w] : waiting_) {
        if (w->job->doubtful()) {
            continue;
        }
        admission::WaitingFlow& f = flows[{w->team, w->job_class}];
        f.name = {w->team, w->job_class};
        f.best_effort = w->priority == Priority::best_effort;
        // A job of which some is placed now and then is served, however long the rest waits: one
        // huge array of a guest would else go before everybody's work.
        f.longest_wait_s = std::max(f.longest_wait_s, ctx_.now.steady - w->stuck_since);
    }
    std::vector<admission::WaitingFlow> list;
    list.reserve(flows.size());
    for (auto& [name, f] : flows) {
        f.team_weight = weight(name.first);
        f.was_below_min_share = lacks_.count(name) != 0;
        list.push_back(std::move(f));
    }
    return list;
}

// Guards against a class that waits for as long as others of its team, or of teams further below
// their guarantee, ask for all room there is: within a team priority alone would decide.
void PendingQueue::tick() {
    if (!current() || ctx_.now.steady < next_look_) {
        return;
    }
    next_look_ = ctx_.now.steady + constants::floors_every_s;
    auto flows = waiting_flows();
    bool late = std::any_of(flows.begin(), flows.end(), [](const auto& f) {
        return f.was_below_min_share || f.longest_wait_s >= constants::floor_after_s;
    });
    std::map<admission::FlowName, double> next;
    if (late) {
        std::map<admission::FlowName, double> holds;
        for (const auto& [uid, job] : ctx_.jobs.jobs()) {
            if (job.placed() > 0) {
                holds[{job.spec.team, job.spec.job_class}] +=
                    dominant(job.spec.each) * job.placed();
            }
        }
        for (auto& f : flows) {
            f.machines_held = holds[f.name];
        }
        auto up = std::count_if(agents_.all().begin(), agents_.all().end(),
                                [this](const Machine* m) { return agents_.in_use(*m); });
        next = admission::min_share_deficits(
            flows, static_cast<double>(up),
            {constants::floor_share, constants::floor_idle_share, constants::floor_after_s});
    }
    for (const auto& [name, lack] : next) {
        if (lacks_.count(name) == 0) {
            ctx_.info("flow {} of {}: {:.1f} machines below its floor, goes ahead", name.second,
                      name.first, lack);
        }
    }
    bool changed = !next.empty() || !lacks_.empty();
    lacks_ = std::move(next);
    for (auto& [uid, w] : waiting_) {
        if (!changed) {
            break;
        }
        w->ahead = lack(w->team, w->job_class) > 0;
    }
}

// Teams below their guarantee first, the furthest first, others by share over weight; idle work
// beyond a guarantee after everybody else's. In a team by priority.
std::vector<const PendingQueue::Lane*> PendingQueue::lanes(bool rush) const {
    struct Rank {
        bool leftover = false;
        bool above = true;
        bool later = false;  // than what must stay up
        double need = 0;     // the least goes first
        std::string team;
        Priority priority = Priority::normal;
        const Lane* lane = nullptr;
    };
    std::map<std::string, std::pair<bool, double>> teams;  // above its guarantee, need
    for (const auto& t : ctx_.settings.teams) {
        const Resources& used = ctx_.jobs.used(t.name);
        double deficit = std::max(t.guarantee.gpus > 0 ? 1 - part(used.gpus, t.guarantee.gpus) : 0,
                                  t.guarantee.cpus > 0 ? 1 - part(used.cpus, t.guarantee.cpus) : 0);
        bool below = deficit > Resources::slack;
        teams[t.name] = {!below, below ? -deficit : dominant(used) / weight(t.name)};
    }
    std::vector<Rank> ranks;
    if (!current()) {
        return {};
    }
    for (const auto& [key, lane] : lanes_) {
        if (lane.empty()) {
            continue;
        }
        Rank r;
        r.team = key.first;
        r.priority = key.second;
        r.lane = &lane;
        if (auto t = teams.find(r.team); t != teams.end()) {
            std::tie(r.above, r.need) = t->second;
        }
        r.leftover = r.priority == Priority::best_effort && r.above;
        r.later = rush && !r.above && r.priority != Priority::production;
        ranks.push_back(std::move(r));
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
        return std::tie(a.leftover, a.above, a.later, a.need, a.team, b.priority) <
               std::tie(b.leftover, b.above, b.later, b.need, b.team, a.priority);
    });
    std::vector<const Lane*> list;
    list.reserve(ranks.size());
    for (const auto& r : ranks) {
        list.push_back(r.lane);
    }
    return list;
}

}  // namespace cranemoor::core

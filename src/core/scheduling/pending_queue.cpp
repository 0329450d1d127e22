#include "core/scheduling/pending_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranemoor::core {

namespace {
double fraction(double amount, double total) {
    return total > 0 ? amount / total : 0;
}
}  // namespace

bool PendingQueue::Before::operator()(const PendingJob* a, const PendingJob* b) const {
    // Of equals each controller first takes those that it is the home of: controllers that claim
    // from the same job at once fail each other.
    bool a_home = a->shard_rank == 0;
    bool b_home = b->shard_rank == 0;
    if (a_home != b_home) {
        return a_home;
    }
    // Of those that came together, jobs with one image follow each other, so that they fill
    // the same machines: images fetched side by side share the rate, and all are late.
    double a_came = std::floor(a->ready_wall / constants::arrival_window_s);
    double b_came = std::floor(b->ready_wall / constants::arrival_window_s);
    return std::tie(a_came, a->image, a->ready_wall, a->uid) <
           std::tie(b_came, b->image, b->ready_wall, b->uid);
}

void PendingQueue::epoch_changed() {
    if (!is_current()) {
        return;
    }
    for (auto& [key, queue] : queues_) {
        queue.clear();
    }
    for (auto& [uid, pending] : pending_jobs_) {
        pending->shard_rank = shard_rank(*pending->job);
        queues_[{pending->team, pending->priority}].insert(pending.get());
    }
}

void PendingQueue::records_changed(const std::set<std::string>& touched) {
    if (!is_current()) {
        if (ctx_.jobs.loaded()) {
            rebuild();
        }
        return;
    }
    for (const auto& uid : touched) {
        update(uid);
    }
}

void PendingQueue::update(const std::string& uid) {
    const Job* job = ctx_.jobs.find(uid);
    bool is_open = job != nullptr && ctx_.jobs.open_jobs().contains(job);
    auto known = pending_jobs_.find(uid);
    if (!is_open) {
        remove(uid);
        return;
    }
    if (known == pending_jobs_.end()) {
        add(*job, ctx_.now.steady);
        return;
    }
    PendingJob& pending = *known->second;
    if (pending.priority != job->spec.priority || pending.job != job) {
        double pending_since = pending.pending_since;
        remove(uid);
        add(*job, pending_since);
        return;
    }
    if (job->open() < pending.open_tasks) {
        pending.last_progress_at = ctx_.now.steady;
    }
    pending.open_tasks = job->open();
}

// All records were read anew: what is known here names jobs of the replica before.
void PendingQueue::rebuild() {
    replica_loads_ = ctx_.jobs.load_count();
    auto before = std::exchange(pending_jobs_, {});
    queues_.clear();
    for (const Job* job : ctx_.jobs.open_jobs()) {
        auto known = before.find(job->spec.uid);
        add(*job, known == before.end() ? ctx_.now.steady : known->second->pending_since);
    }
}

void PendingQueue::remove(const std::string& uid) {
    auto found = pending_jobs_.find(uid);
    if (found != pending_jobs_.end()) {
        PendingJob& pending = *found->second;
        queues_[{pending.team, pending.priority}].erase(&pending);
        pending_jobs_.erase(found);
    }
}

void PendingQueue::add(const Job& job, double pending_since) {
    auto pending = std::make_unique<PendingJob>();
    pending->job = &job;
    pending->uid = job.spec.uid;
    pending->team = job.spec.team;
    pending->job_class = job.spec.job_class;
    pending->below_min_share = min_share_deficit(pending->team, pending->job_class) > 0;
    pending->priority = job.spec.priority;
    pending->image = job.spec.image;
    pending->ready_wall = job.eligible_wall();
    pending->pending_since = pending_since;
    pending->open_tasks = job.open();
    pending->last_progress_at = pending_since;
    pending->shard_rank = shard_rank(job);
    pending->equivalence_class = equivalence_class(job.spec);
    queues_[{pending->team, pending->priority}].insert(pending.get());
    pending_jobs_[pending->uid] = std::move(pending);
}

// What decides whether a task fits a machine, apart from zone rules that depend on its job's
// other tasks, as a number: names would be compared over and over.
int PendingQueue::equivalence_class(const JobSpec& spec) {
    auto demands = fmt::format(
        "{}|{}|{}|{}|{}|{}|{}", spec.task_resources.cpus, spec.task_resources.gpus,
        spec.task_resources.memory_gb, spec.spot, spec.priority == Priority::best_effort,
        spec.zone ? *spec.zone : "",
        spec.machine_types ? fmt::format("{}", fmt::join(*spec.machine_types, ",")) : "");
    auto next = static_cast<int>(equivalence_classes_.size());
    return equivalence_classes_.try_emplace(std::move(demands), next).first->second;
}

double PendingQueue::round_interval_factor(double max_factor) const {
    double load = static_cast<double>(pending_jobs_.size()) / constants::slowdown_pending_jobs_min;
    return std::clamp(load, 1.0, max_factor);
}

double PendingQueue::min_share_deficit(const std::string& team,
                                       const std::string& job_class) const {
    auto found = min_share_deficits_.find({team, job_class});
    return found == min_share_deficits_.end() ? 0 : found->second;
}

bool PendingQueue::is_backing_off(const PendingJob& pending) const {
    return pending.job->consecutive_failures > 0 &&
           ctx_.now.steady < job_failures_.pause_until(pending.uid);
}

// The part of a machine that an amount takes, by the resource of which it takes most (as in
// dominant resource fairness).
double PendingQueue::dominant_share(const Resources& amount) const {
    if (agents_.types().empty()) {
        return std::max(amount.gpus, amount.cpus);
    }
    const Resources& size = agents_.types().front().size;
    return std::max(fraction(amount.gpus, size.gpus), fraction(amount.cpus, size.cpus));
}

// By rendezvous hashing. A zone is drawn first, so that each zone's machines get their share
// whatever the number of members in it.
std::size_t PendingQueue::shard_rank(const Job& job) const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch) {
        return 0;
    }
    auto weight_of = [&](const Member& member) {
        bool in_wanted_zone = job.spec.zone && *job.spec.zone == member.zone;
        return std::make_tuple(in_wanted_zone, stable_hash(job.spec.uid + "|" + member.zone),
                               stable_hash(job.spec.uid + "|" + member.name));
    };
    auto our_weight = weight_of(ctx_.self);
    return static_cast<std::size_t>(
        std::count_if(epoch->members.begin(), epoch->members.end(),
                      [&](const Member& member) { return weight_of(member) > our_weight; }));
}

// The settings carry no weights: a team weighs what it is guaranteed, else 1. Amounts are compared
// by the resource of which they take most: a team may use CPUs alone.
double PendingQueue::team_weight(const std::string& name) const {
    for (const auto& team : ctx_.settings.teams) {
        if (team.name == name && dominant_share(team.guarantee) > 0) {
            return dominant_share(team.guarantee);
        }
    }
    return 1.0;
}

// Flows that have tasks to place, without jobs that are likely to fail again.
std::vector<admission::WaitingFlow> PendingQueue::waiting_flows() const {
    std::map<admission::FlowName, admission::WaitingFlow> flows;
    for (const auto& [uid, pending] : pending_jobs_) {
        if (pending->job->fails_repeatedly()) {
            continue;
        }
        admission::WaitingFlow& flow = flows[{pending->team, pending->job_class}];
        flow.name = {pending->team, pending->job_class};
        flow.best_effort = pending->priority == Priority::best_effort;
        // A job of which some is placed now and then is served, however long the rest waits: one
        // huge array of a guest would else go before everybody's work.
        flow.longest_wait_s =
            std::max(flow.longest_wait_s, ctx_.now.steady - pending->last_progress_at);
    }
    std::vector<admission::WaitingFlow> list;
    list.reserve(flows.size());
    for (auto& [name, flow] : flows) {
        flow.team_weight = team_weight(name.first);
        flow.was_below_min_share = min_share_deficits_.contains(name);
        list.push_back(std::move(flow));
    }
    return list;
}

std::map<admission::FlowName, double> PendingQueue::machines_held_by_flow() const {
    std::map<admission::FlowName, double> held;
    for (const auto& [uid, job] : ctx_.jobs.jobs()) {
        if (job.placed() > 0) {
            held[{job.spec.team, job.spec.job_class}] +=
                dominant_share(job.spec.task_resources) * job.placed();
        }
    }
    return held;
}

PendingQueue::Deficits PendingQueue::find_min_share_deficits() const {
    auto flows = waiting_flows();
    bool any_late = std::any_of(flows.begin(), flows.end(), [](const auto& flow) {
        return flow.was_below_min_share || flow.longest_wait_s >= constants::min_share_wait_s;
    });
    if (!any_late) {
        return {};
    }
    auto held = machines_held_by_flow();
    for (auto& flow : flows) {
        flow.machines_held = held[flow.name];
    }
    auto schedulable =
        std::count_if(agents_.all().begin(), agents_.all().end(),
                      [this](const Machine* machine) { return agents_.schedulable(*machine); });
    return admission::min_share_deficits(
        flows, static_cast<double>(schedulable),
        {constants::min_share_fair_share_fraction, constants::min_share_best_effort_fraction,
         constants::min_share_wait_s});
}

void PendingQueue::log_new_deficits(const Deficits& deficits) const {
    for (const auto& [name, deficit] : deficits) {
        if (!min_share_deficits_.contains(name)) {
            ctx_.info("flow {} of {}: {:.1f} machines below its floor, goes ahead", name.second,
                      name.first, deficit);
        }
    }
}

// Guards against a class that waits for as long as others of its team, or of teams further below
// their guarantee, ask for all room there is: within a team priority alone would decide.
void PendingQueue::tick() {
    if (!is_current() || ctx_.now.steady < next_min_share_check_at_) {
        return;
    }
    next_min_share_check_at_ = ctx_.now.steady + constants::min_share_check_interval_s;
    Deficits deficits = find_min_share_deficits();
    log_new_deficits(deficits);
    bool may_have_changed = !deficits.empty() || !min_share_deficits_.empty();
    min_share_deficits_ = std::move(deficits);
    if (!may_have_changed) {
        return;
    }
    for (auto& [uid, pending] : pending_jobs_) {
        pending->below_min_share = min_share_deficit(pending->team, pending->job_class) > 0;
    }
}

std::map<std::string, PendingQueue::TeamStanding> PendingQueue::team_standings() const {
    std::map<std::string, TeamStanding> standings;
    for (const auto& team : ctx_.settings.teams) {
        const Resources& used = ctx_.jobs.used(team.name);
        const Resources& guarantee = team.guarantee;
        double gpu_deficit = guarantee.gpus > 0 ? 1 - fraction(used.gpus, guarantee.gpus) : 0;
        double cpu_deficit = guarantee.cpus > 0 ? 1 - fraction(used.cpus, guarantee.cpus) : 0;
        double deficit = std::max(gpu_deficit, cpu_deficit);
        bool is_below = deficit > Resources::rounding_tolerance;
        double need = is_below ? -deficit : dominant_share(used) / team_weight(team.name);
        standings[team.name] = {!is_below, need};
    }
    return standings;
}

// Teams below their guarantee first, the furthest first, others by share over weight; best-effort
// work beyond a guarantee after everybody else's. In a team by priority.
std::vector<const PendingQueue::Queue*> PendingQueue::queues_in_order(bool is_write_limited) const {
    struct Rank {
        bool is_leftover_work = false;
        bool above_guarantee = true;
        bool after_production = false;
        double need = 0;
        std::string team;
        Priority priority = Priority::normal;
        const Queue* queue = nullptr;
    };
    if (!is_current()) {
        return {};
    }
    auto standings = team_standings();
    std::vector<Rank> ranks;
    for (const auto& [key, queue] : queues_) {
        if (queue.empty()) {
            continue;
        }
        Rank rank;
        rank.team = key.team;
        rank.priority = key.priority;
        rank.queue = &queue;
        if (auto found = standings.find(key.team); found != standings.end()) {
            rank.above_guarantee = found->second.above_guarantee;
            rank.need = found->second.need;
        }
        rank.is_leftover_work = key.priority == Priority::best_effort && rank.above_guarantee;
        rank.after_production =
            is_write_limited && !rank.above_guarantee && key.priority != Priority::production;
        ranks.push_back(std::move(rank));
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
        return std::tie(a.is_leftover_work, a.above_guarantee, a.after_production, a.need, a.team,
                        b.priority) < std::tie(b.is_leftover_work, b.above_guarantee,
                                               b.after_production, b.need, b.team, a.priority);
    });
    std::vector<const Queue*> queues;
    queues.reserve(ranks.size());
    for (const auto& rank : ranks) {
        queues.push_back(rank.queue);
    }
    return queues;
}

}  // namespace cranemoor::core

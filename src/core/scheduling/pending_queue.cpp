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

bool PendingQueue::QueueOrder::operator()(const PendingJob* a, const PendingJob* b) const {
    // Each controller first takes the jobs of which it is the shard owner: controllers that claim
    // from the same job at the same time make each other's compare-and-swap writes fail.
    bool owns_a = a->shard_rank == 0;
    bool owns_b = b->shard_rank == 0;
    if (owns_a != owns_b) {
        return owns_a;
    }
    // Among jobs that arrived in the same window, those with the same image are adjacent, so that
    // they fill the same machines: concurrent image fetches share a machine's fetch rate, which
    // delays all of them.
    double a_arrival_window = std::floor(a->eligible_wall / constants::arrival_window_s);
    double b_arrival_window = std::floor(b->eligible_wall / constants::arrival_window_s);
    return std::tie(a_arrival_window, a->image, a->eligible_wall, a->uid) <
           std::tie(b_arrival_window, b->image, b->eligible_wall, b->uid);
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

void PendingQueue::records_changed(const std::set<std::string>& changed_uids) {
    if (!is_current()) {
        if (ctx_.jobs.loaded()) {
            rebuild();
        }
        return;
    }
    for (const auto& uid : changed_uids) {
        update(uid);
    }
}

void PendingQueue::update(const std::string& uid) {
    const Job* job = ctx_.jobs.find(uid);
    bool is_open = job != nullptr && ctx_.jobs.open_jobs().contains(job);
    auto existing = pending_jobs_.find(uid);
    if (!is_open) {
        remove(uid);
        return;
    }
    if (existing == pending_jobs_.end()) {
        add(*job, ctx_.now.steady);
        return;
    }
    PendingJob& pending = *existing->second;
    if (pending.priority != job->spec.priority || pending.job != job) {
        double pending_since_s = pending.pending_since_s;
        remove(uid);
        add(*job, pending_since_s);
        return;
    }
    if (job->open() < pending.open_tasks) {
        pending.last_progress_at_s = ctx_.now.steady;
    }
    pending.open_tasks = job->open();
}

// All records were read anew: the queue still refers to the jobs of the previous replica.
void PendingQueue::rebuild() {
    replica_loads_ = ctx_.jobs.load_count();
    auto previous = std::exchange(pending_jobs_, {});
    queues_.clear();
    for (const Job* job : ctx_.jobs.open_jobs()) {
        auto existing = previous.find(job->spec.uid);
        add(*job, existing == previous.end() ? ctx_.now.steady : existing->second->pending_since_s);
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

void PendingQueue::add(const Job& job, double pending_since_s) {
    auto pending = std::make_unique<PendingJob>();
    pending->job = &job;
    pending->uid = job.spec.uid;
    pending->team = job.spec.team;
    pending->job_class = job.spec.job_class;
    pending->below_min_share = min_share_deficit(pending->team, pending->job_class) > 0;
    pending->priority = job.spec.priority;
    pending->image = job.spec.image;
    pending->eligible_wall = job.eligible_wall();
    pending->pending_since_s = pending_since_s;
    pending->open_tasks = job.open();
    pending->last_progress_at_s = pending_since_s;
    pending->shard_rank = shard_rank(job);
    pending->equivalence_class = equivalence_class(job.spec);
    queues_[{pending->team, pending->priority}].insert(pending.get());
    pending_jobs_[pending->uid] = std::move(pending);
}

// Numbers the demands that decide whether a task fits a machine, without where its job's other
// tasks are placed. Comparing numbers is cheaper than comparing the names each time.
int PendingQueue::equivalence_class(const JobSpec& spec) {
    auto demands = fmt::format(
        "{}|{}|{}|{}|{}|{}|{}|{}|{}", spec.task_resources.cpus, spec.task_resources.gpus,
        spec.task_resources.memory_gb, spec.spot, spec.priority == Priority::best_effort,
        spec.zone ? *spec.zone : "", spec.same_zone, spec.zone_spread,
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

// The share of a machine that an amount takes, by the resource of which it takes the largest share
// (as in dominant resource fairness).
double PendingQueue::dominant_share(const Resources& amount) const {
    if (agents_.types().empty()) {
        return std::max(amount.gpus, amount.cpus);
    }
    const Resources& size = agents_.types().front().size;
    return std::max(fraction(amount.gpus, size.gpus), fraction(amount.cpus, size.cpus));
}

// By rendezvous hashing. The zone is chosen first, so that the machines of each zone get their
// share whatever the number of members in the zone.
std::size_t PendingQueue::shard_rank(const Job& job) const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!epoch) {
        return 0;
    }
    auto weight_of = [&](const Member& member) {
        bool in_requested_zone = job.spec.zone && *job.spec.zone == member.zone;
        return std::make_tuple(in_requested_zone, stable_hash(job.spec.uid + "|" + member.zone),
                               stable_hash(job.spec.uid + "|" + member.name));
    };
    auto our_weight = weight_of(ctx_.self);
    return static_cast<std::size_t>(
        std::count_if(epoch->members.begin(), epoch->members.end(),
                      [&](const Member& member) { return weight_of(member) > our_weight; }));
}

// The settings have no weights: a team's weight is its guarantee, or 1 without one. Amounts are
// compared by their dominant share, since a team may use CPUs alone.
double PendingQueue::team_weight(const std::string& name) const {
    for (const auto& team : ctx_.settings.teams) {
        if (team.name == name && dominant_share(team.guarantee) > 0) {
            return dominant_share(team.guarantee);
        }
    }
    return 1.0;
}

// The flows that have tasks to place. Jobs that fail repeatedly don't count.
std::vector<admission::WaitingFlow> PendingQueue::waiting_flows() const {
    std::map<admission::FlowName, admission::WaitingFlow> flows;
    for (const auto& [uid, pending] : pending_jobs_) {
        if (pending->job->fails_repeatedly()) {
            continue;
        }
        admission::WaitingFlow& flow = flows[{pending->team, pending->job_class}];
        flow.name = {pending->team, pending->job_class};
        flow.best_effort = pending->priority == Priority::best_effort;
        // A job that gets a task placed from time to time counts as served, however long its other
        // tasks wait: otherwise one huge array of a team without a guarantee would go before all
        // other work.
        flow.longest_wait_s =
            std::max(flow.longest_wait_s, ctx_.now.steady - pending->last_progress_at_s);
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
    bool any_candidate = std::any_of(flows.begin(), flows.end(), [](const auto& flow) {
        return flow.was_below_min_share || flow.longest_wait_s >= constants::min_share_wait_s;
    });
    if (!any_candidate) {
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
            ctx_.info(
                "class {} of team {}: {:.1f} machines below its minimum share, scheduled first",
                name.second, name.first, deficit);
        }
    }
}

// Prevents the starvation of a class while other classes of its team, or teams further below their
// guarantee, ask for all free room: within a team priority alone would decide.
void PendingQueue::tick() {
    if (!is_current() || ctx_.now.steady < next_min_share_check_at_s_) {
        return;
    }
    next_min_share_check_at_s_ = ctx_.now.steady + constants::min_share_check_interval_s;
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

std::map<std::string, PendingQueue::TeamShare> PendingQueue::team_shares() const {
    std::map<std::string, TeamShare> shares;
    for (const auto& team : ctx_.settings.teams) {
        const Resources& used = ctx_.jobs.used(team.name);
        const Resources& guarantee = team.guarantee;
        double gpu_deficit = guarantee.gpus > 0 ? 1 - fraction(used.gpus, guarantee.gpus) : 0;
        double cpu_deficit = guarantee.cpus > 0 ? 1 - fraction(used.cpus, guarantee.cpus) : 0;
        double deficit = std::max(gpu_deficit, cpu_deficit);
        bool is_below = deficit > Resources::rounding_tolerance;
        double fair_share_key = is_below ? -deficit : dominant_share(used) / team_weight(team.name);
        shares[team.name] = {!is_below, fair_share_key};
    }
    return shares;
}

// Teams below their guarantee come first, the furthest below first, then the others by share over
// weight; best-effort work of teams that aren't below their guarantee comes last. Within a team the
// order is by priority.
std::vector<const PendingQueue::Queue*> PendingQueue::queues_in_order(bool is_write_limited) const {
    struct Rank {
        bool is_unguaranteed_best_effort = false;
        bool above_guarantee = true;
        bool after_production = false;
        double fair_share_key = 0;
        std::string team;
        Priority priority = Priority::normal;
        const Queue* queue = nullptr;
    };
    if (!is_current()) {
        return {};
    }
    auto shares = team_shares();
    std::vector<Rank> ranks;
    for (const auto& [key, queue] : queues_) {
        if (queue.empty()) {
            continue;
        }
        Rank rank;
        rank.team = key.team;
        rank.priority = key.priority;
        rank.queue = &queue;
        if (auto found = shares.find(key.team); found != shares.end()) {
            rank.above_guarantee = found->second.above_guarantee;
            rank.fair_share_key = found->second.fair_share_key;
        }
        rank.is_unguaranteed_best_effort =
            key.priority == Priority::best_effort && rank.above_guarantee;
        rank.after_production =
            is_write_limited && !rank.above_guarantee && key.priority != Priority::production;
        ranks.push_back(std::move(rank));
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
        return std::tie(a.is_unguaranteed_best_effort, a.above_guarantee, a.after_production,
                        a.fair_share_key, a.team, b.priority) <
               std::tie(b.is_unguaranteed_best_effort, b.above_guarantee, b.after_production,
                        b.fair_share_key, b.team, a.priority);
    });
    std::vector<const Queue*> queues;
    queues.reserve(ranks.size());
    for (const auto& rank : ranks) {
        queues.push_back(rank.queue);
    }
    return queues;
}

}  // namespace cranemoor::core

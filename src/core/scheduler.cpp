#include "core/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

namespace {

double part(double amount, double of) {
    return of > 0 ? amount / of : 0;
}

}  // namespace

std::vector<const Job*> Scheduler::order() const {
    struct Rank {
        bool below = false;
        double deficit = 0;
        double share = 0;
    };
    std::map<std::string, Rank> teams;
    for (const auto& t : ctx_.settings.teams) {
        const Resources& used = ctx_.jobs.used(t.name);
        Rank r;
        r.deficit = std::max(t.guarantee.gpus > 0 ? 1 - part(used.gpus, t.guarantee.gpus) : 0,
                             t.guarantee.cpus > 0 ? 1 - part(used.cpus, t.guarantee.cpus) : 0);
        r.below = r.deficit > Resources::slack;
        // The settings carry no weights: a team weighs what it is guaranteed, else 1.
        double weight = std::max(t.guarantee.gpus, t.guarantee.cpus);
        r.share = std::max(used.gpus, t.guarantee.gpus > 0 ? 0.0 : used.cpus) /
                  (weight > 0 ? weight : 1.0);
        teams[t.name] = r;
    }
    std::vector<const Job*> list;
    for (const auto& [uid, job] : ctx_.jobs.jobs()) {
        if (job.revision != 0 && !job.cancelled && job.open() > 0 &&
            ctx_.now.steady >= fleet_.job_pause_until(uid)) {
            list.push_back(&job);
        }
    }
    std::sort(list.begin(), list.end(), [&](const Job* a, const Job* b) {
        if (a->spec.team != b->spec.team) {
            const Rank& x = teams[a->spec.team];
            const Rank& y = teams[b->spec.team];
            if (x.below != y.below) {
                return x.below;
            }
            if (x.below && x.deficit != y.deficit) {
                return x.deficit > y.deficit;
            }
            if (!x.below && x.share != y.share) {
                return x.share < y.share;
            }
            return a->spec.team < b->spec.team;
        }
        if (a->spec.priority != b->spec.priority) {
            return a->spec.priority > b->spec.priority;
        }
        return std::tie(a->submitted_wall, a->spec.uid) < std::tie(b->submitted_wall, b->spec.uid);
    });
    return list;
}

bool Scheduler::allowed(const Job& job, const Machine& m) const {
    const JobSpec& s = job.spec;
    if (s.types && std::find(s.types->begin(), s.types->end(), m.type) == s.types->end()) {
        return false;
    }
    if ((s.zone && *s.zone != m.zone) || (m.spot && !s.spot)) {
        return false;
    }
    if (s.together && s.kind != JobKind::gang && job.block_count() > 1) {
        // Claims on different blocks don't see each other: a fixed zone keeps them together.
        const auto& zones = ctx_.settings.zones;
        std::size_t pick = stable_hash(s.uid) % std::max<std::size_t>(1, zones.size());
        return !s.zone && pick < zones.size() ? zones[pick] == m.zone : true;
    }
    if (s.together) {
        for (const auto& [task, p] : job.placements()) {
            if (p.zone != m.zone) {
                return false;
            }
        }
    }
    return true;
}

int Scheduler::spread_room(const Job& job, int k, const std::string& zone) {
    int first = job.block_first(k);
    int size = job.block_last(k) - first + 1;
    if (!job.spec.spread) {
        return size;
    }
    // Blocks are of even size, all but the last: if each keeps to half of its own tasks, rounded
    // up, then so does the job. That lets a claim be checked under its own block's revision.
    int there = 0;
    for (const auto& [task, p] : job.block(k).placed) {
        there += p.zone == zone ? 1 : 0;
    }
    return std::max(0, (size + 1) / 2 - there);
}

double Scheduler::rank(const Machine& m, const Job& job) const {
    // Cheap machines first for jobs that may use them, machines in use next, and empty ordinary
    // ones last: those are kept whole for gangs that need one. Work that can wait a little goes
    // to the fullest machine, so that the others become empty.
    if (job.spec.kind == JobKind::gang && job.done() == 0) {
        return m.spot ? 0 : 1;
    }
    bool empty = ctx_.jobs.on_machine(m.name).empty();
    if (empty && !m.spot) {
        return 3;
    }
    const MachineType* t = fleet_.type(m.type);
    bool patient = job.spec.priority <= Priority::normal;
    double free =
        patient && t != nullptr && t->size.cpus > 0 ? fleet_.room(m).cpus / t->size.cpus : 0;
    return (m.spot ? 0 : 1.5) + free;
}

// Whether a better machine than this one has room for the job. The job then lets this one pass,
// as it would one without its image, and for no longer than that.
bool Scheduler::better_elsewhere(const Machine& m, const Job& job) const {
    double here = rank(m, job);
    bool local = fleet_.has_image(m, job.spec.image);
    for (const auto& [name, other] : fleet_.machines()) {
        if (name == m.name || !other.up() || ctx_.jobs.mark(name) != nullptr ||
            other.notice_until || !allowed(job, other) ||
            (local && !fleet_.has_image(other, job.spec.image)) ||
            !job.spec.each.fits_in(fleet_.room(other))) {
            continue;
        }
        if (rank(other, job) < here - constants::rank_step) {
            return true;
        }
    }
    return false;
}

// Whether work that may run on cheap machines should leave an empty ordinary one alone: a cheap
// one is there or on its way.
bool Scheduler::cheap_coming(const Machine& m, const Job& job) const {
    if (m.spot || !job.spec.spot || job.spec.checkpoint_s <= 0 ||
        job.spec.priority > Priority::normal || !ctx_.jobs.on_machine(m.name).empty()) {
        return false;
    }
    for (const auto& [name, other] : fleet_.machines()) {
        const MachineType* t = fleet_.type(other.type);
        if (!other.spot || t == nullptr || ctx_.jobs.mark(name) != nullptr || other.notice_until ||
            !allowed(job, other)) {
            continue;
        }
        bool young = ctx_.now.steady - other.born < t->boot_s * constants::boot_late_factor;
        if ((other.up() || young) && job.spec.each.fits_in(fleet_.room(other))) {
            return true;
        }
    }
    return false;
}

void Scheduler::opportunity(Machine& m) {
    double dt = ctx_.now.steady - last_heartbeat_;
    last_heartbeat_ = ctx_.now.steady;
    for (auto& [uid, w] : waits_) {
        if (w.skipped) {
            w.wait += dt;
            w.skipped = false;
        }
    }
    batch_images_.clear();
    Resources room = fleet_.room(m);
    if (auto r = reserved_.find(m.name); r != reserved_.end()) {
        room -= r->second;
    }
    if (room.cpus < Resources::slack) {
        return;
    }
    auto hold = holds_.find(m.name);
    if (hold != holds_.end() && hold->second.until < ctx_.now.steady) {
        holds_.erase(hold);
        hold = holds_.end();
    }
    for (const Job* job : order()) {
        // Held room is for its job, and for more urgent ones.
        bool kept = hold != holds_.end() && hold->second.uid != job->spec.uid &&
                    job->spec.priority <= hold->second.priority;
        if (!kept) {
            walk_one(m, *job, room);
        }
    }
    send_batch();
}

bool Scheduler::walk_one(Machine& m, const Job& job, Resources& room) {
    if (!allowed(job, m)) {
        return false;
    }
    bool gang = job.spec.kind == JobKind::gang && job.done() == 0;
    if (!job.spec.each.fits_in(room)) {
        const MachineType* t = fleet_.type(m.type);
        if (gang && t != nullptr && job.spec.each.fits_in(t->size)) {
            hold_for(job);
        }
        return false;
    }
    Wait& w = waits_[job.spec.uid];
    bool local = fleet_.has_image(m, job.spec.image) || job.spec.image_gb <= 0;
    bool fetch_waits = !local && slow_fetch(m, job.spec);
    bool cheap = cheap_coming(m, job);
    bool pass = cheap || fetch_waits || (!local && local_chance(job)) || better_elsewhere(m, job);
    double most = longest_pass(m, job.spec, fetch_waits);
    if (cheap) {
        most = std::max(most, constants::cheap_pass_s);
    }
    if (pass && (w.level == 0 || cheap) && w.wait < most) {
        w.skipped = true;
        return false;
    }
    int n = 0;
    if (gang && job.spec.tasks > 1) {
        n = claim_gang(m, job) ? 1 : 0;
    } else {
        n = claim_tasks(m, job, room);
    }
    if (n > 0) {
        w.wait = 0;
        w.level = local ? 0 : 1;
        if (!(gang && job.spec.tasks > 1)) {
            room -= job.spec.each * n;
        }
    }
    return n > 0;
}

// Whether waiting may find the job a machine with its image: one that has room, or work that
// ends. One full of services frees none, and waiting for it would cost a start its time.
bool Scheduler::local_chance(const Job& job) const {
    for (const auto& [name, m] : fleet_.machines()) {
        if (!fleet_.has_image(m, job.spec.image) || ctx_.jobs.mark(name) != nullptr ||
            !allowed(job, m)) {
            continue;
        }
        if (job.spec.each.fits_in(fleet_.room(m))) {
            return true;
        }
        for (const auto& id : ctx_.jobs.on_machine(name)) {
            const Job* other = ctx_.jobs.find(id.uid);
            if (other != nullptr && other->spec.kind != JobKind::service) {
                return true;
            }
        }
    }
    return false;
}

// Whether the machine is fetching another image already: two fetches share its rate, and both
// images would be late.
bool Scheduler::slow_fetch(const Machine& m, const JobSpec& spec) const {
    for (const auto& image : batch_images_) {
        if (image != spec.image) {
            return true;
        }
    }
    if (batch_images_.count(spec.image) != 0) {
        return false;
    }
    for (const auto& id : ctx_.jobs.on_machine(m.name)) {
        const Job* other = ctx_.jobs.find(id.uid);
        const Placement* p = ctx_.jobs.placement(id);
        if (other == nullptr || p == nullptr || other->spec.image == spec.image) {
            continue;
        }
        auto t = m.tasks.find({id, p->attempt});
        if (t == m.tasks.end() || t->second.state == TaskState::fetching) {
            return true;
        }
    }
    return false;
}

double Scheduler::longest_pass(const Machine& m, const JobSpec& spec, bool fetch_waits) const {
    const MachineType* t = fleet_.type(m.type);
    double fetch = t != nullptr && t->fetch_gb_per_s > 0 ? spec.image_gb / t->fetch_gb_per_s : 0;
    double most = fetch_waits ? constants::fetch_pass_s : ctx_.tunables.locality_wait_s;
    // Waiting longer than the fetch itself takes can't pay, except for a better machine.
    return fetch_waits ? std::min(most, std::max(fetch, ctx_.tunables.locality_wait_s)) : most;
}

int Scheduler::claim_tasks(Machine& m, const Job& job, const Resources& room) {
    int fits = 0;
    Resources left = room;
    while (fits < job.open() && job.spec.each.fits_in(left)) {
        left -= job.spec.each;
        ++fits;
    }
    for (int k = 0; k < job.block_count(); ++k) {
        auto key = keys::block(job.spec.uid, k);
        if (ctx_.busy.count(key) != 0) {
            continue;
        }
        int most = std::min(fits, spread_room(job, k, m.zone));
        Block next = job.block(k);
        int n = 0;
        next.attempt++;
        for (int t = job.block_first(k); t <= job.block_last(k) && n < most; ++t) {
            if (next.placed.count(t) == 0 && !next.is_done(t)) {
                next.placed[t] = {m.name, m.zone, next.attempt, ctx_.me.id};
                ++n;
            }
        }
        // Less than what would fit, if the limit allows only that.
        while (n > 0 && (!quota_.within_limit(job.spec.team, job.spec.each * n) ||
                         !quota_.cover(job.spec.team, job.spec.each * n, batch_.txn))) {
            next.placed.erase(std::prev(
                std::find_if(next.placed.rbegin(), next.placed.rend(), [&](const auto& p) {
                    return p.second.attempt == next.attempt;
                }).base()));
            --n;
        }
        if (n == 0) {
            continue;
        }
        batch_images_.insert(job.spec.image);
        add_claim(job, {{k, next}}, std::vector<std::string>(static_cast<std::size_t>(n), m.name),
                  n);
        return n;
    }
    return 0;
}

bool Scheduler::claim_gang(Machine& m, const Job& job) {
    // Whole or not at all: every block of the job goes into one transaction, so that one
    // controller starts it, also on machines of others, which launch what the records say.
    int blocks = job.block_count();
    if (blocks + 1 > ctx_.settings.state_txn_ops || job.open() != job.spec.tasks) {
        return false;
    }
    std::map<int, Block> next;
    std::uint64_t attempt = 0;
    for (int k = 0; k < blocks; ++k) {
        if (ctx_.busy.count(keys::block(job.spec.uid, k)) != 0) {
            return false;
        }
        next[k] = job.block(k);
        attempt = std::max(attempt, next[k].attempt);
    }
    ++attempt;
    struct Bin {
        const Machine* machine;
        Resources room;
        bool local;
    };
    std::map<std::string, std::vector<Bin>> zones;
    for (const auto& [name, other] : fleet_.machines()) {
        bool known = other.up();
        bool ok = other.mine ? fleet_.usable(other)
                             : known && ctx_.jobs.mark(name) == nullptr && !other.notice_until;
        if (!ok || !allowed(job, other)) {
            continue;
        }
        Resources room = fleet_.room(other);
        if (auto r = reserved_.find(name); r != reserved_.end()) {
            room -= r->second;
        }
        if (job.spec.each.fits_in(room)) {
            zones[job.spec.together ? other.zone : ""].push_back(
                {&other, room, fleet_.has_image(other, job.spec.image)});
        }
    }
    for (auto& [zone, bins] : zones) {
        std::stable_sort(bins.begin(), bins.end(), [&](const Bin& a, const Bin& b) {
            bool a_here = a.machine->name == m.name;
            bool b_here = b.machine->name == m.name;
            return std::tie(a_here, a.local) > std::tie(b_here, b.local);
        });
        std::vector<std::pair<std::string, std::string>> places;
        std::map<std::string, int> in_zone;
        int half = (job.spec.tasks + 1) / 2;
        for (auto& bin : bins) {
            while (static_cast<int>(places.size()) < job.spec.tasks &&
                   job.spec.each.fits_in(bin.room) &&
                   (!job.spec.spread || in_zone[bin.machine->zone] < half)) {
                bin.room -= job.spec.each;
                in_zone[bin.machine->zone]++;
                places.emplace_back(bin.machine->name, bin.machine->zone);
            }
        }
        if (static_cast<int>(places.size()) < job.spec.tasks) {
            continue;
        }
        send_batch();  // a gang's blocks have a transaction of their own
        Resources all = job.spec.each * job.spec.tasks;
        if (!quota_.within_limit(job.spec.team, all) ||
            !quota_.cover(job.spec.team, all, batch_.txn)) {
            return false;
        }
        std::vector<std::string> names;
        for (int t = 0; t < job.spec.tasks; ++t) {
            const auto& [machine, where] = places[static_cast<std::size_t>(t)];
            Block& b = next[job.block_of(t)];
            b.attempt = attempt;
            b.placed[t] = {machine, where, attempt, ctx_.me.id};
            names.push_back(machine);
        }
        add_claim(job, next, names, job.spec.tasks);
        send_batch();
        return true;
    }
    hold_for(job);
    return false;
}

void Scheduler::add_claim(const Job& job, const std::map<int, Block>& blocks,
                          const std::vector<std::string>& machines, int tasks) {
    Txn& txn = batch_.txn;
    txn.conditions.push_back({keys::job(job.spec.uid), job.revision});
    Claim claim;
    for (const auto& [k, b] : blocks) {
        auto key = keys::block(job.spec.uid, k);
        claim.key = key;
        claim.revision = job.block(k).revision;
        txn.conditions.push_back({key, claim.revision});
        txn.writes.push_back({key, encode(b)});
        ctx_.busy.insert(key);
        batch_.blocks.push_back(key);
    }
    for (const auto& name : machines) {
        reserved_[name] += job.spec.each;
        batch_.places.emplace_back(name, job.spec.each);
    }
    claim.epoch = ctx_.jobs.revision_of(keys::epoch);
    claim.team = job.spec.team;
    claim.amount = job.spec.each * tasks;
    quota_.reserve(claim.team, claim.amount);
    batch_.claims.push_back(claim);
    std::set<std::string> distinct(machines.begin(), machines.end());
    ctx_.info("claim {} tasks {} on {}", job.spec.uid, tasks, fmt::join(distinct, ","));
    // The next claim may bring a block and a quota record.
    if (txn.writes.size() + 2 > static_cast<std::size_t>(ctx_.settings.state_txn_ops)) {
        send_batch();
    }
}

void Scheduler::send_batch() {
    Batch batch = std::exchange(batch_, {});
    if (batch.claims.empty()) {
        return;
    }
    batch.txn.conditions.push_back(ctx_.epoch_condition());
    // Whoever returns a machine writes its mark first: a claim that comes later fails here.
    std::set<std::string> machines;
    for (const auto& [name, amount] : batch.places) {
        machines.insert(name);
    }
    std::size_t most = static_cast<std::size_t>(ctx_.settings.state_txn_ops) * 4;
    for (const auto& name : machines) {
        if (batch.txn.conditions.size() < most) {
            batch.txn.conditions.push_back({keys::mark(name), 0});
        }
        if (Machine* m = fleet_.find(name)) {
            m->claims++;
        }
    }
    Txn txn = std::move(batch.txn);
    ctx_.txn(std::move(txn), [this, batch, machines](const StateReply& r) {
        auto over = [this, batch, machines] {
            for (const auto& key : batch.blocks) {
                ctx_.busy.erase(key);
            }
            for (const auto& [name, amount] : batch.places) {
                reserved_[name] -= amount;
            }
            for (const auto& name : machines) {
                Machine* m = fleet_.find(name);
                if (m != nullptr) {
                    m->claims--;
                    if (fleet_.on_room && m->request && fleet_.usable(*m) && m->claims == 0) {
                        fleet_.on_room(*m);
                    }
                }
            }
            fleet_.flush();
            fleet_.settle_answers();
        };
        auto release = [this, batch] {
            for (const auto& c : batch.claims) {
                quota_.release(c.team, c.amount);
            }
        };
        if (r.status == StateReply::Status::ok || r.status == StateReply::Status::conflict) {
            if (r.status == StateReply::Status::conflict) {
                ctx_.debug("claims lost to other changes of {}", fmt::join(r.failed, ","));
            }
            ctx_.when_at(r.revision, [release, over] {
                release();
                over();
            });
        } else if (r.status == StateReply::Status::unknown) {
            // It may still be executed, for as long as its conditions hold: its amount stays
            // reserved until the records have moved on.
            unknown_.insert(unknown_.end(), batch.claims.begin(), batch.claims.end());
            over();
        } else {
            release();
            over();
        }
    });
}

const Machine* Scheduler::candidate_for_hold(const Job& job) const {
    // The machine of ours that will be empty soonest: none that runs a service.
    const Machine* best = nullptr;
    double best_work = 0;
    for (const auto& [name, m] : fleet_.machines()) {
        if (!fleet_.usable(m) || !allowed(job, m) || holds_.count(name) != 0) {
            continue;
        }
        double work = 0;
        bool service = false;
        for (const auto& id : ctx_.jobs.on_machine(name)) {
            if (const Job* other = ctx_.jobs.find(id.uid)) {
                service = service || other->spec.kind == JobKind::service;
                work = std::max(work, other->spec.estimate_s);
            }
        }
        if (!service && (best == nullptr || work < best_work)) {
            best = &m;
            best_work = work;
        }
    }
    return best;
}

void Scheduler::hold_for(const Job& job) {
    int held = 0;
    for (const auto& [name, h] : holds_) {
        held += h.uid == job.spec.uid && h.until >= ctx_.now.steady ? 1 : 0;
    }
    if (held >= job.spec.tasks) {
        return;
    }
    if (const Machine* m = candidate_for_hold(job)) {
        holds_[m->name] = {job.spec.uid, ctx_.now.steady + ctx_.tunables.gang_hold_s,
                           job.spec.priority};
        ctx_.debug("hold {} for gang {}", m->name, job.spec.uid);
    }
}

void Scheduler::epoch_changed() {
    holds_.clear();
}

void Scheduler::records_changed() {
    for (std::size_t i = 0; i < unknown_.size();) {
        const Claim& c = unknown_[i];
        bool open = ctx_.jobs.revision_of(c.key) == c.revision &&
                    ctx_.jobs.revision_of(keys::epoch) == c.epoch;
        if (open) {
            ++i;
            continue;
        }
        quota_.release(c.team, c.amount);
        unknown_.erase(unknown_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (auto it = waits_.begin(); it != waits_.end();) {
        const Job* job = ctx_.jobs.find(it->first);
        it = job == nullptr || job->open() == 0 ? waits_.erase(it) : std::next(it);
    }
    for (auto* times : {&open_since_, &preempted_at_}) {
        for (auto it = times->begin(); it != times->end();) {
            const Job* job = ctx_.jobs.find(it->first);
            it = job == nullptr || job->open() == 0 ? times->erase(it) : std::next(it);
        }
    }
    for (auto it = holds_.begin(); it != holds_.end();) {
        const Job* job = ctx_.jobs.find(it->second.uid);
        bool over = job == nullptr || job->open() == 0 || it->second.until < ctx_.now.steady;
        it = over ? holds_.erase(it) : std::next(it);
    }
}

// --- preemption ---------------------------------------------------------------------------

bool Scheduler::below_guarantee(const std::string& name, const Resources& more) const {
    const Team* t = quota_.team(name);
    if (t == nullptr) {
        return false;
    }
    Resources sum = ctx_.jobs.used(name) + more;
    bool cpus = t->guarantee.cpus <= 0 || sum.cpus <= t->guarantee.cpus + Resources::slack;
    bool gpus = t->guarantee.gpus <= 0 || sum.gpus <= t->guarantee.gpus + Resources::slack;
    return (t->guarantee.cpus > 0 || t->guarantee.gpus > 0) && cpus && gpus;
}

bool Scheduler::may_preempt(const Job& job, const Job& victim, double waited) const {
    if (victim.spec.kind == JobKind::gang && victim.spec.tasks > 1) {
        return false;  // its tasks on other machines would have to be stopped with it
    }
    if (victim.spec.priority < job.spec.priority) {
        // Whole machines are costly to clear: a gang first waits for one to be free or rented.
        return job.spec.kind != JobKind::gang || waited > constants::gang_preempt_s;
    }
    // The paper's minimum share timeout: work that another team runs beyond its own guarantee.
    return victim.spec.team != job.spec.team && waited > ctx_.tunables.share_timeout_s &&
           victim.spec.priority != Priority::production &&
           below_guarantee(job.spec.team, job.spec.each) && !below_guarantee(victim.spec.team, {});
}

std::optional<Scheduler::Victims> Scheduler::victims_on(Machine& m, const Job& job,
                                                        double waited) const {
    Victims v;
    v.machine = &m;
    v.local = fleet_.has_image(m, job.spec.image);
    std::vector<std::tuple<double, TaskId, const Job*>> candidates;
    for (const auto& id : ctx_.jobs.on_machine(m.name)) {
        const Job* other = ctx_.jobs.find(id.uid);
        if (other != nullptr && !other->cancelled && may_preempt(job, *other, waited)) {
            double ran = ctx_.now.steady - fleet_.placed_at(id);
            // What has a checkpoint loses little, however long it ran.
            double lost =
                other->spec.checkpoint_s > 0 ? std::min(ran, other->spec.checkpoint_s) : ran;
            candidates.emplace_back(lost, id, other);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return std::get<0>(a) < std::get<0>(b); });
    Resources room = fleet_.room(m);
    for (const auto& [lost, id, other] : candidates) {
        if (job.spec.each.fits_in(room)) {
            break;
        }
        room += other->spec.each;
        v.tasks.push_back(id);
        v.lost_s += lost;
    }
    if (v.tasks.empty() || !job.spec.each.fits_in(room)) {
        return std::nullopt;
    }
    return v;
}

void Scheduler::preempt() {
    for (const Job* job : order()) {
        const JobSpec& s = job->spec;
        double since = open_since_.try_emplace(s.uid, ctx_.now.steady).first->second;
        double waited = ctx_.now.steady - since;
        if (s.priority <= Priority::normal && !below_guarantee(s.team, s.each)) {
            continue;
        }
        if (s.tasks > 1 && s.kind == JobKind::gang) {
            continue;
        }
        auto recent = preempted_at_.find(s.uid);
        if ((recent != preempted_at_.end() &&
             ctx_.now.steady - recent->second < constants::preempt_pause_s) ||
            waited < constants::preempt_after_s || !quota_.within_limit(s.team, s.each)) {
            continue;
        }
        // Room that is there already, or a machine that has it without the image.
        bool room = false;
        bool local_room = false;
        std::optional<Victims> best;
        for (auto& [name, m] : fleet_.machines()) {
            bool ok = m.up() && !m.notice_until && !m.marking && !m.gone &&
                      ctx_.jobs.mark(name) == nullptr && allowed(*job, m);
            // Room made for one job serves no second one.
            auto held = holds_.find(name);
            ok = ok && (held == holds_.end() || held->second.uid == s.uid ||
                        held->second.until < ctx_.now.steady);
            if (!ok) {
                continue;
            }
            bool local = fleet_.has_image(m, s.image);
            if (s.each.fits_in(fleet_.room(m))) {
                room = true;
                local_room = local_room || local;
                continue;
            }
            auto v = victims_on(m, *job, waited);
            if (v && (!best || std::make_tuple(!v->local, v->lost_s) <
                                   std::make_tuple(!best->local, best->lost_s))) {
                best = v;
            }
        }
        // Room without the image costs a production job its fetch time: less than that is lost
        // by stopping a newer, lower task where the image is.
        bool fetch_hurts =
            s.priority == Priority::production && best && best->local && s.image_gb > 0;
        if (!best || local_room || (room && !fetch_hurts)) {
            continue;
        }
        // Every controller comes to the same choice; the machine's owner carries it out.
        preempted_at_[s.uid] = ctx_.now.steady;
        Machine& m = *best->machine;
        holds_[m.name] = {s.uid, ctx_.now.steady + constants::preempt_pause_s, s.priority};
        if (!fleet_.usable(m)) {
            continue;
        }
        ctx_.info("preempt {} tasks on {} for {}", best->tasks.size(), m.name, s.uid);
        for (const auto& id : best->tasks) {
            if (const Placement* p = ctx_.jobs.placement(id)) {
                fleet_.stop(m, {id, p->attempt}, 0);
            }
        }
    }
}

void Scheduler::tick() {
    if (ctx_.member && members_.in_contact() && ctx_.now.steady >= next_preempt_) {
        next_preempt_ = ctx_.now.steady + constants::preempt_every_s;
        preempt();
    }
}

}  // namespace cranemoor::core

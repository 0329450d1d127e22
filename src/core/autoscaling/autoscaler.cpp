#include "core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

void Autoscaler::epoch_changed() {
    next_list_ = 0;
    if (membership_.is_leader()) {
        take_over();
    } else {
        // What they may still bring is the next leading member's: it was told.
        rentals_.clear();
    }
}

// s that the list may need to show what a rental brought
double Autoscaler::list_late_s() const {
    return ctx_.settings.list_lag_s * constants::list_lag_most + constants::list_every_s;
}

void Autoscaler::forget_words() {
    std::erase_if(heard_,
                  [&](const auto& h) { return ctx_.now.steady - h.second.second > list_late_s(); });
}

void Autoscaler::hear(const std::vector<RentalNotice>& notices) {
    forget_words();
    for (const auto& notice : notices) {
        auto [it, first] = heard_.try_emplace(notice.request, notice, ctx_.now.steady);
        if (!first && it->second.first.open) {
            it->second.first = notice;
        }
    }
}

// Guards against machines rented twice, or idle until the list shows them, when the leading member
// ends: what it had asked for is asked again under the same name, which rents nothing that was
// rented, and what it was given counts at once.
void Autoscaler::take_over() {
    forget_words();
    for (auto& [request, heard] : std::exchange(heard_, {})) {
        const auto& [notice, at] = heard;
        Kind kind{notice.type, notice.zone, notice.spot};
        if (!notice.open) {
            rented(kind, notice.machines, ctx_.now.steady - at);
            continue;
        }
        bool known =
            std::any_of(rentals_.begin(), rentals_.end(),
                        [&, name = request](const Rental& r) { return r.request == name; });
        if (!known) {
            ctx_.info("rental {}: taken over", request);
            rentals_.push_back({request, kind, notice.count, 0, false});
        }
    }
}

// Machines that the list doesn't show yet.
void Autoscaler::rented(const Kind& kind, const std::vector<std::string>& machines, double age_s) {
    const auto& [type, zone, spot] = kind;
    std::vector<ListedMachine> list;
    for (const auto& m : machines) {
        if (ctx_.jobs.mark(m) == nullptr) {
            list.push_back({m, "", type, zone, spot, ListedState::starting, age_s});
        }
    }
    fleet_.apply_cloud_listing(list);
}

void Autoscaler::tell(const std::vector<RentalNotice>& notices) const {
    if (notices.empty()) {
        return;
    }
    for (const auto& peer : ctx_.settings.peers) {
        PeerCall call;
        call.peer = peer.name;
        call.state_contact = membership_.has_store_contact();
        call.rentals = notices;
        ctx_.peer(call, [](bool, const std::optional<WorkerReply>&) {});
    }
}

void Autoscaler::tick() {
    look_at_types();
    if (!ctx_.member) {
        return;
    }
    double t = ctx_.now.steady;
    if (!list_open_ && t >= next_list_) {
        // As often as the list is renewed, and no more pages than a share of the calls allows.
        bool leading = membership_.is_leader();
        double pages = 1 + std::floor(static_cast<double>(fleet_.machines().size()) /
                                      constants::machines_page);
        double calls = ctx_.settings.cloud_rps *
                       (leading ? constants::list_share : constants::list_share_others);
        double every = leading ? constants::list_every_s : constants::list_every_others_s;
        next_list_ = t + std::max({every, ctx_.settings.list_lag_s * constants::list_lag_factor,
                                   pages / calls});
        list("");
    }
    release_unwritten();
    if (!membership_.is_leader() || !membership_.has_store_contact() || fleet_.types().empty()) {
        return;
    }
    release();
    retire_marks();
    for (auto& r : rentals_) {
        if (!r.open && t >= r.next_try) {
            send(r);
        }
    }
    // Guards against a second fleet: a process that has just started knows no machines, and would
    // rent for every job as if there were none.
    if (list_read_ && t >= next_plan_) {
        next_plan_ = t + constants::provision_every_s *
                             pending_queue_.round_interval_factor(constants::plan_rarely);
        rent();
        return_idle();
    }
}

void Autoscaler::look_at_types() {
    if (types_open_ || ctx_.now.steady < next_types_) {
        return;
    }
    types_open_ = true;
    CloudCall call;
    call.kind = CloudCall::Kind::types;
    ctx_.cloud(call, [this](const CloudReply& r) {
        types_open_ = false;
        if (r.status == CloudReply::Status::ok) {
            fleet_.set_machine_types(r.types);
            next_types_ = ctx_.now.steady + constants::types_every_s;
        } else {
            next_types_ = ctx_.now.steady + 1;
        }
    });
}

void Autoscaler::list(const std::string& after) {
    list_open_ = true;
    CloudCall call;
    call.kind = CloudCall::Kind::list;
    call.after = after;
    ctx_.cloud(call, [this](const CloudReply& r) {
        list_open_ = false;
        if (r.status != CloudReply::Status::ok) {
            return;
        }
        fleet_.apply_cloud_listing(r.listed);
        if (r.more && !r.listed.empty()) {
            list(r.listed.back().name);
        } else {
            list_read_ = true;
        }
    });
}

// --- returning ----------------------------------------------------------------------------

void Autoscaler::release() {
    if (releasing_ || ctx_.now.steady < next_release_) {
        return;
    }
    CloudCall call;
    call.kind = CloudCall::Kind::release;
    for (const auto& [key, marks] : ctx_.jobs.marks()) {
        for (const auto& name : marks.machines) {
            const Mark* mark = ctx_.jobs.mark(name);
            if (!mark->gone && (mark->fence || ctx_.jobs.on_machine(name).empty()) &&
                call.machines.size() < constants::release_max) {
                call.machines.push_back(name);
            }
        }
    }
    if (call.machines.empty()) {
        return;
    }
    releasing_ = true;
    ctx_.info("release {}", fmt::join(call.machines, ","));
    std::set<std::string> names(call.machines.begin(), call.machines.end());
    ctx_.cloud(call, [this, names](const CloudReply& r) {
        if (r.status != CloudReply::Status::ok) {
            releasing_ = false;
            next_release_ = ctx_.now.steady + 1;
            ctx_.debug("release not confirmed, repeating");
            return;
        }
        write_gone(names);
    });
}

// Guards against a machine that hangs with a cancelled task through an outage of the state service
// that is longer than cancel_s: nobody can mark it, and the leader releases only what is marked. A
// release needs no record to be safe, since nothing is concluded from this one: once there is
// contact the machine is found silent, marked and released again, and only that answer is the
// proof. Only who may still answer its workers does it: others may have taken them over.
void Autoscaler::release_unwritten() {
    if (membership_.has_store_contact()) {
        released_unwritten_.clear();
        return;
    }
    if (releasing_unwritten_ || !membership_.may_answer_workers() ||
        membership_.peers_have_store_contact() || ctx_.now.steady < next_unwritten_) {
        return;
    }
    next_unwritten_ = ctx_.now.steady + constants::release_unwritten_s;
    CloudCall call;
    call.kind = CloudCall::Kind::release;
    for (const auto& name : fleet_.overdue_and_silent()) {
        if (released_unwritten_.count(name) == 0 && call.machines.size() < constants::release_max) {
            call.machines.push_back(name);
        }
    }
    if (call.machines.empty()) {
        return;
    }
    releasing_unwritten_ = true;
    ctx_.info("release without a record {}", fmt::join(call.machines, ","));
    std::set<std::string> names(call.machines.begin(), call.machines.end());
    ctx_.cloud(call, [this, names](const CloudReply& r) {
        releasing_unwritten_ = false;
        if (r.status == CloudReply::Status::ok) {
            released_unwritten_.insert(names.begin(), names.end());
        }
    });
}

// Confirmed by the cloud: written down, so that every member may take the places as empty.
void Autoscaler::write_gone(const std::set<std::string>& names) {
    Txn txn;
    txn.purpose = Txn::Purpose::mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, old] : ctx_.jobs.marks()) {
        Marks marks = old;
        std::size_t bytes = constants::marks_frame_bytes + old.why.size();
        for (const auto& name : marks.machines) {
            bytes += mark_bytes(name);
            if (names.count(name) != 0) {
                marks.gone.insert(name);
            }
        }
        if (marks.gone.size() == old.gone.size() || txn.writes.size() >= ctx_.ops_max()) {
            continue;
        }
        if (bytes <= ctx_.value_max()) {
            txn.conditions.push_back({key, old.revision});
            txn.writes.push_back({key, encode(marks)});
        } else {
            add_gone_apart(old, names, txn);
        }
    }
    if (txn.writes.empty()) {
        releasing_ = false;
        return;
    }
    // Unless it is written, the machines are released again, which does no harm.
    ctx_.txn(txn, [this](const StateReply& r) {
        if (r.status != StateReply::Status::ok) {
            next_release_ = ctx_.now.steady + constants::retry_state_s;
        }
        ctx_.when_settled(r, [this] { releasing_ = false; });
    });
}

// A record that was written under a larger limit can't be put again with what is gone: that is
// said by records beside it. A machine is gone if any of its marks says so.
void Autoscaler::add_gone_apart(const Marks& old, const std::set<std::string>& names, Txn& txn) {
    Marks apart;
    apart.why = old.why;
    apart.fence = old.fence;
    std::size_t bytes = 0;
    auto put = [&] {
        if (!apart.machines.empty() && txn.writes.size() < ctx_.ops_max()) {
            apart.gone = apart.machines;
            auto key = keys::marks(ctx_.me.id, ++ctx_.marks_made);
            txn.conditions.push_back({key, 0});
            txn.writes.push_back({key, encode(apart)});
        }
        apart.machines.clear();
        bytes = constants::marks_frame_bytes + old.why.size();
    };
    put();
    for (const auto& name : names) {
        const Mark* mark = ctx_.jobs.mark(name);
        if (old.machines.count(name) == 0 || (mark != nullptr && mark->gone)) {
            continue;
        }
        if (bytes + mark_bytes(name) > ctx_.value_max()) {
            put();
        }
        bytes += mark_bytes(name);
        apart.machines.insert(name);
    }
    put();
}

void Autoscaler::retire_marks() {
    if (retiring_ || ctx_.now.steady < next_retire_) {
        return;
    }
    next_retire_ = ctx_.now.steady + constants::retire_every_s;
    std::erase_if(gone_since_,
                  [&](const auto& g) { return ctx_.jobs.marks().count(g.first) == 0; });
    Txn txn;
    txn.purpose = Txn::Purpose::mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, marks] : ctx_.jobs.marks()) {
        // Gone as all marks together have it. A record that says so for another one stays as long
        // as that one.
        bool settled = true;
        for (const auto& name : marks.machines) {
            const Mark* mark = ctx_.jobs.mark(name);
            bool needed = marks.gone.count(name) != 0 && not_said(key, name);
            settled = settled && mark != nullptr && mark->gone && !needed;
        }
        if (!settled) {
            continue;
        }
        double since = gone_since_.try_emplace(key, ctx_.now.steady).first->second;
        bool over = ctx_.now.steady - since > constants::gone_mark_s;
        for (const auto& name : marks.machines) {
            Machine* m = fleet_.find(name);
            bool listed =
                m != nullptr && ctx_.now.steady - m->listed_at < constants::gone_mark_s / 2;
            over = over && !listed && ctx_.jobs.on_machine(name).empty();
        }
        if (over && txn.writes.size() < ctx_.ops_max()) {
            txn.conditions.push_back({key, marks.revision});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    retiring_ = true;
    ctx_.txn(txn,
             [this](const StateReply& r) { ctx_.when_settled(r, [this] { retiring_ = false; }); });
}

// Whether another record of the machine doesn't say itself that it is gone.
bool Autoscaler::not_said(const std::string& key, const std::string& machine) const {
    return std::any_of(ctx_.jobs.marks().begin(), ctx_.jobs.marks().end(), [&](const auto& m) {
        return m.first != key && m.second.machines.count(machine) != 0 &&
               m.second.gone.count(machine) == 0;
    });
}

int Autoscaler::headroom() const {
    // About as many machines become free as are asked for; what must be kept is the swing, which
    // is large where one job takes many machines.
    auto [sum, squares] = fleet_.whole_machine_arrivals(ctx_.now.wall - constants::arrivals_s);
    double swing = std::sqrt(squares / constants::arrivals_s * fleet_.longest_boot_s());
    double asked = std::min(sum, swing * constants::headroom_margin);
    return static_cast<int>(std::ceil(std::min(asked, ctx_.tunables.headroom_machines)));
}

void Autoscaler::return_idle() {
    double t = ctx_.now.steady;
    // Machines that never came up are charged until they are given back.
    for (Machine* each : fleet_.all()) {
        Machine& m = *each;
        const MachineType* type = fleet_.type(m.type);
        if (type == nullptr || m.up() || fleet_.site(m).mark) {
            continue;
        }
        bool starting = m.listed_state == ListedState::starting;
        if (starting && t - m.launched_at > type->boot_s * constants::boot_dead_factor) {
            fleet_.mark_for_release(m, "never came up", true);
        }
    }
    std::vector<Machine*> empty;
    for (Machine* each : fleet_.all()) {
        Machine& m = *each;
        if (m.up() && !m.release_mark_pending && !fleet_.site(m).mark && m.empty_since >= 0 &&
            fleet_.site(m).tasks.empty()) {
            empty.push_back(&m);
        }
    }
    if (t >= next_word_) {
        next_word_ = t + constants::fleet_word_every_s;
        int up = 0;
        double free = 0;
        for (const auto& [name, m] : fleet_.machines()) {
            bool counts = m.up() && !m.release_confirmed && !fleet_.site(m).mark;
            up += counts ? 1 : 0;
            free += counts && !fleet_.site(m).tasks.empty() ? fleet_.room(m).gpus : 0;
        }
        ctx_.info(
            "fleet: {} machines up, {} of them empty, {} to keep so, {:.0f} GPUs free beside "
            "other work, {} jobs open",
            up, empty.size(), headroom(), free, ctx_.jobs.open().size());
    }
    std::sort(empty.begin(), empty.end(), [](const Machine* a, const Machine* b) {
        return std::tie(a->spot, a->empty_since) > std::tie(b->spot, b->empty_since);
    });
    // The longest empty go first, and only those beyond the headroom; spot machines, which
    // most jobs may not use, are no headroom.
    int keep = headroom();
    for (Machine* m : empty) {
        if (!m->spot && keep > 0) {
            --keep;
            continue;
        }
        double since = std::max(m->empty_since, m->launched_at);
        if (t - since > ctx_.tunables.idle_return_s) {
            fleet_.mark_for_release(*m, "idle", false);
        }
    }
}

// --- renting ------------------------------------------------------------------------------

std::vector<Autoscaler::Bin> Autoscaler::bins() const {
    std::vector<Bin> list;
    for (const auto& [name, m] : fleet_.machines()) {
        const MachineType* type = fleet_.type(m.type);
        if (type == nullptr || m.interruption_deadline || fleet_.site(m).mark ||
            fleet_.zone_partitioned(m.zone) || m.listed_state == ListedState::failed) {
            continue;
        }
        double age = ctx_.now.steady - m.launched_at;
        if (!m.up() && age > type->boot_s * constants::boot_late_factor) {
            continue;  // it may still come, but nobody should wait for it
        }
        list.push_back({m.zone, m.type, m.spot, fleet_.site(m).tasks.empty(), fleet_.room(m)});
    }
    for (const auto& r : rentals_) {
        const auto& [type, zone, spot] = r.kind;
        if (const MachineType* t = fleet_.type(type)) {
            for (int i = 0; i < r.count; ++i) {
                list.push_back({zone, type, spot, true, t->size});
            }
        }
    }
    // Fuller ones first: what fits there leaves empty machines whole.
    std::stable_sort(list.begin(), list.end(), [](const Bin& a, const Bin& b) {
        return std::tie(b.spot, a.empty, a.room.gpus) < std::tie(a.spot, b.empty, b.room.gpus);
    });
    return list;
}

const MachineType* Autoscaler::cheapest(const JobSpec& spec) const {
    const MachineType* best = nullptr;
    for (const auto& t : fleet_.types()) {
        bool ok = !spec.types ||
                  std::find(spec.types->begin(), spec.types->end(), t.name) != spec.types->end();
        if (ok && spec.each.fits_in(t.size) && (best == nullptr || t.price < best->price)) {
            best = &t;
        }
    }
    return best;
}

std::optional<std::string> Autoscaler::pick_zone(const std::string& type, bool spot,
                                                 const std::optional<std::string>& only,
                                                 std::map<std::string, int>& load,
                                                 const std::set<std::string>& barred) const {
    const MachineType* t = fleet_.type(type);
    std::optional<std::string> best;
    for (const auto& zone : t->zones) {
        auto full = no_capacity_until_.find({type, zone, spot});
        if ((only && *only != zone) || fleet_.zone_partitioned(zone) || barred.count(zone) != 0 ||
            (full != no_capacity_until_.end() && full->second > ctx_.now.steady)) {
            continue;
        }
        if (!best || load[zone] < load[*best]) {
            best = zone;
        }
    }
    return best;
}

void Autoscaler::rent() {
    if (rentals_.size() >= constants::rentals_open) {
        return;
    }
    Plan plan;
    plan.free = bins();
    for (const auto& b : plan.free) {
        plan.load[b.zone]++;
    }
    std::vector<const PendingJob*> jobs;
    pending_queue_.for_each_in_order(scheduler_.is_write_limited(), [&](const PendingJob& waiting) {
        jobs.push_back(&waiting);
        return true;
    });
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto* a, const auto* b) {
        const Resources& x = a->job->spec.each;
        const Resources& y = b->job->spec.each;
        return std::tie(x.gpus, x.cpus) > std::tie(y.gpus, y.cpus);
    });
    for (const auto* waiting : jobs) {
        plan_job(plan, *waiting);
    }
    plan_headroom(plan);
    plan_cheap_headroom(plan);
    order(plan);
    for (auto& r : rentals_) {
        if (!r.open && ctx_.now.steady >= r.next_try) {
            send(r);
        }
    }
}

// Finds room for each of the job's tasks that is still to be placed, or wants a machine for it.
void Autoscaler::plan_job(Plan& plan, const PendingJob& waiting) {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    const MachineType* type = cheapest(s);
    // Nothing is rented for a job that is likely to fail again, unless it finds no room for
    // long: it must have its tries.
    bool in_doubt =
        job.doubtful() && ctx_.now.steady - waiting.pending_since < constants::job_backoff_max_s;
    if (type == nullptr || in_doubt) {
        return;
    }
    Need need = need_of(plan, waiting, *type);
    bool free_to_go = !s.spread && !s.together && !s.zone;  // whatever its other tasks do
    if (free_to_go && plan.hopeless.count(need.kind()) != 0) {
        return;
    }
    for (int i = 0; i < job.open(); ++i) {
        Resources sum = plan.planned[s.team] + s.each;
        if (!quota_.within_limit(s.team, sum)) {
            return;
        }
        plan.planned[s.team] = sum;
        std::set<std::string> barred;
        std::size_t found = find_room(plan, need, barred);
        if (found == plan.free.size() && !want(plan, need, barred)) {
            if (free_to_go) {
                plan.hopeless.insert(need.kind());
            }
            return;
        }
        Bin& bin = plan.free[found];
        bin.room -= s.each;
        bin.empty = false;
        need.in_zone[bin.zone]++;
        if (s.together && !need.only) {
            need.only = bin.zone;
        }
    }
}

Autoscaler::Need Autoscaler::need_of(Plan& plan, const PendingJob& waiting,
                                     const MachineType& type) const {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    Need need;
    need.spec = &s;
    need.type = &type;
    // Idle work has cheap machines rented for it, ordinary ones only if it may not use others.
    need.idle_work = PlacementConstraints::is_best_effort_spot(s);
    need.only = s.zone;
    if (s.spread || s.together) {
        job.each_placement([&](int, const Placement& p) {
            need.in_zone[p.zone]++;
            if (s.together) {
                need.only = p.zone;
            }
            return true;
        });
    }
    // A job that may use cheap machines takes an empty ordinary one only if no cheap one can
    // be had.
    need.cheap = s.spot && (need.idle_work || pick_zone(type.name, true, need.only, plan.load));
    need.demands = waiting.equivalence_class;
    if (s.together && !need.only && s.tasks > 1) {
        need.only = roomiest_zone(plan, need);
    }
    return need;
}

bool Autoscaler::takes(const Bin& b, const Need& need) const {
    const JobSpec& s = *need.spec;
    bool type_ok =
        !s.types || std::find(s.types->begin(), s.types->end(), b.type) != s.types->end();
    const MachineType* t = fleet_.type(b.type);
    bool scraps = need.idle_work && !b.spot && s.each.gpus <= 0 && t != nullptr;
    return type_ok && (!b.spot || s.spot) && (!need.cheap || b.spot || !b.empty) &&
           s.each.fits_in(scraps ? PlacementConstraints::leftover_room(*t, b.room) : b.room);
}

std::size_t Autoscaler::next(const Plan& plan, const Need& need, const std::string& zone,
                             std::size_t from) const {
    while (from < plan.free.size() &&
           (plan.free[from].zone != zone || !takes(plan.free[from], need))) {
        ++from;
    }
    return from;
}

// The zone with most room, so that little must be rented beside it.
std::optional<std::string> Autoscaler::roomiest_zone(Plan& plan, const Need& need) const {
    std::optional<std::string> best;
    int most = 0;
    for (const auto& zone : need.type->zones) {
        int found = 0;
        for (std::size_t i = next(plan, need, zone, plan.cursors[{need.demands, need.cheap, zone}]);
             i < plan.free.size() && found < need.spec->tasks; i = next(plan, need, zone, i + 1)) {
            ++found;
        }
        if (found > most) {
            most = found;
            best = zone;
        }
    }
    return best;
}

// The first bin that takes a task, or the end. Names the zones in which the job has all that its
// spread allows.
std::size_t Autoscaler::find_room(Plan& plan, Need& need, std::set<std::string>& barred) const {
    const JobSpec& s = *need.spec;
    std::size_t found = plan.free.size();
    for (const auto& zone : need.type->zones) {
        if (s.spread && need.in_zone[zone] >= (s.tasks + 1) / 2) {
            barred.insert(zone);
            continue;
        }
        if (need.only && *need.only != zone) {
            continue;
        }
        std::size_t& cursor = plan.cursors[{need.demands, need.cheap, zone}];
        cursor = next(plan, need, zone, cursor);
        found = std::min(found, cursor);
    }
    return found;
}

// Wants one more machine for the job, as the last bin; false if none can be had now.
bool Autoscaler::want(Plan& plan, const Need& need, const std::set<std::string>& barred) const {
    bool spot = need.spec->spot;
    const auto& type = need.type->name;
    auto zone = pick_zone(type, spot, need.only, plan.load, barred);
    if (!zone && spot && !need.idle_work) {
        spot = false;
        zone = pick_zone(type, spot, need.only, plan.load, barred);
    }
    // One look's worth: what a larger job needs beyond it, the next looks see.
    if (!zone || ++plan.wanted[{type, *zone, spot}] > constants::rental_look) {
        return false;
    }
    plan.load[*zone]++;
    plan.free.push_back({*zone, type, spot, true, need.type->size});
    return true;
}

const MachineType* Autoscaler::base_type() const {
    const MachineType* base = nullptr;
    for (const auto& t : fleet_.types()) {
        base = base == nullptr || t.price < base->price ? &t : base;
    }
    return base;
}

// Whole empty machines for work that has not come yet.
void Autoscaler::plan_headroom(Plan& plan) const {
    const MachineType* base = base_type();
    double spare = 0;
    for (const auto& b : plan.free) {
        spare += b.empty && !b.spot ? 1 : 0;
    }
    for (int wish = headroom(); base != nullptr && spare < wish; ++spare) {
        auto zone = pick_zone(base->name, false, std::nullopt, plan.load);
        if (!zone) {
            break;
        }
        plan.wanted[{base->name, *zone, false}]++;
        plan.load[*zone]++;
    }
}

// The same for work that may use cheap machines.
void Autoscaler::plan_cheap_headroom(Plan& plan) const {
    const MachineType* base = base_type();
    double cheap = 0;
    for (const auto& b : plan.free) {
        const MachineType* t = fleet_.type(b.type);
        cheap += b.spot && t != nullptr && t->size.cpus > 0 ? b.room.cpus / t->size.cpus : 0;
    }
    if (base != nullptr && cheap < constants::cheap_headroom &&
        fleet_.spot_arrivals(ctx_.now.wall - constants::arrivals_s) > 0) {
        if (auto zone = pick_zone(base->name, true, std::nullopt, plan.load)) {
            plan.wanted[{base->name, *zone, true}]++;
        }
    }
}

void Autoscaler::order(const Plan& plan) {
    std::vector<RentalNotice> notices;
    for (const auto& [kind, count] : plan.wanted) {
        for (int left = std::min(count, constants::rental_look); left > 0;
             left -= constants::rental_max) {
            Rental r;
            r.request =
                fmt::format("{}-{}-{}", ctx_.settings.name, ctx_.fencing_token, ++rentals_made_);
            r.kind = kind;
            r.count = std::min(left, constants::rental_max);
            rentals_.push_back(r);
            const auto& [type, zone, spot] = kind;
            notices.push_back({r.request, type, zone, spot, r.count, true, {}});
        }
    }
    tell(notices);
}

void Autoscaler::send(Rental& rental) {
    rental.open = true;
    const auto& [type, zone, spot] = rental.kind;
    CloudCall call;
    call.kind = CloudCall::Kind::rent;
    call.request = rental.request;
    call.type = type;
    call.zone = zone;
    call.spot = spot;
    call.count = rental.count;
    ctx_.info("rent {}: {} of {} in {}{}", call.request, call.count, type, zone,
              spot ? ", spot" : "");
    ctx_.cloud(call, [this, name = rental.request](const CloudReply& r) {
        auto it = std::find_if(rentals_.begin(), rentals_.end(),
                               [&](const Rental& x) { return x.request == name; });
        if (it == rentals_.end()) {
            return;  // of an earlier epoch: the list will show what it brought
        }
        it->open = false;
        const auto& [type, zone, spot] = it->kind;
        switch (r.status) {
            case CloudReply::Status::ok: {
                ctx_.info("rented {}: {}", name, fmt::join(r.machines, ","));
                tell({{name, type, zone, spot, it->count, false, r.machines}});
                if (static_cast<int>(r.machines.size()) < it->count) {
                    no_capacity_until_[it->kind] = ctx_.now.steady + constants::no_capacity_s;
                }
                Kind kind = it->kind;
                rentals_.erase(it);
                rented(kind, r.machines, 0);
                break;
            }
            case CloudReply::Status::no_capacity:
                ctx_.info("rental {}: no capacity", name);
                tell({{name, type, zone, spot, it->count, false, {}}});
                no_capacity_until_[it->kind] = ctx_.now.steady + constants::no_capacity_s;
                rentals_.erase(it);
                break;
            case CloudReply::Status::bad:
                ctx_.error("rental {}: refused as malformed", name);
                rentals_.erase(it);
                break;
            default:
                // It may have been executed: repeated under its own name, so that it can't
                // rent twice.
                it->next_try = ctx_.now.steady + 1;
        }
    });
}

}  // namespace cranemoor::core

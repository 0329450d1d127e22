#include "core/scheduling/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

bool Scheduler::held_for_other(const std::string& machine, const std::string& uid) const {
    auto held = holds_.find(machine);
    return held != holds_.end() && held->second.uid != uid && held->second.until >= ctx_.now.steady;
}

void Scheduler::hold(const std::string& machine, const JobSpec& spec, double seconds) {
    holds_[machine] = {spec.uid, ctx_.now.steady + seconds, spec.priority};
}

bool Scheduler::idle_work(const JobSpec& s) {
    return s.priority == Priority::best_effort && s.spot;
}

// What is left over on an ordinary machine for work without GPUs: no CPUs that free GPUs may need.
Resources Scheduler::leftover(const MachineType& t, Resources room) {
    if (t.size.gpus > 0) {
        room.cpus -= room.gpus * t.size.cpus / t.size.gpus;
        room.memory_gb -= room.gpus * t.size.memory_gb / t.size.gpus;
    }
    return room;
}

// What of an offer's room a job may use. Idle work gets only what is left over, except on cheap
// machines: never an empty ordinary one.
Resources Scheduler::room_for(const Offer& offer, const JobSpec& s) const {
    if (!idle_work(s) || offer.machine->spot) {
        return offer.room;
    }
    if (offer.empty) {
        return {};
    }
    const MachineType* t = fleet_.type(offer.machine->type);
    return s.each.gpus > 0 || t == nullptr ? offer.room : leftover(*t, offer.room);
}

bool Scheduler::allowed(const Job& job, const Machine& m) const {
    const JobSpec& s = job.spec;
    if (s.types && std::find(s.types->begin(), s.types->end(), m.type) == s.types->end()) {
        return false;
    }
    if ((s.zone && *s.zone != m.zone) || (m.spot && !s.spot)) {
        return false;
    }
    if (s.together && s.kind != JobKind::gang && job.record_count() > 1) {
        // Claims on different blocks don't see each other: a fixed zone keeps them together.
        const auto& zones = ctx_.settings.zones;
        std::size_t pick = stable_hash(s.uid) % std::max<std::size_t>(1, zones.size());
        return !s.zone && pick < zones.size() ? zones[pick] == m.zone : true;
    }
    bool fits = true;
    if (s.together) {
        job.each_placement([&](int, const Placement& p) { return fits = p.zone == m.zone; });
    }
    return fits;
}

int Scheduler::spread_room(const Job& job, int k, const std::string& zone) {
    int first = job.block_first(k);
    int size = job.block_last(k) - first + 1;
    if (!job.spec.spread) {
        return size;
    }
    // Blocks are of even size, all but the last: if each keeps to half of its own tasks, rounded
    // up, then so does the job. That lets a claim be checked under its own block's revision.
    // Pages are looked at together, as the record that they were made from: each alone may hold
    // more than its half already.
    int last = job.block_last(k);
    if (job.page_size > 0) {
        first = first / job.record_size * job.record_size;
        last = std::min(job.spec.tasks, first + job.record_size) - 1;
        size = last - first + 1;
    }
    int there = 0;
    for (int b = job.block_of(first); b <= job.block_of(last); ++b) {
        for (const auto& [task, p] : job.block(b).placed) {
            there += p.zone == zone && task >= first && task <= last ? 1 : 0;
        }
    }
    return std::max(0, (size + 1) / 2 - there);
}

double Scheduler::rank(const Offer& offer, const Job& job) const {
    // Cheap machines first for jobs that may use them, machines in use next, and empty ordinary
    // ones last: those are kept whole for gangs that need one. Work goes to the fullest machine,
    // so that the others become empty.
    const Machine& m = *offer.machine;
    if (job.spec.kind == JobKind::gang && job.done() == 0) {
        return m.spot ? 0 : 1;
    }
    if (offer.empty && !m.spot) {
        return 3;
    }
    if (idle_work(job.spec) && !m.spot) {
        return -1;  // room that costs nothing, on machines that are not taken back
    }
    const MachineType* t = fleet_.type(m.type);
    double free = t != nullptr && t->size.cpus > 0 ? offer.room.cpus / t->size.cpus : 0;
    // A start on a machine whose report was answered waits for its next one.
    double wait = m.open_request ? 0 : constants::rank_step;
    return (m.spot ? 0 : 1.5) + free + wait;
}

// Whether a machine in use has room for small work that would otherwise break into an empty one.
bool Scheduler::better_elsewhere(Round& round, const Offer& offer,
                                 const PendingQueue::Waiting& waiting) const {
    const Job& job = *waiting.job;
    if (!offer.empty || offer.machine->spot) {
        return false;
    }
    auto [it, first] = round.memo.try_emplace({Ask::What::used, waiting.demands, 0, 0}, false);
    if (!first) {
        return it->second;
    }
    for (const Machine* other : fleet_.all()) {
        if (fleet_.in_use(*other) && !fleet_.site(*other).tasks.empty() &&
            job.spec.each.fits_in(fleet_.room(*other)) && allowed(job, *other)) {
            it->second = true;
            break;
        }
    }
    return it->second;
}

// Whether work that may run on cheap machines should leave an empty ordinary one alone: a cheap
// one is there or on its way.
bool Scheduler::cheap_coming(Round& round, const Offer& offer,
                             const PendingQueue::Waiting& waiting) const {
    const Job& job = *waiting.job;
    if (offer.machine->spot || !job.spec.spot || job.spec.checkpoint_s <= 0 ||
        job.spec.priority > Priority::normal || !offer.empty) {
        return false;
    }
    auto [it, first] = round.memo.try_emplace({Ask::What::cheap, waiting.demands, 0, 0}, false);
    if (!first) {
        return it->second;
    }
    for (const Machine* other : fleet_.all()) {
        const MachineType* t = other->spot ? fleet_.type(other->type) : nullptr;
        if (t == nullptr || other->interruption_deadline) {
            continue;
        }
        bool young = ctx_.now.steady - other->launched_at < t->boot_s * constants::boot_late_factor;
        if ((other->up() || young) && job.spec.each.fits_in(fleet_.room(*other)) &&
            !fleet_.site(*other).mark && allowed(job, *other)) {
            it->second = true;
            break;
        }
    }
    return it->second;
}

void Scheduler::gather(Round& round, bool mine) const {
    for (Machine* each : fleet_.all()) {
        Machine& m = *each;
        if (m.owned_by_us != mine) {
            continue;
        }
        m.seen_by_scheduler =
            true;  // where there is no room or use for it, that is an answer as well
        if (fleet_.room(m).cpus < Resources::slack ||
            !(mine ? fleet_.usable(m) : fleet_.in_use(m))) {
            continue;
        }
        Offer offer;
        offer.machine = &m;
        offer.room = fleet_.room(m);
        if (auto r = reserved_.find(m.name); r != reserved_.end()) {
            offer.room -= r->second;
        }
        if (offer.room.cpus < Resources::slack) {
            continue;
        }
        offer.mine = mine;
        offer.empty = fleet_.site(m).tasks.empty();
        auto hold = holds_.find(m.name);
        if (hold != holds_.end() && hold->second.until >= ctx_.now.steady) {
            offer.holder = hold->second.uid;
            offer.held = hold->second.priority;
        }
        round.offers.push_back(std::move(offer));
    }
}

void Scheduler::round() {
    double dt = ctx_.now.steady - last_round_;
    last_round_ = ctx_.now.steady;
    for (const auto& uid : std::exchange(skipped_, {})) {
        if (auto w = waits_.find(uid); w != waits_.end()) {
            w->second.wait += dt;
            w->second.skipped = false;
        }
    }
    Round round;
    gather(round, true);
    if (ctx_.jobs.open().empty()) {
        return;
    }
    pending_queue_.each(rush(), [&](const PendingQueue::Waiting& waiting) {
        if (blocks_open_ >= constants::claim_blocks_open) {
            return false;
        }
        bool shared = sheets_.is_batched(*waiting.job);
        double stagger = shared ? 0 : constants::home_stagger_s * static_cast<double>(waiting.turn);
        bool theirs =
            shared && waiting.job->block_count() == 1 && !sheets_.may_claim(*waiting.job, 0);
        if (!theirs && ctx_.now.steady - waiting.open_since >= stagger) {
            walk(round, waiting);
        }
        return true;
    });
    send_batch();
    send_sheet();
}

void Scheduler::skip(Wait& wait, const std::string& uid) {
    if (!wait.skipped) {
        wait.skipped = true;
        skipped_.push_back(uid);
    }
}

void Scheduler::walk(Round& round, const PendingQueue::Waiting& waiting) {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    bool gang = s.kind == JobKind::gang && job.done() == 0;
    // A gang of one that takes a whole machine looks for it as larger ones do, among all members'.
    if (gang && (s.tasks > 1 || fleet_.needs_whole_machine(s))) {
        if (!claim_gang(round, waiting)) {
            hold_for(round, waiting);
        }
        return;
    }
    if (round.hopeless.count(waiting.demands) != 0) {
        if (gang) {
            hold_for(round, waiting);
        }
        return;
    }
    Wait& w = waits_[s.uid];
    int image = fleet_.image_number(s.image);
    bool fits = false;
    std::vector<Choice> choices;
    for (auto& offer : round.offers) {
        if (!offer.mine || !s.each.fits_in(room_for(offer, s)) || !allowed(job, *offer.machine)) {
            continue;
        }
        fits = true;
        // Held room is for its job, and for more urgent ones.
        if (!offer.holder.empty() && offer.holder != s.uid && s.priority <= offer.held) {
            continue;
        }
        bool local = s.image_gb <= 0 || Fleet::has_image(*offer.machine, image) ||
                     std::count(offer.images.begin(), offer.images.end(), image) != 0;
        bool fetch_waits = !local && slow_fetch(offer, image);
        bool cheap = cheap_coming(round, offer, waiting);
        bool better = !gang && better_elsewhere(round, offer, waiting);
        bool pass = cheap || fetch_waits || better || (!local && local_chance(round, waiting));
        double most = longest_pass(*offer.machine, s, fetch_waits);
        if (better) {
            most = std::max(most, ctx_.tunables.locality_wait_s);
        }
        if (cheap) {
            most = std::max(most, constants::cheap_pass_s);
        }
        if (pass && (w.level == 0 || cheap) && w.wait < most) {
            skip(w, s.uid);
            continue;
        }
        choices.push_back({&offer, local, rank(offer, job)});
    }
    if (!fits) {
        round.hopeless.insert(waiting.demands);
    }
    std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
        return std::make_tuple(!a.local, a.rank) < std::make_tuple(!b.local, b.rank);
    });
    if (!choices.empty() && claim_tasks(job, choices) > 0) {
        w.wait = 0;
        w.level = choices.front().local ? 0 : 1;
    } else if (gang && !fits) {
        hold_for(round, waiting);
    }
}

// Whether waiting may find the job machines with its image, for a gang as many as it has tasks:
// such that have room, or where work is expected to end before W is over. Waiting for others
// would cost a start its time.
bool Scheduler::local_chance(Round& round, const PendingQueue::Waiting& waiting) const {
    const Job& job = *waiting.job;
    bool gang = job.spec.kind == JobKind::gang && job.done() == 0;
    int needed = gang ? job.spec.tasks : 1;
    int image = fleet_.image_number(job.spec.image);
    auto [it, first] =
        round.memo.try_emplace({Ask::What::local, waiting.demands, image, needed}, false);
    if (!first) {
        return it->second;
    }
    int found = 0;
    for (const Machine* each : fleet_.all()) {
        const Machine& m = *each;
        if (!Fleet::has_image(m, image) || fleet_.zone_partitioned(m.zone) || fleet_.site(m).mark ||
            !allowed(job, m)) {
            continue;
        }
        Resources room = fleet_.room(m);
        for (const auto& [id, on] : fleet_.site(m).tasks) {
            double left = on.job->spec.estimate_s - (ctx_.now.steady - fleet_.placed_at(id));
            if (on.job->spec.kind != JobKind::service && left < ctx_.tunables.locality_wait_s) {
                room += on.job->spec.each;
            }
        }
        found += job.spec.each.fits_in(room) ? 1 : 0;
        if (found >= needed) {
            it->second = true;
            break;
        }
    }
    return it->second;
}

// Whether the machine is fetching another image already: two fetches share its rate, and both
// images would be late.
bool Scheduler::slow_fetch(const Offer& offer, int image) const {
    for (int other : offer.images) {
        if (other != image) {
            return true;
        }
    }
    fleet_.room(*offer.machine);  // counts what is being fetched as well
    const auto& fetching = offer.machine->images_pulling;
    return std::any_of(fetching.begin(), fetching.end(), [&](int i) { return i != image; });
}

double Scheduler::longest_pass(const Machine& m, const JobSpec& spec, bool fetch_waits) const {
    const MachineType* t = fleet_.type(m.type);
    double fetch = t != nullptr && t->fetch_gb_per_s > 0 ? spec.image_gb / t->fetch_gb_per_s : 0;
    // The wait is lost for sure, what it may save is the fetch, and that is a chance: it pays only
    // while it is short beside the fetch, except for a better machine.
    double wait = std::min(ctx_.tunables.locality_wait_s, fetch * constants::wait_share);
    return fetch_waits ? std::min(constants::fetch_pass_s, std::max(fetch, wait)) : wait;
}

// Claims as many of the job's tasks as the machines take, in one write for each block.
int Scheduler::claim_tasks(const Job& job, const std::vector<Choice>& choices) {
    const JobSpec& s = job.spec;
    int image = fleet_.image_number(s.image);
    std::size_t machines_max = ctx_.ops_max() * 2;
    std::size_t claimed = 0;
    for (int k = 0; k < job.block_count(); ++k) {
        const Block& now = job.block(k);
        int open = job.block_last(k) - job.block_first(k) + 1 - now.done_count();
        if (open == static_cast<int>(now.placed.size()) || ctx_.busy.count(job.block_key(k)) != 0 ||
            !sheets_.may_claim(job, k)) {
            continue;
        }
        bool shared = sheets_.is_batched(job);
        if (shared && sheets_open_ >= constants::sheets_open) {
            break;  // what is on its way goes first
        }
        // The record is written whole: ends that wait to be told go with it.
        Block next = now;
        if (!shared) {
            fleet_.pending_exits().apply_to_block(job, k, next);
        }
        next.attempt++;
        std::size_t bytes = bytes_of(next);
        std::vector<std::pair<int, Offer*>> places;
        std::map<std::string, int> spread;  // by zone, what its rule still allows
        std::set<Offer*> used;
        auto choice = choices.begin();
        auto takes = [&](const Choice& c) {
            // One claim may see machines of several zones: a job that must stay together has
            // settled on one with its first task, also with the first of this very claim.
            if (s.together && !places.empty() &&
                places.front().second->machine->zone != c.offer->machine->zone) {
                return false;
            }
            auto zone = spread.try_emplace(c.offer->machine->zone, 0);
            if (zone.second) {
                zone.first->second = spread_room(job, k, c.offer->machine->zone);
            }
            if (zone.first->second <= 0 || !s.each.fits_in(room_for(*c.offer, s))) {
                return false;
            }
            --zone.first->second;
            return true;
        };
        for (int t = job.block_first(k); t <= job.block_last(k); ++t) {
            if (now.placed.count(t) != 0 || next.is_done(t)) {
                continue;  // also what has just ended without success: its turn comes later
            }
            // Less than what would fit, if the limit allows only that.
            Resources all = s.each * static_cast<double>(places.size() + 1);
            // Of a doubtful job one task is tried at a time, until one is done.
            bool tried = job.doubtful() &&
                         static_cast<std::size_t>(job.placed()) + claimed + places.size() > 0;
            if (tried || !quota_.within_limit(s.team, all)) {
                break;
            }
            while (choice != choices.end() && !takes(*choice)) {
                ++choice;
            }
            if (choice == choices.end() || used.size() > machines_max) {
                break;
            }
            const Machine& m = *choice->offer->machine;
            bytes += bytes_of(t, {m.name, m.zone, next.attempt, ctx_.me.id});
            if (bytes > ctx_.value_max()) {
                break;  // its record takes no more
            }
            choice->offer->room -= s.each;
            used.insert(choice->offer);
            places.emplace_back(t, choice->offer);
        }
        bool to_sheet =
            shared && places.size() < constants::sheet_claim_tasks && !in_doubt(job.block_key(k));
        Txn& txn = to_sheet ? sheet_.txn : batch_.txn;
        while (!places.empty() &&
               !quota_.cover(s.team, s.each * static_cast<double>(places.size()), txn)) {
            places.back().second->room += s.each;
            places.pop_back();
        }
        if (places.empty()) {
            if (!s.spread) {
                break;  // no room for one is none for the tasks of the next block
            }
            continue;
        }
        std::vector<std::string> machines;
        for (const auto& [t, offer] : places) {
            next.placed[t] = {offer->machine->name, offer->machine->zone, next.attempt, ctx_.me.id};
            machines.push_back(offer->machine->name);
            offer->empty = false;
            offer->images.push_back(image);
        }
        claimed += places.size();
        if (to_sheet) {
            add_to_sheet(job, k, next, machines);
        } else {
            add_claim(job, {{k, next}}, machines, static_cast<int>(places.size()));
        }
        if (job.page_size > 0 && (s.spread || s.together)) {
            break;  // the next page's places depend on these
        }
    }
    return static_cast<int>(claimed);
}

// Whether a claim in a block's own record had no answer and may still be carried out. Guards
// against one in a sheet beside it: that leaves the block's revision as it is, so that both would
// hold. In the block's record only one of the two can.
bool Scheduler::in_doubt(const std::string& key) const {
    return std::any_of(unknown_.begin(), unknown_.end(),
                       [&](const Claim& c) { return c.key == key && undecided(c); });
}

// Whether a claim's conditions still hold, so that it may yet be carried out.
bool Scheduler::undecided(const Claim& c) const {
    return ctx_.jobs.revision_of(c.key) == c.revision &&
           ctx_.jobs.revision_of(keys::epoch) == c.epoch;
}

// Whole or not at all: every block of the job goes into one transaction, so that one controller
// starts it, also on machines of others, which launch what the records say. Returns whether the
// job's room is there, or is not what it lacks.
bool Scheduler::claim_gang(Round& round, const PendingQueue::Waiting& waiting) {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    std::pair<int, int> size{s.tasks, waiting.demands};
    bool holding = held_since_.count(s.uid) != 0;
    if (!holding && round.too_large.count(size) != 0) {
        return false;
    }
    auto blocks = next_attempt(job);
    if (blocks.empty()) {
        return false;
    }
    if (!round.others) {
        round.others = true;
        gather(round, false);
    }
    GangPlaces best = gang_places(round, job);
    if (best.places.empty()) {
        if (!holding) {
            round.too_large.insert(size);
        }
        return false;
    }
    Wait& w = waits_[s.uid];
    double most = longest_pass(*best.places.front().second->machine, s, false);
    if (best.local < s.tasks && w.level == 0 && w.wait < most && local_chance(round, waiting)) {
        skip(w, s.uid);
        return true;  // it has room: nothing needs to be held for it
    }
    if (!enter_places(job, best, blocks)) {
        ctx_.to_part.insert(s.uid);  // its blocks are of the version before
        return true;
    }
    send_batch();  // a gang's blocks have a transaction of their own
    Resources all = s.each * s.tasks;
    if (!quota_.within_limit(s.team, all) || !quota_.cover(s.team, all, batch_.txn)) {
        return true;  // no room is missing
    }
    std::vector<std::string> names;
    int image = fleet_.image_number(s.image);
    for (const auto& [t, offer] : best.places) {
        names.push_back(offer->machine->name);
        offer->room -= s.each;
        offer->empty = false;
        offer->images.push_back(image);
    }
    add_claim(job, blocks, names, s.tasks);
    send_batch();
    w.wait = 0;
    w.level = best.local == s.tasks ? 0 : 1;
    return true;
}

// The gang's blocks with the number of its next attempt; empty if it can't be claimed now.
std::map<int, Block> Scheduler::next_attempt(const Job& job) const {
    int count = job.block_count();
    if (count + 1 > ctx_.settings.state_txn_ops || job.open() != job.spec.tasks) {
        return {};
    }
    std::map<int, Block> blocks;
    std::uint64_t attempt = 0;
    for (int k = 0; k < count; ++k) {
        if (ctx_.busy.count(job.block_key(k)) != 0) {
            return {};
        }
        blocks[k] = job.block(k);
        attempt = std::max(attempt, blocks[k].attempt);
    }
    for (auto& [k, b] : blocks) {
        b.attempt = attempt + 1;
        b.stop = 0;
    }
    return blocks;
}

// Where the gang could start whole: with most of its tasks on machines that have its image, and of
// equals in our zone.
Scheduler::GangPlaces Scheduler::gang_places(Round& round, const Job& job) const {
    const JobSpec& s = job.spec;
    int image = fleet_.image_number(s.image);
    std::map<std::string, std::vector<Choice>> zones;
    for (auto& offer : round.offers) {
        bool kept = !offer.holder.empty() && offer.holder != s.uid && s.priority <= offer.held;
        if (kept || !s.each.fits_in(offer.room) || !allowed(job, *offer.machine)) {
            continue;
        }
        bool local = s.image_gb <= 0 || Fleet::has_image(*offer.machine, image);
        // Our own first, and those whose report waits for its answer.
        double rank = (offer.mine ? 0 : 2) + (offer.machine->open_request ? 0 : 1);
        zones[s.together ? offer.machine->zone : ""].push_back({&offer, local, rank});
    }
    GangPlaces best;
    for (auto& [zone, choices] : zones) {
        std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
            return std::make_tuple(!a.local, a.rank) < std::make_tuple(!b.local, b.rank);
        });
        GangPlaces here = fill(choices, s);
        bool own = zone == ctx_.settings.zone;
        if (static_cast<int>(here.places.size()) == s.tasks &&
            (here.local > best.local || (here.local == best.local && own))) {
            best = std::move(here);
        }
    }
    return best;
}

// As many of a gang's tasks as the choices take, in their order.
Scheduler::GangPlaces Scheduler::fill(const std::vector<Choice>& choices, const JobSpec& s) {
    GangPlaces here;
    here.local = 0;
    std::map<std::string, int> in_zone;
    int half = (s.tasks + 1) / 2;
    for (const auto& c : choices) {
        Resources room = c.offer->room;
        while (static_cast<int>(here.places.size()) < s.tasks && s.each.fits_in(room) &&
               (!s.spread || in_zone[c.offer->machine->zone] < half)) {
            room -= s.each;
            in_zone[c.offer->machine->zone]++;
            here.local += c.local ? 1 : 0;
            here.places.emplace_back(static_cast<int>(here.places.size()), c.offer);
        }
    }
    return here;
}

// Enters the places into the gang's blocks; false if one of them outgrows its record.
bool Scheduler::enter_places(const Job& job, const GangPlaces& best,
                             std::map<int, Block>& blocks) const {
    std::map<int, std::size_t> bytes;
    for (const auto& [t, offer] : best.places) {
        int k = job.block_of(t);
        Block& b = blocks[k];
        auto [sum, first] = bytes.try_emplace(k, bytes_of(job.block(k)));
        Placement place{offer->machine->name, offer->machine->zone, b.attempt, ctx_.me.id};
        sum->second += bytes_of(t, place);
        if (sum->second > ctx_.value_max()) {
            return false;
        }
        b.placed[t] = std::move(place);
    }
    return true;
}

void Scheduler::add_claim(const Job& job, const std::map<int, Block>& blocks,
                          const std::vector<std::string>& machines, int tasks) {
    Txn& txn = batch_.txn;
    for (auto& condition : ctx_.jobs.alive(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    Claim claim;
    for (const auto& [k, b] : blocks) {
        claim.key = job.block_key(k);
        claim.revision = job.block(k).revision;
        job.add_block(k, b, txn);
        batch_.blocks.push_back(claim.key);
        ++blocks_open_;
    }
    if (job.page_size > 0 && (job.spec.spread || job.spec.together)) {
        // Whether the place is allowed depends on the tasks of the other pages.
        for (int k = 0; k < job.block_count(); ++k) {
            if (blocks.count(k) == 0) {
                txn.conditions.push_back({job.block_key(k), job.block(k).revision});
            }
        }
    }
    note_claim(batch_, job, std::move(claim), machines, tasks);
    // The next claim may bring a block and a quota record.
    if (batch_.blocks.size() >= constants::claim_blocks || txn.writes.size() + 2 > ctx_.ops_max() ||
        txn.conditions.size() + constants::claim_conditions > ctx_.conditions_max()) {
        send_batch();
    }
}

// A claim beside its block's record, which stays as it is: whatever is written to that one comes
// either before the claim, which then fails, or knows of it.
void Scheduler::add_to_sheet(const Job& job, int k, const Block& next,
                             const std::vector<std::string>& machines) {
    Entry entry;
    entry.uid = job.spec.uid;
    entry.block = k;
    for (const auto& [task, place] : next.placed) {
        if (job.block(k).placed.count(task) == 0) {
            entry.placed[task] = place;
        }
    }
    auto tasks = static_cast<int>(entry.placed.size());
    std::size_t bytes = bytes_of(entry);
    if (!sheet_.entries.empty() && sheet_.bytes + bytes > sheets_.entry_bytes_per_write()) {
        send_sheet();
    }
    Txn& txn = sheet_.txn;
    for (auto& condition : ctx_.jobs.alive(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    txn.conditions.push_back({job.block_key(k), job.block(k).revision});
    sheet_.blocks.push_back(job.block_key(k));
    sheet_.bytes += bytes;
    sheet_.entries.push_back(std::move(entry));
    note_claim(sheet_, job, {}, machines, tasks);
    // The epoch, the table, the sheet itself, and the next claim.
    if (txn.conditions.size() + 3 + constants::claim_conditions > ctx_.conditions_max() ||
        txn.writes.size() + 2 > ctx_.ops_max()) {
        send_sheet();
    }
}

// Keeps what a claim takes reserved until its outcome is known.
void Scheduler::note_claim(Batch& batch, const Job& job, Claim claim,
                           const std::vector<std::string>& machines, int tasks) {
    ctx_.busy.insert(batch.blocks.begin(), batch.blocks.end());
    for (const auto& name : machines) {
        reserved_[name] += job.spec.each;
        batch.places.emplace_back(name, job.spec.each);
    }
    claim.epoch = ctx_.jobs.revision_of(keys::epoch);
    claim.team = job.spec.team;
    claim.amount = job.spec.each * tasks;
    quota_.reserve(claim.team, claim.amount);
    batch.claims.push_back(std::move(claim));
    std::set<std::string> distinct(machines.begin(), machines.end());
    ctx_.info("claim {} tasks {} on {}", job.spec.uid, tasks, fmt::join(distinct, ","));
}

// The machines of a batch, whose answers wait for it.
std::set<std::string> Scheduler::expect(const Batch& batch) {
    std::set<std::string> machines;
    for (const auto& [name, amount] : batch.places) {
        machines.insert(name);
    }
    for (const auto& name : machines) {
        if (Machine* m = fleet_.find(name)) {
            m->claims_in_flight++;
        }
    }
    return machines;
}

void Scheduler::send_batch() {
    Batch batch = std::exchange(batch_, {});
    if (batch.claims.empty()) {
        return;
    }
    batch.txn.conditions.push_back(ctx_.epoch_condition());
    batch.txn.conditions.push_back(sheets_.table_condition());
    batch.txn.purpose = Txn::Purpose::claim;
    // A machine that is marked meanwhile starts nothing any more: every copy that holds a claim
    // made after the mark holds the mark as well, and the claim is taken back.
    auto machines = expect(batch);
    Txn txn = std::move(batch.txn);
    ctx_.txn(std::move(txn), [this, batch, machines](const StateReply& r) {
        settle(batch, machines, r,
               [this, blocks = batch.blocks.size()] { blocks_open_ -= blocks; });
    });
}

void Scheduler::send_sheet() {
    Batch batch = std::exchange(sheet_, {});
    if (batch.claims.empty()) {
        return;
    }
    Condition where = sheets_.next_record();
    for (auto& claim : batch.claims) {
        claim.key = where.key;
        claim.revision = where.revision;
    }
    batch.txn.conditions.push_back(sheets_.table_condition());
    auto machines = expect(batch);
    ++sheets_open_;
    auto entries = std::move(batch.entries);
    Txn txn = std::move(batch.txn);
    sheets_.write(std::move(entries), std::move(txn), [this, batch, machines](const StateReply& r) {
        settle(batch, machines, r, [this] { --sheets_open_; });
    });
}

void Scheduler::settle(const Batch& batch, const std::set<std::string>& machines,
                       const StateReply& r, std::function<void()> counted) {
    auto over = [this, batch, machines, counted = std::move(counted)] {
        counted();
        for (const auto& key : batch.blocks) {
            ctx_.busy.erase(key);
        }
        for (const auto& [name, amount] : batch.places) {
            Resources& left = reserved_[name];
            left -= amount;
            if (left.cpus < Resources::slack) {
                reserved_.erase(name);
            }
        }
        for (const auto& name : machines) {
            Machine* m = fleet_.find(name);
            if (m != nullptr) {
                m->claims_in_flight--;
                fleet_.reply_if_due(*m);
            }
        }
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
}

// The first gang in its team's order holds the machines of ours that will be empty soonest, for
// a set time: then others have a turn, and a gang that can't be helped that way keeps nothing idle.
void Scheduler::hold_for(Round& round, const PendingQueue::Waiting& waiting) {
    const Job& job = *waiting.job;
    const JobSpec& s = job.spec;
    if (job.doubtful() || waiting.turn != 0) {
        return;
    }
    // Gangs below their floor need whole machines, one after the other would be too few.
    bool another = waiting.ahead &&
                   (held_since_.count(s.uid) != 0 || held_since_.size() < constants::floor_holds);
    if (!round.held_teams.insert(s.team).second && !another) {
        return;
    }
    double& since = held_since_.try_emplace(s.uid, ctx_.now.steady).first->second;
    double held_for = ctx_.now.steady - since;
    // Of a flow below its floor work that runs out must be waited for: while it is short of room,
    // what others start there takes minutes.
    double hold_s = waiting.ahead ? constants::floor_hold_s : ctx_.tunables.gang_hold_s;
    if (held_for > hold_s) {
        if (held_for > hold_s + ctx_.tunables.gang_hold_s) {
            held_since_.erase(s.uid);
        }
        return;
    }
    int held = 0;
    for (const auto& [name, h] : holds_) {
        held += h.uid == s.uid && h.until >= ctx_.now.steady ? 1 : 0;
    }
    if (held >= s.tasks) {
        return;
    }
    std::vector<std::pair<double, const Machine*>> candidates;
    for (const Machine* each : fleet_.all()) {
        const Machine& m = *each;
        auto old = holds_.find(m.name);
        bool taken = old != holds_.end() && old->second.until >= ctx_.now.steady;
        const MachineType* t = fleet_.type(m.type);
        if (!m.owned_by_us || taken || !fleet_.usable(m) || t == nullptr ||
            !s.each.fits_in(t->size) || !allowed(job, m)) {
            continue;
        }
        double work = 0;
        bool service = false;
        for (const auto& [id, on] : fleet_.site(m).tasks) {
            service = service || on.job->spec.kind == JobKind::service;
            double ran = ctx_.now.steady - fleet_.placed_at(id);
            work = std::max(work, on.job->spec.estimate_s - ran);
        }
        if (!service) {
            candidates.emplace_back(work, &m);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [work, m] : candidates) {
        if (held >= s.tasks) {
            break;
        }
        ++held;
        holds_[m->name] = {s.uid, since + hold_s, s.priority};
        ctx_.debug("hold {} for gang {}", m->name, s.uid);
    }
}

void Scheduler::epoch_changed() {
    holds_.clear();
}

void Scheduler::records_changed(const std::set<std::string>& touched) {
    for (std::size_t i = 0; i < unknown_.size();) {
        const Claim& c = unknown_[i];
        if (undecided(c)) {
            ++i;
            continue;
        }
        quota_.release(c.team, c.amount);
        unknown_.erase(unknown_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    std::set<std::string> placed;  // or over
    for (const auto& uid : touched) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || job->open() == 0) {
            waits_.erase(uid);
            held_since_.erase(uid);
            placed.insert(uid);
        }
    }
    if (!placed.empty()) {
        std::erase_if(holds_, [&](const auto& h) {
            return h.second.until < ctx_.now.steady || placed.count(h.second.uid) != 0;
        });
    }
}

void Scheduler::tick() {
    if (!ctx_.member || !membership_.has_store_contact()) {
        return;
    }
    double every = constants::round_every_s * pending_queue_.rarely(constants::round_rarely);
    if (ctx_.now.steady - last_round_ >= every) {
        round();
    }
}

}  // namespace cranemoor::core

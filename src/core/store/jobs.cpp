#include "core/store/jobs.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranemoor::core {

namespace {
bool has_prefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}

// c/b/<uid>/<index>, and others of that form
std::pair<std::string, int> parts_of(const std::string& key) {
    auto slash = key.rfind('/');
    return {key.substr(4, slash - 4), std::stoi(key.substr(slash + 1))};
}
}  // namespace

const Block& Job::block(int index) const {
    static const Block none;
    auto it = blocks.find(index);
    return it == blocks.end() ? none : it->second;
}

std::optional<int> Job::first_open(int index) const {
    const Block& b = block(index);
    for (int t = block_first(index); t <= block_last(index); ++t) {
        if (b.placed.count(t) == 0 && !b.is_done(t)) {
            return t;
        }
    }
    return std::nullopt;
}

JobRecord Job::record() const {
    JobRecord r{spec,
                submitted_wall,
                page_size > 0 ? record_size : block_size,
                own_cancelled_wall,
                page_size,
                waiting,
                follow_parts,
                ready_wall};
    r.spec.priority = own_priority;
    return r;
}

const Block& Job::first_record() const {
    static const Block none;
    const auto& records = page_size > 0 ? whole : blocks;
    auto it = records.find(0);
    return it == records.end() ? none : it->second;
}

std::vector<std::pair<std::string, Revision>> Job::other_records() const {
    std::vector<std::pair<std::string, Revision>> list;
    for (const auto& [k, b] : page_size > 0 ? whole : blocks) {
        if (k != 0 && b.revision != 0) {
            list.emplace_back(keys::block(spec.uid, k), b.revision);
        }
    }
    for (const auto& [k, revision] : pages) {
        list.emplace_back(keys::page(spec.uid, k), revision);
    }
    return list;
}

std::string Job::block_key(int k) const {
    return page_size > 0 ? keys::page(spec.uid, k) : keys::block(spec.uid, k);
}

void Job::add_block(int k, const Block& next, Txn& txn) const {
    txn.conditions.push_back({block_key(k), block(k).revision});
    txn.writes.push_back({block_key(k), encode(next)});
    if (page_size > 0 && pages.count(k) == 0) {
        // The page is made from the block records as they are known here.
        for (int r = block_first(k) / record_size; r <= block_last(k) / record_size; ++r) {
            auto it = whole.find(r);
            txn.conditions.push_back(
                {keys::block(spec.uid, r), it == whole.end() ? 0 : it->second.revision});
        }
    }
}

void Jobs::begin_load() {
    std::uint64_t loads = loads_;
    auto noted = std::move(noted_);
    *this = Jobs();
    loads_ = loads + 1;
    noted_ = std::move(noted);
}

void Jobs::load(const std::vector<Event>& items) {
    for (const auto& item : items) {
        apply(item);
    }
}

void Jobs::end_load(Revision revision) {
    revision_ = revision;
    loaded_ = true;
    // Sheets were read one after the other: what they say is taken in as it was said.
    for (auto& [uid, said] : said_) {
        std::sort(said.begin(), said.end(),
                  [](const auto& a, const auto& b) { return a->at < b->at; });
        for (const auto& entry : said) {
            take_in(*entry);
        }
    }
}

Revision Jobs::revision_of(const std::string& key) const {
    auto it = revisions_.find(key);
    return it == revisions_.end() ? 0 : it->second;
}

void Jobs::apply(const Event& event) {
    // A page of a listing may be newer than the revision that the watch begins from: events
    // that it already contains must not set a key back.
    if (revision_of(event.key) >= event.revision && event.revision != 0) {
        return;
    }
    if (event.value) {
        put(event.key, *event.value, event.revision);
    } else {
        drop(event.key);
    }
}

void Jobs::index(const Job& job, const Block& block, int sign) {
    for (const auto& [task, p] : block.placed) {
        TaskId id{job.spec.uid, task};
        Site& on = *at(p.machine);
        if (sign > 0) {
            on.tasks[id] = {&job, &p};
            on.used += job.spec.each;
        } else {
            on.tasks.erase(id);
            on.used -= job.spec.each;
        }
        touched_machines_.insert(p.machine);
        used_[job.spec.team] += job.spec.each * sign;
        used_by_[{job.spec.team, p.charge}] += job.spec.each * sign;
    }
}

// Whether something is left to do about a job at its end: to write its final state, or to remove
// blocks that outlived it.
bool Jobs::is_over(const Job& job) {
    if (job.revision == 0 && !job.final) {
        return true;
    }
    if (job.final) {
        return !job.other_records().empty();
    }
    return job.complete() || (job.cancelled && job.placed() == 0);
}

void Jobs::classify(const std::string& uid, Job& job) {
    if (job.first_record().final && job.page_size == 0) {
        // What only sheets told of it has no record that would have to be removed.
        for (auto it = job.blocks.begin(); it != job.blocks.end();) {
            int k = it->first;
            bool told = k != 0 && it->second.revision == 0;
            ++it;
            if (told) {
                drop_block(job, k);
            }
        }
    }
    job.done_total = 0;
    job.placed_total = 0;
    job.fails = 0;
    bool some_well = false;  // tasks of another block were done: the job itself is sound
    for (const auto& [k, b] : job.blocks) {
        job.fails = std::max(job.fails, b.fails);
        some_well = some_well || (b.fails == 0 && !b.done.empty());
        job.done_total += b.done_count();
        job.placed_total += static_cast<int>(b.placed.size());
    }
    job.fails = some_well ? 0 : job.fails;
    const Block& first = job.first_record();
    job.cancelled_wall = std::max(job.own_cancelled_wall, first.cancelled_wall);
    if (auto noted = noted_.find(uid); noted != noted_.end()) {
        if (job.cancelled_wall > 0 || first.final) {
            noted_.erase(noted);
        } else {
            job.cancelled_wall = noted->second;
        }
    }
    job.cancelled = job.cancelled_wall > 0;
    if (first.final && !job.final) {
        job.final = first.final;
        job.final_at = first.revision;
        final_.emplace(job.final_at, uid);
    }
    bool live = job.revision != 0 && !job.final;
    auto keep = [&](std::set<std::string>& in, bool member) {
        if (member) {
            in.insert(uid);
        } else {
            in.erase(uid);
        }
    };
    keep(cancelled_, live && job.cancelled);
    keep(over_, is_over(job));
    if (live && !job.cancelled && !job.waiting && job.open() > 0) {
        open_.insert(&job);
    } else {
        open_.erase(&job);
    }
    touched_jobs_.insert(uid);
}

void Jobs::erase(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it->second.final) {
        final_.erase({it->second.final_at, uid});
    }
    open_.erase(&it->second);
    cancelled_.erase(uid);
    noted_.erase(uid);
    over_.erase(uid);
    touched_jobs_.insert(uid);
    jobs_.erase(it);
}

bool Jobs::note_cancelled(const std::string& uid, double wall) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.cancelled || it->second.final) {
        return false;
    }
    noted_[uid] = wall;
    classify(uid, it->second);
    return true;
}

bool Jobs::indexes_agree() const {
    std::size_t open = 0;
    std::size_t cancelled = 0;
    std::size_t over = 0;
    std::unordered_map<std::string, Site> by_machine;
    for (const auto& [uid, job] : jobs_) {
        int done = 0;
        int placed = 0;
        for (const auto& [k, b] : job.blocks) {
            done += b.done_count();
            placed += static_cast<int>(b.placed.size());
            for (const auto& [task, p] : b.placed) {
                if (job.revision != 0) {
                    by_machine[p.machine].tasks[{uid, task}] = {&job, &p};
                    by_machine[p.machine].used += job.spec.each;
                }
            }
        }
        bool live = job.revision != 0 && !job.final;
        bool is_open = live && !job.cancelled && !job.waiting && job.spec.tasks > done + placed;
        open += is_open ? 1 : 0;
        cancelled += live && job.cancelled ? 1 : 0;
        over += is_over(job) ? 1 : 0;
        if (done != job.done_total || placed != job.placed_total ||
            is_open != (open_.count(&job) != 0) || is_over(job) != (over_.count(uid) != 0) ||
            (live && job.cancelled) != (cancelled_.count(uid) != 0)) {
            return false;
        }
    }
    if (open != open_.size() || cancelled != cancelled_.size() || over != over_.size() ||
        static_cast<std::ptrdiff_t>(by_machine.size()) !=
            std::count_if(sites_.begin(), sites_.end(),
                          [](const auto& s) { return !s.second->tasks.empty(); })) {
        return false;
    }
    return std::all_of(by_machine.begin(), by_machine.end(), [&](const auto& m) {
        const Site& on = look(m.first);
        Resources gap = on.used - m.second.used;
        bool same = std::equal(on.tasks.begin(), on.tasks.end(), m.second.tasks.begin(),
                               m.second.tasks.end(), [](const auto& a, const auto& b) {
                                   return a.first == b.first && a.second.job == b.second.job &&
                                          a.second.place == b.second.place;
                               });
        return same && std::abs(gap.cpus) < Resources::slack &&
               std::abs(gap.gpus) < Resources::slack && std::abs(gap.memory_gb) < Resources::slack;
    });
}

void Jobs::list(const std::string& uid, const Json& value, Revision revision, bool own) {
    Job& job = jobs_[uid];
    if (!own && job.own_record) {
        return;  // a record of its own goes before one that it shares
    }
    bool first = job.revision == 0;
    JobRecord record = decode_job(value);
    bool parted = record.page_size > 0 && job.page_size == 0;
    if (parted && !first) {
        for (const auto& [k, b] : job.blocks) {
            index(job, b, -1);
        }
    }
    Priority lent =
        std::max(record.spec.priority, first ? record.spec.priority : job.spec.priority);
    job.own_priority = record.spec.priority;
    job.spec = std::move(record.spec);
    job.spec.priority = lent;
    job.submitted_wall = record.submitted_wall;
    job.own_cancelled_wall = record.cancelled_wall;
    job.waiting = record.waiting;
    job.follow_parts = record.follow_parts;
    job.ready_wall = record.ready_wall;
    job.block_size = record.page_size > 0 ? record.page_size : record.block_size;
    job.record_size = record.block_size;
    job.page_size = record.page_size;
    job.own_record = own;
    job.revision = revision;
    gather_follows(uid);
    if (parted) {
        job.whole = std::exchange(job.blocks, {});
        cut(job);
    } else if (first) {
        for (const auto& [k, b] : job.blocks) {
            index(job, b, 1);
        }
    }
    if (auto said = said_.find(uid); first && loaded_ && said != said_.end()) {
        for (const auto& entry : said->second) {
            take_in(*entry);
        }
    }
    classify(uid, job);
}

namespace {
// Enters what a sheet says of a block's tasks, from one number to another. Saying it twice changes
// nothing, and what ended is never placed again under the same attempt.
void say(Block& b, const Entry& e, int from, int to, bool claims) {
    b.merged = std::max(b.merged, e.at);
    for (const auto& [task, place] : e.placed) {
        auto p = b.placed.find(task);
        bool newer = p == b.placed.end() || p->second.attempt < place.attempt;
        if (claims && task >= from && task <= to && newer && !b.is_done(task)) {
            b.placed[task] = place;
            b.attempt = std::max(b.attempt, place.attempt);
        }
    }
    for (const auto* ended : {&e.done, &e.lost}) {
        for (const auto& [task, attempt] : *ended) {
            auto p = b.placed.find(task);
            if (task < from || task > to || p == b.placed.end() || p->second.attempt != attempt) {
                continue;
            }
            b.placed.erase(p);
            if (ended == &e.done) {
                b.add_done(task);
            }
        }
    }
}

constexpr int every_task = std::numeric_limits<int>::max();
}  // namespace

// Guards against a claim or an end that is forgotten, since the record of its block was written by
// somebody who did not know of it yet: each record says up to which revision sheets are in it.
void Jobs::merge(const std::string& uid, int k, Block& next) const {
    auto said = said_.find(uid);
    if (said == said_.end() || next.final || !loaded_) {
        return;
    }
    Revision merged = next.merged;
    for (const auto& entry : said->second) {
        if (entry->block == k && entry->at > merged) {
            say(next, *entry, 0, every_task, true);
        }
    }
}

void Jobs::take_in(const Entry& e) {
    auto it = jobs_.find(e.uid);
    if (!loaded_ || it == jobs_.end() || it->second.revision == 0 || it->second.final) {
        return;  // its turn comes, or it is over
    }
    Job& job = it->second;
    if (job.page_size > 0) {
        take_in_parted(job, e);
    } else if (job.block(e.block).merged < e.at) {
        Block next = job.block(e.block);
        say(next, e, 0, every_task, true);
        set_block(job, e.block, std::move(next));
    }
    classify(e.uid, job);
}

// A job's blocks may have become pages after a sheet told of them.
void Jobs::take_in_parted(Job& job, const Entry& e) {
    Block& record = job.whole[e.block];
    if (record.merged < e.at) {
        say(record, e, 0, every_task, true);
        cut(job);
    }
    for (const auto& [k, revision] : job.pages) {
        if (job.block(k).merged < e.at) {
            Block page = job.block(k);
            say(page, e, job.block_first(k), job.block_last(k), false);
            set_block(job, k, std::move(page));
        }
    }
}

bool Jobs::needed(const Entry& e) const {
    auto it = jobs_.find(e.uid);
    if (it == jobs_.end() || it->second.revision == 0 || it->second.final) {
        return false;
    }
    const Job& job = it->second;
    return job.page_size > 0 || job.block(e.block).recorded < e.at;
}

void Jobs::put_sheet(const std::string& key, const Sheet& sheet) {
    Said before = std::exchange(sheets_[key], {});
    Said& now = sheets_[key];
    auto same = [](const Entry& a, const Entry& b) {
        return a.at == b.at && a.block == b.block && a.uid == b.uid;
    };
    // What a sheet still has of what it said before is there in the same order.
    auto next = before.begin();
    for (const auto& e : sheet.entries) {
        auto old = std::find_if(next, before.end(), [&](const auto& o) { return same(*o, e); });
        if (old != before.end()) {
            now.push_back(std::exchange(*old, nullptr));
            next = std::next(old);
            continue;
        }
        now.push_back(std::make_shared<const Entry>(e));
        said_[e.uid].push_back(now.back());
        take_in(e);
    }
    for (const auto& gone : before) {
        if (gone != nullptr) {
            auto& said = said_[gone->uid];
            std::erase(said, gone);
            if (said.empty()) {
                said_.erase(gone->uid);
            }
        }
    }
    if (now.empty()) {
        sheets_.erase(key);
    }
}

void Jobs::gather_follows(const std::string& uid) {
    auto job = jobs_.find(uid);
    auto parts = follow_parts_.find(uid);
    if (job == jobs_.end() || parts == follow_parts_.end() || job->second.follow_parts == 0) {
        return;
    }
    job->second.spec.follows.clear();
    for (const auto& [n, list] : parts->second) {
        if (n >= job->second.follow_parts) {
            break;  // left of an earlier try
        }
        auto& all = job->second.spec.follows;
        all.insert(all.end(), list.begin(), list.end());
    }
    touched_jobs_.insert(uid);
}

void Jobs::lend_priority(const std::string& uid, Priority priority) {
    if (auto it = jobs_.find(uid); it != jobs_.end()) {
        it->second.spec.priority = std::max(it->second.own_priority, priority);
        touched_jobs_.insert(uid);
    }
}

// What is true of a page's tasks while the page is not there: what the block records say.
void Jobs::cut(Job& job, int k) {
    Block page;
    int from = job.block_first(k);
    int to = job.block_last(k);
    for (int r = from / job.record_size; r <= to / job.record_size; ++r) {
        auto it = job.whole.find(r);
        if (it == job.whole.end()) {
            continue;
        }
        const Block& record = it->second;
        page.attempt = std::max(page.attempt, record.attempt);
        page.merged = std::max(page.merged, record.merged);
        page.fails = std::max(page.fails, record.fails);
        page.placed.insert(record.placed.lower_bound(from), record.placed.upper_bound(to));
        for (const auto& range : record.done) {
            int first = std::max(range.first, from);
            int last = std::min(range.second, to);
            if (first <= last) {
                page.done.emplace_back(first, last);
                page.done_total += last - first + 1;
            }
        }
    }
    set_block(job, k, std::move(page));
}

void Jobs::cut(Job& job) {
    if (job.first_record().final) {
        return;  // nothing else counts any more
    }
    for (int k = 0; k < job.block_count(); ++k) {
        if (job.pages.count(k) == 0) {
            cut(job, k);
        }
    }
}

void Jobs::set_block(Job& job, int k, Block next) {
    auto it = job.blocks.find(k);
    if (it != job.blocks.end() && job.revision != 0) {
        index(job, it->second, -1);
    }
    for (const auto& [task, p] : next.placed) {
        const Placement* old = nullptr;
        if (it != job.blocks.end()) {
            auto o = it->second.placed.find(task);
            old = o == it->second.placed.end() ? nullptr : &o->second;
        }
        if (old == nullptr || old->attempt != p.attempt) {
            fresh_.emplace_back(TaskId{job.spec.uid, task}, p);
        }
    }
    job.blocks[k] = std::move(next);
    if (job.revision != 0) {
        index(job, job.blocks[k], 1);
    }
}

void Jobs::drop_block(Job& job, int k) {
    auto it = job.blocks.find(k);
    if (it != job.blocks.end()) {
        if (job.revision != 0) {
            index(job, it->second, -1);
        }
        job.blocks.erase(it);
    }
}

void Jobs::put_record(const std::string& uid, int k, Block next) {
    Job& job = jobs_[uid];
    if (job.revision == 0) {
        job.spec.uid = uid;
    }
    next.recorded = next.merged;
    merge(uid, k, next);
    if (job.page_size == 0) {
        set_block(job, k, std::move(next));
    } else {
        bool final = next.final.has_value();
        job.whole[k] = std::move(next);
        if (final) {
            // Old places in records still to be removed must not come back to life.
            while (!job.blocks.empty()) {
                drop_block(job, job.blocks.begin()->first);
            }
        } else {
            cut(job);
        }
    }
    classify(uid, job);
}

void Jobs::put_page(const std::string& uid, int k, Block next) {
    Job& job = jobs_[uid];
    job.pages[k] = next.revision;
    if (!job.first_record().final) {
        auto said = said_.find(uid);
        if (said != said_.end() && job.revision != 0 && loaded_) {
            Revision merged = next.merged;
            for (const auto& entry : said->second) {
                if (entry->at > merged) {
                    say(next, *entry, job.block_first(k), job.block_last(k), false);
                }
            }
        }
        set_block(job, k, std::move(next));
    }
    classify(uid, job);
}

// Takes a job out that no record lists any more.
void Jobs::unlist(const std::string& uid) {
    auto it = jobs_.find(uid);
    if (it == jobs_.end() || it->second.own_record || listed_.count(uid) != 0) {
        return;
    }
    Job& job = it->second;
    for (const auto& [k, b] : job.blocks) {
        index(job, b, -1);
    }
    job.revision = 0;
    settle_drop(uid);
}

void Jobs::put_listing(const std::string& key, const Json& value, Revision revision) {
    Listing now;
    Listing& before = listings_[key];
    for (const auto& each : value.at("jobs")) {
        auto uid = each.at("uid").get<std::string>();
        now.insert(uid);
        if (before.erase(uid) == 0 && ++listed_[uid] == 1) {
            list(uid, each, revision, false);
        }
    }
    std::swap(now, before);
    for (const auto& uid : now) {  // listed there no more
        if (--listed_[uid] == 0) {
            listed_.erase(uid);
            unlist(uid);
        }
    }
}

void Jobs::drop_listing(const std::string& key) {
    put_listing(key, encode_listing(Json::array()), 0);
    listings_.erase(key);
    listing_bytes_.erase(key);
}

std::vector<Condition> Jobs::alive(const Job& job) const {
    if (job.own_record) {
        return {{keys::job(job.spec.uid), job.revision}};
    }
    // A record that is shared changes for other jobs' sake. Its end is told by the final state,
    // which stands in the job's only block, on which every change is conditional as well, or where
    // it was moved to.
    return {{keys::job(job.spec.uid), 0}, {keys::finished(job.spec.uid), 0}};
}

void Jobs::put(const std::string& key, const Json& value, Revision revision) {
    revisions_[key] = revision;
    if (key == keys::epoch) {
        epoch_ = decode_epoch(value);
    } else if (has_prefix(key, "c/m/")) {
        member_keys_[key] = decode_member(value);
    } else if (has_prefix(key, "c/j/")) {
        list(value.at("uid").get<std::string>(), value, revision, true);
    } else if (has_prefix(key, "c/a/")) {
        put_listing(key, value, revision);
        listing_bytes_[key] = value.dump().size();
    } else if (has_prefix(key, "c/b/")) {
        auto [uid, k] = parts_of(key);
        Block next = decode_block(value);
        next.revision = revision;
        put_record(uid, k, std::move(next));
    } else if (has_prefix(key, "c/p/")) {
        auto [uid, k] = parts_of(key);
        Block next = decode_block(value);
        next.revision = revision;
        put_page(uid, k, std::move(next));
    } else if (has_prefix(key, "c/l/")) {
        auto [uid, part] = parts_of(key);
        follow_parts_[uid][part] = decode_follows(value);
        gather_follows(uid);
    } else if (has_prefix(key, "c/v/")) {
        levels_[key] = value.value("level", 1);
    } else if (key == keys::table) {
        table_ = decode_table(value, revision);
    } else if (has_prefix(key, "c/s/")) {
        put_sheet(key, decode_sheet(value, revision));
    } else if (has_prefix(key, "c/q/")) {
        Slices s = decode_slices(value);
        s.revision = revision;
        slices_[key] = std::move(s);
    } else if (has_prefix(key, "c/x/")) {
        Marks m = decode_marks(value);
        m.revision = revision;
        auto changed = std::exchange(marks_[key].machines, {});
        changed.insert(m.machines.begin(), m.machines.end());
        marks_[key] = std::move(m);
        remark(changed);
    }
}

void Jobs::drop(const std::string& key) {
    revisions_.erase(key);
    if (key == keys::epoch) {
        epoch_.reset();
    } else if (has_prefix(key, "c/m/")) {
        member_keys_.erase(key);
    } else if (has_prefix(key, "c/j/")) {
        auto it = jobs_.find(key.substr(4));
        if (it != jobs_.end()) {
            it->second.own_record = false;
            it->second.own_cancelled_wall = 0;
            unlist(it->first);
        }
    } else if (has_prefix(key, "c/a/")) {
        drop_listing(key);
    } else if (has_prefix(key, "c/b/")) {
        auto [uid, k] = parts_of(key);
        auto it = jobs_.find(uid);
        if (it != jobs_.end()) {
            Job& job = it->second;
            if (job.page_size == 0) {
                drop_block(job, k);
            } else if (job.whole.erase(k) != 0) {
                cut(job);
            }
            settle_drop(uid);
        }
    } else if (has_prefix(key, "c/p/")) {
        auto [uid, k] = parts_of(key);
        auto it = jobs_.find(uid);
        if (it != jobs_.end() && it->second.pages.erase(k) != 0) {
            drop_block(it->second, k);
            if (it->second.revision != 0) {
                cut(it->second);
            }
            settle_drop(uid);
        }
    } else if (has_prefix(key, "c/l/")) {
        auto [uid, part] = parts_of(key);
        if (auto it = follow_parts_.find(uid); it != follow_parts_.end()) {
            it->second.erase(part);
            if (it->second.empty()) {
                follow_parts_.erase(it);
            }
        }
    } else if (has_prefix(key, "c/v/")) {
        levels_.erase(key);
    } else if (key == keys::table) {
        table_.reset();
    } else if (has_prefix(key, "c/s/")) {
        put_sheet(key, {});
    } else if (has_prefix(key, "c/q/")) {
        slices_.erase(key);
    } else if (has_prefix(key, "c/x/")) {
        auto it = marks_.find(key);
        if (it != marks_.end()) {
            auto changed = std::move(it->second.machines);
            marks_.erase(it);
            remark(changed);
        }
    }
}

void Jobs::settle_drop(const std::string& uid) {
    Job& job = jobs_.at(uid);
    if (job.revision == 0 && job.blocks.empty() && job.whole.empty() && job.pages.empty()) {
        erase(uid);
    } else {
        classify(uid, job);
    }
}

const Job* Jobs::find(const std::string& uid) const {
    auto it = jobs_.find(uid);
    bool live = it != jobs_.end() && it->second.revision != 0 && !it->second.final;
    return live ? &it->second : nullptr;
}

const Finished* Jobs::finished(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it == jobs_.end() || !it->second.final ? nullptr : &*it->second.final;
}

const std::shared_ptr<Jobs::Site>& Jobs::at(const std::string& machine) {
    auto& site = sites_[machine];
    if (site == nullptr) {
        site = std::make_shared<Site>();
    }
    return site;
}

const Jobs::Site& Jobs::look(const std::string& machine) const {
    static const Site none;
    auto it = sites_.find(machine);
    return it == sites_.end() ? none : *it->second;
}

void Jobs::forget_sites() {
    std::erase_if(sites_, [](const auto& s) {
        return s.second.use_count() == 1 && s.second->tasks.empty() && !s.second->mark;
    });
}

const Mark* Jobs::mark(const std::string& machine) const {
    const auto& mark = look(machine).mark;
    return mark ? &*mark : nullptr;
}

void Jobs::remark(const std::set<std::string>& machines) {
    for (const auto& name : machines) {
        at(name)->mark.reset();
        touched_machines_.insert(name);
    }
    for (const auto& [key, m] : marks_) {
        for (const auto& name : machines) {
            if (m.machines.count(name) != 0) {
                auto& kept = at(name)->mark;
                Mark& mark = kept ? *kept : kept.emplace();
                mark.fence = mark.fence || m.fence;
                mark.gone = mark.gone || m.gone.count(name) != 0;
            }
        }
    }
}

const std::map<TaskId, Jobs::Placed>& Jobs::on_machine(const std::string& machine) const {
    return look(machine).tasks;
}

const Placement* Jobs::placement(const TaskId& id) const {
    const Job* job = find(id.uid);
    if (job == nullptr) {
        return nullptr;
    }
    auto block = job->blocks.find(job->block_of(id.index));
    if (block == job->blocks.end()) {
        return nullptr;
    }
    auto it = block->second.placed.find(id.index);
    return it == block->second.placed.end() ? nullptr : &it->second;
}

const Resources& Jobs::used(const std::string& team) const {
    static const Resources none;
    auto it = used_.find(team);
    return it == used_.end() ? none : it->second;
}

Resources Jobs::used(const std::string& team, std::uint64_t charge) const {
    auto it = used_by_.find({team, charge});
    return it == used_by_.end() ? Resources{} : it->second;
}

std::vector<std::pair<TaskId, Placement>> Jobs::take_new_placements() {
    return std::exchange(fresh_, {});
}

}  // namespace cranemoor::core

#include "core/jobs.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {
bool has_prefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

const Block& Job::block(int index) const {
    static const Block none;
    auto it = blocks.find(index);
    return it == blocks.end() ? none : it->second;
}

int Job::done() const {
    int n = 0;
    for (const auto& [k, b] : blocks) {
        n += b.done_count();
    }
    return n;
}

int Job::placed() const {
    int n = 0;
    for (const auto& [k, b] : blocks) {
        n += static_cast<int>(b.placed.size());
    }
    return n;
}

std::vector<std::pair<int, Placement>> Job::placements() const {
    std::vector<std::pair<int, Placement>> all;
    for (const auto& [k, b] : blocks) {
        all.insert(all.end(), b.placed.begin(), b.placed.end());
    }
    return all;
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

void Jobs::begin_load() {
    *this = Jobs();
}

void Jobs::load(const std::vector<Event>& items) {
    for (const auto& item : items) {
        apply(item);
    }
}

void Jobs::end_load(Revision revision) {
    revision_ = revision;
    loaded_ = true;
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
        if (sign > 0) {
            by_machine_[p.machine].insert(id);
        } else {
            auto it = by_machine_.find(p.machine);
            if (it != by_machine_.end()) {
                it->second.erase(id);
                if (it->second.empty()) {
                    by_machine_.erase(it);
                }
            }
        }
        used_[job.spec.team] += job.spec.each * sign;
        used_by_[{job.spec.team, p.charge}] += job.spec.each * sign;
    }
}

void Jobs::put(const std::string& key, const Json& value, Revision revision) {
    revisions_[key] = revision;
    if (key == keys::epoch) {
        epoch_ = decode_epoch(value);
    } else if (has_prefix(key, "c/m/")) {
        member_keys_[key] = decode_member(value);
    } else if (has_prefix(key, "c/j/")) {
        Job& job = jobs_[value.at("uid").get<std::string>()];
        bool first = job.revision == 0;
        job.spec = decode_job_spec(value);
        job.submitted_wall = value.at("submitted").get<double>();
        job.block_size = value.at("block_size").get<int>();
        job.cancelled_wall = value.at("cancelled").get<double>();
        job.cancelled = job.cancelled_wall > 0;
        job.revision = revision;
        if (first) {
            for (const auto& [k, b] : job.blocks) {
                index(job, b, 1);
            }
        }
    } else if (has_prefix(key, "c/b/")) {
        // c/b/<uid>/<index>
        auto slash = key.rfind('/');
        std::string uid = key.substr(4, slash - 4);
        int k = std::stoi(key.substr(slash + 1));
        Job& job = jobs_[uid];
        if (job.revision == 0) {
            job.spec.uid = uid;
        }
        Block next = decode_block(value);
        next.revision = revision;
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
                fresh_.emplace_back(TaskId{uid, task}, p);
            }
        }
        job.blocks[k] = std::move(next);
        if (job.revision != 0) {
            index(job, job.blocks[k], 1);
        }
    } else if (has_prefix(key, "c/q/")) {
        Slices s = decode_slices(value);
        s.revision = revision;
        slices_[key] = std::move(s);
    } else if (has_prefix(key, "c/x/")) {
        Mark m = decode_mark(value);
        m.revision = revision;
        marks_[key] = std::move(m);
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
            for (const auto& [k, b] : it->second.blocks) {
                index(it->second, b, -1);
            }
            it->second.revision = 0;
            if (it->second.blocks.empty()) {
                jobs_.erase(it);
            }
        }
    } else if (has_prefix(key, "c/b/")) {
        auto slash = key.rfind('/');
        auto it = jobs_.find(key.substr(4, slash - 4));
        if (it != jobs_.end()) {
            auto b = it->second.blocks.find(std::stoi(key.substr(slash + 1)));
            if (b != it->second.blocks.end()) {
                if (it->second.revision != 0) {
                    index(it->second, b->second, -1);
                }
                it->second.blocks.erase(b);
            }
            if (it->second.revision == 0 && it->second.blocks.empty()) {
                jobs_.erase(it);
            }
        }
    } else if (has_prefix(key, "c/q/")) {
        slices_.erase(key);
    } else if (has_prefix(key, "c/x/")) {
        marks_.erase(key);
    }
}

const Job* Jobs::find(const std::string& uid) const {
    auto it = jobs_.find(uid);
    return it == jobs_.end() || it->second.revision == 0 ? nullptr : &it->second;
}

const Mark* Jobs::mark(const std::string& machine) const {
    auto it = marks_.find(keys::mark(machine));
    return it == marks_.end() ? nullptr : &it->second;
}

const std::set<TaskId>& Jobs::on_machine(const std::string& machine) const {
    static const std::set<TaskId> none;
    auto it = by_machine_.find(machine);
    return it == by_machine_.end() ? none : it->second;
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

Resources Jobs::used_on(const std::string& machine) const {
    Resources sum;
    for (const auto& id : on_machine(machine)) {
        if (const Job* job = find(id.uid)) {
            sum += job->spec.each;
        }
    }
    return sum;
}

std::vector<std::pair<TaskId, Placement>> Jobs::take_new_placements() {
    return std::exchange(fresh_, {});
}

}  // namespace cranemoor::core

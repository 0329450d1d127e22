#include "core/jobs/dependencies.hpp"

#include <algorithm>
#include <deque>

#include "core/jobs/job_completion.hpp"

namespace cranemoor::core {

void Dependencies::records_changed(const std::set<std::string>& touched) {
    for (const auto& uid : touched) {
        note(uid);
        auto followers = needed_by_.find(uid);
        if (followers != needed_by_.end()) {
            refresh_priority(uid);  // its own record may have come after theirs
            if (end_of(uid).value_or(End::open) != End::open) {
                look_.insert(followers->second.begin(), followers->second.end());
            }
        }
    }
    tick();
}

// Keeps what a job waits for up to date. It costs as much as the job has followed ones, and only
// when it is accepted and when it stops waiting.
void Dependencies::note(const std::string& uid) {
    const Job* job = ctx_.jobs.find(uid);
    bool waits = job != nullptr && job->waiting && !job->cancelled;
    if (waits && job->dependency_part_count > 0) {
        auto parts = ctx_.jobs.dependency_parts().find(uid);
        waits = parts != ctx_.jobs.dependency_parts().end();
        for (int n = 0; n < job->dependency_part_count && waits; ++n) {
            waits = parts->second.contains(n);
        }
    }
    auto known = waiting_.find(uid);
    if (waits && known == waiting_.end()) {
        auto& all = waiting_[uid];
        all.insert(job->spec.depends_on.begin(), job->spec.depends_on.end());
        for (const auto& other : all) {
            needed_by_[other].insert(uid);
            refresh_priority(other);
        }
        look_.insert(uid);
    } else if (!waits && known != waiting_.end()) {
        auto all = std::move(known->second);
        waiting_.erase(known);
        look_.erase(uid);
        for (const auto& other : all) {
            auto followers = needed_by_.find(other);
            followers->second.erase(uid);
            if (followers->second.empty()) {
                needed_by_.erase(followers);
            }
            refresh_priority(other);
        }
    }
}

// A job is treated as having the highest priority of those that need it, directly or through
// others. They can't form a ring: each names only jobs that were accepted before it.
void Dependencies::refresh_priority(const std::string& uid) {
    std::deque<std::string> todo = {uid};
    while (!todo.empty()) {
        auto next = std::move(todo.front());
        todo.pop_front();
        const Job* job = ctx_.jobs.find(next);
        if (job == nullptr) {
            continue;
        }
        Priority most = job->submitted_priority;
        if (auto followers = needed_by_.find(next); followers != needed_by_.end()) {
            for (const auto& f : followers->second) {
                if (const Job* follower = ctx_.jobs.find(f)) {
                    most = std::max(most, follower->spec.priority);
                }
            }
        }
        if (most == job->spec.priority) {
            continue;
        }
        ctx_.jobs.set_inherited_priority(next, most);
        if (auto all = waiting_.find(next); all != waiting_.end()) {
            todo.insert(todo.end(), all->second.begin(), all->second.end());
        }
    }
}

// How a job ended, as the records say: none if they are not here any more and not read yet.
std::optional<Dependencies::End> Dependencies::end_of(const std::string& uid) const {
    if (const Finished* f = ctx_.jobs.final_state(uid)) {
        return f->cancelled ? End::cancelled : End::done;
    }
    if (const Job* job = ctx_.jobs.find(uid)) {
        return job->cancelled ? End::cancelled : End::open;
    }
    auto it = moved_.find(uid);
    return it == moved_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Dependencies::End> Dependencies::verdict(const std::string& uid) const {
    std::set<std::string> seen = {uid};
    std::deque<std::string> todo = {uid};
    bool known = true;
    while (!todo.empty()) {
        auto end = end_of(todo.front());
        if (end == End::cancelled) {
            return End::cancelled;
        }
        known = known && end.has_value();
        auto all = waiting_.find(todo.front());
        todo.pop_front();
        if (all != waiting_.end()) {
            for (const auto& other : all->second) {
                if (seen.insert(other).second) {
                    todo.push_back(other);
                }
            }
        }
    }
    return known ? end_of(uid) : std::nullopt;
}

// Exactly one member writes: the oldest that understands dependent jobs. While there is a member
// of the version before, it may be the leading one.
bool Dependencies::acting() const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!ctx_.is_member || !epoch || !membership_.has_store_contact()) {
        return false;
    }
    for (const auto& m : epoch->members) {
        if (ctx_.jobs.feature_level(m.name) >= FeatureLevel::dependencies) {
            return m.id == ctx_.self.id;
        }
    }
    return false;
}

void Dependencies::tick() {
    if (!acting()) {
        return;
    }
    if (ctx_.now.steady >= next_look_) {
        next_look_ = ctx_.now.steady + constants::dependency_check_interval_s;
        if (waiting_.empty()) {
            moved_.clear();
        }
        for (const auto& [uid, all] : waiting_) {
            look_.insert(uid);
        }
        remove_stray_parts();
    }
    for (const auto& uid : std::exchange(look_, {})) {
        look(uid);
    }
}

void Dependencies::look(const std::string& uid) {
    auto it = waiting_.find(uid);
    const Job* job = ctx_.jobs.find(uid);
    if (it == waiting_.end() || job == nullptr || writing_.contains(uid)) {
        return;
    }
    bool ready = true;
    for (const auto& other : it->second) {
        auto end = end_of(other);
        if (end == End::cancelled) {
            cancel_with(needing(other));
            return;
        }
        ready = ready && end == End::done;
        if (end || reading_.contains(other) || !look_ups_.can_take(ctx_.now.steady, 1)) {
            continue;
        }
        // Over so long that its final state was moved away; it was accepted, or nobody could have
        // followed it.
        look_ups_.take(1);
        reading_.insert(other);
        StoreCall call;
        call.kind = StoreCall::Kind::get;
        call.key = keys::final_state(other);
        ctx_.call_store(call, [this, other, uid](const StoreReply& r) {
            reading_.erase(other);
            if (r.status == StoreReply::Status::ok) {
                moved_[other] = decode_finished(r.value).cancelled ? End::cancelled : End::done;
                look_.insert(uid);
                tick();
            }
        });
    }
    if (ready) {
        release(*job);
    }
}

// The job may run from here on: written down, so that every claim is conditional on it, nobody
// has to look at the followed jobs again, and the version before may place it as any other.
void Dependencies::release(const Job& job) {
    const auto& uid = job.spec.uid;
    JobRecord record = job.record();
    record.waiting = false;
    record.dependency_part_count = 0;
    record.spec.depends_on.clear();
    record.ready_wall = std::max(1.0, ctx_.now.wall);
    Txn txn;
    txn.conditions = JobStore::live_conditions(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    txn.writes = {{keys::job(uid), encode(record)}};
    writing_.insert(uid);
    ctx_.info("job {}: all that it follows is done", uid);
    ctx_.send_txn(std::move(txn), [this, uid](const StoreReply& r) {
        ctx_.when_settled(r, [this, uid] { writing_.erase(uid); });
    });
}

// All jobs that need that one, directly or through others.
std::vector<std::string> Dependencies::needing(const std::string& uid) const {
    std::vector<std::string> all;
    std::set<std::string> seen = {uid};
    std::deque<std::string> todo = {uid};
    while (!todo.empty()) {
        auto followers = needed_by_.find(todo.front());
        todo.pop_front();
        if (followers == needed_by_.end()) {
            continue;
        }
        for (const auto& f : followers->second) {
            if (seen.insert(f).second) {
                all.push_back(f);
                todo.push_back(f);
            }
        }
    }
    return all;
}

// They have never run, so that their final state can be written at once, several in a write. What
// a crash leaves out, the next member finds in the same records.
void Dependencies::cancel_with(const std::vector<std::string>& uids) {
    Txn txn;
    txn.urgency = Urgency::high;
    std::vector<std::string> names;
    auto send = [&] {
        if (names.empty()) {
            return;
        }
        txn.conditions.push_back(ctx_.epoch_condition());
        ctx_.send_txn(std::exchange(txn, Txn{{}, {}, Urgency::high}),
                      [this, names](const StoreReply& r) {
                          ctx_.when_settled(r, [this, names] {
                              for (const auto& uid : names) {
                                  writing_.erase(uid);
                              }
                          });
                      });
        names.clear();
    };
    for (const auto& uid : uids) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || !job->waiting || !writing_.insert(uid).second) {
            continue;
        }
        ctx_.info("job {}: cancelled, since one that it needs is", uid);
        names.push_back(uid);
        add_final_state_writes(ctx_, *job, true, txn);
        // The next one brings a write and three conditions, and the epoch's comes at last.
        if (txn.writes.size() >= ctx_.txn_ops_max() ||
            txn.conditions.size() + 4 > ctx_.txn_conditions_max()) {
            send();
        }
    }
    send();
}

// Lists that were written for a job which was then not accepted, or is over or released.
void Dependencies::remove_stray_parts() {
    Txn txn;
    txn.conditions.push_back(ctx_.epoch_condition());
    std::erase_if(strays_,
                  [&](const auto& s) { return ctx_.jobs.dependency_parts().count(s.first) == 0; });
    for (const auto& [uid, parts] : ctx_.jobs.dependency_parts()) {
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && job->waiting && job->dependency_part_count > 0) {
            strays_.erase(uid);
            continue;
        }
        double since = strays_.try_emplace(uid, ctx_.now.steady).first->second;
        if (ctx_.now.steady - since < constants::orphaned_dependency_parts_ttl_s) {
            continue;
        }
        // The last one goes first: an acceptance that comes late is conditional on it.
        auto part = parts.end();
        while (part != parts.begin() && txn.writes.size() < ctx_.txn_ops_max()) {
            --part;
            auto key = keys::dependencies(uid, part->first);
            txn.conditions.push_back({key, ctx_.jobs.revision_of(key)});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    if (!txn.writes.empty()) {
        ctx_.send_txn(std::move(txn), [](const StoreReply&) {});
    }
}

}  // namespace cranemoor::core

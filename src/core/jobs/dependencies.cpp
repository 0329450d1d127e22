#include "core/jobs/dependencies.hpp"

#include <algorithm>
#include <deque>

#include "core/jobs/job_completion.hpp"

namespace cranemoor::core {

void Dependencies::records_changed(const std::set<std::string>& touched) {
    for (const auto& uid : touched) {
        update_dependencies(uid);
        auto dependents = dependents_of_.find(uid);
        if (dependents != dependents_of_.end()) {
            refresh_priority(uid);  // its own record may have arrived after theirs
            if (recorded_outcome(uid).value_or(Outcome::open) != Outcome::open) {
                jobs_to_check_.insert(dependents->second.begin(), dependents->second.end());
            }
        }
    }
    tick();
}

// Updates the dependency graph for a job. The cost is linear in the number of its dependencies, and
// arises only when it is accepted and when it stops waiting.
void Dependencies::update_dependencies(const std::string& uid) {
    const Job* job = ctx_.jobs.find(uid);
    bool waits = job != nullptr && job->waiting && !job->cancelled;
    if (waits && job->dependency_part_count > 0) {
        auto parts = ctx_.jobs.dependency_parts().find(uid);
        waits = parts != ctx_.jobs.dependency_parts().end();
        for (int number = 0; number < job->dependency_part_count && waits; ++number) {
            waits = parts->second.contains(number);
        }
    }
    auto entry = dependencies_of_.find(uid);
    if (waits && entry == dependencies_of_.end()) {
        auto& dependencies = dependencies_of_[uid];
        dependencies.insert(job->spec.depends_on.begin(), job->spec.depends_on.end());
        for (const auto& dependency : dependencies) {
            dependents_of_[dependency].insert(uid);
            refresh_priority(dependency);
        }
        jobs_to_check_.insert(uid);
    } else if (!waits && entry != dependencies_of_.end()) {
        auto dependencies = std::move(entry->second);
        dependencies_of_.erase(entry);
        jobs_to_check_.erase(uid);
        for (const auto& dependency : dependencies) {
            auto dependents = dependents_of_.find(dependency);
            dependents->second.erase(uid);
            if (dependents->second.empty()) {
                dependents_of_.erase(dependents);
            }
            refresh_priority(dependency);
        }
    }
}

// A job inherits the highest priority of its direct and transitive dependents. The graph has no
// cycles: each job names only jobs that were accepted before it.
void Dependencies::refresh_priority(const std::string& uid) {
    std::deque<std::string> queue = {uid};
    while (!queue.empty()) {
        auto next = std::move(queue.front());
        queue.pop_front();
        const Job* job = ctx_.jobs.find(next);
        if (job == nullptr) {
            continue;
        }
        Priority highest = job->submitted_priority;
        if (auto dependents = dependents_of_.find(next); dependents != dependents_of_.end()) {
            for (const auto& dependent : dependents->second) {
                if (const Job* dependent_job = ctx_.jobs.find(dependent)) {
                    highest = std::max(highest, dependent_job->spec.priority);
                }
            }
        }
        if (highest == job->spec.priority) {
            continue;
        }
        ctx_.jobs.set_inherited_priority(next, highest);
        if (auto dependencies = dependencies_of_.find(next);
            dependencies != dependencies_of_.end()) {
            queue.insert(queue.end(), dependencies->second.begin(), dependencies->second.end());
        }
    }
}

// The outcome of a job by its records, or empty if the replica no longer has them and its archived
// final state has not been read yet.
std::optional<Dependencies::Outcome> Dependencies::recorded_outcome(const std::string& uid) const {
    if (const Finished* final_state = ctx_.jobs.final_state(uid)) {
        return final_state->cancelled ? Outcome::cancelled : Outcome::done;
    }
    if (const Job* job = ctx_.jobs.find(uid)) {
        return job->cancelled ? Outcome::cancelled : Outcome::open;
    }
    auto it = archived_outcomes_.find(uid);
    return it == archived_outcomes_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Dependencies::Outcome> Dependencies::effective_outcome(const std::string& uid) const {
    std::set<std::string> visited = {uid};
    std::deque<std::string> queue = {uid};
    bool all_known = true;
    while (!queue.empty()) {
        auto outcome = recorded_outcome(queue.front());
        if (outcome == Outcome::cancelled) {
            return Outcome::cancelled;
        }
        all_known = all_known && outcome.has_value();
        auto dependencies = dependencies_of_.find(queue.front());
        queue.pop_front();
        if (dependencies != dependencies_of_.end()) {
            for (const auto& dependency : dependencies->second) {
                if (visited.insert(dependency).second) {
                    queue.push_back(dependency);
                }
            }
        }
    }
    return all_known ? recorded_outcome(uid) : std::nullopt;
}

// Exactly one member writes: the oldest that understands dependent jobs. This need not be the
// leader, which may still run the previous version.
bool Dependencies::is_responsible() const {
    const auto& epoch = ctx_.jobs.epoch();
    if (!ctx_.is_member || !epoch || !membership_.has_store_contact()) {
        return false;
    }
    for (const auto& member : epoch->members) {
        if (ctx_.jobs.feature_level(member.name) >= FeatureLevel::dependencies) {
            return member.id == ctx_.self.id;
        }
    }
    return false;
}

void Dependencies::tick() {
    if (!is_responsible()) {
        return;
    }
    if (ctx_.now.steady >= next_check_s_) {
        next_check_s_ = ctx_.now.steady + constants::dependency_check_interval_s;
        if (dependencies_of_.empty()) {
            archived_outcomes_.clear();
        }
        for (const auto& [uid, dependencies] : dependencies_of_) {
            jobs_to_check_.insert(uid);
        }
        delete_orphaned_parts();
    }
    for (const auto& uid : std::exchange(jobs_to_check_, {})) {
        check_waiting_job(uid);
    }
}

void Dependencies::check_waiting_job(const std::string& uid) {
    auto it = dependencies_of_.find(uid);
    const Job* job = ctx_.jobs.find(uid);
    if (it == dependencies_of_.end() || job == nullptr || writes_in_flight_.contains(uid)) {
        return;
    }
    bool ready = true;
    for (const auto& dependency : it->second) {
        auto outcome = recorded_outcome(dependency);
        if (outcome == Outcome::cancelled) {
            cancel_dependents(transitive_dependents(dependency));
            return;
        }
        ready = ready && outcome == Outcome::done;
        if (outcome || reads_in_flight_.contains(dependency) ||
            !read_limiter_.can_take(ctx_.now.steady, 1)) {
            continue;
        }
        // Not in the replica, so its final state has been archived: it must have been accepted,
        // since no job is accepted that depends on an unknown one.
        read_limiter_.take(1);
        reads_in_flight_.insert(dependency);
        StoreCall call;
        call.kind = StoreCall::Kind::get;
        call.key = keys::final_state(dependency);
        ctx_.call_store(call, [this, dependency, uid](const StoreReply& reply) {
            reads_in_flight_.erase(dependency);
            Finished final_state;
            auto read = [&] { final_state = decode_finished(reply.value); };
            if (reply.status == StoreReply::Status::ok &&
                ctx_.read_record(keys::final_state(dependency), reply.revision, read)) {
                archived_outcomes_[dependency] =
                    final_state.cancelled ? Outcome::cancelled : Outcome::done;
                jobs_to_check_.insert(uid);
                tick();
            }
        });
    }
    if (ready) {
        mark_ready(*job);
    }
}

// The job may run from here on. This is written to its record, so that every claim is conditional
// on it, no controller has to check the dependencies again, and the previous version may place it
// as any other job.
void Dependencies::mark_ready(const Job& job) {
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
    writes_in_flight_.insert(uid);
    ctx_.info("job {}: all of its dependencies are done", uid);
    ctx_.send_txn(std::move(txn), [this, uid](const StoreReply& reply) {
        ctx_.when_settled(reply, [this, uid] { writes_in_flight_.erase(uid); });
    });
}

// All direct and transitive dependents of a job.
std::vector<std::string> Dependencies::transitive_dependents(const std::string& uid) const {
    std::vector<std::string> result;
    std::set<std::string> visited = {uid};
    std::deque<std::string> queue = {uid};
    while (!queue.empty()) {
        auto dependents = dependents_of_.find(queue.front());
        queue.pop_front();
        if (dependents == dependents_of_.end()) {
            continue;
        }
        for (const auto& dependent : dependents->second) {
            if (visited.insert(dependent).second) {
                result.push_back(dependent);
                queue.push_back(dependent);
            }
        }
    }
    return result;
}

// These jobs have never run, so their final states can be written at once, several in one
// transaction. The member that takes over after a crash finds the remaining ones in the same
// records.
void Dependencies::cancel_dependents(const std::vector<std::string>& uids) {
    Txn txn;
    txn.urgency = Urgency::high;
    std::vector<std::string> batch_uids;
    auto send = [&] {
        if (batch_uids.empty()) {
            return;
        }
        txn.conditions.push_back(ctx_.epoch_condition());
        ctx_.send_txn(std::exchange(txn, Txn{{}, {}, Urgency::high}),
                      [this, batch_uids](const StoreReply& reply) {
                          ctx_.when_settled(reply, [this, batch_uids] {
                              for (const auto& uid : batch_uids) {
                                  writes_in_flight_.erase(uid);
                              }
                          });
                      });
        batch_uids.clear();
    };
    for (const auto& uid : uids) {
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr || !job->waiting || !writes_in_flight_.insert(uid).second) {
            continue;
        }
        ctx_.info("job {}: cancelled, because a job that it depends on is cancelled", uid);
        batch_uids.push_back(uid);
        add_final_state_writes(ctx_, *job, true, txn);
        // The next job adds at least one write and three conditions, and the epoch condition is
        // added last.
        if (txn.writes.size() >= ctx_.txn_ops_max() ||
            txn.conditions.size() + 4 > ctx_.txn_conditions_max()) {
            send();
        }
    }
    send();
}

// Deletes dependency lists of jobs that were not accepted, have ended or no longer wait.
void Dependencies::delete_orphaned_parts() {
    Txn txn;
    txn.conditions.push_back(ctx_.epoch_condition());
    std::erase_if(orphaned_since_s_,
                  [&](const auto& s) { return ctx_.jobs.dependency_parts().count(s.first) == 0; });
    for (const auto& [uid, parts] : ctx_.jobs.dependency_parts()) {
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && job->waiting && job->dependency_part_count > 0) {
            orphaned_since_s_.erase(uid);
            continue;
        }
        double since = orphaned_since_s_.try_emplace(uid, ctx_.now.steady).first->second;
        if (ctx_.now.steady - since < constants::orphaned_dependency_parts_ttl_s) {
            continue;
        }
        // The last part is deleted first: a late write that accepts the job is conditional on it.
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

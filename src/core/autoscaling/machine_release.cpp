#include "core/autoscaling/machine_release.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

// s after which a release that was not confirmed is repeated
constexpr double release_retry_s = 1.0;

}  // namespace

void MachineRelease::request_release(const std::vector<std::string>& machines,
                                     const Confirmed& done) {
    CloudCall call;
    call.kind = CloudCall::Kind::release;
    call.machines = machines;
    std::set<std::string> names(machines.begin(), machines.end());
    ctx_.call_cloud(call, [names, done](const CloudReply& reply) {
        done(reply.status == CloudReply::Status::ok, names);
    });
}

void MachineRelease::release_marked() {
    if (release_in_flight_ || ctx_.now.steady < next_release_at_) {
        return;
    }
    std::vector<std::string> machines;
    for (const auto& [key, marks] : ctx_.jobs.cordon_batches()) {
        for (const auto& name : marks.machines) {
            const Cordon* mark = ctx_.jobs.cordon(name);
            if (!mark->released && (mark->fence || ctx_.jobs.tasks_on_machine(name).empty()) &&
                machines.size() < constants::release_machines_max) {
                machines.push_back(name);
            }
        }
    }
    if (machines.empty()) {
        return;
    }
    release_in_flight_ = true;
    ctx_.info("release {}", fmt::join(machines, ","));
    request_release(machines, [this](bool confirmed, const std::set<std::string>& names) {
        if (!confirmed) {
            release_in_flight_ = false;
            next_release_at_ = ctx_.now.steady + release_retry_s;
            ctx_.debug("release not confirmed, repeating");
            return;
        }
        record_released(names);
    });
}

// Guards against a machine that hangs with a cancelled task through an outage of the key-value
// store that is longer than cancel_deadline_s: nobody can mark it, and the leader releases only
// what is marked. A release needs no record to be safe, since nothing is concluded from this one:
// once there is contact the machine is found silent, marked and released again, and only that
// answer is the proof. Only who may still answer its workers does it: others may have taken them
// over.
void MachineRelease::release_unrecorded() {
    if (membership_.has_store_contact()) {
        released_unrecorded_.clear();
        return;
    }
    if (unrecorded_in_flight_ || !membership_.may_answer_workers() ||
        membership_.peers_have_store_contact() || ctx_.now.steady < next_unrecorded_at_) {
        return;
    }
    next_unrecorded_at_ = ctx_.now.steady + constants::unrecorded_release_interval_s;
    std::vector<std::string> machines;
    for (const auto& name : agent_manager_.failure_detector().overdue_and_silent()) {
        if (!released_unrecorded_.contains(name) &&
            machines.size() < constants::release_machines_max) {
            machines.push_back(name);
        }
    }
    if (machines.empty()) {
        return;
    }
    unrecorded_in_flight_ = true;
    ctx_.info("release without a record {}", fmt::join(machines, ","));
    request_release(machines, [this](bool confirmed, const std::set<std::string>& names) {
        unrecorded_in_flight_ = false;
        if (confirmed) {
            released_unrecorded_.insert(names.begin(), names.end());
        }
    });
}

// Confirmed by the provider: written down, so that every controller may take the tasks placed
// there as ended.
void MachineRelease::record_released(const std::set<std::string>& machines) {
    Txn txn;
    txn.purpose = Txn::Purpose::release_mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, old] : ctx_.jobs.cordon_batches()) {
        CordonBatch marks = old;
        std::size_t bytes = constants::cordon_batch_overhead_bytes + old.reason.size();
        for (const auto& name : marks.machines) {
            bytes += cordon_bytes(name);
            if (machines.contains(name)) {
                marks.released.insert(name);
            }
        }
        if (marks.released.size() == old.released.size() ||
            txn.writes.size() >= ctx_.txn_ops_max()) {
            continue;
        }
        if (bytes <= ctx_.value_bytes_max()) {
            txn.conditions.push_back({key, old.revision});
            txn.writes.push_back({key, encode(marks)});
        } else {
            add_separate_marks(old, machines, txn);
        }
    }
    if (txn.writes.empty()) {
        release_in_flight_ = false;
        return;
    }
    // Unless it is written, the machines are released again, which does no harm.
    ctx_.send_txn(txn, [this](const StoreReply& reply) {
        if (reply.status != StoreReply::Status::ok) {
            next_release_at_ = ctx_.now.steady + constants::store_retry_delay_s;
        }
        ctx_.when_settled(reply, [this] { release_in_flight_ = false; });
    });
}

// A record that was written under a larger limit can't be put again with what is gone: that is
// said by records beside it. A machine is gone if any of its marks says so.
void MachineRelease::add_separate_marks(const CordonBatch& old,
                                        const std::set<std::string>& machines, Txn& txn) {
    CordonBatch separate;
    separate.reason = old.reason;
    separate.fence = old.fence;
    std::size_t bytes = 0;
    auto write_and_reset = [&] {
        if (!separate.machines.empty() && txn.writes.size() < ctx_.txn_ops_max()) {
            separate.released = separate.machines;
            auto key = keys::cordon_batch(ctx_.self.id, ++ctx_.cordon_batches_written);
            txn.conditions.push_back({key, 0});
            txn.writes.push_back({key, encode(separate)});
        }
        separate.machines.clear();
        bytes = constants::cordon_batch_overhead_bytes + old.reason.size();
    };
    write_and_reset();
    for (const auto& name : machines) {
        const Cordon* mark = ctx_.jobs.cordon(name);
        if (!old.machines.contains(name) || (mark != nullptr && mark->released)) {
            continue;
        }
        if (bytes + cordon_bytes(name) > ctx_.value_bytes_max()) {
            write_and_reset();
        }
        bytes += cordon_bytes(name);
        separate.machines.insert(name);
    }
    write_and_reset();
}

void MachineRelease::delete_old_marks() {
    if (deletion_in_flight_ || ctx_.now.steady < next_deletion_at_) {
        return;
    }
    next_deletion_at_ = ctx_.now.steady + constants::record_cleanup_interval_s;
    std::erase_if(gone_since_, [&](const auto& entry) {
        return ctx_.jobs.cordon_batches().count(entry.first) == 0;
    });
    Txn txn;
    txn.purpose = Txn::Purpose::release_mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, marks] : ctx_.jobs.cordon_batches()) {
        if (!all_gone(key, marks)) {
            continue;
        }
        double gone_since = gone_since_.try_emplace(key, ctx_.now.steady).first->second;
        if (may_delete(marks, gone_since) && txn.writes.size() < ctx_.txn_ops_max()) {
            txn.conditions.push_back({key, marks.revision});
            txn.writes.push_back({key, std::nullopt});
        }
    }
    if (txn.writes.empty()) {
        return;
    }
    deletion_in_flight_ = true;
    ctx_.send_txn(txn, [this](const StoreReply& reply) {
        ctx_.when_settled(reply, [this] { deletion_in_flight_ = false; });
    });
}

// Whether all machines of a record are gone, by all marks together, and no other record relies on
// this one to say so.
bool MachineRelease::all_gone(const std::string& key, const CordonBatch& marks) const {
    return std::all_of(marks.machines.begin(), marks.machines.end(), [&](const auto& name) {
        const Cordon* mark = ctx_.jobs.cordon(name);
        bool needed = marks.released.count(name) != 0 && only_proof_of_release(key, name);
        return mark != nullptr && mark->released && !needed;
    });
}

// Whether another record of the machine doesn't say itself that it is gone.
bool MachineRelease::only_proof_of_release(const std::string& key,
                                           const std::string& machine) const {
    return std::any_of(ctx_.jobs.cordon_batches().begin(), ctx_.jobs.cordon_batches().end(),
                       [&](const auto& entry) {
                           return entry.first != key && entry.second.machines.count(machine) != 0 &&
                                  entry.second.released.count(machine) == 0;
                       });
}

// Whether the machines have been gone long enough, none is still listed, and no task is recorded
// as placed there.
bool MachineRelease::may_delete(const CordonBatch& marks, double gone_since) const {
    if (ctx_.now.steady - gone_since <= constants::gone_cordon_ttl_s) {
        return false;
    }
    return std::all_of(marks.machines.begin(), marks.machines.end(), [&](const auto& name) {
        const Machine* machine = agent_manager_.registry().find(name);
        bool listed = machine != nullptr &&
                      ctx_.now.steady - machine->listed_at < constants::gone_cordon_ttl_s / 2;
        return !listed && ctx_.jobs.tasks_on_machine(name).empty();
    });
}

}  // namespace cranemoor::core

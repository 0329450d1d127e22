#include "core/autoscaling/machine_release.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

// Delay before a release that was not confirmed is repeated.
constexpr double release_retry_s = 1.0;

}  // namespace

void MachineRelease::request_release(const std::vector<std::string>& machines,
                                     const ReleaseCallback& on_reply) {
    CloudCall call;
    call.kind = CloudCall::Kind::release;
    call.machines = machines;
    std::set<std::string> names(machines.begin(), machines.end());
    ctx_.call_cloud(call, [names, on_reply](const CloudReply& reply) {
        on_reply(reply.status == CloudReply::Status::ok, names);
    });
}

void MachineRelease::release_cordoned() {
    if (release_in_flight_ || ctx_.now.steady < next_release_at_s_) {
        return;
    }
    std::vector<std::string> machines;
    for (const auto& [key, batch] : ctx_.jobs.cordon_batches()) {
        for (const auto& name : batch.machines) {
            const Cordon* cordon = ctx_.jobs.cordon(name);
            if (!cordon->released && (cordon->fence || ctx_.jobs.tasks_on_machine(name).empty()) &&
                machines.size() < constants::release_machines_max) {
                machines.push_back(name);
            }
        }
    }
    if (machines.empty()) {
        return;
    }
    release_in_flight_ = true;
    ctx_.info("releasing machines {}", fmt::join(machines, ","));
    request_release(machines, [this](bool confirmed, const std::set<std::string>& names) {
        if (!confirmed) {
            release_in_flight_ = false;
            next_release_at_s_ = ctx_.now.steady + release_retry_s;
            ctx_.debug("release not confirmed by the cloud provider, will be repeated");
            return;
        }
        record_released(names);
    });
}

// Guards against a machine that hangs with a cancelled task during an outage of the key-value store
// that is longer than cancel_deadline_s: nobody can cordon it, and the leader releases only
// cordoned machines. This release is safe without a record, since nothing is concluded from it:
// once there is contact the machine is found silent, cordoned and released again, and only the
// reply to that release is the proof. Only a controller that may still answer its workers does
// this: otherwise other controllers may have taken over those workers.
void MachineRelease::release_unrecorded() {
    if (membership_.has_store_contact()) {
        released_unrecorded_.clear();
        return;
    }
    if (unrecorded_release_in_flight_ || !membership_.may_answer_workers() ||
        membership_.peers_have_store_contact() || ctx_.now.steady < next_unrecorded_release_at_s_) {
        return;
    }
    next_unrecorded_release_at_s_ = ctx_.now.steady + constants::unrecorded_release_interval_s;
    std::vector<std::string> machines;
    for (const auto& name : agent_manager_.failure_detector().machines_to_release_without_store()) {
        if (!released_unrecorded_.contains(name) &&
            machines.size() < constants::release_machines_max) {
            machines.push_back(name);
        }
    }
    if (machines.empty()) {
        return;
    }
    unrecorded_release_in_flight_ = true;
    ctx_.info("releasing machines {} without a record", fmt::join(machines, ","));
    request_release(machines, [this](bool confirmed, const std::set<std::string>& names) {
        unrecorded_release_in_flight_ = false;
        if (confirmed) {
            released_unrecorded_.insert(names.begin(), names.end());
        }
    });
}

// Records the releases that the provider confirmed, so that every controller may treat the tasks
// placed there as ended.
void MachineRelease::record_released(const std::set<std::string>& machines) {
    Txn txn;
    txn.purpose = Txn::Purpose::release_mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, original] : ctx_.jobs.cordon_batches()) {
        CordonBatch batch = original;
        std::size_t bytes = constants::cordon_batch_overhead_bytes + original.reason.size();
        for (const auto& name : batch.machines) {
            bytes += cordon_bytes(name);
            if (machines.contains(name)) {
                batch.released.insert(name);
            }
        }
        if (batch.released.size() == original.released.size() ||
            txn.writes.size() >= ctx_.txn_ops_max()) {
            continue;
        }
        if (bytes <= ctx_.value_bytes_max()) {
            txn.conditions.push_back({key, original.revision});
            txn.writes.push_back({key, encode(batch)});
        } else {
            add_separate_cordons(original, machines, txn);
        }
    }
    if (txn.writes.empty()) {
        release_in_flight_ = false;
        return;
    }
    // Unless this is written, the machines are released again, which does no harm.
    ctx_.send_txn(txn, [this](const StoreReply& reply) {
        if (reply.status != StoreReply::Status::ok) {
            next_release_at_s_ = ctx_.now.steady + constants::store_retry_delay_s;
        }
        ctx_.when_settled(reply, [this] { release_in_flight_ = false; });
    });
}

// A record that was written under a larger value limit can't be written again with the released
// machines added: these go into separate records. A machine is released if any of its cordon
// records says so.
void MachineRelease::add_separate_cordons(const CordonBatch& original,
                                          const std::set<std::string>& machines, Txn& txn) {
    CordonBatch separate_batch;
    separate_batch.reason = original.reason;
    separate_batch.fence = original.fence;
    std::size_t bytes = 0;
    auto write_and_reset = [&] {
        if (!separate_batch.machines.empty() && txn.writes.size() < ctx_.txn_ops_max()) {
            separate_batch.released = separate_batch.machines;
            auto key = keys::cordon_batch(ctx_.self.id, ++ctx_.cordon_batches_written);
            txn.conditions.push_back({key, 0});
            txn.writes.push_back({key, encode(separate_batch)});
        }
        separate_batch.machines.clear();
        bytes = constants::cordon_batch_overhead_bytes + original.reason.size();
    };
    write_and_reset();
    for (const auto& name : machines) {
        const Cordon* cordon = ctx_.jobs.cordon(name);
        if (!original.machines.contains(name) || (cordon != nullptr && cordon->released)) {
            continue;
        }
        if (bytes + cordon_bytes(name) > ctx_.value_bytes_max()) {
            write_and_reset();
        }
        bytes += cordon_bytes(name);
        separate_batch.machines.insert(name);
    }
    write_and_reset();
}

void MachineRelease::delete_old_cordons() {
    if (deletion_in_flight_ || ctx_.now.steady < next_deletion_at_s_) {
        return;
    }
    next_deletion_at_s_ = ctx_.now.steady + constants::record_cleanup_interval_s;
    std::erase_if(released_since_s_, [&](const auto& entry) {
        return ctx_.jobs.cordon_batches().count(entry.first) == 0;
    });
    Txn txn;
    txn.purpose = Txn::Purpose::release_mark;
    txn.conditions.push_back(ctx_.epoch_condition());
    for (const auto& [key, batch] : ctx_.jobs.cordon_batches()) {
        if (!all_released(key, batch)) {
            continue;
        }
        double released_since_s = released_since_s_.try_emplace(key, ctx_.now.steady).first->second;
        if (may_delete_batch(batch, released_since_s) && txn.writes.size() < ctx_.txn_ops_max()) {
            txn.conditions.push_back({key, batch.revision});
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

// Whether all machines of a record are released, by all cordon records together, and no other
// record relies on this one to say so.
bool MachineRelease::all_released(const std::string& key, const CordonBatch& batch) const {
    return std::all_of(batch.machines.begin(), batch.machines.end(), [&](const auto& name) {
        const Cordon* cordon = ctx_.jobs.cordon(name);
        bool needed = batch.released.count(name) != 0 && only_proof_of_release(key, name);
        return cordon != nullptr && cordon->released && !needed;
    });
}

// Whether another cordon record of the machine doesn't itself say that it is released.
bool MachineRelease::only_proof_of_release(const std::string& key,
                                           const std::string& machine) const {
    return std::any_of(ctx_.jobs.cordon_batches().begin(), ctx_.jobs.cordon_batches().end(),
                       [&](const auto& entry) {
                           return entry.first != key && entry.second.machines.count(machine) != 0 &&
                                  entry.second.released.count(machine) == 0;
                       });
}

// Whether the machines have been released for long enough, none is still listed, and no task is
// recorded as placed there.
bool MachineRelease::may_delete_batch(const CordonBatch& batch, double released_since_s) const {
    if (ctx_.now.steady - released_since_s <= constants::gone_cordon_ttl_s) {
        return false;
    }
    return std::all_of(batch.machines.begin(), batch.machines.end(), [&](const auto& name) {
        const Machine* machine = agent_manager_.registry().find(name);
        bool listed = machine != nullptr &&
                      ctx_.now.steady - machine->listed_at < constants::gone_cordon_ttl_s / 2;
        return !listed && ctx_.jobs.tasks_on_machine(name).empty();
    });
}

}  // namespace cranemoor::core

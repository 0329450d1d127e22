#include "core/agents/release_marks.hpp"

#include <utility>

namespace cranemoor::core {

void ReleaseMarks::mark(Machine& machine, const std::string& why, bool fence) {
    const Cordon* existing = ctx_.jobs.cordon(machine.name);
    if (machine.cordon_write_pending || !ctx_.is_member || !membership_.has_store_contact() ||
        (existing != nullptr && (existing->fence || !fence))) {
        return;
    }
    machine.cordon_write_pending = true;
    pending_[{why, fence}].insert(machine.name);
    ctx_.info("machine {}: to be returned ({})", machine.name, why);
}

void ReleaseMarks::write() {
    auto unwritten = std::exchange(pending_, {});
    Batch batch;
    batch.txn.purpose = Txn::Purpose::release_mark;
    for (const auto& [reason, names] : unwritten) {
        CordonBatch cordons;
        cordons.reason = reason.why;
        cordons.fence = reason.fence;
        auto next = names.begin();
        while (next != names.end()) {
            cordons.machines.clear();
            // A name is in the record twice once its machine is gone; cordon_bytes() counts both.
            std::size_t bytes = constants::cordon_batch_overhead_bytes + reason.why.size();
            while (next != names.end() &&
                   cordons.machines.size() < constants::release_machines_max &&
                   (cordons.machines.empty() ||
                    bytes + cordon_bytes(*next) <= ctx_.value_bytes_max())) {
                bytes += cordon_bytes(*next);
                cordons.machines.insert(*next);
                batch.machines.insert(*next);
                ++next;
            }
            auto key = keys::cordon_batch(ctx_.self.id, ++ctx_.cordon_batches_written);
            batch.txn.conditions.push_back({key, 0});
            batch.txn.writes.push_back({key, encode(cordons)});
            if (batch.txn.writes.size() >= ctx_.txn_ops_max()) {
                send(batch);
            }
        }
    }
    send(batch);
}

void ReleaseMarks::send(Batch& batch) {
    if (batch.txn.writes.empty()) {
        return;
    }
    batch.txn.conditions.push_back(ctx_.epoch_condition());
    auto on_reply = [this, machines = std::exchange(batch.machines, {})](const StoreReply& reply) {
        ctx_.when_settled(reply, [this, machines] {
            for (const auto& name : machines) {
                if (Machine* machine = registry_.find(name)) {
                    machine->cordon_write_pending = false;
                }
            }
        });
    };
    ctx_.send_txn(std::exchange(batch.txn, {}), on_reply);
}

}  // namespace cranemoor::core

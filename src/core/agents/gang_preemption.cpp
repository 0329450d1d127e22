#include "core/agents/gang_preemption.hpp"

namespace cranemoor::core {

bool GangPreemption::can_checkpoint(const Job& job) {
    const JobSpec& spec = job.spec;
    return spec.kind == JobKind::gang && spec.checkpoint_s > 0 && job.placed() == spec.tasks &&
           !job.cancelled;
}

bool GangPreemption::is_incomplete(const Job& job) {
    if (job.spec.kind != JobKind::gang) {
        return false;
    }
    int placed = job.placed();
    // Once one task of a gang is done, all are; the remaining tasks then finish one by one.
    return placed > 0 && job.done() == 0 && placed < job.spec.tasks;
}

double GangPreemption::cost_s(const Job& job) const {
    return (job.spec.save_s + ctx_.settings.gang_stop_window_s) * job.spec.tasks;
}

void GangPreemption::request_preemption(const Job& job, const std::string& why) {
    auto key = job.block_key(0);
    if (!ctx_.is_member || job.gang_stop_requested() || ctx_.block_writes_in_flight.contains(key)) {
        return;
    }
    Block next = job.block(0);
    next.stop_attempt = next.attempt;
    Txn txn;
    txn.conditions = JobStore::live_conditions(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    job.add_block_write(0, next, txn);
    ctx_.block_writes_in_flight.insert(key);
    ctx_.info("gang {}: preempting attempt {} with a checkpoint ({})", job.spec.uid, next.attempt,
              why);
    ctx_.send_txn(std::move(txn), [this, key](const StoreReply& reply) {
        ctx_.when_settled(reply, [this, key] { ctx_.block_writes_in_flight.erase(key); });
    });
}

}  // namespace cranemoor::core

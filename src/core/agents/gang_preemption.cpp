#include "core/agents/gang_preemption.hpp"

namespace cranemoor::core {

bool GangPreemption::would_save(const Job& job) {
    const JobSpec& s = job.spec;
    return s.kind == JobKind::gang && s.checkpoint_s > 0 && job.placed() == s.tasks &&
           !job.cancelled;
}

double GangPreemption::cost_s(const Job& job) const {
    return (job.spec.save_s + ctx_.settings.gang_peer_s) * job.spec.tasks;
}

void GangPreemption::request_preemption(const Job& job, const std::string& why) {
    auto key = job.block_key(0);
    if (!ctx_.member || job.stopping() || ctx_.busy.count(key) != 0) {
        return;
    }
    Block next = job.block(0);
    next.stop = next.attempt;
    Txn txn;
    txn.conditions = ctx_.jobs.alive(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    job.add_block(0, next, txn);
    ctx_.busy.insert(key);
    ctx_.info("gang {}: attempt {} to be stopped and saved ({})", job.spec.uid, next.attempt, why);
    ctx_.txn(std::move(txn), [this, key](const StoreReply& r) {
        ctx_.when_settled(r, [this, key] { ctx_.busy.erase(key); });
    });
}

}  // namespace cranemoor::core

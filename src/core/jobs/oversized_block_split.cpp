#include "core/jobs/oversized_block_split.hpp"

#include <algorithm>
#include <utility>

#include "core/jobs/block_limits.hpp"

namespace cranemoor::core {

void OversizedBlockSplit::tick() {
    if (!ctx_.is_member || ctx_.jobs_to_split.empty()) {
        return;
    }
    if (!ctx_.all_controllers_support()) {
        ctx_.jobs_to_split.clear();  // whoever needs it asks again
        return;
    }
    for (const auto& uid : std::exchange(ctx_.jobs_to_split, {})) {
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && job->page_size == 0 && !splits_in_flight_.contains(uid)) {
            split(*job);
        }
    }
}

// One small write turns a job's block records into what its pages are made from. Each page comes
// with the first change of its tasks, conditional on the records it is made from: no step needs
// more than one value, and a crash between two of them loses nothing.
void OversizedBlockSplit::split(const Job& job) {
    JobRecord record = job.record();
    record.page_size = tasks_per_block(ctx_);
    std::size_t room = ctx_.value_bytes_max() - constants::block_overhead_bytes;
    for (const auto& [k, b] : job.blocks) {
        // Names may be longer than a block's size reckons with.
        std::size_t tasks = std::max<std::size_t>(1, b.placed.size() + b.done.size());
        std::size_t each = bytes_of(b) / tasks;
        int fits = static_cast<int>(room / std::max<std::size_t>(1, each)) / 2 * 2;
        record.page_size = std::max(2, std::min(record.page_size, fits));
    }
    record.cancelled_wall = job.cancelled_wall;  // perhaps it stood in the block
    Txn txn;
    txn.conditions = JobStore::live_conditions(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    if (!job.own_record) {
        txn.conditions.push_back({keys::block(job.spec.uid, 0), job.block(0).revision});
    }
    txn.writes = {{keys::job(job.spec.uid), encode(record)}};
    ctx_.info("job {}: its blocks are too large, parted into pages of {} tasks", job.spec.uid,
              record.page_size);
    splits_in_flight_.insert(job.spec.uid);
    ctx_.send_txn(std::move(txn), [this, uid = job.spec.uid](const StoreReply& r) {
        ctx_.when_settled(r, [this, uid] { splits_in_flight_.erase(uid); });
    });
}

}  // namespace cranemoor::core

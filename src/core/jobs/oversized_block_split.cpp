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
        ctx_.jobs_to_split.clear();  // requested again by whoever needs it
        return;
    }
    for (const auto& uid : std::exchange(ctx_.jobs_to_split, {})) {
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && job->page_size == 0 && !splits_in_flight_.contains(uid)) {
            split(*job);
        }
    }
}

// One small write makes the job's block records the base of its pages. The record of each page is
// written with the first change of its tasks, conditional on the block records that it derives
// from: no step needs more than one value, and a crash between two steps loses nothing.
void OversizedBlockSplit::split(const Job& job) {
    JobRecord record = job.record();
    record.page_size = tasks_per_block(ctx_);
    std::size_t available_bytes = ctx_.value_bytes_max() - constants::block_overhead_bytes;
    for (const auto& [index, block] : job.blocks) {
        // Machine names may be longer than the block size is computed for.
        std::size_t tasks = std::max<std::size_t>(1, block.placed.size() + block.done.size());
        std::size_t bytes_per_task = bytes_of(block) / tasks;
        int tasks_max =
            static_cast<int>(available_bytes / std::max<std::size_t>(1, bytes_per_task)) / 2 * 2;
        record.page_size = std::max(2, std::min(record.page_size, tasks_max));
    }
    record.cancelled_wall = job.cancelled_wall;  // it may have been only in the block record
    Txn txn;
    txn.conditions = JobStore::live_conditions(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    if (!job.own_record) {
        txn.conditions.push_back({keys::block(job.spec.uid, 0), job.block(0).revision});
    }
    txn.writes = {{keys::job(job.spec.uid), encode(record)}};
    ctx_.info("job {}: block records exceed the value limit, splitting them into pages of {} tasks",
              job.spec.uid, record.page_size);
    splits_in_flight_.insert(job.spec.uid);
    ctx_.send_txn(std::move(txn), [this, uid = job.spec.uid](const StoreReply& reply) {
        ctx_.when_settled(reply, [this, uid] { splits_in_flight_.erase(uid); });
    });
}

}  // namespace cranemoor::core

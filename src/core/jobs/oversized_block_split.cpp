#include "core/jobs/oversized_block_split.hpp"

namespace cranemoor::core {

namespace {
// Bytes that a placed task takes at the most.
std::size_t task_bytes(const Context& ctx) {
    std::size_t zone = 0;
    for (const auto& z : ctx.settings.zones) {
        zone = std::max(zone, z.size());
    }
    return constants::placement_bytes + zone;
}
}  // namespace

int block_tasks(const Context& ctx) {
    std::size_t each = task_bytes(ctx);
    std::size_t room =
        ctx.value_max() - std::min<std::size_t>(ctx.value_max() / 2, constants::block_frame_bytes);
    int fits = static_cast<int>(room / each);
    return std::max(2, std::min(constants::block_tasks_max, fits) / 2 * 2);
}

int largest_gang(const Context& ctx) {
    // Its blocks and its team's slices are one transaction.
    int blocks = static_cast<int>(ctx.ops_max()) - 1;
    auto room = static_cast<std::size_t>(constants::txn_bytes * constants::value_share);
    std::size_t frames = constants::block_frame_bytes * ctx.ops_max();
    auto fit = static_cast<int>((room - std::min(room / 2, frames)) / task_bytes(ctx));
    return std::min(block_tasks(ctx) * blocks, fit);
}

void OversizedBlockSplit::tick() {
    if (!ctx_.member || ctx_.to_part.empty()) {
        return;
    }
    if (!ctx_.upgraded()) {
        ctx_.to_part.clear();  // whoever needs it asks again
        return;
    }
    for (const auto& uid : std::exchange(ctx_.to_part, {})) {
        const Job* job = ctx_.jobs.find(uid);
        if (job != nullptr && job->page_size == 0 && parting_.count(uid) == 0) {
            part(*job);
        }
    }
}

// One small write turns a job's block records into what its pages are made from. Each page comes
// with the first change of its tasks, conditional on the records it is made from: no step needs
// more than one value, and a crash between two of them loses nothing.
void OversizedBlockSplit::part(const Job& job) {
    JobRecord record = job.record();
    record.page_size = block_tasks(ctx_);
    std::size_t room = ctx_.value_max() - constants::block_frame_bytes;
    for (const auto& [k, b] : job.blocks) {
        // Names may be longer than a block's size reckons with.
        std::size_t tasks = std::max<std::size_t>(1, b.placed.size() + b.done.size());
        std::size_t each = bytes_of(b) / tasks;
        int fits = static_cast<int>(room / std::max<std::size_t>(1, each)) / 2 * 2;
        record.page_size = std::max(2, std::min(record.page_size, fits));
    }
    record.cancelled_wall = job.cancelled_wall;  // perhaps it stood in the block
    Txn txn;
    txn.conditions = ctx_.jobs.alive(job);
    txn.conditions.push_back(ctx_.epoch_condition());
    if (!job.own_record) {
        txn.conditions.push_back({keys::block(job.spec.uid, 0), job.block(0).revision});
    }
    txn.writes = {{keys::job(job.spec.uid), encode(record)}};
    ctx_.info("job {}: its blocks are too large, parted into pages of {} tasks", job.spec.uid,
              record.page_size);
    parting_.insert(job.spec.uid);
    ctx_.txn(std::move(txn), [this, uid = job.spec.uid](const StoreReply& r) {
        ctx_.when_settled(r, [this, uid] { parting_.erase(uid); });
    });
}

}  // namespace cranemoor::core

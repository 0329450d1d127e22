#include "core/store/job.hpp"

#include "core/store/record_codec.hpp"
#include "core/store/record_keys.hpp"

namespace cranemoor::core {

namespace {
// The block of that number, or an empty one if there is none.
const Block& find_block(const std::map<int, Block>& blocks, int index) {
    static const Block none;
    auto it = blocks.find(index);
    return it == blocks.end() ? none : it->second;
}
}  // namespace

const Block& Job::block(int index) const {
    return find_block(blocks, index);
}

std::optional<int> Job::first_open(int index) const {
    const Block& wanted = block(index);
    for (int task = block_first(index); task <= block_last(index); ++task) {
        if (!wanted.placed.contains(task) && !wanted.is_done(task)) {
            return task;
        }
    }
    return std::nullopt;
}

JobRecord Job::record() const {
    JobRecord record;
    record.spec = spec;
    record.spec.priority = submitted_priority;
    record.submitted_wall = submitted_wall;
    record.block_size = page_size > 0 ? block_record_size : block_size;
    record.cancelled_wall = own_cancelled_wall;
    record.page_size = page_size;
    record.waiting = waiting;
    record.dependency_part_count = dependency_part_count;
    record.ready_wall = ready_wall;
    return record;
}

const Block& Job::first_block_record() const {
    return find_block(page_size > 0 ? block_records : blocks, 0);
}

std::vector<Condition> Job::other_block_records() const {
    std::vector<Condition> records;
    for (const auto& [index, block] : page_size > 0 ? block_records : blocks) {
        if (index != 0 && block.revision != 0) {
            records.push_back({keys::block(spec.uid, index), block.revision});
        }
    }
    for (const auto& [index, revision] : page_revisions) {
        records.push_back({keys::page(spec.uid, index), revision});
    }
    return records;
}

std::string Job::block_key(int index) const {
    return page_size > 0 ? keys::page(spec.uid, index) : keys::block(spec.uid, index);
}

void Job::add_block_write(int index, const Block& next, Txn& txn) const {
    txn.conditions.push_back({block_key(index), block(index).revision});
    txn.writes.push_back({block_key(index), encode(next)});
    if (page_size == 0 || page_revisions.contains(index)) {
        return;
    }
    // A page without a record is derived from block records: the write is conditional on them.
    int first_source = block_first(index) / block_record_size;
    int last_source = block_last(index) / block_record_size;
    for (int source = first_source; source <= last_source; ++source) {
        txn.conditions.push_back(
            {keys::block(spec.uid, source), find_block(block_records, source).revision});
    }
}

bool Job::gang_stop_requested() const {
    const Block& first = block(0);
    return spec.kind == JobKind::gang && first.stop_attempt != 0 &&
           first.stop_attempt == first.attempt && placed_total > 0;
}

}  // namespace cranemoor::core

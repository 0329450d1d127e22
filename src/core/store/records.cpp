#include "core/store/records.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

const Member* Epoch::find(const std::string& name) const {
    auto it = std::find_if(members.begin(), members.end(),
                           [&](const Member& member) { return member.name == name; });
    return it == members.end() ? nullptr : &*it;
}

bool Epoch::has(std::uint64_t id) const {
    return std::any_of(members.begin(), members.end(),
                       [id](const Member& member) { return member.id == id; });
}

bool Block::is_done(int task) const {
    return std::any_of(done.begin(), done.end(),
                       [task](const TaskRange& range) { return range.contains(task); });
}

void Block::add_done(int task) {
    if (is_done(task)) {
        return;
    }
    ++done_total;
    done.push_back({task, task});
    std::sort(done.begin(), done.end());
    std::vector<TaskRange> joined;
    for (const auto& range : done) {
        if (!joined.empty() && joined.back().last + 1 == range.first) {
            joined.back().last = range.last;
        } else {
            joined.push_back(range);
        }
    }
    done = std::move(joined);
}

Resources QuotaSlices::total() const {
    Resources sum;
    for (const auto& [member, resources] : by_member) {
        sum += resources;
    }
    return sum;
}

}  // namespace cranemoor::core

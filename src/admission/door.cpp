#include "admission/door.hpp"

#include <algorithm>

namespace cranemoor::admission {

void Door::enter(const FlowName& flow) {
    Queue& queue = queues_[flow];
    if (queue.waiting++ == 0) {
        // Who comes back has no claim on the turns that it did not ask for meanwhile, and is not
        // rid of those that it had.
        queue.given = std::max(queue.given, now_);
    }
    ++waiting_;
}

void Door::leave(const FlowName& flow, bool served) {
    Queue& queue = queues_.at(flow);
    --queue.waiting;
    --waiting_;
    if (served) {
        now_ = std::max(now_, queue.given++);
    }
    if (queue.waiting == 0) {
        std::erase_if(queues_, [this](const auto& q) {
            return q.second.waiting == 0 && q.second.given <= now_;
        });
    }
}

std::optional<FlowName> Door::next() const {
    std::optional<FlowName> found;
    std::size_t least = 0;
    for (const auto& [name, queue] : queues_) {
        if (queue.waiting > 0 && (!found || queue.given < least)) {
            least = queue.given;
            found = name;
        }
    }
    return found;
}

std::optional<FlowName> Door::longest(const FlowName& newcomer) const {
    auto own = queues_.find(newcomer);
    std::size_t most = own == queues_.end() ? 0 : own->second.waiting;
    std::optional<FlowName> found;
    for (const auto& [name, queue] : queues_) {
        if (queue.waiting > most + 1 || (found && queue.waiting > most)) {
            most = queue.waiting;
            found = name;
        }
    }
    return found;
}

}  // namespace cranemoor::admission

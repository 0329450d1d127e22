#include "admission/admission_controller.hpp"

#include <algorithm>

namespace cranemoor::admission {

void AdmissionController::enqueue(const FlowName& flow) {
    FlowQueue& queue = queues_[flow];
    if (queue.waiting++ == 0) {
        // A flow that comes back has no claim on the turns that it did not ask for meanwhile, and
        // is not rid of those that it had.
        queue.start_tag = std::max(queue.start_tag, virtual_time_);
    }
    ++waiting_count_;
}

void AdmissionController::dequeue(const FlowName& flow, bool served) {
    FlowQueue& queue = queues_.at(flow);
    --queue.waiting;
    --waiting_count_;
    if (served) {
        virtual_time_ = std::max(virtual_time_, queue.start_tag++);
    }
    if (queue.waiting == 0) {
        std::erase_if(queues_, [this](const auto& entry) {
            return entry.second.waiting == 0 && entry.second.start_tag <= virtual_time_;
        });
    }
}

std::optional<FlowName> AdmissionController::next_flow() const {
    std::optional<FlowName> found;
    std::size_t least = 0;
    for (const auto& [name, queue] : queues_) {
        if (queue.waiting > 0 && (!found || queue.start_tag < least)) {
            least = queue.start_tag;
            found = name;
        }
    }
    return found;
}

std::optional<FlowName> AdmissionController::flow_to_evict(const FlowName& newcomer) const {
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

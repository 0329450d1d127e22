#include "admission/admission_controller.hpp"

#include <algorithm>

namespace cranemoor::admission {

void AdmissionController::enqueue(const FlowName& flow) {
    FlowQueue& queue = queues_[flow];
    if (queue.waiting++ == 0) {
        // A flow that returns gets no credit for turns that it did not use while it was idle, and
        // the turns that it was given still count.
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
    std::size_t start_tag_min = 0;
    for (const auto& [name, queue] : queues_) {
        if (queue.waiting > 0 && (!found || queue.start_tag < start_tag_min)) {
            start_tag_min = queue.start_tag;
            found = name;
        }
    }
    return found;
}

std::optional<FlowName> AdmissionController::flow_to_evict(const FlowName& newcomer) const {
    auto own = queues_.find(newcomer);
    std::size_t waiting_max = own == queues_.end() ? 0 : own->second.waiting;
    std::optional<FlowName> found;
    for (const auto& [name, queue] : queues_) {
        if (queue.waiting > waiting_max + 1 || (found && queue.waiting > waiting_max)) {
            waiting_max = queue.waiting;
            found = name;
        }
    }
    return found;
}

}  // namespace cranemoor::admission

#include "core/requests/submission_queue.hpp"

#include <algorithm>
#include <iterator>

namespace cranemoor::core {

bool SubmissionQueue::make_room(const admission::FlowName& flow) {
    if (open_requests_.count() < constants::user_requests_max) {
        return true;
    }
    auto longest_flow = admission_controller_.flow_to_evict(flow);
    if (!longest_flow) {
        return false;
    }
    PendingSubmission evicted = remove(*longest_flow, Removal::evicted);
    for (auto request : evicted.requests) {
        if (open_requests_.is_open(request)) {
            reject_full(request, evicted.spec.uid);
        }
    }
    return open_requests_.count() < constants::user_requests_max;
}

void SubmissionQueue::reject_full(RequestId request, const std::string& uid) {
    open_requests_.reject(request, uid, {RejectionReason::queue_full}, retry_after_s(uid));
}

// Up to the expected time until the queue has drained, spread by uid so that clients rejected
// together don't retry together.
int SubmissionQueue::retry_after_s(const std::string& uid) const {
    std::size_t recent_jobs = 0;
    for (const auto& batch : accepted_batches_) {
        recent_jobs +=
            ctx_.now.steady - batch.at < constants::accept_rate_window_s ? batch.jobs : 0;
    }
    double accepted_per_s =
        std::max(1.0, static_cast<double>(recent_jobs) / constants::accept_rate_window_s);
    auto waiting = static_cast<double>(admission_controller_.waiting_count());
    int expected_s = static_cast<int>(waiting / accepted_per_s);
    int spread_s = std::clamp(expected_s, constants::retry_after_s, constants::retry_after_max_s);
    return 1 + static_cast<int>(stable_hash(uid) % static_cast<std::uint64_t>(spread_s));
}

void SubmissionQueue::enqueue(PendingSubmission submission) {
    auto flow = flow_of(submission.spec);
    admission_controller_.enqueue(flow);
    queues_[flow].push_back(std::move(submission));
}

PendingSubmission* SubmissionQueue::find(const std::string& uid) {
    for (auto& [flow, queue] : queues_) {
        auto existing = std::find_if(queue.begin(), queue.end(),
                                     [&](const auto& waiting) { return waiting.spec.uid == uid; });
        if (existing != queue.end()) {
            return &*existing;
        }
    }
    return nullptr;
}

PendingSubmission* SubmissionQueue::front() {
    while (auto flow = admission_controller_.next_flow()) {
        PendingSubmission& submission = queues_.at(*flow).front();
        std::erase_if(submission.requests,
                      [&](RequestId request) { return !open_requests_.is_open(request); });
        if (!submission.requests.empty()) {
            return &submission;
        }
        remove(*flow, Removal::abandoned);
    }
    return nullptr;
}

PendingSubmission SubmissionQueue::pop_front() {
    return remove(*admission_controller_.next_flow(), Removal::served);
}

// Removes the flow's newest submission to evict it, its oldest for any other reason.
PendingSubmission SubmissionQueue::remove(const admission::FlowName& flow, Removal removal) {
    auto entry = queues_.find(flow);
    auto& queue = entry->second;
    auto removed = removal == Removal::evicted ? std::prev(queue.end()) : queue.begin();
    PendingSubmission submission = std::move(*removed);
    queue.erase(removed);
    admission_controller_.dequeue(flow, removal == Removal::served);
    if (queue.empty()) {
        queues_.erase(entry);
    }
    return submission;
}

void SubmissionQueue::record_accepted(std::size_t jobs) {
    accepted_batches_.push_back({ctx_.now.steady, jobs});
}

void SubmissionQueue::prune() {
    std::erase_if(accepted_batches_, [&](const AcceptedBatch& batch) {
        return ctx_.now.steady - batch.at >= constants::accept_rate_window_s;
    });
}

}  // namespace cranemoor::core

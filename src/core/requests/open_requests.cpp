#include "core/requests/open_requests.hpp"

#include <vector>

namespace cranemoor::core {

namespace {

const char* state_name(JobState state) {
    switch (state) {
        case JobState::queued:
            return "queued";
        case JobState::running:
            return "running";
        case JobState::done:
            return "done";
        case JobState::cancelled:
            return "cancelled";
    }
    return "";
}

}  // namespace

void OpenRequests::open(RequestId request, const std::string& uid, double timeout_s,
                        Continuation on_fresh) {
    open_[request] = {uid, ctx_.now.steady + timeout_s, std::move(on_fresh)};
}

void OpenRequests::resume(RequestId request) {
    auto entry = open_.find(request);
    if (entry != open_.end() && entry->second.on_fresh) {
        // Moved out first: it may answer the request, which erases the entry.
        auto on_fresh = std::exchange(entry->second.on_fresh, nullptr);
        on_fresh();
    }
}

// The reply owns its strings: the caller's may belong to the entry that is erased here.
void OpenRequests::send(UserReply reply) {
    open_.erase(reply.request);
    ctx_.actions.emplace_back(std::move(reply));
}

void OpenRequests::answer(RequestId request, const std::string& uid, const JobAnswer& answer) {
    UserReply reply;
    reply.request = request;
    reply.status = static_cast<int>(answer.status);
    reply.uid = uid;
    reply.state = state_name(answer.state);
    reply.counts = answer.counts;
    send(std::move(reply));
}

void OpenRequests::reject(RequestId request, const std::string& uid, const Rejection& rejection,
                          int retry_after_s) {
    UserReply reply;
    reply.request = request;
    reply.status = static_cast<int>(http_status(rejection.reason));
    reply.uid = uid;
    reply.error = error_text(rejection);
    reply.retry_after_s = retry_after_s;
    send(std::move(reply));
}

void OpenRequests::reject_unavailable(RequestId request, const std::string& uid) {
    reject(request, uid, {RejectionReason::unavailable});
}

void OpenRequests::reject_unavailable_if_open(RequestId request) {
    if (auto entry = open_.find(request); entry != open_.end()) {
        reject_unavailable(request, entry->second.uid);
    }
}

void OpenRequests::reject_expired() {
    std::vector<RequestId> expired;
    for (const auto& [request, entry] : open_) {
        if (ctx_.now.steady >= entry.deadline) {
            expired.push_back(request);
        }
    }
    for (auto request : expired) {
        reject_unavailable_if_open(request);
    }
}

}  // namespace cranemoor::core

#include "answer_history.hpp"

#include <fmt/format.h>

namespace cranemoor::test {

void AnswerHistory::record_request(std::uint64_t request, const std::string& uid, double time_s) {
    requests_[request] = {uid, ++last_order_, time_s};
}

std::string AnswerHistory::check_reply(const core::UserReply& reply, double time_s) {
    const Request request = requests_[reply.request];
    FirstReplies& first_replies = first_replies_[request.uid];
    auto violation_text = [&](const char* rule, const char* state, const Reply& earlier) {
        return fmt::format(
            "{}: {}: request {}, sent at {:.3f} and answered at {:.3f} with {} {}, "
            "after request {} had been answered {} at {:.3f}",
            rule, request.uid, reply.request, request.time_s, time_s, reply.status, reply.state,
            earlier.request, state, earlier.time_s);
    };
    // Received before this request was sent; replies to concurrent requests may come in any order.
    auto precedes_request = [&](const Reply& earlier) {
        return earlier.order != 0 && earlier.order < request.order;
    };
    bool cancelled = reply.state == "cancelled";
    bool done = reply.state == "done";
    bool known = reply.status == 200 || reply.status == 201;
    bool refused = reply.status == 404 || reply.status == 400 || reply.status == 422;
    std::string violation;
    bool not_ended = known && !cancelled && !done;
    // A job is either done or cancelled, never both, and its final state never changes.
    if ((done && first_replies.cancelled.order != 0) ||
        (not_ended && precedes_request(first_replies.cancelled))) {
        violation = violation_text("went_back", "cancelled", first_replies.cancelled);
    } else if ((cancelled && first_replies.done.order != 0) ||
               (not_ended && precedes_request(first_replies.done))) {
        violation = violation_text("went_back", "done", first_replies.done);
    } else if (refused && precedes_request(first_replies.accepted)) {
        violation = violation_text("forgotten", "accepted", first_replies.accepted);
    }
    ++last_order_;
    auto record_first = [&](Reply& first) {
        if (first.order == 0 && violation.empty()) {
            first = {last_order_, reply.request, time_s};
        }
    };
    if (known) {
        record_first(first_replies.accepted);
    }
    if (cancelled) {
        record_first(first_replies.cancelled);
    }
    if (done) {
        record_first(first_replies.done);
    }
    return violation;
}

}  // namespace cranemoor::test

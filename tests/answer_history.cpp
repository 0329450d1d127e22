#include "answer_history.hpp"

#include <fmt/format.h>

namespace cranemoor::test {

void AnswerHistory::asked(std::uint64_t request, const std::string& uid, double at) {
    asked_[request] = {uid, ++order_, at};
}

std::string AnswerHistory::answered(const core::UserReply& reply, double at) {
    const Asked asked = asked_[reply.request];
    Told& told = told_[asked.uid];
    auto against = [&](const char* rule, const char* what, const Answer& earlier) {
        return fmt::format(
            "{}: {}: request {}, asked at {:.3f} and answered at {:.3f} with {} {}, "
            "after request {} was told {} at {:.3f}",
            rule, asked.uid, reply.request, asked.at, at, reply.status, reply.state,
            earlier.request, what, earlier.at);
    };
    // Told before this was asked for; of two answers under way at once either may be the older.
    auto before = [&](const Answer& a) { return a.order != 0 && a.order < asked.order; };
    bool cancelled = reply.state == "cancelled";
    bool done = reply.state == "done";
    bool known = reply.status == 200 || reply.status == 201;
    bool refused = reply.status == 404 || reply.status == 400 || reply.status == 422;
    std::string broken;
    bool not_ended = known && !cancelled && !done;
    // A job ends in one way only, and an ended one stays so.
    if ((done && told.cancelled.order != 0) || (not_ended && before(told.cancelled))) {
        broken = against("went_back", "cancelled", told.cancelled);
    } else if ((cancelled && told.done.order != 0) || (not_ended && before(told.done))) {
        broken = against("went_back", "done", told.done);
    } else if (refused && before(told.accepted)) {
        broken = against("forgotten", "accepted", told.accepted);
    }
    ++order_;
    auto note = [&](Answer& first) {
        if (first.order == 0 && broken.empty()) {
            first = {order_, reply.request, at};
        }
    };
    if (known) {
        note(told.accepted);
    }
    if (cancelled) {
        note(told.cancelled);
    }
    if (done) {
        note(told.done);
    }
    return broken;
}

}  // namespace cranemoor::test

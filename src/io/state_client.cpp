#include "io/state_client.hpp"

#include <algorithm>

#include "core/model/constants.hpp"
#include "wire/store_messages.hpp"

namespace cranemoor::io {

namespace c = core::constants;

StateClient::StateClient(Loop& loop, const core::Settings& s, Done done)
    : loop_(loop),
      done_(std::move(done)),
      calls_(loop, s.state_address, c::state_connections, c::state_answer_max),
      watches_(loop, s.state_address, c::watch_connections, c::state_answer_max),
      requests_(s.state_rps * c::state_rate_share, s.state_rps * c::state_rate_share),
      writes_(s.state_write_rps * c::state_write_share, s.state_write_rps * c::state_write_share),
      reopened_(s.state_rps * c::watch_share, c::watch_burst),
      timer_(loop, [this] { pump(); }) {}

void StateClient::call(core::StoreCall call) {
    Waiting w;
    w.deadline = loop_.now().steady + c::state_timeout_s;
    if (call.kind == core::StoreCall::Kind::watch) {
        w.deadline = 1e18;  // waits for its budget as long as it must
    }
    w.call = std::move(call);
    enqueue(std::move(w));
    pump();
}

// In order of urgency, and of equals behind those that came before: a lease must not end behind a
// queue, and who waits for an answer comes before what nobody waits for. What is sent again goes
// before its equals.
void StateClient::enqueue(Waiting w) {
    auto rank = [](const Waiting& x) {
        return x.call.kind == core::StoreCall::Kind::txn ? static_cast<int>(x.call.txn.urgency)
                                                         : -1;
    };
    auto at = std::find_if(queue_.begin(), queue_.end(), [&](const Waiting& x) {
        return w.tries > 0 ? rank(x) >= rank(w) : rank(x) > rank(w);
    });
    queue_.insert(at, std::move(w));
}

void StateClient::pump() {
    double t = loop_.now().steady;
    double wait = 1e18;
    // Guards against a transaction of several changes that never goes out, since smaller ones that
    // came later take what little is left each time.
    bool short_of_writes = false;
    for (std::size_t i = 0; i < queue_.size();) {
        Waiting& w = queue_[i];
        bool watch = w.call.kind == core::StoreCall::Kind::watch;
        auto writes = static_cast<double>(w.call.txn.writes.size());
        if (w.deadline <= t) {
            auto id = w.call.id;
            queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
            core::StoreReply refused;
            refused.status = core::StoreReply::Status::refused;  // never sent
            done_(id, refused);
            pump();
            return;
        }
        core::RateBudget& budget = watch ? reopened_ : requests_;
        bool changes = !watch && writes > 0;
        bool go = t >= w.not_before && budget.has(t, 1) &&
                  (!changes || (!short_of_writes && writes_.has(t, writes)));
        if (!go) {
            short_of_writes = short_of_writes || (changes && t >= w.not_before);
            double after = std::max(
                {w.not_before - t, budget.wait(t, 1), watch ? 0.0 : writes_.wait(t, writes)});
            wait = std::min({wait, after, w.deadline - t});
            ++i;
            continue;
        }
        budget.take(1);
        if (changes) {
            writes_.take(writes);
        }
        Waiting out = std::move(w);
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
        send(out);
    }
    if (wait < 1e17) {
        timer_.start(std::max(0.001, wait));
    }
}

void StateClient::send(const Waiting& w) {
    auto request = wire::store_request(w.call);
    bool watch = w.call.kind == core::StoreCall::Kind::watch;
    HttpClient& client = watch ? watches_ : calls_;
    double timeout = watch ? c::watch_hold_ms / 1000.0 + c::watch_grace_s : c::state_timeout_s;
    client.request(request.method, request.target, request.body, timeout,
                   [this, w](const HttpMessage* m) {
                       if (m != nullptr && m->status == 429 && w.tries < c::state_again_max) {
                           // Over the limit, which others share: not executed.
                           Waiting again = w;
                           again.tries++;
                           again.not_before = loop_.now().steady + c::state_again_s * again.tries;
                           enqueue(std::move(again));
                           pump();
                           return;
                       }
                       core::StoreReply reply;
                       if (m != nullptr) {
                           reply = wire::decode_store_reply(w.call, m->status, m->body);
                       }
                       done_(w.call.id, reply);
                   });
}

}  // namespace cranemoor::io

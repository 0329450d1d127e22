#include "io/store_client.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/model/constants.hpp"
#include "wire/store_messages.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr double never = 1e18;           // a time on the steady clock that does not come
constexpr double timer_s_least = 0.001;  // so that a timer never fires before its budget is there
constexpr int http_too_many_requests = 429;

// Lower ranks are sent first. All calls but transactions are urgent: among them are the renewals of
// leases.
int urgency_rank(const core::StoreCall& call) {
    return call.kind == core::StoreCall::Kind::txn ? static_cast<int>(call.txn.urgency) : -1;
}

}  // namespace

StoreClient::StoreClient(Loop& loop, const core::Settings& settings, Done done)
    : done_(std::move(done)),
      calls_(loop, settings.store_address, constants::store_connections_max,
             constants::store_response_bytes_max),
      watches_(loop, settings.store_address, constants::watch_connections_max,
               constants::store_response_bytes_max),
      requests_(settings.store_requests_per_s * constants::store_request_share,
                settings.store_requests_per_s * constants::store_request_share),
      writes_(settings.store_writes_per_s * constants::store_write_share,
              settings.store_writes_per_s * constants::store_write_share),
      watch_requests_(settings.store_requests_per_s * constants::watch_request_share,
                      constants::watch_requests_burst_max),
      timer_(loop, [this] { send_queued(); }) {}

void StoreClient::call(core::StoreCall call) {
    QueuedCall queued;
    queued.deadline = Loop::now().steady + constants::store_timeout_s;
    queued.call = std::move(call);
    if (queued.is_watch()) {
        queued.deadline = never;
    }
    enqueue(std::move(queued));
    send_queued();
}

// In order of urgency, and of equals behind those that came before: a lease must not end behind a
// queue, and a call that somebody waits for comes before one that nobody waits for. A retry goes
// before its equals.
void StoreClient::enqueue(QueuedCall queued) {
    int rank = urgency_rank(queued.call);
    bool is_retry = queued.retries > 0;
    auto position = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedCall& other) {
        int other_rank = urgency_rank(other.call);
        return is_retry ? other_rank >= rank : other_rank > rank;
    });
    queue_.insert(position, std::move(queued));
}

// Sends what the budgets allow, and sets the timer for the rest.
void StoreClient::send_queued() {
    double now = Loop::now().steady;
    double next_s = never;
    // Guards against a transaction of several writes that never goes out, since smaller ones that
    // came later take what little is left each time.
    bool writes_reserved = false;
    for (std::size_t i = 0; i < queue_.size();) {
        QueuedCall& queued = queue_[i];
        if (queued.deadline <= now) {
            refuse(remove(i).call.id);
            send_queued();  // the callback may have changed the queue
            return;
        }
        if (fits_budget(queued, now, writes_reserved)) {
            take_budget(queued);
            send(remove(i));
            continue;
        }
        bool has_writes = !queued.is_watch() && queued.writes() > 0;
        writes_reserved = writes_reserved || (has_writes && now >= queued.not_before);
        next_s = std::min({next_s, wait_s(queued, now), queued.deadline - now});
        ++i;
    }
    if (next_s < never / 10) {
        timer_.start(std::max(timer_s_least, next_s));
    }
}

StoreClient::QueuedCall StoreClient::remove(std::size_t index) {
    QueuedCall removed = std::move(queue_[index]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
    return removed;
}

// Ends a call that was never sent.
void StoreClient::refuse(std::uint64_t id) {
    core::StoreReply reply;
    reply.status = core::StoreReply::Status::refused;
    done_(id, reply);
}

core::TokenBucket& StoreClient::request_budget(const QueuedCall& queued) {
    return queued.is_watch() ? watch_requests_ : requests_;
}

bool StoreClient::fits_budget(const QueuedCall& queued, double now, bool writes_reserved) {
    if (now < queued.not_before || !request_budget(queued).can_take(now, 1)) {
        return false;
    }
    if (queued.is_watch() || queued.writes() == 0) {
        return true;
    }
    return !writes_reserved && writes_.can_take(now, queued.writes());
}

void StoreClient::take_budget(const QueuedCall& queued) {
    request_budget(queued).take(1);
    if (!queued.is_watch() && queued.writes() > 0) {
        writes_.take(queued.writes());
    }
}

// Seconds until the budgets allow the call, if nothing else takes from them.
double StoreClient::wait_s(const QueuedCall& queued, double now) {
    double writes_wait_s = queued.is_watch() ? 0.0 : writes_.wait_s(now, queued.writes());
    return std::max(
        {queued.not_before - now, request_budget(queued).wait_s(now, 1), writes_wait_s});
}

void StoreClient::send(const QueuedCall& queued) {
    auto request = wire::store_request(queued.call);
    HttpClient& client = queued.is_watch() ? watches_ : calls_;
    double timeout_s = queued.is_watch() ? constants::watch_duration_max_ms / 1000.0 +
                                               constants::watch_timeout_margin_s
                                         : constants::store_timeout_s;
    client.request(
        request.method, request.target, request.body, timeout_s,
        [this, queued](const HttpMessage* response) { handle_response(queued, response); });
}

void StoreClient::handle_response(const QueuedCall& queued, const HttpMessage* response) {
    bool over_limit = response != nullptr && response->status == http_too_many_requests;
    if (over_limit && queued.retries < constants::store_rate_limit_retries_max) {
        retry(queued);
        return;
    }
    core::StoreReply reply;
    if (response != nullptr) {
        reply = wire::decode_store_reply(queued.call, response->status, response->body);
    }
    done_(queued.call.id, reply);
}

// Sends again what was over the limit, which all controllers share, and so was not executed.
void StoreClient::retry(QueuedCall queued) {
    queued.retries++;
    queued.not_before = Loop::now().steady + constants::store_rate_limit_backoff_s * queued.retries;
    enqueue(std::move(queued));
    send_queued();
}

}  // namespace cranemoor::io

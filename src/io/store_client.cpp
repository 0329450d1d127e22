#include "io/store_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "core/model/constants.hpp"
#include "io/crash_report.hpp"
#include "wire/store_messages.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr double never = 1e18;               // steady time that is never reached
constexpr double timer_delay_min_s = 0.001;  // a timer must not fire before tokens are available
constexpr int http_too_many_requests = 429;

// Lower ranks are sent first. All calls except transactions rank first, because they include lease
// renewals.
int urgency_rank(const core::StoreCall& call) {
    return call.kind == core::StoreCall::Kind::txn ? static_cast<int>(call.txn.urgency) : -1;
}

}  // namespace

StoreClient::StoreClient(Loop& loop, const core::Settings& settings,
                         RefusedMessages& refused_messages, Callback callback)
    : refused_messages_(refused_messages),
      source_("key-value store " + settings.store_address),
      callback_(std::move(callback)),
      call_client_(loop, settings.store_address, constants::store_connections_max,
                   constants::store_response_bytes_max),
      watch_client_(loop, settings.store_address, constants::watch_connections_max,
                    constants::store_response_bytes_max),
      request_bucket_(settings.store_requests_per_s * constants::store_request_share,
                      settings.store_requests_per_s * constants::store_request_share),
      write_bucket_(settings.store_writes_per_s * constants::store_write_share,
                    settings.store_writes_per_s * constants::store_write_share),
      watch_bucket_(settings.store_requests_per_s * constants::watch_request_share,
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

// Inserts a call in order of urgency, after earlier calls of the same urgency: a lease must not
// expire behind a queue, and a call that a client waits for precedes one that nobody waits for. A
// retry goes before calls of the same urgency.
void StoreClient::enqueue(QueuedCall queued) {
    int rank = urgency_rank(queued.call);
    bool is_retry = queued.retries > 0;
    auto position = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedCall& other) {
        int other_rank = urgency_rank(other.call);
        return is_retry ? other_rank >= rank : other_rank > rank;
    });
    queue_.insert(position, std::move(queued));
}

// Sends the calls that the rate limits allow, and sets the timer for the rest.
void StoreClient::send_queued() {
    double now = Loop::now().steady;
    double next_wake_s = never;
    // Prevents starvation of a transaction with several writes: later, smaller transactions would
    // otherwise take the remaining tokens each time.
    bool writes_reserved = false;
    for (std::size_t i = 0; i < queue_.size();) {
        QueuedCall& queued = queue_[i];
        if (queued.deadline <= now) {
            refuse(remove(i).call.id);
            send_queued();  // the callback may have changed the queue
            return;
        }
        if (fits_rate_limits(queued, now, writes_reserved)) {
            take_tokens(queued);
            send(remove(i));
            continue;
        }
        bool has_writes = !queued.is_watch() && queued.writes() > 0;
        writes_reserved = writes_reserved || (has_writes && now >= queued.not_before);
        next_wake_s = std::min({next_wake_s, wait_s(queued, now), queued.deadline - now});
        ++i;
    }
    if (next_wake_s < never / 10) {
        timer_.start(std::max(timer_delay_min_s, next_wake_s));
    }
}

StoreClient::QueuedCall StoreClient::remove(std::size_t index) {
    QueuedCall removed = std::move(queue_[index]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
    return removed;
}

// Fails a call that was never sent.
void StoreClient::refuse(std::uint64_t id) {
    core::StoreReply reply;
    reply.status = core::StoreReply::Status::refused;
    callback_(id, reply);
}

core::TokenBucket& StoreClient::request_bucket(const QueuedCall& queued) {
    return queued.is_watch() ? watch_bucket_ : request_bucket_;
}

bool StoreClient::fits_rate_limits(const QueuedCall& queued, double now, bool writes_reserved) {
    if (now < queued.not_before || !request_bucket(queued).can_take(now, 1)) {
        return false;
    }
    if (queued.is_watch() || queued.writes() == 0) {
        return true;
    }
    return !writes_reserved && write_bucket_.can_take(now, queued.writes());
}

void StoreClient::take_tokens(const QueuedCall& queued) {
    request_bucket(queued).take(1);
    if (!queued.is_watch() && queued.writes() > 0) {
        write_bucket_.take(queued.writes());
    }
}

// Seconds until the rate limits allow the call, if no other call takes tokens meanwhile.
double StoreClient::wait_s(const QueuedCall& queued, double now) {
    double writes_wait_s = queued.is_watch() ? 0.0 : write_bucket_.wait_s(now, queued.writes());
    return std::max(
        {queued.not_before - now, request_bucket(queued).wait_s(now, 1), writes_wait_s});
}

void StoreClient::send(QueuedCall queued) {
    auto request = wire::store_request(queued.call);
    queued.method = request.method;
    queued.target = request.target;
    queued.sent_at = Loop::now().steady;
    HttpClient& client = queued.is_watch() ? watch_client_ : call_client_;
    double timeout_s = queued.is_watch() ? constants::watch_duration_max_ms / 1000.0 +
                                               constants::watch_timeout_margin_s
                                         : constants::store_timeout_s;
    client.request(
        request.method, request.target, request.body, timeout_s,
        [this, queued](const HttpMessage* response) { handle_response(queued, response); });
}

void StoreClient::handle_response(const QueuedCall& queued, const HttpMessage* response) {
    HandledMessage scope({source_, queued.method, queued.target, body_of(response)});
    bool is_rate_limited = response != nullptr && response->status == http_too_many_requests;
    if (is_rate_limited && queued.retries < constants::store_rate_limit_retries_max) {
        retry(queued);
        return;
    }
    core::StoreReply reply;
    if (response != nullptr) {
        HandledMessage::set_step("decode_store_reply");
        auto decoded = wire::decode_store_reply(queued.call, response->status, response->body);
        if (decoded) {
            reply = std::move(*decoded);
        } else {
            refused_messages_.count(source_, decoded.error().message);
        }
    }
    log_reply(queued, response, reply);
    HandledMessage::set_step("store_reply");
    callback_(queued.call.id, reply);
}

// What was read from the store, and when.
void StoreClient::log_reply(const QueuedCall& queued, const HttpMessage* response,
                            const core::StoreReply& reply) const {
    if (spdlog::should_log(spdlog::level::debug)) {
        spdlog::debug("{}: {} {}: status {}, revision {}, after {:.3f} s", source_, queued.method,
                      queued.target, response == nullptr ? 0 : response->status, reply.revision,
                      Loop::now().steady - queued.sent_at);
    }
}

// Retries a call that exceeded the store's limit, which all controllers share. The store did not
// execute it.
void StoreClient::retry(QueuedCall queued) {
    queued.retries++;
    queued.not_before = Loop::now().steady + constants::store_rate_limit_backoff_s * queued.retries;
    enqueue(std::move(queued));
    send_queued();
}

}  // namespace cranemoor::io

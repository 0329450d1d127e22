/// Client of the key-value store with a rate limiter below the store's limits.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"
#include "io/refused_messages.hpp"

namespace cranemoor::io {

/// Sends calls in order of urgency, below the request and write limits of the settings (protocol,
/// "Limits and errors"), and retries calls that the store rejected for their rate. Watches have
/// their own connections and rate limit, because each occupies a connection while it waits.
class StoreClient {
  public:
    /// Called once per call, with its id and the reply.
    using Callback = std::function<void(std::uint64_t id, const core::StoreReply&)>;

    /// `callback` may make further calls; `refused_messages` counts replies that can't be decoded.
    StoreClient(Loop& loop, const core::Settings& settings, RefusedMessages& refused_messages,
                Callback callback);

    /// Queues a call and sends it as soon as the rate limits allow. A call that could not be sent
    /// within `constants::store_timeout_s` ends as `Status::refused`; a watch stays queued without
    /// a time limit.
    void call(core::StoreCall call);

  private:
    // A call that has not been sent. Times are in seconds on the steady clock.
    struct QueuedCall {
        core::StoreCall call;
        double deadline = 0;
        double not_before = 0;  // earliest time of a retry; 0: no retry
        int retries = 0;
        std::string method;  // of the request, as the target, once it is sent
        std::string target;
        double sent_at = 0;

        bool is_watch() const { return call.kind == core::StoreCall::Kind::watch; }
        double writes() const { return static_cast<double>(call.txn.writes.size()); }
    };

    void enqueue(QueuedCall queued);
    void send_queued();
    QueuedCall remove(std::size_t index);
    void refuse(std::uint64_t id);
    bool fits_rate_limits(const QueuedCall& queued, double now, bool writes_reserved);
    void take_tokens(const QueuedCall& queued);
    double wait_s(const QueuedCall& queued, double now);
    core::TokenBucket& request_bucket(const QueuedCall& queued);
    void send(QueuedCall queued);
    void handle_response(const QueuedCall& queued, const HttpMessage* response);
    void log_reply(const QueuedCall& queued, const HttpMessage* response,
                   const core::StoreReply& reply) const;
    void retry(QueuedCall queued);

    RefusedMessages& refused_messages_;
    const std::string source_;  // names the store in log lines
    Callback callback_;
    HttpClient call_client_;
    HttpClient watch_client_;
    core::TokenBucket request_bucket_;
    core::TokenBucket write_bucket_;
    core::TokenBucket watch_bucket_;
    std::deque<QueuedCall> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

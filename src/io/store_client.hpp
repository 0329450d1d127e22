// Calls to the key-value store, within a budget below its limits.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"

namespace cranemoor::io {

/// Sends calls to the key-value store: by urgency, below the request and write limits of the
/// settings (protocol, "Limits and errors"), with retries of what was refused for its rate. Watches
/// have connections and a budget of their own, since each occupies a connection while it waits.
class StoreClient {
  public:
    /// Called once for each call, with its id and the reply.
    using Done = std::function<void(std::uint64_t id, const core::StoreReply&)>;

    /// `done` may make further calls.
    StoreClient(Loop& loop, const core::Settings& settings, Done done);

    /// Queues a call and sends it as soon as the budget allows. A call that could not be sent
    /// within `constants::store_timeout_s` ends as `Status::refused`; a watch waits as long as it
    /// must.
    void call(core::StoreCall call);

  private:
    // A call that waits to be sent. Times are in seconds on the steady clock.
    struct QueuedCall {
        core::StoreCall call;
        double deadline = 0;
        double not_before = 0;  // of a retry
        int retries = 0;

        bool is_watch() const { return call.kind == core::StoreCall::Kind::watch; }
        double writes() const { return static_cast<double>(call.txn.writes.size()); }
    };

    void enqueue(QueuedCall queued);
    void send_queued();
    QueuedCall remove(std::size_t index);
    void refuse(std::uint64_t id);
    bool fits_budget(const QueuedCall& queued, double now, bool writes_reserved);
    void take_budget(const QueuedCall& queued);
    double wait_s(const QueuedCall& queued, double now);
    core::TokenBucket& request_budget(const QueuedCall& queued);
    void send(const QueuedCall& queued);
    void handle_response(const QueuedCall& queued, const HttpMessage* response);
    void retry(QueuedCall queued);

    Done done_;
    HttpClient calls_;
    HttpClient watches_;
    core::TokenBucket requests_;
    core::TokenBucket writes_;
    core::TokenBucket watch_requests_;
    std::deque<QueuedCall> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

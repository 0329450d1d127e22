// Calls to the cloud's interface, within a budget below its limit.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"

namespace cranemoor::io {

/// Sends calls to the cloud in order, below the request limit of the settings (protocol,
/// "Controller nodes -> cloud"). Releases go before all others.
class CloudClient {
  public:
    /// Called once for each call, with its id and the reply.
    using Done = std::function<void(std::uint64_t id, const core::CloudReply&)>;

    /// `done` may make further calls.
    CloudClient(Loop& loop, const core::Settings& settings, Done done);

    /// Queues a call and sends it as soon as the budget allows.
    void call(core::CloudCall call);

  private:
    void send_queued();
    void send(const core::CloudCall& call);

    Done done_;
    HttpClient client_;
    core::TokenBucket budget_;
    std::deque<core::CloudCall> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

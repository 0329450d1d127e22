/// Client of the cloud API with a rate limiter below the cloud's limit.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"
#include "io/refused_messages.hpp"

namespace cranemoor::io {

/// Sends calls to the cloud in order, below the request limit of the settings (protocol,
/// "Controller nodes -> cloud"). Releases are sent before all other calls.
class CloudClient {
  public:
    /// Called once per call, with its id and the reply.
    using Callback = std::function<void(std::uint64_t id, const core::CloudReply&)>;

    /// `callback` may make further calls; `refused_messages` counts replies that can't be decoded.
    CloudClient(Loop& loop, const core::Settings& settings, RefusedMessages& refused_messages,
                Callback callback);

    /// Queues a call and sends it as soon as the rate limit allows.
    void call(core::CloudCall call);

  private:
    void send_queued();
    void send(const core::CloudCall& call);
    void handle_response(const core::CloudCall& call, const HttpMessage* response);

    RefusedMessages& refused_messages_;
    const std::string source_;  // names the cloud in log lines
    Callback callback_;
    HttpClient client_;
    core::TokenBucket request_bucket_;
    std::deque<core::CloudCall> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

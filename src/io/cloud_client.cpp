#include "io/cloud_client.hpp"

#include <algorithm>
#include <utility>

#include "core/model/constants.hpp"
#include "wire/cloud_messages.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr double timer_s_least = 0.001;  // so that a timer never fires before its budget is there

}  // namespace

CloudClient::CloudClient(Loop& loop, const core::Settings& settings, Done done)
    : done_(std::move(done)),
      client_(loop, settings.cloud_address, constants::cloud_connections_max,
              constants::cloud_response_bytes_max),
      budget_(settings.cloud_requests_per_s * constants::cloud_request_share,
              settings.cloud_requests_per_s * constants::cloud_request_share),
      timer_(loop, [this] { send_queued(); }) {}

void CloudClient::call(core::CloudCall call) {
    // Releases free capacity that others wait for.
    if (call.kind == core::CloudCall::Kind::release) {
        queue_.push_front(std::move(call));
    } else {
        queue_.push_back(std::move(call));
    }
    send_queued();
}

void CloudClient::send_queued() {
    double now = Loop::now().steady;
    while (!queue_.empty() && budget_.can_take(now, 1)) {
        budget_.take(1);
        core::CloudCall call = std::move(queue_.front());
        queue_.pop_front();
        send(call);
    }
    if (!queue_.empty()) {
        timer_.start(std::max(timer_s_least, budget_.wait_s(now, 1)));
    }
}

void CloudClient::send(const core::CloudCall& call) {
    auto request = wire::cloud_request(call);
    client_.request(request.method, request.target, request.body, constants::cloud_timeout_s,
                    [this, call](const HttpMessage* response) {
                        core::CloudReply reply;
                        if (response != nullptr) {
                            reply =
                                wire::decode_cloud_reply(call, response->status, response->body);
                        }
                        done_(call.id, reply);
                    });
}

}  // namespace cranemoor::io

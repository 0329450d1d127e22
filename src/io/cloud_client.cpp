#include "io/cloud_client.hpp"

#include <algorithm>
#include <utility>

#include "core/model/constants.hpp"
#include "io/crash_report.hpp"
#include "wire/cloud_messages.hpp"

namespace cranemoor::io {

namespace constants = core::constants;

namespace {

constexpr double timer_delay_min_s = 0.001;  // a timer must not fire before tokens are available

}  // namespace

CloudClient::CloudClient(Loop& loop, const core::Settings& settings,
                         RefusedMessages& refused_messages, Callback callback)
    : refused_messages_(refused_messages),
      source_("cloud " + settings.cloud_address),
      callback_(std::move(callback)),
      client_(loop, settings.cloud_address, constants::cloud_connections_max,
              constants::cloud_response_bytes_max),
      request_bucket_(settings.cloud_requests_per_s * constants::cloud_request_share,
                      settings.cloud_requests_per_s * constants::cloud_request_share),
      timer_(loop, [this] { send_queued(); }) {}

void CloudClient::call(core::CloudCall call) {
    // Releases free capacity that other calls wait for.
    if (call.kind == core::CloudCall::Kind::release) {
        queue_.push_front(std::move(call));
    } else {
        queue_.push_back(std::move(call));
    }
    send_queued();
}

void CloudClient::send_queued() {
    double now = Loop::now().steady;
    while (!queue_.empty() && request_bucket_.can_take(now, 1)) {
        request_bucket_.take(1);
        core::CloudCall call = std::move(queue_.front());
        queue_.pop_front();
        send(call);
    }
    if (!queue_.empty()) {
        timer_.start(std::max(timer_delay_min_s, request_bucket_.wait_s(now, 1)));
    }
}

void CloudClient::send(const core::CloudCall& call) {
    auto request = wire::cloud_request(call);
    client_.request(request.method, request.target, request.body, constants::cloud_timeout_s,
                    [this, call, method = request.method,
                     target = request.target](const HttpMessage* response) {
                        HandledMessage scope({source_, method, target, body_of(response)});
                        handle_response(call, response);
                    });
}

void CloudClient::handle_response(const core::CloudCall& call, const HttpMessage* response) {
    core::CloudReply reply;
    if (response != nullptr) {
        HandledMessage::set_step("decode_cloud_reply");
        auto decoded = wire::decode_cloud_reply(call, response->status, response->body);
        if (decoded) {
            reply = std::move(*decoded);
        } else {
            refused_messages_.count(source_, decoded.error().message);
        }
    }
    HandledMessage::set_step("cloud_reply");
    callback_(call.id, reply);
}

}  // namespace cranemoor::io

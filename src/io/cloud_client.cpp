#include "io/cloud_client.hpp"

#include "core/model/constants.hpp"
#include "wire/cloud_messages.hpp"

namespace cranemoor::io {

namespace c = core::constants;

CloudClient::CloudClient(Loop& loop, const core::Settings& s, Done done)
    : loop_(loop),
      done_(std::move(done)),
      client_(loop, s.cloud_address, c::cloud_connections, c::cloud_answer_max),
      budget_(s.cloud_rps * c::cloud_share, s.cloud_rps * c::cloud_share),
      timer_(loop, [this] { pump(); }) {}

void CloudClient::call(core::CloudCall call) {
    // Releases free places that others wait for: they go first.
    if (call.kind == core::CloudCall::Kind::release) {
        queue_.push_front(std::move(call));
    } else {
        queue_.push_back(std::move(call));
    }
    pump();
}

void CloudClient::pump() {
    double t = loop_.now().steady;
    while (!queue_.empty() && budget_.has(t, 1)) {
        budget_.take(1);
        core::CloudCall call = std::move(queue_.front());
        queue_.pop_front();
        auto request = wire::cloud_request(call);
        client_.request(request.method, request.target, request.body, c::cloud_timeout_s,
                        [this, call](const HttpMessage* m) {
                            core::CloudReply reply;
                            if (m != nullptr) {
                                reply = wire::decode_cloud_reply(call, m->status, m->body);
                            }
                            done_(call.id, reply);
                        });
    }
    if (!queue_.empty()) {
        timer_.start(std::max(0.001, budget_.wait(t, 1)));
    }
}

}  // namespace cranemoor::io

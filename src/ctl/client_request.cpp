#include "ctl/client_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"

namespace cranemoor::ctl {

namespace constants = core::constants;

namespace {

// Steady time that is never reached: the deadline of a call without a time limit.
constexpr double never = 1e18;

bool has_state(const Json& body, const char* state) {
    return body.value("stance", "") == state;
}

std::optional<ExitCode> classify_submission(int status, const Json& /*body*/) {
    if (status == 200 || status == 201) {
        return ExitCode::done;
    }
    bool rejected = status == 400 || status == 413 || status == 422;
    return rejected ? std::optional(ExitCode::rejected) : std::nullopt;
}

std::optional<ExitCode> classify_known_job(int status, const Json& /*body*/) {
    if (status == 200) {
        return ExitCode::done;
    }
    return status == 404 ? std::optional(ExitCode::rejected) : std::nullopt;
}

std::optional<ExitCode> classify_wait(int status, const Json& body) {
    if (status == 200 && has_state(body, "done")) {
        return ExitCode::done;
    }
    if (status == 200 && has_state(body, "withdrawn")) {
        return ExitCode::cancelled;
    }
    return status == 404 ? std::optional(ExitCode::rejected) : std::nullopt;
}

}  // namespace

ClientRequest::ClientRequest(io::Loop& loop, const std::string& server, RetryPolicy policy)
    : loop_(loop),
      client_(loop, server, 1, constants::peer_response_bytes_max),
      policy_(policy),
      retry_timer_(loop, [this] { send(); }) {}

Response ClientRequest::run(Call call) {
    call_ = std::move(call);
    deadline_ = call_.total_timeout_s > 0 ? io::Loop::now().steady + call_.total_timeout_s : never;
    response_ = {};
    retry_timer_.start(0);
    loop_.run();
    return response_;
}

void ClientRequest::send() {
    client_.request(call_.method, call_.target, call_.body, call_.response_timeout_s,
                    [this](const io::HttpMessage* message) { handle_response(message); });
}

// `message`: nullptr if there was no response in time.
void ClientRequest::handle_response(const io::HttpMessage* message) {
    double retry_delay_s = call_.retry_delay_s;
    if (message != nullptr) {
        response_.status = message->status;
        auto value = wire::decode_cbor(message->body);
        response_.body = value && value->is_object() ? *value : Json::object();
        if (auto exit = call_.classify(message->status, response_.body)) {
            finish(*exit);
            return;
        }
        if (const std::string* retry_after = message->header("retry-after")) {
            double retry_after_s = std::strtod(retry_after->c_str(), nullptr);
            retry_delay_s =
                std::max(retry_delay_s, std::min(retry_after_s, policy_.retry_after_max_s));
        }
    }
    if (io::Loop::now().steady + retry_delay_s > deadline_) {
        finish(ExitCode::no_response);
        return;
    }
    retry_timer_.start(retry_delay_s);
}

void ClientRequest::finish(ExitCode exit) {
    response_.exit = exit;
    loop_.stop();
}

Response ClientRequest::submit(const Json& job) {
    return run({"POST", "/work", wire::encode_cbor(job), constants::submission_response_timeout_s,
                policy_.retry_interval_s, policy_.retry_duration_s, classify_submission});
}

Response ClientRequest::cancel(const std::string& uid) {
    return run({"POST", fmt::format("/work/{}/cancel", uid), "",
                constants::submission_response_timeout_s, policy_.retry_interval_s,
                policy_.retry_duration_s, classify_known_job});
}

Response ClientRequest::status(const std::string& uid) {
    return run({"GET", fmt::format("/work/{}", uid), "", constants::status_response_timeout_s,
                policy_.retry_interval_s, policy_.retry_duration_s, classify_known_job});
}

Response ClientRequest::wait(const std::string& uid) {
    return run({"GET", fmt::format("/work/{}", uid), "", constants::status_response_timeout_s,
                policy_.poll_interval_s, policy_.wait_timeout_s, classify_wait});
}

std::string describe(const Response& response, bool json) {
    const Json& body = response.body;
    if (json) {
        Json output = body;
        output["status"] = response.status;
        return output.dump();
    }
    if (response.status == 0) {
        return "no answer";
    }
    std::string text = body.value("uid", "");
    if (body.contains("stance")) {
        text += fmt::format(" {}", body.value("stance", ""));
        if (body.contains("done")) {
            text += fmt::format(", {} done, {} running", body.value("done", 0),
                                body.value("running", 0));
        }
        return text;
    }
    return fmt::format("{}{}{} ({})", text, text.empty() ? "" : ": ",
                       body.value("error", "not now"), response.status);
}

}  // namespace cranemoor::ctl

#include "ctl/client_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"

namespace cranemoor::ctl {

namespace constants = core::constants;

namespace {
bool final(const Json& body, const char* state) {
    return body.value("stance", "") == state;
}

std::optional<Exit> known_or_not(int status, const Json& /*body*/) {
    if (status == 200) {
        return Exit::done;
    }
    return status == 404 ? std::optional(Exit::refused) : std::nullopt;
}
}  // namespace

ClientRequest::ClientRequest(io::Loop& loop, const std::string& server, Patience patience)
    : loop_(loop),
      client_(loop, server, 1, constants::peer_answer_max),
      patience_(patience),
      again_(loop, [this] { send(); }) {}

Outcome ClientRequest::run(const std::string& method, const std::string& target,
                           const std::string& body, double answer_s, double pause_s,
                           double patience_s, Judge judge) {
    method_ = method;
    target_ = target;
    body_ = body;
    answer_s_ = answer_s;
    pause_s_ = pause_s;
    until_ = patience_s > 0 ? loop_.now().steady + patience_s : 1e18;
    judge_ = std::move(judge);
    outcome_ = {};
    again_.start(0);
    loop_.run();
    return outcome_;
}

void ClientRequest::send() {
    client_.request(method_, target_, body_, answer_s_, [this](const io::HttpMessage* m) {
        double pause = pause_s_;
        if (m != nullptr) {
            outcome_.status = m->status;
            auto value = wire::decode_cbor(m->body);
            outcome_.body = value && value->is_object() ? *value : Json::object();
            if (auto exit = judge_(m->status, outcome_.body)) {
                outcome_.exit = *exit;
                loop_.stop();
                return;
            }
            if (const std::string* after = m->header("retry-after")) {
                double asked = std::strtod(after->c_str(), nullptr);
                pause = std::max(pause, std::min(asked, patience_.retry_max_s));
            }
        }
        if (loop_.now().steady + pause > until_) {
            outcome_.exit = Exit::no_answer;
            loop_.stop();
            return;
        }
        again_.start(pause);
    });
}

Outcome ClientRequest::submit(const Json& job) {
    return run("POST", "/work", wire::encode_cbor(job), constants::submit_answer_s,
               patience_.again_s, patience_.request_s,
               [](int status, const Json&) -> std::optional<Exit> {
                   if (status == 200 || status == 201) {
                       return Exit::done;
                   }
                   bool refused = status == 400 || status == 413 || status == 422;
                   return refused ? std::optional(Exit::refused) : std::nullopt;
               });
}

Outcome ClientRequest::cancel(const std::string& uid) {
    return run("POST", fmt::format("/work/{}/cancel", uid), "", constants::submit_answer_s,
               patience_.again_s, patience_.request_s, known_or_not);
}

Outcome ClientRequest::status(const std::string& uid) {
    return run("GET", fmt::format("/work/{}", uid), "", constants::poll_answer_s, patience_.again_s,
               patience_.request_s, known_or_not);
}

Outcome ClientRequest::wait(const std::string& uid) {
    return run("GET", fmt::format("/work/{}", uid), "", constants::poll_answer_s, patience_.poll_s,
               patience_.wait_s, [](int status, const Json& body) -> std::optional<Exit> {
                   if (status == 200 && final(body, "done")) {
                       return Exit::done;
                   }
                   if (status == 200 && final(body, "withdrawn")) {
                       return Exit::cancelled;
                   }
                   return status == 404 ? std::optional(Exit::refused) : std::nullopt;
               });
}

std::string describe(const Outcome& o, bool json) {
    if (json) {
        Json v = o.body;
        v["status"] = o.status;
        return v.dump();
    }
    if (o.status == 0) {
        return "no answer";
    }
    std::string text = o.body.value("uid", "");
    if (o.body.contains("stance")) {
        text += fmt::format(" {}", o.body.value("stance", ""));
        if (o.body.contains("done")) {
            text += fmt::format(", {} done, {} running", o.body.value("done", 0),
                                o.body.value("running", 0));
        }
        return text;
    }
    return fmt::format("{}{}{} ({})", text, text.empty() ? "" : ": ",
                       o.body.value("error", "not now"), o.status);
}

}  // namespace cranemoor::ctl

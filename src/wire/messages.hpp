// Message types: HTTP targets and CBOR bodies of every interface, to and from the core's types.
// The wire's own words live here and nowhere else.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "core/model/actions.hpp"
#include "core/model/types.hpp"

namespace cranemoor::wire {

using core::Json;

// CBOR to JSON; nullopt if it is not CBOR, or nested deeper than any message of ours.
std::optional<Json> decode(const std::string& body);
std::string encode(const Json& value);

struct Invalid {
    std::optional<std::string> uid;
    std::string error;
};

// --- users
std::variant<core::JobSpec, Invalid> read_submission(const std::string& body);
bool valid_uid(const std::string& uid);
std::string user_body(const core::UserReply& reply);

// --- workers
std::optional<core::Report> read_report(const Json& value);
Json write_report(const core::Report& report);
std::string worker_body(const core::WorkerReply& reply);
std::string orders_body(const core::OrderCall& call);

// --- calls of ours
struct Request {
    std::string method;
    std::string target;
    std::string body;
};

Request state_request(const core::StateCall& call);
core::StateReply read_state_reply(const core::StateCall& call, int status, const std::string& body);
Request cloud_request(const core::CloudCall& call);
core::CloudReply read_cloud_reply(const core::CloudCall& call, int status, const std::string& body);

// --- peers
struct PeerMessage {
    std::string from;
    core::PeerCall call;
};
std::string peer_body(const std::string& from, const core::PeerCall& call);
std::optional<PeerMessage> read_peer(const std::string& body);
std::string peer_reply_body(const core::WorkerReply& reply);
std::optional<core::WorkerReply> read_peer_reply(const std::string& body);

}  // namespace cranemoor::wire

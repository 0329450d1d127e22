/// Messages between workers and controllers (protocol, "Workers -> controller nodes" and
/// "Controller nodes -> workers").
#pragma once

#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "core/model/types.hpp"
#include "wire/cbor.hpp"
#include "wire/decode_error.hpp"
#include "wire/http_request.hpp"

namespace cranemoor::wire {

/// Path of heartbeats; the method is POST.
inline constexpr const char* heartbeat_path = "/hello";

/// Decodes a worker's heartbeat ("POST /hello", and the replies to "POST /orders" and "GET
/// /status"). An unknown exit reason becomes `ExitReason::other`.
Decoded<core::Heartbeat> decode_heartbeat(const Json& map);

/// Decodes a message body that consists of a heartbeat.
Decoded<core::Heartbeat> decode_heartbeat_body(const std::string& body);

/// Encodes a heartbeat, to relay it to another controller.
Json encode_heartbeat(const core::Heartbeat& heartbeat);

/// Encodes the reply to a heartbeat: commands, or the name of the machine's owner.
std::string encode_worker_reply(const core::WorkerReply& reply);

/// The HTTP request that carries out a call to a worker: "GET /status" if its agent epoch is 0,
/// otherwise "POST /orders".
HttpRequest worker_request(const core::WorkerCommandCall& call);

/// Decodes the response to `worker_request`. Statuses other than 200 and 409 carry no heartbeat.
Decoded<core::WorkerCommandReply> decode_worker_command_reply(int status, const std::string& body);

/// Decodes a list of commands to tasks.
Decoded<std::vector<core::Command>> decode_commands(const Json& list);

/// Encodes a list of commands to tasks.
Json encode_commands(const std::vector<core::Command>& commands);

}  // namespace cranemoor::wire

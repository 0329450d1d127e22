// Messages between workers and controllers (protocol, "Workers -> controller nodes" and
// "Controller nodes -> workers").
#pragma once

#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "core/model/types.hpp"
#include "wire/cbor.hpp"
#include "wire/decode_error.hpp"

namespace cranemoor::wire {

/// Decodes a worker's heartbeat ("POST /hello", and the answers to "POST /orders" and
/// "GET /status"). An exit reason that the protocol does not name becomes `ExitReason::other`.
Decoded<core::Heartbeat> decode_heartbeat(const Json& map);

/// Decodes a message body that is a heartbeat.
Decoded<core::Heartbeat> decode_heartbeat_body(const std::string& body);

/// Encodes a heartbeat, to relay it to another controller.
Json encode_heartbeat(const core::Heartbeat& heartbeat);

/// Encodes the answer to a heartbeat: commands, or the name of the machine's own controller.
std::string encode_worker_reply(const core::WorkerReply& reply);

/// Encodes the body of a call to a worker ("POST /orders").
std::string encode_worker_commands(const core::WorkerCommandCall& call);

/// Decodes a list of commands to tasks.
Decoded<std::vector<core::Command>> decode_commands(const Json& list);

/// Encodes a list of commands to tasks.
Json encode_commands(const std::vector<core::Command>& commands);

}  // namespace cranemoor::wire

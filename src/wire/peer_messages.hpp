/// Messages between controllers; the protocol ("Controller nodes <-> controller nodes") leaves
/// their content to the service. A new field must be optional, since during an upgrade controllers
/// of two versions exchange messages.
#pragma once

#include <optional>
#include <string>

#include "core/model/actions.hpp"
#include "wire/decode_error.hpp"

namespace cranemoor::wire {

/// Path of the calls between controllers; the method is POST.
inline constexpr const char* peer_path = "/peer";

/// A call from another controller.
struct PeerMessage {
    std::string from;  ///< the sender's name
    core::PeerCall call;
};

/// Encodes a call to another controller; `from` is the sender's name.
std::string encode_peer_call(const std::string& from, const core::PeerCall& call);

/// Decodes a call from another controller.
Decoded<PeerMessage> decode_peer_call(const std::string& body);

/// Encodes the reply to a relayed heartbeat.
std::string encode_peer_reply(const core::WorkerReply& reply);

/// Decodes the reply to a relayed heartbeat.
Decoded<core::WorkerReply> decode_peer_reply(const std::string& body);

/// Decodes the response to any call. Null if it is not the reply to a relayed heartbeat: its status
/// is not 200, or it has no body.
Decoded<std::optional<core::WorkerReply>> decode_peer_response(int status, const std::string& body);

}  // namespace cranemoor::wire

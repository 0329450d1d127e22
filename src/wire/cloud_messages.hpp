/// Messages between controllers and the cloud provider (protocol, "Controller nodes -> cloud").
#pragma once

#include <string>

#include "core/model/actions.hpp"
#include "wire/decode_error.hpp"
#include "wire/http_request.hpp"

namespace cranemoor::wire {

/// The HTTP request that carries out a call to the cloud provider.
HttpRequest cloud_request(const core::CloudCall& call);

/// Decodes the reply to `call`. In a list of machines, only the malformed entries are left out.
Decoded<core::CloudReply> decode_cloud_reply(const core::CloudCall& call, int status,
                                             const std::string& body);

}  // namespace cranemoor::wire

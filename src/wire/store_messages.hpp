/// Messages between controllers and the key-value store (protocol, "Controller nodes -> state
/// service").
#pragma once

#include <string>

#include "core/model/actions.hpp"
#include "wire/decode_error.hpp"
#include "wire/http_request.hpp"

namespace cranemoor::wire {

/// The HTTP request that carries out a call to the key-value store.
HttpRequest store_request(const core::StoreCall& call);

/// Decodes the reply to `call`. A malformed reply, whatever its status, does not show whether the
/// call was executed. Watch events are returned in order of revision.
Decoded<core::StoreReply> decode_store_reply(const core::StoreCall& call, int status,
                                             const std::string& body);

}  // namespace cranemoor::wire

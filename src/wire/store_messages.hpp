// Messages between controllers and the key-value store (protocol, "Controller nodes -> state
// service").
#pragma once

#include <string>

#include "core/model/actions.hpp"
#include "wire/http_request.hpp"

namespace cranemoor::wire {

/// The HTTP request that carries out a call to the key-value store.
HttpRequest store_request(const core::StoreCall& call);

/// Decodes the answer to `call`. An answer that can't be read gives `Status::unknown`: it says
/// nothing about whether the call was executed. Events come out in order of revision.
core::StoreReply decode_store_reply(const core::StoreCall& call, int status,
                                    const std::string& body);

}  // namespace cranemoor::wire

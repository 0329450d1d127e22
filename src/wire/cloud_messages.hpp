// Messages between controllers and the cloud (protocol, "Controller nodes -> cloud").
#pragma once

#include <string>

#include "core/model/actions.hpp"
#include "wire/http_request.hpp"

namespace cranemoor::wire {

/// The HTTP request that carries out a call to the cloud.
HttpRequest cloud_request(const core::CloudCall& call);

/// Decodes the answer to `call`. An answer that can't be read gives `Status::unknown`; of a list of
/// machines only the entries that can't be read are left out.
core::CloudReply decode_cloud_reply(const core::CloudCall& call, int status,
                                    const std::string& body);

}  // namespace cranemoor::wire

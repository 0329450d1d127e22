// An HTTP request as the encoders produce it, independent of the client that sends it.
#pragma once

#include <string>

namespace cranemoor::wire {

/// A request to another service.
struct HttpRequest {
    std::string method;
    std::string target;  ///< path and query, percent-encoded
    std::string body;    ///< CBOR; empty for GET
};

/// Percent-encodes a text for a path or a query value; slashes stay, as the protocol's keys need.
std::string percent_encode(const std::string& text);

}  // namespace cranemoor::wire

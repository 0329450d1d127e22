/// The HTTP requests that the encoders produce, independent of the client that sends them.
#pragma once

#include <string>

namespace cranemoor::wire {

/// An HTTP request to another process.
struct HttpRequest {
    std::string method;
    std::string target;  ///< path and query, percent-encoded
    std::string body;    ///< CBOR; empty for GET
};

/// Percent-encodes a text for a path or a query value. Slashes are kept, because the keys of the
/// protocol contain them.
std::string percent_encode(const std::string& text);

}  // namespace cranemoor::wire

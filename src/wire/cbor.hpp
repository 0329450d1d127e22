/// Conversion between JSON values and CBOR, the encoding of every message body (protocol, head
/// section).
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "wire/decode_error.hpp"

namespace cranemoor::wire {

using Json = nlohmann::json;

/// Decodes a body that consists of exactly one CBOR value. Returns an error for anything else, for
/// byte strings, tags and undefined, and for a value nested deeper than
/// `constants::message_depth_max`. Stack and memory are bounded whatever the body is. Of a key that
/// repeats in a map the last value counts. Integers below -2^63 become floats.
Decoded<Json> decode_cbor(const std::string& body);

/// Like `decode_cbor`, but accepts only a map, which the body of every message must be.
Decoded<Json> decode_cbor_map(const std::string& body);

/// Like `decode_cbor_map`, but an empty body is an empty map: replies may have none.
Decoded<Json> decode_reply_map(const std::string& body);

std::string encode_cbor(const Json& value);

/// Whether the text is valid UTF-8. Text that is not can't be stored in any record.
bool is_utf8(const std::string& text);

}  // namespace cranemoor::wire

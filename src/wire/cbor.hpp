// CBOR, the encoding of every message body (protocol, head section), to and from JSON values.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "wire/decode_error.hpp"

namespace cranemoor::wire {

using Json = nlohmann::json;

/// Decodes one whole CBOR value. An error for anything else, for byte strings, and for a value that
/// is nested deeper than `constants::message_depth_max`.
Decoded<Json> decode_cbor(const std::string& body);

/// Decodes a CBOR map, which the body of every message is.
Decoded<Json> decode_cbor_map(const std::string& body);

/// Encodes a value as CBOR.
std::string encode_cbor(const Json& value);

/// Whether the text is valid UTF-8. Other text can be written into no record.
bool is_utf8(const std::string& text);

}  // namespace cranemoor::wire

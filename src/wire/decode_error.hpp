/// The result of decoding a message: the typed value, or an error that names the invalid field.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace cranemoor::wire {

/// Why a message could not be decoded.
struct DecodeError {
    std::string field;    ///< the first missing or invalid field; empty: the whole body is invalid
    std::string message;  ///< error text for the sender; names the field, if any
};

/// The error for a reply without a field that its kind must have, or with one of another type.
inline constexpr const char* malformed_reply = "malformed reply";

/// A decoded value, or the reason why there is none, with the access operators of `std::optional`.
template <typename Value, typename Error = DecodeError>
class Decoded {
  public:
    Decoded(Value value) : result_(std::in_place_index<0>, std::move(value)) {}
    Decoded(Error error) : result_(std::in_place_index<1>, std::move(error)) {}

    /// True if there is a value.
    explicit operator bool() const { return result_.index() == 0; }
    /// Returns the value, as do the overloads below; throws `std::bad_variant_access` if there is
    /// an error instead.
    Value& operator*() & { return std::get<0>(result_); }
    const Value& operator*() const& { return std::get<0>(result_); }
    Value operator*() && { return std::get<0>(std::move(result_)); }
    Value* operator->() { return &std::get<0>(result_); }
    const Value* operator->() const { return &std::get<0>(result_); }
    /// Returns the error; throws `std::bad_variant_access` if there is a value instead.
    const Error& error() const { return std::get<1>(result_); }
    /// Moves the value out and drops the error; null if there is no value.
    std::optional<Value> to_optional() && {
        return *this ? std::optional<Value>(std::get<0>(std::move(result_))) : std::nullopt;
    }

  private:
    std::variant<Value, Error> result_;
};

}  // namespace cranemoor::wire

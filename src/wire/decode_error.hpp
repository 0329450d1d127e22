// The outcome of decoding a message: the typed value, or the error that says which field is wrong.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace cranemoor::wire {

/// Why a message could not be decoded.
struct DecodeError {
    std::string field;    ///< the first missing or invalid field; empty if the whole body is
    std::string message;  ///< the text given to the sender, which names the field
};

/// A decoded value or the error that prevented it, with the access operators of `std::optional`.
template <typename Value, typename Error = DecodeError>
class Decoded {
  public:
    /// A value that was decoded.
    Decoded(Value value) : result_(std::in_place_index<0>, std::move(value)) {}
    /// A failure to decode.
    Decoded(Error error) : result_(std::in_place_index<1>, std::move(error)) {}

    /// Whether there is a value.
    explicit operator bool() const { return result_.index() == 0; }
    /// The value; throws `std::bad_variant_access` if there is an error instead.
    Value& operator*() & { return std::get<0>(result_); }
    /// The value, read only.
    const Value& operator*() const& { return std::get<0>(result_); }
    /// The value of a temporary, moved out.
    Value operator*() && { return std::get<0>(std::move(result_)); }
    /// A member of the value.
    Value* operator->() { return &std::get<0>(result_); }
    /// A member of the value, read only.
    const Value* operator->() const { return &std::get<0>(result_); }
    /// The error; throws `std::bad_variant_access` if there is a value instead.
    const Error& error() const { return std::get<1>(result_); }
    /// The value moved out, or none where the reason does not matter.
    std::optional<Value> to_optional() && {
        return *this ? std::optional<Value>(std::get<0>(std::move(result_))) : std::nullopt;
    }

  private:
    std::variant<Value, Error> result_;
};

}  // namespace cranemoor::wire

/// Validated access to the fields of a decoded map: types, bounds and the names of enumerators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.hpp"
#include "wire/decode_error.hpp"

namespace cranemoor::wire {

/// The name of an enumerator in messages.
template <typename Enum>
struct EnumName {
    const char* text;
    Enum value;
};

/// The name of an enumerator in messages; nullptr if it has none.
template <typename Enum, std::size_t count>
const char* enum_text(const std::array<EnumName<Enum>, count>& names, Enum value) {
    for (const auto& name : names) {
        if (name.value == value) {
            return name.text;
        }
    }
    return nullptr;
}

/// Reads the fields of a map and records the first one that is missing or invalid. For such a field
/// a placeholder is returned, so a caller can read all fields and check `ok()` once at the end.
class Fields {
  public:
    static constexpr std::size_t text_bytes_max = 200;  ///< default limit of a text
    static constexpr double number_max = 1e9;           ///< default limit of a number

    /// `map` must outlive this object. If it is not a map, all fields count as missing.
    explicit Fields(const Json& map) : map_(map) {}

    /// A UTF-8 text whose size in bytes is within the bounds.
    std::string text(const char* key, std::size_t max_bytes = text_bytes_max,
                     std::size_t min_bytes = 1);
    /// A finite number within the bounds, integer or float.
    double number(const char* key, double min = 0, double max = number_max);
    /// A number from 0 to `number_max`, or null if the field is missing or null.
    std::optional<double> number_or_null(const char* key);
    /// A non-negative CBOR integer within the bounds; a float, even 3.0, is invalid.
    std::uint64_t count(const char* key, std::uint64_t min = 0, std::uint64_t max = UINT64_MAX);
    /// A boolean.
    bool flag(const char* key);
    /// An array of non-empty UTF-8 texts.
    std::vector<std::string> texts(const char* key);
    /// The enumerator whose name the field holds.
    template <typename Enum, std::size_t count>
    Enum choice(const char* key, const std::array<EnumName<Enum>, count>& names) {
        std::string chosen = text(key);
        for (const auto& name : names) {
            if (chosen == name.text) {
                return name.value;
            }
        }
        reject(key);
        return names[0].value;
    }

    /// Whether the field is missing or null.
    bool is_null(const char* key) const;
    /// Marks a field as invalid; for checks that the caller makes itself.
    void reject(const char* key);
    /// True if all fields read so far are present and valid.
    bool ok() const { return !error_; }
    /// The error for the first missing or invalid field; only valid if `ok()` is false.
    const DecodeError& error() const { return *error_; }

  private:
    const Json* find(const char* key) const;

    const Json& map_;
    std::optional<DecodeError> error_;
};

/// The error for a missing or invalid field.
DecodeError invalid_field(const std::string& field);

}  // namespace cranemoor::wire

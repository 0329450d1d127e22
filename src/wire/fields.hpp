// Checked access to the fields of a decoded map: types, bounds and the names of enumerators.
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

/// The protocol's text for one enumerator.
template <typename Enum>
struct EnumName {
    const char* text;
    Enum value;
};

/// The text of an enumerator; nullptr if the protocol has none for it.
template <typename Enum, std::size_t count>
const char* enum_text(const std::array<EnumName<Enum>, count>& names, Enum value) {
    for (const auto& name : names) {
        if (name.value == value) {
            return name.text;
        }
    }
    return nullptr;
}

/// Reads the fields of a map and remembers the first one that is missing or invalid. Every reader
/// returns a placeholder for such a field, so that all are read first and `ok()` is asked once.
class Fields {
  public:
    static constexpr std::size_t text_bytes_max = 200;  ///< of a text, unless said otherwise
    static constexpr double amount_max = 1e9;           ///< of a number, unless said otherwise

    /// `map` must outlive the reader. Of a value that is no map all fields are missing.
    explicit Fields(const Json& map) : map_(map) {}

    /// A UTF-8 text within the bounds, in bytes.
    std::string text(const char* key, std::size_t max_bytes = text_bytes_max,
                     std::size_t min_bytes = 1);
    /// A finite number within the bounds.
    double amount(const char* key, double min = 0, double max = amount_max);
    /// A number, or none if the field is missing or null.
    std::optional<double> amount_or_null(const char* key);
    /// A non-negative CBOR integer within the bounds; a float, even 3.0, is refused.
    std::uint64_t count(const char* key, std::uint64_t min = 0, std::uint64_t max = UINT64_MAX);
    /// A boolean.
    bool flag(const char* key);
    /// An array of non-empty UTF-8 texts.
    std::vector<std::string> texts(const char* key);
    /// The enumerator whose text the field holds.
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
    /// Marks a field as invalid, as a caller's own check found it.
    void reject(const char* key);
    /// Whether all fields read so far are present and valid.
    bool ok() const { return !error_; }
    /// The first missing or invalid field; only if `ok()` is false.
    const DecodeError& error() const { return *error_; }

  private:
    const Json* find(const char* key) const;

    const Json& map_;
    std::optional<DecodeError> error_;
};

/// The error for a missing or invalid field.
DecodeError invalid_field(const std::string& field);

}  // namespace cranemoor::wire

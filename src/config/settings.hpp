/// Reads the two settings files: the platform's (TOML) and the operators' (XML).
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/constants.hpp"
#include "core/model/types.hpp"

namespace cranemoor::config {

/// A settings file that can't be read, or an invalid setting. The message is a single line.
class Error : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

/// Reads the platform's settings file. Throws `Error` if a setting is missing or invalid; ignores
/// unknown keys.
core::Settings read_settings(const std::string& path);
/// Parses the text of a platform's settings file; `name` is the file name for error messages.
core::Settings parse_settings(const std::string& text, const std::string& name);

/// Reads the operators' settings file. A missing element keeps its default; throws `Error` if an
/// element is unknown or its value is not a number within the range.
core::Tunables read_tunables(const std::string& path);
/// Parses the text of an operators' settings file; `name` is the file name for error messages.
core::Tunables parse_tunables(const std::string& text, const std::string& name);

/// Throws `Error` if the operators' values contradict the platform's settings.
void validate_tunables(const core::Settings& settings, const core::Tunables& tunables);

}  // namespace cranemoor::config

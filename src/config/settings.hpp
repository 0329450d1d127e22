// The platform's settings file (TOML) and the operators' own (XML).
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/constants.hpp"
#include "core/model/types.hpp"

namespace cranemoor::config {

// One clear line about what is wrong with a file.
class Error : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

core::Settings read_settings(const std::string& path);
core::Settings parse_settings(const std::string& text, const std::string& name);

core::Tunables read_operators(const std::string& path);
core::Tunables parse_operators(const std::string& text, const std::string& name);

// Operators' values that contradict the platform's settings are refused.
void check(const core::Settings& settings, const core::Tunables& tunables);

}  // namespace cranemoor::config

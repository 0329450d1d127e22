/// Job files: submissions in JSON, as `cranemoorctl submit` reads them.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/types.hpp"
#include "wire/cbor.hpp"

namespace cranemoor::ctl {

/// A job file that can't be read or holds no valid job. The text names the file, and the line or
/// the field.
struct JobFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Reads and validates a submission in JSON; the file "-" is standard input. Throws `JobFileError`.
wire::Json read_job_file(const std::string& file);

}  // namespace cranemoor::ctl

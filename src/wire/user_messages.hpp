/// Messages between users and controllers (protocol, "Users -> controller nodes").
#pragma once

#include <optional>
#include <string>

#include "core/model/actions.hpp"
#include "core/model/types.hpp"
#include "wire/decode_error.hpp"

namespace cranemoor::wire {

/// Path of health checks; the method is GET.
inline constexpr const char* health_path = "/healthz";
/// Path of submissions; the method is POST.
inline constexpr const char* submission_path = "/work";

/// The parts of a job's path, which is that of a poll or a cancellation.
struct JobPath {
    std::string uid;  ///< not validated
    bool is_cancellation = false;
};

/// Whether a path is that of a job: "/work/{id}" (poll) or "/work/{id}/cancel".
bool is_job_path(const std::string& path);

/// Parses the path of a job; `is_job_path` must hold for it.
JobPath parse_job_path(const std::string& path);

/// Why a submission is invalid, and which job it is for.
struct InvalidSubmission {
    std::optional<std::string> uid;  ///< null if the job id itself is missing or invalid
    DecodeError error;
};

/// Decodes the body of a submission ("POST /work"). The list of dependencies is returned sorted and
/// without duplicates.
Decoded<core::JobSpec, InvalidSubmission> decode_submission(const std::string& body);

/// Whether a text has the form of a job id: "req-" and decimal digits, at most 32 bytes.
bool is_valid_uid(const std::string& uid);

/// Encodes the reply to a submission, poll or cancellation.
std::string encode_user_reply(const core::UserReply& reply);

}  // namespace cranemoor::wire

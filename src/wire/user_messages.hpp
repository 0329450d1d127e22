// Messages between users and controllers (protocol, "Users -> controller nodes").
#pragma once

#include <optional>
#include <string>

#include "core/model/actions.hpp"
#include "core/model/types.hpp"
#include "wire/decode_error.hpp"

namespace cranemoor::wire {

/// The path of health checks, with GET.
inline constexpr const char* health_path = "/healthz";
/// The path of submissions, with POST.
inline constexpr const char* submission_path = "/work";

/// What a path below the submissions' asks for: a poll or a cancellation of one job.
struct JobPath {
    std::string uid;  ///< as given, not checked
    bool is_cancellation = false;
};

/// Whether a path is one of a job: "/work/{id}" or "/work/{id}/cancel".
bool is_job_path(const std::string& path);

/// Splits the path of a job.
JobPath parse_job_path(const std::string& path);

/// Why a submission is refused, and for which job.
struct InvalidSubmission {
    std::optional<std::string> uid;  ///< none if the job's id itself could not be read
    DecodeError error;
};

/// Decodes the body of a submission ("POST /work"). The list of dependencies comes out sorted and
/// without repetitions.
Decoded<core::JobSpec, InvalidSubmission> decode_submission(const std::string& body);

/// Whether a text has the form of a job id: "req-" and decimal digits, at most 32 bytes.
bool is_valid_uid(const std::string& uid);

/// Encodes the answer to a submission, poll or cancellation.
std::string encode_user_reply(const core::UserReply& reply);

}  // namespace cranemoor::wire

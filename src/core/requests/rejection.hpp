// Rejections: why a user's request is turned down, with the HTTP status and the error text of each
// reason. The only place that knows these statuses and texts.
#pragma once

#include <string>

namespace cranemoor::core {

/// HTTP statuses that a user's request is answered with.
enum class HttpStatus {
    ok = 200,
    created = 201,
    bad_request = 400,
    not_found = 404,
    unprocessable = 422,
    unavailable = 503
};

/// Why a user's request is rejected.
enum class RejectionReason {
    unavailable,           ///< this controller can't decide now; another one may, or this one later
    queue_full,            ///< too many submissions wait; the client is to come back later
    malformed,             ///< the submission can't be read
    no_such_job,           ///< no job of that uid was ever accepted
    unknown_team,          ///< the settings have no such team
    fits_no_machine_type,  ///< a task is larger than each machine type that the job allows
    over_team_limit,       ///< the least that runs at once exceeds the team's quota limit
    gang_too_large,        ///< a gang of more tasks than one transaction can place
    unknown_dependency,    ///< the job depends on one that was never accepted
    description_too_long   ///< no record of the job fits under the key-value store's value limit
};

/// A rejection as the user is told of it.
struct Rejection {
    RejectionReason reason = RejectionReason::unavailable;
    /// What the text names, by reason: the parser's message (`malformed`), the largest number of
    /// tasks (`gang_too_large`), the uid of the other job (`unknown_dependency`); else empty.
    std::string detail = {};
};

/// The HTTP status of a rejection.
HttpStatus http_status(RejectionReason reason);

/// The text of a rejection, as the `error` field of the response body has it.
std::string error_text(const Rejection& rejection);

}  // namespace cranemoor::core

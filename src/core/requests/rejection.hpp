// Rejections: the reasons for which users' requests are rejected, with the HTTP status and the
// error text of each. These statuses and texts are defined nowhere else.
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
    unavailable,   ///< this controller can't decide now; a retry here or elsewhere may succeed
    queue_full,    ///< too many submissions wait; the client is to retry later
    malformed,     ///< the submission can't be parsed
    no_such_job,   ///< no job with that uid was ever accepted
    unknown_team,  ///< the settings have no such team
    fits_no_machine_type,  ///< a task fits on no machine type and zone that the job allows
    over_team_limit,       ///< the least that must run at once exceeds the team's quota limit
    gang_too_large,        ///< a gang of more tasks than one transaction can place
    unknown_dependency,    ///< the job depends on one that was never accepted
    description_too_long   ///< the job's record exceeds the key-value store's value limit
};

/// A rejection as returned to the user.
struct Rejection {
    RejectionReason reason = RejectionReason::unavailable;
    /// By reason: the parser's message (`malformed`), the largest number of tasks
    /// (`gang_too_large`), the uid of the dependency (`unknown_dependency`); else empty.
    std::string detail = {};
};

/// The HTTP status of a rejection.
HttpStatus http_status(RejectionReason reason);

/// The text of a rejection, for the `error` field of the response body.
std::string error_text(const Rejection& rejection);

}  // namespace cranemoor::core

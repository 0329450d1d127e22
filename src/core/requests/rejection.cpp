#include "core/requests/rejection.hpp"

#include <fmt/format.h>

namespace cranemoor::core {

HttpStatus http_status(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::unavailable:
        case RejectionReason::queue_full:
            return HttpStatus::unavailable;
        case RejectionReason::malformed:
            return HttpStatus::bad_request;
        case RejectionReason::no_such_job:
            return HttpStatus::not_found;
        case RejectionReason::unknown_team:
        case RejectionReason::fits_no_machine_type:
        case RejectionReason::over_team_limit:
        case RejectionReason::gang_too_large:
        case RejectionReason::unknown_dependency:
        case RejectionReason::description_too_long:
            return HttpStatus::unprocessable;
    }
    return HttpStatus::unavailable;
}

std::string error_text(const Rejection& rejection) {
    switch (rejection.reason) {
        case RejectionReason::unavailable:
            return "service temporarily unable to process the request";
        case RejectionReason::queue_full:
            return "submission queue is full";
        case RejectionReason::malformed:
            return rejection.detail;
        case RejectionReason::no_such_job:
            return "no such job";
        case RejectionReason::unknown_team:
            return "unknown team";
        case RejectionReason::fits_no_machine_type:
            return "no allowed machine type fits a task of the job";
        case RejectionReason::over_team_limit:
            return "job needs more than the team's quota limit";
        case RejectionReason::gang_too_large:
            return fmt::format("gang too large: at most {} tasks can be started together",
                               rejection.detail);
        case RejectionReason::unknown_dependency:
            return "job depends on a job that was never accepted: " + rejection.detail;
        case RejectionReason::description_too_long:
            return "job description is too long";
    }
    return "";
}

}  // namespace cranemoor::core

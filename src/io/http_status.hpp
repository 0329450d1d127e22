/// HTTP status codes that the program returns or handles specially.
#pragma once

namespace cranemoor::io::http_status {

inline constexpr int ok = 200;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int payload_too_large = 413;
inline constexpr int too_many_requests = 429;
inline constexpr int service_unavailable = 503;

}  // namespace cranemoor::io::http_status

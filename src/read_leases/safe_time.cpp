#include "read_leases/safe_time.hpp"

#include <algorithm>

namespace cranemoor::read_leases {

void SafeTime::on_reply(std::uint64_t request_id, std::uint64_t revision) {
    auto it = sent_at_.find(request_id);
    if (it == sent_at_.end()) {
        return;
    }
    double sent = it->second;
    sent_at_.erase(it);
    if (revision != 0 && sent > complete_as_of_) {
        double& latest = sent_by_revision_.try_emplace(revision, sent).first->second;
        latest = std::max(latest, sent);
    }
}

void SafeTime::on_revision_applied(std::uint64_t revision) {
    while (!sent_by_revision_.empty() && sent_by_revision_.begin()->first <= revision) {
        complete_as_of_ = std::max(complete_as_of_, sent_by_revision_.begin()->second);
        sent_by_revision_.erase(sent_by_revision_.begin());
    }
}

}  // namespace cranemoor::read_leases

#include "core/agents/job_failures.hpp"

#include <algorithm>

namespace cranemoor::core {

// Failures are counted in the job's block records, in the writes that record exits anyway: every
// member knows them, also after a failover. The pause begins when this controller sees the count.
void JobFailures::note(const std::string& uid, const Job& job) {
    if (job.consecutive_failures == 0) {
        pauses_.erase(uid);
        return;
    }
    Pause& pause = pauses_[uid];
    if (pause.failures == job.consecutive_failures) {
        return;
    }
    pause.failures = job.consecutive_failures;
    if (!job.fails_repeatedly()) {
        return;
    }
    double pause_s = constants::job_backoff_s;
    for (int i = constants::job_backoff_failures_min; i <= job.consecutive_failures; ++i) {
        pause_s = std::min(pause_s * 2, constants::job_backoff_max_s);
    }
    pause.until = ctx_.now.steady + pause_s;
    for (Machine* machine : registry_.all()) {
        machine->failed_jobs.erase(uid);
    }
}

void JobFailures::forget(const std::string& uid) {
    pauses_.erase(uid);
}

double JobFailures::pause_until(const std::string& uid) const {
    auto pause = pauses_.find(uid);
    return pause == pauses_.end() ? never_s : pause->second.until;
}

}  // namespace cranemoor::core

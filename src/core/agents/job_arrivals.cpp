#include "core/agents/job_arrivals.hpp"

#include <algorithm>

namespace cranemoor::core {

void JobArrivals::note(const std::string& uid, const Job& job) {
    if (job.waiting || job.eligible_wall() < ctx_.now.wall - constants::arrivals_history_s) {
        return;
    }
    if (registry_.needs_whole_machine(job.spec)) {
        whole_machine_jobs_.try_emplace(uid, Arrival{job.eligible_wall(), job.spec.tasks});
    }
    // Without checkpoints a spot interruption loses all the work on the machine: such jobs
    // use spot machines that exist already, but none are kept for them.
    if (job.spec.spot && job.spec.checkpoint_s > 0) {
        spot_jobs_.try_emplace(uid, Arrival{job.eligible_wall(), job.spec.tasks});
    }
}

WholeMachineArrivals JobArrivals::whole_machine_arrivals(double since_wall) const {
    WholeMachineArrivals arrivals;
    for (const auto& [uid, arrival] : whole_machine_jobs_) {
        if (arrival.submitted_wall >= since_wall) {
            arrivals.machines += arrival.tasks;
            arrivals.sum_of_squares += static_cast<double>(arrival.tasks) * arrival.tasks;
        }
    }
    return arrivals;
}

double JobArrivals::spot_arrivals(double since_wall) const {
    return static_cast<double>(std::count_if(
        spot_jobs_.begin(), spot_jobs_.end(),
        [&](const auto& entry) { return entry.second.submitted_wall >= since_wall; }));
}

void JobArrivals::forget_old() {
    for (auto* arrivals : {&whole_machine_jobs_, &spot_jobs_}) {
        double oldest = ctx_.now.wall - constants::arrivals_history_s;
        std::erase_if(*arrivals,
                      [&](const auto& entry) { return entry.second.submitted_wall < oldest; });
    }
}

}  // namespace cranemoor::core

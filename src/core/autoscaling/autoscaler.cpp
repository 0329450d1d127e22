#include "core/autoscaling/autoscaler.hpp"

#include <algorithm>
#include <tuple>

#include "core/autoscaling/headroom.hpp"
#include "core/autoscaling/scale_out_plan.hpp"

namespace cranemoor::core {

void Autoscaler::epoch_changed() {
    inventory_.expire_listing();
    launcher_.epoch_changed();
}

void Autoscaler::tick() {
    inventory_.refresh_types();
    if (!ctx_.is_member) {
        return;
    }
    inventory_.refresh_listing();
    release_.release_unrecorded();
    if (!membership_.is_leader() || !membership_.has_store_contact() ||
        agent_manager_.registry().types().empty()) {
        return;
    }
    release_.release_cordoned();
    release_.delete_old_cordons();
    launcher_.send_due();
    // Guards against launching a second fleet: a process that has just started knows no machines,
    // and would launch some for every job as if none existed.
    if (inventory_.listing_complete() && ctx_.now.steady >= next_plan_at_s_) {
        double plan_interval_s =
            constants::scale_out_interval_s *
            pending_queue_.round_interval_factor(constants::scale_out_slowdown_factor_max);
        next_plan_at_s_ = ctx_.now.steady + plan_interval_s;
        launcher_.set_plan_interval(plan_interval_s);
        scale_out();
        scale_in_.cordon_unneeded();
    }
}

void Autoscaler::scale_out() {
    if (launcher_.at_limit()) {
        return;
    }
    ScaleOutPlan plan(ctx_, agent_manager_, quota_, launcher_);
    std::vector<const PendingJob*> jobs;
    pending_queue_.for_each_in_order(scheduler_.is_write_limited(),
                                     [&](const PendingJob& pending_job) {
                                         jobs.push_back(&pending_job);
                                         return true;
                                     });
    // Largest tasks first (first-fit decreasing).
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto* a, const auto* b) {
        const Resources& a_size = a->job->spec.task_resources;
        const Resources& b_size = b->job->spec.task_resources;
        return std::tie(a_size.gpus, a_size.cpus) > std::tie(b_size.gpus, b_size.cpus);
    });
    for (const PendingJob* pending_job : jobs) {
        plan.add_job(*pending_job);
    }
    plan.add_headroom(headroom_machines(ctx_, agent_manager_));
    plan.add_spot_headroom();
    launcher_.request(plan.launches());
    launcher_.send_due();
}

}  // namespace cranemoor::core

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
    release_.release_marked();
    release_.delete_old_marks();
    launcher_.send_due();
    // Guards against a second fleet: a process that has just started knows no machines, and would
    // launch some for every job as if there were none.
    if (inventory_.listing_complete() && ctx_.now.steady >= next_plan_at_) {
        next_plan_at_ = ctx_.now.steady + constants::scale_out_interval_s *
                                              pending_queue_.round_interval_factor(
                                                  constants::scale_out_slowdown_factor_max);
        scale_out();
        scale_in_.mark_unneeded();
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
    // Largest tasks first, as usual in bin packing.
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto* a, const auto* b) {
        const Resources& x = a->job->spec.task_resources;
        const Resources& y = b->job->spec.task_resources;
        return std::tie(x.gpus, x.cpus) > std::tie(y.gpus, y.cpus);
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

#include "core/agents/agent_manager.hpp"

namespace cranemoor::core {

AgentManager::AgentManager(Context& ctx, const Membership& membership, const Quota& quota,
                           BatchedClaims& batched_claims)
    : ctx_(ctx),
      membership_(membership),
      registry_(ctx, membership),
      job_arrivals_(ctx, registry_),
      job_failures_(ctx, registry_),
      gang_preemption_(ctx),
      pending_exits_(ctx, quota, registry_, batched_claims),
      release_marks_(ctx, membership, registry_),
      replies_(ctx, membership, registry_, pending_exits_),
      task_stops_(ctx, registry_, replies_, gang_preemption_),
      reconciliation_(ctx, registry_, pending_exits_, release_marks_, task_stops_),
      adoption_(ctx, membership, registry_, pending_exits_, replies_, reconciliation_),
      failure_detector_(ctx, membership, registry_, pending_exits_, release_marks_, task_stops_,
                        reconciliation_, adoption_),
      heartbeat_handler_(ctx, membership, registry_, replies_, reconciliation_, adoption_,
                         failure_detector_) {}

void AgentManager::handle_heartbeat(std::uint64_t request, const Heartbeat& heartbeat,
                                    bool relayed) {
    heartbeat_handler_.handle(request, heartbeat, relayed);
}

void AgentManager::epoch_changed(const std::optional<Epoch>& previous) {
    adoption_.epoch_changed(previous);
}

void AgentManager::records_changed(const std::set<std::string>& changed_uids) {
    for (const auto& [id, placement] : ctx_.jobs.take_new_placements()) {
        registry_.record_placement(id, placement);
    }
    for (const auto& name : ctx_.jobs.take_changed_machines()) {
        machine_records_changed(name);
    }
    for (const auto& uid : changed_uids) {
        job_changed(uid);
    }
}

void AgentManager::machine_records_changed(const std::string& name) {
    if (membership_.is_leader()) {
        reconciliation_.record_exits_of_released(name);
    }
    Machine* machine = registry_.find(name);
    if (machine == nullptr) {
        return;
    }
    machine->free_resources_valid = false;
    registry_.update_empty_since(*machine);
    replies_.send_if_due(*machine);
}

void AgentManager::job_changed(const std::string& uid) {
    pending_exits_.recheck_job(uid);
    const Job* job = ctx_.jobs.find(uid);
    if (job == nullptr) {
        job_failures_.forget(uid);
        return;
    }
    job_arrivals_.note(uid, *job);
    job_failures_.note(uid, *job);
    if (!job->cancelled && !GangPreemption::is_incomplete(*job) && !job->gang_stop_requested()) {
        // Nothing to stop. A job with thousands of tasks changes many times a second, too often to
        // visit each of its placements.
        return;
    }
    job->each_placement([&](int task, const Placement& placement) {
        if (Machine* machine = registry_.find(placement.machine)) {
            task_stops_.stop_unwanted(*machine, *job, {uid, task}, placement);
        }
        return true;
    });
}

void AgentManager::apply_cloud_listing(const std::vector<ListedMachine>& listing) {
    adoption_.queue_token_raises(registry_.apply_cloud_listing(listing));
}

void AgentManager::tick() {
    adoption_.raise_queued_tokens();
    release_marks_.write();
    if (ctx_.now.steady >= next_sweep_at_) {
        next_sweep_at_ = ctx_.now.steady + constants::machine_check_interval_s;
        prune_expired();
        failure_detector_.sweep();
    }
    pending_exits_.flush();
    replies_.send_due();
}

void AgentManager::prune_expired() {
    if (ctx_.now.steady < next_prune_at_) {
        return;
    }
    next_prune_at_ = ctx_.now.steady + constants::placement_prune_interval_s;
    ctx_.jobs.forget_unused_machines();
    registry_.forget_ended_placements();
    heartbeat_handler_.forget_old_redirects();
    job_arrivals_.forget_old();
}

}  // namespace cranemoor::core

#include "core/controller/controller.hpp"

namespace cranemoor::core {

Controller::Controller(Settings settings, Tunables tunables, std::string boot_id)
    : ctx_(std::move(settings), tunables, std::move(boot_id)),
      membership_(ctx_),
      quota_(ctx_),
      batched_claims_(ctx_),
      agent_manager_(ctx_, membership_, quota_, batched_claims_),
      pending_queue_(ctx_, agent_manager_.registry(), agent_manager_.job_failures()),
      admission_table_sync_(ctx_, membership_, agent_manager_.registry()),
      scheduler_(ctx_, membership_, agent_manager_.registry(), agent_manager_.pending_exits(),
                 agent_manager_.replies(), quota_, pending_queue_, batched_claims_),
      preemption_(ctx_, membership_, agent_manager_.registry(), agent_manager_.gang_preemption(),
                  agent_manager_.task_stops(), scheduler_, quota_, pending_queue_),
      autoscaler_(ctx_, membership_, agent_manager_, scheduler_, quota_, pending_queue_),
      job_completion_(ctx_, membership_),
      dependencies_(ctx_, membership_),
      request_handler_(ctx_, membership_, agent_manager_.registry(), quota_, dependencies_),
      oversized_block_split_(ctx_) {
    membership_.on_change = [this](bool epoch_changed, const std::optional<Epoch>& previous_epoch) {
        if (epoch_changed) {
            agent_manager_.epoch_changed(previous_epoch);
            scheduler_.epoch_changed();
            autoscaler_.epoch_changed();
        }
        auto changed_jobs = ctx_.jobs.take_changed_jobs();
        dependencies_.records_changed(changed_jobs);
        changed_jobs.merge(ctx_.jobs.take_changed_jobs());  // jobs whose priority this changed
        pending_queue_.records_changed(changed_jobs);
        if (epoch_changed) {
            pending_queue_.epoch_changed();
        }
        scheduler_.records_changed(changed_jobs);
        preemption_.records_changed(changed_jobs);
        agent_manager_.records_changed(changed_jobs);
    };
}

void Controller::start(Now now) {
    ctx_.now = now;
    membership_.start();
    autoscaler_.tick();
}

void Controller::tick(Now now) {
    ctx_.now = now;
    membership_.tick();
    if (!ctx_.replica_complete) {
        // Guards against decisions on half of the records while they are read anew: blocks whose
        // jobs have not been read yet would be deleted, machines that still run tasks released.
        request_handler_.tick();
        return;
    }
    admission_table_sync_.tick();
    batched_claims_.tick();
    pending_queue_.tick();
    oversized_block_split_.tick();
    dependencies_.tick();
    agent_manager_.tick();
    job_completion_.tick();
    scheduler_.tick();
    preemption_.tick();
    quota_.tick();
    autoscaler_.tick();
    request_handler_.tick();
}

void Controller::submit(Now now, std::uint64_t request, const JobSpec& spec) {
    ctx_.now = now;
    request_handler_.submit(request, spec);
}

void Controller::submit_malformed(Now now, std::uint64_t request,
                                  const std::optional<std::string>& uid, const std::string& error) {
    ctx_.now = now;
    request_handler_.submit_malformed(request, uid, error);
}

void Controller::poll(Now now, std::uint64_t request, const std::string& uid) {
    ctx_.now = now;
    request_handler_.poll(request, uid);
}

void Controller::cancel(Now now, std::uint64_t request, const std::string& uid) {
    ctx_.now = now;
    request_handler_.cancel(request, uid);
}

bool Controller::healthy(Now now) {
    ctx_.now = now;
    return membership_.healthy() && !agent_manager_.registry().types().empty();
}

void Controller::handle_heartbeat(Now now, std::uint64_t request, const Heartbeat& heartbeat,
                                  bool relayed) {
    ctx_.now = now;
    agent_manager_.handle_heartbeat(request, heartbeat, relayed);
}

void Controller::peer_message(Now now, const std::string& peer, const PeerCall& call) {
    ctx_.now = now;
    membership_.on_peer_message(peer, call);
    autoscaler_.handle_launch_notices(call.launches);
    if (call.overload_sample) {
        admission_table_sync_.on_overload_sample(peer, *call.overload_sample);
    }
}

void Controller::store_reply(Now now, std::uint64_t id, const StoreReply& reply) {
    ctx_.now = now;
    membership_.on_reply(id, reply);
    ctx_.store_reply(id, reply);
    membership_.on_replica_advanced();
}

std::vector<Action> Controller::take_actions() {
    auto actions = std::exchange(ctx_.actions, {});
    for (const auto& action : actions) {
        if (const auto* call = std::get_if<StoreCall>(&action)) {
            membership_.on_request_sent(*call);
        }
    }
    return actions;
}

void Controller::cloud_reply(Now now, std::uint64_t id, const CloudReply& reply) {
    ctx_.now = now;
    ctx_.cloud_reply(id, reply);
}

void Controller::worker_command_reply(Now now, std::uint64_t id, const WorkerCommandReply& reply) {
    ctx_.now = now;
    ctx_.worker_command_reply(id, reply);
}

void Controller::peer_reply(Now now, std::uint64_t id, bool answered,
                            const std::optional<WorkerReply>& reply) {
    ctx_.now = now;
    ctx_.peer_reply(id, answered, reply);
}

}  // namespace cranemoor::core

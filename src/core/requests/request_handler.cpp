#include "core/requests/request_handler.hpp"

namespace cranemoor::core {

RequestHandler::RequestHandler(Context& ctx, Membership& membership, const AgentRegistry& agents,
                               const Quota& quota, const Dependencies& dependencies)
    : ctx_(ctx),
      open_requests_(ctx),
      finished_jobs_(ctx, open_requests_),
      running_task_counter_(ctx, agents),
      submission_queue_(ctx, open_requests_),
      fresh_reads_(ctx, membership, open_requests_, submission_queue_),
      status_query_(ctx, membership, dependencies, open_requests_, fresh_reads_, finished_jobs_,
                    running_task_counter_),
      submission_handler_(ctx, membership, agents, quota, dependencies, open_requests_,
                          fresh_reads_, finished_jobs_, status_query_, submission_queue_),
      cancellation_handler_(ctx, membership, open_requests_, fresh_reads_, finished_jobs_,
                            status_query_) {}

void RequestHandler::submit(RequestId request, const JobSpec& spec) {
    submission_handler_.submit(request, spec);
}

void RequestHandler::submit_malformed(RequestId request, const std::optional<std::string>& uid,
                                      const std::string& error) {
    submission_handler_.submit_malformed(request, uid, error);
}

void RequestHandler::poll(RequestId request, const std::string& uid) {
    status_query_.poll(request, uid);
}

void RequestHandler::cancel(RequestId request, const std::string& uid) {
    cancellation_handler_.cancel(request, uid);
}

void RequestHandler::tick() {
    fresh_reads_.send_read_check();
    submission_handler_.tick();
    prune_if_due();
    open_requests_.reject_expired();
}

void RequestHandler::prune_if_due() {
    if (ctx_.now.steady < next_prune_) {
        return;
    }
    next_prune_ = ctx_.now.steady + constants::running_count_prune_interval_s;
    running_task_counter_.prune();
    submission_queue_.prune();
}

}  // namespace cranemoor::core

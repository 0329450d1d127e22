#include "core/requests/fresh_reads.hpp"

namespace cranemoor::core {

void FreshReads::when_fresh(RequestId request, const std::string& uid, double timeout_s,
                            OpenRequests::Continuation on_fresh) {
    const admission::FlowName no_flow;
    if (!ctx_.replica_complete || !membership_.has_store_contact() ||
        !submission_queue_.make_room(no_flow)) {
        open_requests_.reject_unavailable(request, uid);
        return;
    }
    open_requests_.open(request, uid, timeout_s, std::move(on_fresh));
    waiting_requests_.push_back(request);
    send_read_check();
}

void FreshReads::send_read_check() {
    if (checks_in_flight_ >= constants::read_checks_in_flight_max || waiting_requests_.empty() ||
        ctx_.now.steady < next_check_) {
        return;
    }
    ++checks_in_flight_;
    next_check_ = ctx_.now.steady + constants::read_check_interval_s;
    auto batch = std::exchange(waiting_requests_, {});
    Txn txn;
    txn.conditions = {ctx_.epoch_condition()};
    ctx_.send_txn(txn, [this, batch](const StoreReply& reply) {
        --checks_in_flight_;
        // The reply to a conflict contains the revision as well.
        if (reply.status != StoreReply::Status::ok &&
            reply.status != StoreReply::Status::conflict) {
            for (auto request : batch) {
                open_requests_.reject_unavailable_if_open(request);
            }
            return;
        }
        ctx_.when_replica_reaches(reply.revision, [this, batch] {
            for (auto request : batch) {
                open_requests_.resume(request);
            }
        });
        send_read_check();
    });
}

}  // namespace cranemoor::core

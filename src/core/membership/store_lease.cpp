#include "core/membership/store_lease.hpp"

namespace cranemoor::core {

void StoreLease::request() {
    if (request_in_flight_ || id_ != 0) {
        return;
    }
    request_in_flight_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::grant;
    ctx_.call_store(call, [this](const StoreReply& reply) {
        request_in_flight_ = false;
        if (reply.status == StoreReply::Status::ok) {
            id_ = reply.lease;
            next_renewal_s_ = ctx_.now.steady + constants::lease_renewal_interval_s;
            on_granted();
        }
    });
}

void StoreLease::replace() {
    id_ = 0;
    request();
}

void StoreLease::keep_alive() {
    if (id_ == 0 || renewal_in_flight_ || ctx_.now.steady < next_renewal_s_) {
        return;
    }
    next_renewal_s_ = ctx_.now.steady + constants::lease_renewal_interval_s;
    renew();
}

void StoreLease::renew() {
    renewal_in_flight_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::renew;
    call.lease = id_;
    ctx_.call_store(call, [this, renewed_id = id_](const StoreReply& reply) {
        renewal_in_flight_ = false;
        if (reply.status == StoreReply::Status::not_found && renewed_id == id_) {
            ctx_.info("lease {} expired in the key-value store, requesting a new one", renewed_id);
            replace();
            on_expired();
        }
    });
}

}  // namespace cranemoor::core

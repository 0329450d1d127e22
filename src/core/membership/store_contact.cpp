#include "core/membership/store_contact.hpp"

namespace cranemoor::core {

void StoreContact::on_request_sent(const StoreCall& call) {
    bool reply_has_revision = call.kind == StoreCall::Kind::txn ||
                              call.kind == StoreCall::Kind::list ||
                              call.kind == StoreCall::Kind::watch;
    if (reply_has_revision) {
        safe_time_.on_request_sent(call.id, ctx_.now.steady);
    }
}

void StoreContact::on_reply(std::uint64_t call_id, const StoreReply& reply) {
    bool has_revision =
        reply.status == StoreReply::Status::ok || reply.status == StoreReply::Status::conflict;
    safe_time_.on_reply(call_id, has_revision ? reply.revision : 0);
    if (reply.status != StoreReply::Status::refused &&
        reply.status != StoreReply::Status::unknown) {
        last_reply_s_ = ctx_.now.steady;
    }
}

void StoreContact::on_replica_advanced() {
    if (ctx_.jobs.loaded()) {
        safe_time_.on_revision_applied(ctx_.jobs.revision());
    }
}

// Sends a compare-only transaction, whose reply contains the store's revision. Users' queries cause
// such read checks many times per second; this one is for times without queries.
void StoreContact::refresh_safe_time() {
    if (ctx_.now.steady - safe_time_s() < constants::safe_time_refresh_interval_s ||
        revision_request_in_flight_ || !ctx_.jobs.loaded() || !may_retry()) {
        return;
    }
    revision_request_in_flight_ = true;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition()};
    ctx_.send_txn(txn, [this](const StoreReply& reply) {
        revision_request_in_flight_ = false;
        if (reply.status != StoreReply::Status::ok &&
            reply.status != StoreReply::Status::conflict) {
            delay_retries();
        }
    });
}

}  // namespace cranemoor::core

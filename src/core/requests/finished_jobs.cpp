#include "core/requests/finished_jobs.hpp"

namespace cranemoor::core {

FinishedJobs::FinishedJobs(Context& ctx, OpenRequests& open_requests)
    : ctx_(ctx),
      open_requests_(open_requests),
      look_up_rate_limiter_(ctx.settings.store_requests_per_s * constants::final_state_read_share,
                            ctx.settings.store_requests_per_s * constants::final_state_read_share) {
}

const Finished* FinishedJobs::find(const std::string& uid) const {
    if (const Finished* final_state = ctx_.jobs.final_state(uid)) {
        return final_state;
    }
    auto cached = cache_.find(uid);
    return cached == cache_.end() ? nullptr : &cached->second;
}

void FinishedJobs::look_up(RequestId request, const std::string& uid, OnFound on_found) {
    if (const Finished* final_state = find(uid)) {
        on_found(final_state);
        return;
    }
    // Guards against users who poll jobs that were never submitted, many times a second: their
    // reads must not crowd out leases, claims and submissions.
    if (!look_up_rate_limiter_.can_take(ctx_.now.steady, 1)) {
        open_requests_.reject_unavailable(request, uid);
        return;
    }
    look_up_rate_limiter_.take(1);
    StoreCall call;
    call.kind = StoreCall::Kind::get;
    call.key = keys::final_state(uid);
    ctx_.call_store(call,
                    [this, request, uid, on_found = std::move(on_found)](const StoreReply& reply) {
                        if (!open_requests_.is_open(request)) {
                            return;
                        }
                        Finished final_state;
                        auto read = [&] { final_state = decode_finished(reply.value); };
                        if (reply.status == StoreReply::Status::ok &&
                            ctx_.read_record(keys::final_state(uid), reply.revision, read)) {
                            add_to_cache(uid, final_state);
                            on_found(&final_state);
                        } else if (reply.status == StoreReply::Status::not_found) {
                            on_found(nullptr);
                        } else {
                            open_requests_.reject_unavailable(request, uid);
                        }
                    });
}

void FinishedJobs::add_to_cache(const std::string& uid, const Finished& final_state) {
    if (!cache_.try_emplace(uid, final_state).second) {
        return;
    }
    if (cache_order_.size() < constants::final_states_cached_max) {
        cache_order_.push_back(uid);
        return;
    }
    cache_.erase(cache_order_[next_replaced_]);
    cache_order_[next_replaced_] = uid;
    next_replaced_ = (next_replaced_ + 1) % cache_order_.size();
}

}  // namespace cranemoor::core

#include "core/autoscaling/cloud_inventory.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

namespace {

// Delay before a failed request for the machine types is repeated.
constexpr double types_retry_s = 1.0;

}  // namespace

void CloudInventory::refresh_types() {
    if (types_in_flight_ || ctx_.now.steady < next_types_at_s_) {
        return;
    }
    types_in_flight_ = true;
    CloudCall call;
    call.kind = CloudCall::Kind::types;
    ctx_.call_cloud(call, [this](const CloudReply& reply) {
        types_in_flight_ = false;
        if (reply.status == CloudReply::Status::ok) {
            agent_manager_.registry().set_machine_types(reply.types);
            next_types_at_s_ = ctx_.now.steady + constants::machine_types_interval_s;
        } else {
            next_types_at_s_ = ctx_.now.steady + types_retry_s;
        }
    });
}

// As often as the provider refreshes the listing, but with no more pages than this controller's
// share of the request limit allows.
double CloudInventory::listing_interval_s() const {
    bool leader = membership_.is_leader();
    double pages = 1 + std::floor(static_cast<double>(agent_manager_.registry().machines().size()) /
                                  constants::machine_listing_page_machines_max);
    double requests_per_s =
        ctx_.settings.cloud_requests_per_s * (leader ? constants::leader_listing_request_share
                                                     : constants::non_leader_listing_request_share);
    double interval_s =
        leader ? constants::leader_listing_interval_s : constants::non_leader_listing_interval_s;
    return std::max({interval_s, ctx_.settings.list_lag_s * constants::listing_interval_lag_factor,
                     pages / requests_per_s});
}

void CloudInventory::refresh_listing() {
    if (listing_in_flight_ || ctx_.now.steady < next_listing_at_s_) {
        return;
    }
    next_listing_at_s_ = ctx_.now.steady + listing_interval_s();
    request_listing_page("");
}

// `after`: name of the last machine on the previous page; empty for the first page.
void CloudInventory::request_listing_page(const std::string& after) {
    listing_in_flight_ = true;
    CloudCall call;
    call.kind = CloudCall::Kind::list;
    call.after = after;
    ctx_.call_cloud(call, [this](const CloudReply& reply) {
        listing_in_flight_ = false;
        if (reply.status != CloudReply::Status::ok) {
            return;
        }
        agent_manager_.apply_cloud_listing(reply.listed);
        if (reply.has_more && !reply.listed.empty()) {
            request_listing_page(reply.listed.back().name);
        } else {
            listing_complete_ = true;
        }
    });
}

}  // namespace cranemoor::core

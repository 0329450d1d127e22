// CloudInventory: keeps the machine types and the listing of machines up to date from the cloud
// provider. Every controller runs it, the leader most often.
#pragma once

#include <string>

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Polls the cloud provider for machine types and for the machine listing, which comes in pages of
/// `constants::machine_listing_page_machines_max` machines, and passes both to the AgentManager.
class CloudInventory {
  public:
    /// `ctx`, `membership` and `agent_manager` must outlive the CloudInventory.
    CloudInventory(Context& ctx, const Membership& membership, AgentManager& agent_manager)
        : ctx_(ctx), membership_(membership), agent_manager_(agent_manager) {}

    /// Requests the machine types if they are due and no such request is in flight.
    void refresh_types();
    /// Requests the first page of the listing if it is due and no page is in flight.
    void refresh_listing();
    /// Makes the listing due at once.
    void expire_listing() { next_listing_at_s_ = 0; }
    /// Whether the listing has been read to its end at least once.
    bool listing_complete() const { return listing_complete_; }

  private:
    double listing_interval_s() const;
    void request_listing_page(const std::string& after);

    Context& ctx_;
    const Membership& membership_;
    AgentManager& agent_manager_;
    bool types_in_flight_ = false;
    double next_types_at_s_ = 0;
    bool listing_in_flight_ = false;
    bool listing_complete_ = false;
    double next_listing_at_s_ = 0;
};

}  // namespace cranemoor::core

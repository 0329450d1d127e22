// MachineLauncher: the leader's launch requests to the cloud provider (scale out). Requests are
// idempotent and survive a failover: the leader notifies its peers of each, and a new leader
// repeats those still open with their old idempotency keys.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/autoscaling/capacity_backoff.hpp"
#include "core/autoscaling/instance_kind.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// A launch request to which the cloud provider has not given a final answer yet.
struct PendingLaunch {
    std::string request;  ///< its name, the idempotency key at the provider
    InstanceKind kind;
    int count = 0;              ///< machines requested
    double next_send_at_s = 0;  ///< steady time before which it is not sent (again)
    bool in_flight = false;     ///< sent, and not answered yet
};

/// Sends launch requests, repeats those of unknown outcome, remembers where the provider had no
/// capacity, and exchanges launch notices with the peers.
class MachineLauncher {
  public:
    /// `ctx`, `membership` and `agent_manager` must outlive the MachineLauncher.
    MachineLauncher(Context& ctx, const Membership& membership, AgentManager& agent_manager)
        : ctx_(ctx), membership_(membership), agent_manager_(agent_manager) {}

    /// The membership epoch changed: the leader takes over the requests that it was notified of,
    /// any other controller drops its own.
    void epoch_changed();
    /// Stores the leader's notices for a failover.
    void handle_notices(const std::vector<LaunchNotice>& notices);
    /// Adds requests for these numbers of machines, at most
    /// `constants::launch_machines_per_plan_max` of each kind and split to the provider's maximum
    /// per request, and notifies the peers. The requests are sent by `send_due`.
    void request(const std::map<InstanceKind, int>& launches);
    /// Sends each request that is due and not in flight.
    void send_due();
    /// All requests without a final answer, oldest first.
    const std::vector<PendingLaunch>& pending() const { return pending_; }
    /// Whether `constants::pending_launches_max` or more requests are pending.
    bool at_limit() const { return pending_.size() >= constants::pending_launches_max; }
    /// Sets the seconds between two plans, see `CapacityBackoff::set_plan_interval`.
    void set_plan_interval(double plan_interval_s) {
        capacity_backoff_.set_plan_interval(plan_interval_s);
    }
    /// Whether the provider recently had too few machines of that kind.
    bool out_of_capacity(const InstanceKind& kind) const {
        return capacity_backoff_.is_backing_off(kind, ctx_.now.steady);
    }

  private:
    // A notice of the leader, and the steady time when it arrived.
    struct ReceivedNotice {
        LaunchNotice notice;
        double received_at_s = 0;
    };

    double listing_delay_s() const;
    void expire_notices();
    void take_over_requests();
    void add_launched_machines(const InstanceKind& kind, const std::vector<std::string>& machines,
                               double age_s);
    void notify_peers(const std::vector<LaunchNotice>& notices) const;
    void send(PendingLaunch& launch);
    void handle_reply(const std::string& request, const CloudReply& reply);
    void finish_launched(std::vector<PendingLaunch>::iterator launch,
                         const std::vector<std::string>& machines);
    void finish_refused(std::vector<PendingLaunch>::iterator launch);
    void set_out_of_capacity(const InstanceKind& kind);

    Context& ctx_;
    const Membership& membership_;
    AgentManager& agent_manager_;
    std::uint64_t requests_made_ = 0;
    std::vector<PendingLaunch> pending_;
    // By request, until the listing shows what they launched.
    std::map<std::string, ReceivedNotice> notices_;
    CapacityBackoff capacity_backoff_;
};

}  // namespace cranemoor::core

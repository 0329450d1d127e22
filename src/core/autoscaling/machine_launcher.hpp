// MachineLauncher: the launch requests of the leader at the cloud provider (scale out). Requests
// are idempotent and outlive a failover: the leader tells its peers of each, and a new leader
// repeats those still in flight under their old names.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/autoscaling/instance_kind.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// A launch request without a final answer of the cloud provider yet.
struct PendingLaunch {
    std::string request;  ///< its name: the idempotency key at the provider
    InstanceKind kind;
    int count = 0;            ///< machines asked for
    double next_attempt = 0;  ///< steady time before which it is not sent (again)
    bool in_flight = false;   ///< sent, the answer is still to come
};

/// Sends launch requests, repeats those of unknown outcome, remembers where the provider had no
/// capacity, and exchanges launch notices with the peers.
class MachineLauncher {
  public:
    /// `ctx`, `membership` and `agent_manager` must outlive the MachineLauncher.
    MachineLauncher(Context& ctx, const Membership& membership, AgentManager& agent_manager)
        : ctx_(ctx), membership_(membership), agent_manager_(agent_manager) {}

    /// The membership epoch changed: the leader takes over the requests that it was told of, any
    /// other controller drops its own.
    void epoch_changed();
    /// Remembers the leader's notices for a failover.
    void take_notices(const std::vector<LaunchNotice>& notices);
    /// Adds requests for these numbers of machines, split to the provider's maximum per request,
    /// and tells the peers. They are sent by `send_due`.
    void request(const std::map<InstanceKind, int>& launches);
    /// Sends each request that is due and not in flight.
    void send_due();
    /// All requests without a final answer, oldest first.
    const std::vector<PendingLaunch>& pending() const { return pending_; }
    /// Whether as many requests are pending as are useful at once.
    bool at_limit() const { return pending_.size() >= constants::pending_launches_max; }
    /// Whether the provider had too few machines of that kind lately.
    bool out_of_capacity(const InstanceKind& kind) const;

  private:
    // A notice of the leader and when it came.
    struct ReceivedNotice {
        LaunchNotice notice;
        double received_at = 0;
    };

    double listing_delay_s() const;
    void expire_notices();
    void take_over();
    void add_launched(const InstanceKind& kind, const std::vector<std::string>& machines,
                      double age_s);
    void notify_peers(const std::vector<LaunchNotice>& notices) const;
    void send(PendingLaunch& launch);
    void handle_reply(const std::string& request, const CloudReply& reply);
    void finish_launched(std::vector<PendingLaunch>::iterator launch,
                         const std::vector<std::string>& machines);
    void set_out_of_capacity(const InstanceKind& kind);

    Context& ctx_;
    const Membership& membership_;
    AgentManager& agent_manager_;
    std::uint64_t requests_made_ = 0;
    std::vector<PendingLaunch> pending_;
    // By request, until the listing shows what they launched.
    std::map<std::string, ReceivedNotice> notices_;
    std::map<InstanceKind, double> no_capacity_until_;
};

}  // namespace cranemoor::core

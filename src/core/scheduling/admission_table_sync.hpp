/// Admission table sync: every controller sends samples of its write load to its peers. From these
/// the leader decides whether writes are scarce (claims are then batched, see `BatchedClaims`),
/// counts the machines that each controller owns, and writes the admission table
/// (`keys::admission_table`) that all controllers enforce.
#pragma once

#include <map>
#include <string>

#include "admission/hysteresis_switch.hpp"
#include "admission/table.hpp"
#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Collects write load samples and, on the leader, keeps the admission table up to date.
class AdmissionTableSync {
  public:
    /// `membership` tells which controller leads and which one owns each machine, `agents` which
    /// machines there are. All arguments must outlive this object.
    AdmissionTableSync(Context& ctx, const Membership& membership, const AgentRegistry& agents);

    /// Stores the latest write load sample of controller `peer` (by name).
    void on_overload_sample(const std::string& peer, const OverloadSample& sample);
    /// Called once per controller tick. Every `constants::overload_check_interval_s` the leader
    /// rewrites the admission table if scarcity or the controllers' weights changed enough, and
    /// every `constants::overload_log_interval_s` each controller logs its write load.
    void tick();

  private:
    struct PeerSample {
        OverloadSample sample;
        double received_at = -1e9;  // steady time, in seconds
    };

    void update_table();
    void write_table(admission::Table next);
    std::map<std::uint64_t, admission::MemberShare> controller_weights() const;
    bool weights_differ(const std::map<std::uint64_t, admission::MemberShare>& wanted) const;

    Context& ctx_;
    const Membership& membership_;
    const AgentRegistry& agents_;
    std::map<std::string, PeerSample> samples_by_peer_;  // by controller name
    admission::HysteresisSwitch write_scarcity_;         // whether writes are scarce
    bool write_in_flight_ = false;
    double next_tick_s_ = 0;      // steady time of the next check, in seconds
    double next_refresh_s_ = 0;   // of the next rewrite without a change of scarcity
    double next_load_log_s_ = 0;  // of the next log line about the write load
};

}  // namespace cranemoor::core

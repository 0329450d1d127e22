// Admission table sync: every controller sends its write-pressure samples to its peers; the leader
// combines them, decides whether writes are scarce (so that claims are batched, see
// `BatchedClaims`) and how many machines each controller owns, and writes the admission table
// (`keys::admission_table`) that all controllers enforce.
#pragma once

#include <map>
#include <string>

#include "admission/hysteresis_switch.hpp"
#include "admission/table.hpp"
#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

class AdmissionTableSync {
  public:
    /// `membership` tells whether this controller leads; `agents` which machines each controller
    /// owns.
    AdmissionTableSync(Context& ctx, const Membership& membership, const AgentRegistry& agents);

    /// Keeps the latest pressure sample received from controller `peer` (by name).
    void on_overload_sample(const std::string& peer, const OverloadSample& sample);
    /// Every `constants::overload_check_interval_s` seconds: logs the pressure summary and, on the
    /// leader, rewrites the admission table when scarcity or the owned-machine shares changed
    /// enough.
    void tick();

  private:
    struct PeerSample {
        OverloadSample sample;
        double at = -1e9;  // steady time it was received
    };

    void update_table();
    void write_table(admission::Table next);
    std::map<std::uint64_t, admission::MemberShare> controller_parts() const;
    bool parts_differ(const std::map<std::uint64_t, admission::MemberShare>& wanted) const;

    Context& ctx_;
    const Membership& membership_;
    const AgentRegistry& agents_;
    std::map<std::string, PeerSample> samples_by_peer_;  // by member's name
    admission::HysteresisSwitch write_scarcity_;         // hysteresis on whether writes are scarce
    bool write_in_flight_ = false;
    double next_tick_s_ = 0;          // steady times, in seconds
    double next_refresh_s_ = 0;       // of the next rewrite of an unchanged table
    double next_pressure_log_s_ = 0;  // of the next "pressure:" log line
};

}  // namespace cranemoor::core

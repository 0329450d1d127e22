// MachineRelease: terminates marked machines at the cloud provider and keeps their release marks.
// A confirmed release is written to the marks, as the proof that nothing runs on the machine any
// more; marks that nobody needs any longer are removed.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_manager.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// Release requests to the cloud provider and the records of release marks.
class MachineRelease {
  public:
    /// `ctx`, `membership` and `agent_manager` must outlive the MachineRelease.
    MachineRelease(Context& ctx, const Membership& membership, AgentManager& agent_manager)
        : ctx_(ctx), membership_(membership), agent_manager_(agent_manager) {}

    /// Leader only: releases marked machines that are empty or to be fenced, and records in their
    /// marks what the provider confirmed. One release is in flight at a time.
    void release_marked();
    /// Releases overdue machines without a mark while there is no contact with the key-value
    /// store. The provider's answer is used as proof of nothing.
    void release_unrecorded();
    /// Leader only: deletes marks whose machines have all been gone for long enough.
    void delete_old_marks();

  private:
    using Confirmed = std::function<void(bool confirmed, const std::set<std::string>& machines)>;

    void request_release(const std::vector<std::string>& machines, const Confirmed& done);
    void record_released(const std::set<std::string>& machines);
    void add_separate_marks(const CordonBatch& old, const std::set<std::string>& machines,
                            Txn& txn);
    bool all_gone(const std::string& key, const CordonBatch& marks) const;
    bool only_proof_of_release(const std::string& key, const std::string& machine) const;
    bool may_delete(const CordonBatch& marks, double gone_since) const;

    Context& ctx_;
    const Membership& membership_;
    AgentManager& agent_manager_;

    bool release_in_flight_ = false;  // or its record
    double next_release_at_ = 0;

    bool unrecorded_in_flight_ = false;
    double next_unrecorded_at_ = 0;
    std::set<std::string> released_unrecorded_;  // since contact was lost

    bool deletion_in_flight_ = false;
    double next_deletion_at_ = 0;
    std::map<std::string, double> gone_since_;  // steady time, by key of marks
};

}  // namespace cranemoor::core

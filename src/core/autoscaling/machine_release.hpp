// MachineRelease: terminates cordoned machines at the cloud provider and maintains their cordon
// records. A confirmed release is written to these records, as the proof that nothing runs on the
// machine any more; records that nobody needs any longer are deleted.
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

/// Release requests to the cloud provider and the upkeep of cordon records.
class MachineRelease {
  public:
    /// `ctx`, `membership` and `agent_manager` must outlive the MachineRelease.
    MachineRelease(Context& ctx, const Membership& membership, AgentManager& agent_manager)
        : ctx_(ctx), membership_(membership), agent_manager_(agent_manager) {}

    /// Leader only: releases cordoned machines that are empty or to be fenced, and writes to their
    /// cordon records what the provider confirmed. One release is in flight at a time.
    void release_cordoned();
    /// Releases overdue machines, without writing a record, while there is no contact with the
    /// key-value store. The provider's reply is not used as proof of anything.
    void release_unrecorded();
    /// Leader only: deletes cordon records whose machines have all been released for long enough.
    void delete_old_cordons();

  private:
    using ReleaseCallback =
        std::function<void(bool confirmed, const std::set<std::string>& machines)>;

    void request_release(const std::vector<std::string>& machines, const ReleaseCallback& on_reply);
    void record_released(const std::set<std::string>& machines);
    void add_separate_cordons(const CordonBatch& original, const std::set<std::string>& machines,
                              Txn& txn);
    bool all_released(const std::string& key, const CordonBatch& batch) const;
    bool only_proof_of_release(const std::string& key, const std::string& machine) const;
    bool may_delete_batch(const CordonBatch& batch, double released_since_s) const;

    Context& ctx_;
    const Membership& membership_;
    AgentManager& agent_manager_;

    bool release_in_flight_ = false;  // the release or the write of its record
    double next_release_at_s_ = 0;

    bool unrecorded_release_in_flight_ = false;
    double next_unrecorded_release_at_s_ = 0;
    std::set<std::string> released_unrecorded_;  // since contact with the key-value store was lost

    bool deletion_in_flight_ = false;
    double next_deletion_at_s_ = 0;
    std::map<std::string, double> released_since_s_;  // steady time, by key of the cordon record
};

}  // namespace cranemoor::core

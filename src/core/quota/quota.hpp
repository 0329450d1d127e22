/// Quota: a team's limit is divided into slices by member, in one record per team. A member claims
/// within its slice without a write of the record, and grows its slice from the part of the limit
/// that is in no slice.
#pragma once

#include <map>
#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// The limits of all teams, and this member's slices of them.
class Quota {
  public:
    /// Reads the settings and the replica through `ctx`, and sends writes through it.
    explicit Quota(Context& ctx) : ctx_(ctx) {}

    /// The settings of the team of that name, or null.
    const Team* team(const std::string& name) const;
    /// Whether this member may claim `additional` resources for a team. If its slice must grow for
    /// that, adds the write of the quota record to `txn`, with the condition on its revision. False
    /// if the limit or a change in flight forbids it, or the team is unknown.
    bool ensure_slice(const std::string& name, const Resources& additional, Txn& txn) const;
    /// Counts the amount of a claim that is in flight or whose outcome is unknown against the
    /// slice.
    void reserve(const std::string& name, const Resources& amount);
    /// Undoes `reserve`, once the replica shows the claim or the claim can no longer be applied.
    void release(const std::string& name, const Resources& amount);
    /// Whether `more` on top of all placed tasks of the team is within its limit, by the records in
    /// the replica. False if the team is unknown.
    bool within_limit(const std::string& name, const Resources& more) const;
    /// Returns unused parts of this member's slices that other members may need. Called once per
    /// controller tick.
    void tick();

  private:
    // The team's slices without what members that left the epoch no longer use.
    QuotaSlices reclaimed_slices(const Team& team) const;

    Resources largest_start(const std::string& name) const;

    // Bound on the use of a slice after a write that returns part of it was sent. It holds while
    // the record has the revision that this write expects.
    struct SliceCap {
        Revision revision = 0;
        Resources amount;  // that may still be used
    };

    Context& ctx_;
    std::map<std::string, Resources> pending_claims_;  // in flight or of unknown outcome, by team
    std::map<std::string, SliceCap> slice_caps_;       // by team
    double next_return_s_ = 0;  // steady time of the next check for unused parts
};

}  // namespace cranemoor::core

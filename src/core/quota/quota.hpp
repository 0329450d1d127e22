// Quota: a team's limit is held in slices by members, in one record per team. A member claims
// within its slice without touching the record, and takes more from what nobody holds.
#pragma once

#include <map>
#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

class Quota {
  public:
    explicit Quota(Context& ctx) : ctx_(ctx) {}

    const Team* team(const std::string& name) const;
    // Whether `need` more can be claimed by this member. If its slice must grow for that, the
    // transaction is given the change. False: the limit, or a change under way, forbids it.
    bool cover(const std::string& name, const Resources& need, Txn& txn) const;
    // Amounts of claims that are under way or whose outcome is unknown.
    void reserve(const std::string& name, const Resources& amount);
    void release(const std::string& name, const Resources& amount);
    // What the whole team may still claim, as far as the records say.
    bool within_limit(const std::string& name, const Resources& more) const;
    void tick();

  private:
    // The slices with what the dead no longer need removed.
    QuotaSlices trimmed(const Team& team) const;

    Resources largest_start(const std::string& name) const;

    struct Ceiling {
        Revision revision = 0;  // of the record that the slice was given up from
        Resources amount;
    };

    Context& ctx_;
    std::map<std::string, Resources> pending_;
    std::map<std::string, Ceiling> ceilings_;
    double next_return_ = 0;
};

}  // namespace cranemoor::core

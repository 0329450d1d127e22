// Finals: ends the jobs that are over, and moves their final states out of the watched records.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/context.hpp"
#include "core/membership.hpp"

namespace cranemoor::core {

std::vector<std::string> add_final(const Context& ctx, const Job& job, bool cancelled, Txn& txn);

class Finals {
  public:
    Finals(Context& ctx, const Membership& members) : ctx_(ctx), members_(members) {}

    // The leading member's.
    void tick();

  private:
    void finish_jobs();
    void move();
    void retire_listings(const std::set<std::string>& keys, Txn& txn) const;

    Context& ctx_;
    const Membership& members_;
    std::set<std::string> finishing_;
    bool moving_ = false;  // final states, to keys of their own
    double next_move_ = 0;
};

}  // namespace cranemoor::core

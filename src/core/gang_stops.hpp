// GangStops: the orderly stop of gangs. A gang saves only if all its tasks are told within
// gang_peer_s, and their machines belong to several members: the wish is one write to the gang's
// first block, which every member follows as soon as its watch shows it.
#pragma once

#include <string>

#include "core/context.hpp"

namespace cranemoor::core {

class GangStops {
  public:
    explicit GangStops(Context& ctx) : ctx_(ctx) {}

    // Whether stopping it whole would save what it has done: it runs, and can save.
    static bool would_save(const Job& job);
    // Machine-seconds that the stop costs: all its tasks save, and wait for each other.
    double cost_s(const Job& job) const;
    // Writes the wish, unless it is there or the block is being written: then a later call does.
    void ask(const Job& job, const std::string& why);

  private:
    Context& ctx_;
};

}  // namespace cranemoor::core

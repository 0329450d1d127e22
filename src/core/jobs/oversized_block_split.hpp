// OversizedBlockSplit: splits the block records of jobs that were written under a larger value
// limit and that can't be written again under the present one.
#pragma once

#include <set>
#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Gives the jobs named in `Context::to_part` pages: smaller blocks with records of their own.
class OversizedBlockSplit {
  public:
    /// Reads the replica and sends writes through `ctx`, which must outlive this.
    explicit OversizedBlockSplit(Context& ctx) : ctx_(ctx) {}

    /// One step per controller tick: splits the jobs asked for since the last one, once all
    /// controllers understand split jobs.
    void tick();

  private:
    void split(const Job& job);

    Context& ctx_;
    std::set<std::string> splits_in_flight_;  // uids of jobs with a write of ours under way
};

}  // namespace cranemoor::core

/// OversizedBlockSplit: splits block records that were written under a larger value limit and can't
/// be written again under the present one.
#pragma once

#include <set>
#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Splits the blocks of the jobs in `Context::jobs_to_split` into pages: smaller blocks with
/// records of their own.
class OversizedBlockSplit {
  public:
    /// Reads the replica and sends writes through `ctx`, which must outlive this.
    explicit OversizedBlockSplit(Context& ctx) : ctx_(ctx) {}

    /// One step per controller tick: splits the jobs requested since the last one, once all
    /// controllers understand pages.
    void tick();

  private:
    void split(const Job& job);

    Context& ctx_;
    std::set<std::string> splits_in_flight_;  // uids of jobs with a write of ours under way
};

}  // namespace cranemoor::core

// OversizedBlockSplit: parts jobs whose block records, written under a larger limit, can't be put
// any more.
#pragma once

#include <set>
#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

// The tasks of a block of that many bytes that fit under the smaller limit; even, so that
// per-block spread rules add up.
int block_tasks(const Context& ctx);
// Tasks of the largest gang that one transaction can claim: larger ones can never start whole.
int largest_gang(const Context& ctx);

class OversizedBlockSplit {
  public:
    explicit OversizedBlockSplit(Context& ctx) : ctx_(ctx) {}

    void tick();

  private:
    void part(const Job& job);

    Context& ctx_;
    std::set<std::string> parting_;
};

}  // namespace cranemoor::core

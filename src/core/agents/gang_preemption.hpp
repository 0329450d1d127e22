// GangPreemption: the graceful preemption of a whole gang. A gang can checkpoint only if all of
// its tasks are sent the stop within gang_stop_window_s, and its machines may be owned by several
// controllers: the request is one compare-and-swap write to the gang's first block, which every
// controller acts on as soon as its watch of the key-value store shows it.
#pragma once

#include <string>

#include "core/context/context.hpp"

namespace cranemoor::core {

/// Requests and prices the graceful preemption (stop with checkpoint) of whole gangs.
class GangPreemption {
  public:
    /// `ctx` is the controller's context; it must outlive this object.
    explicit GangPreemption(Context& ctx) : ctx_(ctx) {}

    /// Whether stopping the whole gang would save its progress: the job is a gang that checkpoints,
    /// all its tasks are placed, and it is not cancelled.
    static bool can_checkpoint(const Job& job);
    /// Whether a gang has lost part of its tasks: some placed, none done, not all placed.
    static bool is_incomplete(const Job& job);
    /// Cost of preempting the gang, in machine-seconds: every task checkpoints (save_s) and waits
    /// for its peers (gang_stop_window_s).
    double cost_s(const Job& job) const;
    /// Writes the preemption request into the gang's first block. Does nothing if the request is
    /// there already or a write of the block is in flight (then call again); `why` is logged.
    void request_preemption(const Job& job, const std::string& why);

  private:
    Context& ctx_;
};

}  // namespace cranemoor::core

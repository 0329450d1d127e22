// ScaleIn: marks machines that are not needed for release: those that never came up, and those
// that have been empty for long beyond the headroom.
#pragma once

#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The leader's decision which machines to give back to the cloud provider. It only marks them:
/// MachineRelease releases what is marked.
class ScaleIn {
  public:
    /// `ctx` and `fleet` must outlive the ScaleIn.
    ScaleIn(Context& ctx, Fleet& fleet) : ctx_(ctx), fleet_(fleet) {}

    /// Marks machines that never came up and idle ones; logs the size of the fleet now and then.
    void mark_unneeded();

  private:
    void mark_never_up();
    std::vector<Machine*> idle_machines() const;
    void mark_idle(std::vector<Machine*> idle);
    void log_fleet(std::size_t idle);

    Context& ctx_;
    Fleet& fleet_;
    double next_log_at_ = 0;
};

}  // namespace cranemoor::core

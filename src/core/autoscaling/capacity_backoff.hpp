// CapacityBackoff: which kinds of instance the cloud provider refused, and for how long each is not
// requested again.
#pragma once

#include <map>

#include "core/autoscaling/instance_kind.hpp"
#include "core/model/constants.hpp"

namespace cranemoor::core {

/// The kinds whose last launch request was refused or only partly filled. While a kind backs off,
/// the next one in price order is requested. The backoff is long enough for every refused kind to
/// be requested once before the first of them is requested again: otherwise a plan would return to
/// the cheapest ones and never reach the last.
class CapacityBackoff {
  public:
    /// A request was refused or only partly filled at that steady time.
    void set_refused(const InstanceKind& kind, double now_s);
    /// A request was filled.
    void set_granted(const InstanceKind& kind) { refused_at_s_.erase(kind); }
    /// Sets the seconds between two plans, each of which requests at most one kind for a job.
    void set_plan_interval(double plan_interval_s) { plan_interval_s_ = plan_interval_s; }
    /// Whether at that steady time the kind was refused less than `duration_s` ago.
    bool is_backing_off(const InstanceKind& kind, double now_s) const;
    /// How long, in seconds, a refused kind is not requested again.
    double duration_s() const;

  private:
    double plan_interval_s_ = constants::scale_out_interval_s;
    std::map<InstanceKind, double> refused_at_s_;  // steady time of the last refusal
};

}  // namespace cranemoor::core

// Preemption: stops lower or borrowed work where a job may demand that and nothing else helps it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/context.hpp"
#include "core/fleet.hpp"
#include "core/membership.hpp"
#include "core/quota.hpp"
#include "core/scheduler.hpp"

namespace cranemoor::core {

class Preemption {
  public:
    Preemption(Context& ctx, const Membership& members, Fleet& fleet, Scheduler& scheduler,
               const Quota& quota)
        : ctx_(ctx), members_(members), fleet_(fleet), scheduler_(scheduler), quota_(quota) {}

    void records_changed();
    void tick();

  private:
    struct Victims {
        Machine* machine = nullptr;
        std::vector<TaskId> tasks;
        double lost_s = 0;
        bool local = false;
    };

    void look();
    void stop(Machine& m, const Job& job, const TaskId& id);
    bool may_preempt(const Job& job, const Job& victim, double waited) const;
    std::optional<Victims> victims_on(Machine& m, const Job& job, double waited) const;
    bool below_guarantee(const std::string& team, const Resources& more) const;

    Context& ctx_;
    const Membership& members_;
    Fleet& fleet_;
    Scheduler& scheduler_;
    const Quota& quota_;
    std::map<std::string, double> preempted_at_;  // by job that room was made for
    double next_look_ = 0;
};

}  // namespace cranemoor::core

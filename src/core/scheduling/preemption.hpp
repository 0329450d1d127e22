// Preemption: stops lower or borrowed work where a job may demand that and nothing else helps it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/agents/gang_preemption.hpp"
#include "core/agents/task_stops.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/scheduler.hpp"

namespace cranemoor::core {

class Preemption {
  public:
    Preemption(Context& ctx, const Membership& membership, AgentRegistry& agents,
               GangPreemption& gang_preemption, TaskStops& task_stops, Scheduler& scheduler,
               const Quota& quota, const PendingQueue& flows)
        : ctx_(ctx),
          membership_(membership),
          agents_(agents),
          gang_preemption_(gang_preemption),
          task_stops_(task_stops),
          scheduler_(scheduler),
          quota_(quota),
          pending_queue_(flows) {}

    // touched: jobs that changed
    void records_changed(const std::set<std::string>& touched);
    void tick();

  private:
    struct Victims {
        Machine* machine = nullptr;
        std::vector<TaskId> tasks;
        double lost_s = 0;
        bool local = false;
    };

    void look();
    bool may_look(const PendingJob& waiting) const;
    bool may_serve(const Job& job, int block, const Machine& m) const;
    void make_room(const PendingJob& waiting);
    void stop(Machine& m, const Job& job, const TaskId& id);
    bool may_preempt(const Job& job, const Job& victim, double waited) const;
    std::optional<Victims> victims_on(Machine& m, const Job& job, double waited) const;
    bool below_guarantee(const std::string& name, const Resources& more) const;

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& agents_;
    GangPreemption& gang_preemption_;
    TaskStops& task_stops_;
    Scheduler& scheduler_;
    const Quota& quota_;
    const PendingQueue& pending_queue_;
    std::map<std::string, double> preempted_at_;  // by job that room was made for
    double next_look_ = 0;
};

}  // namespace cranemoor::core

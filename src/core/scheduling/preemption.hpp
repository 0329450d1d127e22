// Preemption: stops work of lower priority, or work that a team runs beyond its guarantee, to make
// room for a pending job that is entitled to it and can't be placed otherwise, or only at the cost
// of an image fetch.
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

/// Preempts tasks on the machines of this controller for the jobs in its pending queue.
class Preemption {
  public:
    /// All arguments must outlive this object.
    Preemption(Context& ctx, const Membership& membership, AgentRegistry& agents,
               GangPreemption& gang_preemption, TaskStops& task_stops, Scheduler& scheduler,
               const Quota& quota, const PendingQueue& pending_queue)
        : ctx_(ctx),
          membership_(membership),
          agents_(agents),
          gang_preemption_(gang_preemption),
          task_stops_(task_stops),
          scheduler_(scheduler),
          quota_(quota),
          pending_queue_(pending_queue) {}

    /// Forgets the preemptions for jobs that have nothing left to place. `changed_uids` are the
    /// uids of the jobs whose records changed.
    void records_changed(const std::set<std::string>& changed_uids);
    /// Searches for work to preempt if a search is due. Called once per controller tick.
    void tick();

  private:
    // The tasks to stop on one machine so that a task of the job fits there.
    struct Victims {
        Machine* machine = nullptr;
        std::vector<TaskId> tasks;
        double lost_s = 0;       // seconds of work lost by stopping them, over all tasks
        bool has_image = false;  // the machine has the job's image
    };

    void preempt_for_pending_jobs();
    bool may_preempt_for(const PendingJob& pending) const;
    bool may_run_on(const Job& job, int block, const Machine& machine) const;
    void make_room(const PendingJob& pending);
    void stop_victim(Machine& machine, const Job& job, const TaskId& id);
    bool may_preempt(const Job& job, const Job& victim, double waited_s) const;
    std::optional<Victims> find_victims(Machine& machine, const Job& job, double waited_s) const;
    bool within_guarantee(const std::string& name, const Resources& additional) const;

    Context& ctx_;
    const Membership& membership_;
    AgentRegistry& agents_;
    GangPreemption& gang_preemption_;
    TaskStops& task_stops_;
    Scheduler& scheduler_;
    const Quota& quota_;
    const PendingQueue& pending_queue_;
    std::map<std::string, double> preempted_at_s_;  // by job that room was made for; steady clock
    double next_search_at_s_ = 0;                   // steady clock
};

}  // namespace cranemoor::core

/// Checks the protocol's invariants against the tasks on the workers and the replies to users.
#pragma once

#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "fake_worker.hpp"
#include "job_ledger.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// Collects violations of the protocol's invariants; a test fails if there are any.
class InvariantChecker {
  public:
    InvariantChecker(const Simulation& simulation, const Settings& settings,
                     const Machines& machines, JobLedger& ledger)
        : simulation_(simulation), settings_(settings), machines_(machines), ledger_(ledger) {}

    /// Checks a task that was just started on a worker: no second live attempt, quota, placement,
    /// dependencies and cancellation.
    void check_start(const FakeWorker& worker, const TaskId& id);
    /// Checks that no task of a cancelled job runs later than cancel_deadline_s after the
    /// cancellation was confirmed to a user.
    void check_cancelled_jobs();
    /// Checks a reply to a user against the ledger.
    void check_user_reply(const UserReply& reply);

    /// One text per violation: the rule and the task, job, team or key.
    std::vector<std::string> violations;

  private:
    void check_other_tasks(const FakeWorker& worker, const TaskId& id, const JobSpec& spec);
    void check_quota(const JobSpec& spec);
    void check_placement(const FakeWorker& worker, const TaskId& id, const JobSpec& spec);
    void check_order(const TaskId& id, const JobSpec& spec);
    void check_cancelled_job(const std::string& uid);
    int live_tasks_in_zone(const std::string& uid, const std::string& zone) const;
    bool is_past_cancel_deadline(const std::string& uid) const;

    const Simulation& simulation_;
    const Settings& settings_;
    const Machines& machines_;
    JobLedger& ledger_;
};

}  // namespace cranemoor::test

#include "invariant_checker.hpp"

#include <algorithm>

namespace cranemoor::test {

namespace {
// Exceeds any rounding error of sums of GPU shares.
constexpr double gpu_tolerance = 1e-6;

// Calls visit(worker, task id, task) for each task that has not exited.
template <typename Visit>
void for_each_live_task(const Machines& machines, Visit visit) {
    for (const auto& [name, worker] : machines) {
        for (const auto& [id, attempts] : worker.tasks) {
            for (const auto& [attempt, task] : attempts) {
                if (task.state != TaskState::exited) {
                    visit(worker, id, task);
                }
            }
        }
    }
}
}  // namespace

void InvariantChecker::check_start(const FakeWorker& worker, const TaskId& id) {
    const JobSpec& spec = ledger_.specs[id.uid];
    check_other_tasks(worker, id, spec);
    check_quota(spec);
    check_placement(worker, id, spec);
    check_order(id, spec);
    if (is_past_cancel_deadline(id.uid)) {
        violations.push_back("ran_cancelled: " + id.text());
    }
}

void InvariantChecker::check_other_tasks(const FakeWorker& worker, const TaskId& id,
                                         const JobSpec& spec) {
    for_each_live_task(
        machines_, [&](const FakeWorker& other, const TaskId& other_id, const FakeTask& /*task*/) {
            bool is_itself = other.info.name == worker.info.name && other_id == id;
            if (is_itself) {
                return;
            }
            if (other_id == id) {
                violations.push_back("ran_twice: " + id.text());
            }
            if (other_id.uid == id.uid && spec.same_zone && other.info.zone != worker.info.zone) {
                violations.push_back("wrong_place (together): " + id.text());
            }
        });
}

void InvariantChecker::check_quota(const JobSpec& spec) {
    Resources used;
    for_each_live_task(
        machines_, [&](const FakeWorker& /*worker*/, const TaskId& id, const FakeTask& /*task*/) {
            const JobSpec& other = ledger_.specs[id.uid];
            if (other.team == spec.team) {
                used += other.task_resources;
            }
        });
    for (const auto& team : settings_.teams) {
        bool is_limited = team.name == spec.team && team.limit.gpus > 0;
        if (is_limited && used.gpus > team.limit.gpus + gpu_tolerance) {
            violations.push_back("quota: " + spec.team);
        }
    }
}

int InvariantChecker::live_tasks_in_zone(const std::string& uid, const std::string& zone) const {
    int count = 0;
    for_each_live_task(machines_,
                       [&](const FakeWorker& worker, const TaskId& id, const FakeTask& /*task*/) {
                           count += id.uid == uid && worker.info.zone == zone ? 1 : 0;
                       });
    return count;
}

void InvariantChecker::check_placement(const FakeWorker& worker, const TaskId& id,
                                       const JobSpec& spec) {
    if (spec.zone_spread && live_tasks_in_zone(id.uid, worker.info.zone) > (spec.tasks + 1) / 2) {
        violations.push_back("wrong_place (spread): " + id.text());
    }
    if ((spec.zone && *spec.zone != worker.info.zone) || (worker.info.spot && !spec.spot)) {
        violations.push_back("wrong_place: " + id.text());
    }
}

void InvariantChecker::check_order(const TaskId& id, const JobSpec& spec) {
    for (const auto& dependency : spec.depends_on) {
        auto completed = static_cast<int>(ledger_.completed_tasks[dependency].size());
        if (completed < ledger_.specs[dependency].tasks) {
            violations.push_back("too_early: " + id.text());
        }
    }
}

bool InvariantChecker::is_past_cancel_deadline(const std::string& uid) const {
    auto it = ledger_.cancelled_at_s.find(uid);
    return it != ledger_.cancelled_at_s.end() &&
           simulation_.now() > it->second + settings_.cancel_deadline_s;
}

void InvariantChecker::check_cancelled_jobs() {
    for (const auto& [uid, cancelled_at_s] : ledger_.cancelled_at_s) {
        if (is_past_cancel_deadline(uid)) {
            check_cancelled_job(uid);
        }
    }
}

void InvariantChecker::check_cancelled_job(const std::string& uid) {
    for_each_live_task(
        machines_, [&](const FakeWorker& worker, const TaskId& id, const FakeTask& /*task*/) {
            // Tasks on a machine that hangs have ended with its lease.
            bool has_lost_lease =
                worker.is_hung && simulation_.now() - worker.lease_start_s > settings_.lease_s;
            if (id.uid == uid && !has_lost_lease) {
                violations.push_back("ran_cancelled: " + id.text());
            }
        });
}

void InvariantChecker::check_user_reply(const UserReply& reply) {
    if (reply.state == "done") {
        auto spec = ledger_.specs.find(reply.uid);
        auto completed = static_cast<int>(ledger_.completed_tasks[reply.uid].size());
        if (spec == ledger_.specs.end() || completed < spec->second.tasks) {
            violations.push_back("not_done: " + reply.uid);
        }
    } else if (reply.state == "cancelled") {
        auto was_requested = [&](const auto& uid) {
            return ledger_.cancel_requested.count(uid) != 0;
        };
        if (!ledger_.holds_for_job_or_dependency(reply.uid, was_requested)) {
            violations.push_back("went_back (no cancellation was requested): " + reply.uid);
        }
    } else if (!reply.state.empty() &&
               ledger_.holds_for_job_or_dependency(
                   reply.uid, [&](const auto& uid) { return is_past_cancel_deadline(uid); })) {
        violations.push_back("orphaned: " + reply.uid);
    }
    bool is_known = reply.status == 200 || reply.status == 201;
    if (is_known && !ledger_.specs.contains(reply.uid)) {
        violations.push_back("invented: " + reply.uid);
    }
}

}  // namespace cranemoor::test

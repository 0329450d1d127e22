// Fake workers: machines that fetch images, run tasks, keep a lease and execute commands.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "job_ledger.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

class InvariantChecker;

/// A time that never comes, in s.
constexpr double never_s = 1e18;

/// An attempt of a task on a worker.
struct FakeTask {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitReason exit_reason = ExitReason::none;
    bool saved = false;        ///< has written a checkpoint
    double ready_at = 0;       ///< s; its image is there
    double ends_at = never_s;  ///< s
    double told_at = never_s;  ///< s; first told to save and stop

    /// Whether it has begun and not ended, so that the others of its gang count it.
    bool is_present() const { return state != TaskState::exited && state != TaskState::fetching; }
};

/// A machine with the worker on it.
struct FakeWorker {
    ListedMachine info;
    double made_at = 0;  ///< s; when it was rented
    double up_at = 0;    ///< s; when it has booted
    bool deleted = false;

    // Faults.
    bool is_hung = false;           ///< silent and idle, but not gone
    bool fails_tasks = false;       ///< every task ends with an error
    bool is_unreachable = false;    ///< by everybody, and reaches nobody
    bool loses_replies = false;     ///< its heartbeats arrive, answers and commands to it are lost
    bool loses_heartbeats = false;  ///< its heartbeats reach nobody, commands reach it
    int only_node = -1;             ///< the one node that it reaches and that reaches it; -1: all

    std::vector<std::function<void()>> held_commands;           ///< came while it hung
    Token fencing_token = 0;                                    ///< the greatest that it has seen
    std::uint64_t session = 1;                                  ///< its agent epoch
    std::uint64_t seq = 0;                                      ///< of its last heartbeat
    double lease_from = 0;                                      ///< s
    std::map<TaskId, std::map<std::uint64_t, FakeTask>> tasks;  ///< by task and attempt
    std::optional<double> interruption_notice_s;  ///< s until its spot machine is taken back
    std::set<std::string> images;                 ///< that it has fetched

    // Its heartbeats.
    std::size_t target = 0;  ///< node that it sends them to
    bool in_flight = false;  ///< one waits for its answer
    double sent_at = 0;      ///< s
    double next_report = 0;  ///< s; when the next is due

    /// Makes the next heartbeat due at this time if it was due later.
    void send_heartbeat_by(double time);
};

/// All machines that were ever rented, by name.
using Machines = std::map<std::string, FakeWorker>;

/// What the workers of a cluster do by themselves and with commands.
class FakeWorkers {
  public:
    FakeWorkers(const Simulation& simulation, const Settings& settings, Machines& machines,
                JobLedger& ledger, InvariantChecker& invariants)
        : simulation_(simulation),
          settings_(settings),
          machines_(machines),
          ledger_(ledger),
          invariants_(invariants) {}

    /// Lets a worker go on until now; true if its next heartbeat is due.
    bool step(FakeWorker& worker);
    /// Executes a command whose fencing token and session were found right.
    void execute(FakeWorker& worker, const Command& command);
    /// The next heartbeat of a worker.
    static Heartbeat make_heartbeat(FakeWorker& worker);

    /// Seconds that a worker takes to fetch an image.
    double image_fetch_s = 0.5;
    /// Run time of the tasks of arrays and gangs, in s.
    double task_run_s = 20;
    /// Jobs whose tasks fail wherever they run.
    std::set<std::string> failing_jobs;
    /// Gangs that wrote a checkpoint when they were stopped.
    std::set<std::string> checkpointed_gangs;
    /// Called with each command before it is executed. May be empty.
    std::function<void(const std::string& machine, const Command&)> on_command;

  private:
    void expire_lease(FakeWorker& worker) const;
    void step_task(FakeWorker& worker, const TaskId& id, FakeTask& task);
    void begin_task(FakeWorker& worker, const TaskId& id, FakeTask& task);
    void await_gang(const TaskId& id, FakeTask& task);
    void save_gang(const TaskId& id, FakeTask& task);
    void complete_task(const TaskId& id, FakeTask& task);
    void complete_gang(const std::string& uid, std::uint64_t attempt);
    void stop_task(const JobSpec& spec, const Command& command, FakeTask& task) const;
    void start_task(FakeWorker& worker, const Command& command);
    FakeTask new_task(const FakeWorker& worker, const Command& command);
    Resources free_resources(const FakeWorker& worker);

    const Simulation& simulation_;
    const Settings& settings_;
    Machines& machines_;
    JobLedger& ledger_;
    InvariantChecker& invariants_;
};

}  // namespace cranemoor::test

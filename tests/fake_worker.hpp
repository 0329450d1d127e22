/// Fake workers: machines that fetch images, run tasks, hold a lease and execute commands.
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

/// A time after the end of every test, in s.
constexpr double never_s = 1e18;

/// An attempt of a task on a worker.
struct FakeTask {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitReason exit_reason = ExitReason::none;
    bool saved = false;                    ///< has written a checkpoint
    double ready_at_s = 0;                 ///< when its image is fetched
    double ends_at_s = never_s;            ///< when it completes by itself
    double stop_requested_at_s = never_s;  ///< first request to save and stop

    /// Whether it has started and not exited, so that its gang counts it as present.
    bool is_present() const { return state != TaskState::exited && state != TaskState::fetching; }
};

/// A machine with its worker.
struct FakeWorker {
    ListedMachine info;
    double created_at_s = 0;  ///< when it was launched
    double booted_at_s = 0;   ///< end of its boot
    bool deleted = false;

    // Faults.
    bool is_hung = false;           ///< neither answers nor acts, but is not deleted
    bool fails_tasks = false;       ///< every task exits with an error
    bool is_unreachable = false;    ///< no message from or to it arrives
    bool loses_replies = false;     ///< its heartbeats arrive; replies and direct commands are lost
    bool loses_heartbeats = false;  ///< its heartbeats are lost; direct commands arrive
    int only_node = -1;             ///< the only node connected with it; -1: all nodes

    std::vector<std::function<void()>> deferred_commands;  ///< received while it hung
    Token fencing_token = 0;                               ///< the highest that it has received
    std::uint64_t agent_epoch = 1;                         ///< incremented when its lease expires
    std::uint64_t last_sequence_number = 0;                ///< of its last heartbeat
    double lease_start_s = 0;
    std::map<TaskId, std::map<std::uint64_t, FakeTask>> tasks;  ///< by task and attempt
    std::optional<double>
        interruption_notice_s;     ///< seconds until its spot interruption; unset without a notice
    std::set<std::string> images;  ///< fetched so far

    // Heartbeats.
    std::size_t target_node = 0;     ///< the node that it sends them to
    bool in_flight = false;          ///< one awaits its reply
    double sent_at_s = 0;            ///< when the last one was sent
    double next_heartbeat_at_s = 0;  ///< when the next one is due

    /// Moves the next heartbeat forward to this time if it was due later.
    void send_heartbeat_by(double time_s);
};

/// All machines that ever existed, deleted ones included, by name.
using Machines = std::map<std::string, FakeWorker>;

/// The behaviour of all workers of a cluster, including their handling of commands.
class FakeWorkers {
  public:
    FakeWorkers(const Simulation& simulation, const Settings& settings, Machines& machines,
                JobLedger& ledger, InvariantChecker& invariants)
        : simulation_(simulation),
          settings_(settings),
          machines_(machines),
          ledger_(ledger),
          invariants_(invariants) {}

    /// Advances a worker to the current time; true if its next heartbeat is due.
    bool step(FakeWorker& worker);
    /// Executes a command; the caller has checked its fencing token and agent epoch.
    void execute(FakeWorker& worker, const Command& command);
    /// Creates a worker's next heartbeat, with a new sequence number.
    static Heartbeat make_heartbeat(FakeWorker& worker);

    /// Time to fetch an image, in s.
    double image_fetch_s = 0.5;
    /// Run time of the tasks of arrays and gangs, in s.
    double task_run_s = 20;
    /// Jobs whose tasks fail on every machine.
    std::set<std::string> failing_jobs;
    /// Gangs that wrote a checkpoint when they were stopped.
    std::set<std::string> checkpointed_gangs;
    /// Called with each command before it is executed. May be empty.
    std::function<void(const std::string& machine, const Command&)> on_command;

  private:
    void expire_lease(FakeWorker& worker) const;
    void step_task(FakeWorker& worker, const TaskId& id, FakeTask& task);
    void finish_image_fetch(FakeWorker& worker, const TaskId& id, FakeTask& task);
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

/// Data types of the core: jobs, tasks, machines, heartbeats and settings. They are independent of
/// any wire or storage format.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cranemoor::core {

/// The time of an input, passed to the core together with it.
struct Now {
    double steady = 0;  ///< seconds on the process's steady clock
    /// Seconds since the Unix epoch, at most `Settings::clock_error_max_s` off the true time.
    double wall = 0;
};

/// Revision of the key-value store: grows with each transaction that writes.
using Revision = std::uint64_t;
/// Fencing token: a worker rejects commands whose token is lower than the highest it has seen.
using Token = std::uint64_t;

/// How the tasks of a job relate: independent, started and finished together, or run until they are
/// cancelled.
enum class JobKind { array, gang, service };
/// Priority of a job, in ascending order.
enum class Priority { best_effort, normal, high, production };

/// An amount of resources, of a task or a machine or a sum of these.
struct Resources {
    double cpus = 0;  ///< cores; fractions are allowed
    double gpus = 0;  ///< devices; fractions are allowed
    double memory_gb = 0;

    /// Sums of decimal amounts carry rounding errors; a task must not be rejected because of them.
    static constexpr double rounding_tolerance = 1e-6;

    /// Whether every amount is within `available`, up to `rounding_tolerance`.
    bool fits_in(const Resources& available) const {
        return cpus <= available.cpus + rounding_tolerance &&
               gpus <= available.gpus + rounding_tolerance &&
               memory_gb <= available.memory_gb + rounding_tolerance;
    }
    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory_gb += other.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& other) { return *this += other * -1.0; }
    Resources operator*(double factor) const {
        return {cpus * factor, gpus * factor, memory_gb * factor};
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
};

/// A job as submitted by a user.
struct JobSpec {
    std::string uid;        ///< identifies the job; given by the user
    std::string job_class;  ///< class of the job's flow (team and class)
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    int tasks = 1;                                          ///< number of tasks, at least 1
    Resources task_resources;                               ///< of each task
    std::optional<std::vector<std::string>> machine_types;  ///< allowed types; null: all
    std::optional<std::string> zone;                        ///< required zone; null: any
    bool same_zone = false;                                 ///< all tasks must run in one zone
    bool zone_spread = false;  ///< no zone may run more than half of the tasks, rounded up
    bool spot = false;         ///< tasks may run on spot instances
    std::string image;         ///< name of the image that the tasks run
    double image_gb = 0;       ///< size of the image
    double estimate_s = 0;     ///< the user's estimate of a task's run time
    double checkpoint_s = 0;   ///< interval between checkpoints; 0: the tasks make none
    double save_s = 0;         ///< time that a task needs to save a checkpoint when it is stopped
    /// The user's deadline, in seconds from the submission; null: none.
    std::optional<double> deadline_s;
    std::vector<std::string> depends_on;  ///< jobs that must be done before any of its tasks starts
};

/// Identifies a task: the job and the task's index in it, from 0.
struct TaskId {
    std::string uid;  ///< of the job
    int index = 0;
    auto key() const { return std::tie(uid, index); }
    friend bool operator<(const TaskId& a, const TaskId& b) { return a.key() < b.key(); }
    friend bool operator==(const TaskId& a, const TaskId& b) { return a.key() == b.key(); }
    /// As workers and the log write it: "req-000412/3".
    std::string text() const { return uid + "/" + std::to_string(index); }
};

struct TaskIdHash {
    std::size_t operator()(const TaskId& id) const {
        constexpr std::size_t multiplier = 0x9e3779b97f4a7c15;  // 2^64 over the golden ratio
        return std::hash<std::string>{}(id.uid) + static_cast<std::size_t>(id.index) * multiplier;
    }
};

/// State of a task attempt on a worker.
enum class TaskState {
    fetching,  ///< its image is being fetched
    waiting,   ///< a gang's task, until the rest of the gang is ready
    running,
    saving,  ///< being stopped: it saves a checkpoint
    exited
};
/// Why a task attempt exited, as reported by the worker.
enum class ExitReason {
    none,  ///< it has not exited
    done,
    stopped,       ///< by a stop command
    peers_gone,    ///< a gang's task: other tasks of the gang are gone
    incomplete,    ///< a gang's task: the gang was not complete within `gang_start_timeout_s`
    error,         ///< the task failed
    no_room,       ///< not started: too few free resources on the machine
    busy,          ///< not started: another attempt of the task is still live on the machine
    unknown_task,  ///< not started: the worker knows no such task
    other          ///< a reason that this version does not know
};

/// One task attempt in a heartbeat.
struct TaskStatus {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitReason exit_reason = ExitReason::none;
    bool saved = false;  ///< exited with a checkpoint that the next attempt continues from
};

/// A heartbeat of a worker: its identity, and every task attempt for which it has not received the
/// command `Command::Kind::forget`.
struct Heartbeat {
    std::string machine;  ///< name of the machine
    std::string address;  ///< for direct commands
    std::string type;     ///< name of the machine type
    std::string zone;
    bool spot = false;  ///< a spot instance
    /// Incarnation of the agent: starts at 1 and grows each time the worker's lease expires.
    std::uint64_t agent_epoch = 0;
    std::uint64_t seq = 0;  ///< sequence number within the agent epoch
    Token token = 0;        ///< highest fencing token that the worker has seen
    /// Seconds until the spot instance is interrupted, once announced; null: no notice.
    std::optional<double> interruption_notice_s;
    std::vector<TaskStatus> tasks;
};

/// A command to a worker about one task attempt.
struct Command {
    enum class Kind {
        start,
        stop,
        forget  ///< drop an exited attempt from the heartbeats
    };
    Kind kind = Kind::start;
    TaskId id;
    std::uint64_t attempt = 0;
    double grace_s = 0;  ///< stop: time to save a checkpoint; 0: stop at once
};

/// A machine type of the cloud provider.
struct MachineType {
    std::string name;
    Resources size;             ///< resources of an empty machine
    double cache_gb = 0;        ///< capacity of the image cache
    double fetch_gb_per_s = 0;  ///< rate at which a machine fetches images
    double price = 0;           ///< on demand, per hour
    double spot_price = 0;      ///< as a spot instance, per hour
    double boot_s = 0;          ///< usual time from launch to readiness
    std::vector<std::string> zones;
};

/// State of a machine in the cloud provider's listing.
enum class ListedState { starting, running, failed };

/// A machine in the cloud provider's listing.
struct ListedMachine {
    std::string name;
    std::string address;  ///< empty: none yet
    std::string type;     ///< name of the machine type
    std::string zone;
    bool spot = false;
    ListedState state = ListedState::starting;
    double age_s = 0;  ///< time since its launch; 0 if the listing gives none
};

/// A team's quota in the settings.
struct Team {
    std::string name;
    Resources guarantee;  ///< 0: none
    Resources limit;      ///< 0: unlimited
};

/// A service level objective of the settings.
struct Objective {
    std::string kind;
    std::string job_class;  ///< only for the kinds "wait" and "finished"; otherwise empty
    double within_s = 0;    ///< target time; 0 if not set
    double share = 0;       ///< target share; 0 if not set
};

/// Another controller, as listed in the settings.
struct Peer {
    std::string name;
    std::string zone;
    std::string address;
};

/// The settings file, see config/settings.hpp.
struct Settings {
    std::string name;                 ///< of this controller
    std::string zone;                 ///< of this controller
    std::string listen_address;       ///< for users and workers
    std::string peer_listen_address;  ///< for the other controllers
    std::vector<Peer> peers;          ///< the other controllers
    std::string cloud_address;
    std::string store_address;       ///< of the key-value store
    std::vector<std::string> zones;  ///< all zones
    double clock_error_max_s = 0;    ///< largest error of a controller's wall clock
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0;  ///< of the workers
    /// A worker's lease: how long its tasks may run, counted from when it sent the last heartbeat
    /// that was answered.
    double lease_s = 0;
    double gang_start_timeout_s = 0;  ///< how long a gang's task waits for the rest of the gang
    /// Time from the first stop command to a gang's tasks within which all of them must have
    /// theirs, or they can't save a common checkpoint.
    double gang_stop_window_s = 0;
    /// Time from a confirmed cancellation after which no task of the job may still run.
    double cancel_deadline_s = 0;
    double store_requests_per_s = 0;  ///< limit of the store, for all controllers together
    // Each of the next three is the smaller of the limit in force and the announced one, so that
    // what fits it always fits.
    double store_writes_per_s = 0;  ///< puts and deletes, of all controllers together
    double store_value_kb_max = 0;  ///< size of one value, in KiB
    int store_txn_ops_max = 0;      ///< puts and deletes in one transaction
    /// The value size limit in force at start, which records of an earlier version may reach.
    double store_current_value_kb_max = 0;
    double cloud_requests_per_s = 0;  ///< limit of the cloud provider
    double list_lag_s = 0;            ///< usual lag of the cloud provider's listing
    int max_connections = 1000;       ///< sockets of this process
};

}  // namespace cranemoor::core

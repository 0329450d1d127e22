// The vocabulary of the core: jobs, machines, reports and settings, free of any wire format.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cranemoor::core {

// Time as it reaches the core with each input.
struct Now {
    double steady = 0;  // seconds on the process's steady clock
    double wall = 0;    // seconds since the Unix epoch, within the settings' bound of true time
};

using Revision = std::uint64_t;
using Token = std::uint64_t;

enum class JobKind { array, gang, service };
enum class Priority { best_effort, normal, high, production };

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    // Sums of decimal amounts carry rounding errors; a task must not be refused for them.
    static constexpr double slack = 1e-6;

    bool fits_in(const Resources& room) const {
        return cpus <= room.cpus + slack && gpus <= room.gpus + slack &&
               memory_gb <= room.memory_gb + slack;
    }
    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) { return *this += o * -1.0; }
    Resources operator*(double k) const { return {cpus * k, gpus * k, memory_gb * k}; }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
};

struct JobSpec {
    std::string uid;
    std::string job_class;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    int tasks = 1;
    Resources each;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool together = false;
    bool spread = false;
    bool spot = false;
    std::string image;
    double image_gb = 0;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> deadline_s;
    std::vector<std::string> follows;  // jobs that must be done before any of its tasks starts
};

struct TaskId {
    std::string uid;
    int index = 0;
    auto key() const { return std::tie(uid, index); }
    friend bool operator<(const TaskId& a, const TaskId& b) { return a.key() < b.key(); }
    friend bool operator==(const TaskId& a, const TaskId& b) { return a.key() == b.key(); }
    std::string text() const { return uid + "/" + std::to_string(index); }
};

struct TaskIdHash {
    std::size_t operator()(const TaskId& id) const {
        constexpr std::size_t spread = 0x9e3779b97f4a7c15;  // 2^64 over the golden ratio
        return std::hash<std::string>{}(id.uid) + static_cast<std::size_t>(id.index) * spread;
    }
};

enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitReason {
    none,
    done,
    stopped,
    peers_gone,
    incomplete,
    error,
    no_room,
    busy,
    unknown_task,
    other
};

struct TaskStatus {
    TaskId id;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitReason why = ExitReason::none;
    bool saved = false;
};

struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;
    std::uint64_t seq = 0;
    Token token = 0;
    std::optional<double> notice_s;
    std::vector<TaskStatus> tasks;
};

struct Command {
    enum class Kind { start, stop, forget };
    Kind kind = Kind::start;
    TaskId id;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;
    double fetch_gb_per_s = 0;
    double price = 0;
    double spot_price = 0;
    double boot_s = 0;
    std::vector<std::string> zones;
};

enum class ListedState { starting, running, failed };

struct ListedMachine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    ListedState state = ListedState::starting;
    double age_s = 0;
};

struct Team {
    std::string name;
    Resources guarantee;  // 0: none
    Resources limit;      // 0: unlimited
};

struct Objective {
    std::string kind;
    std::string job_class;
    double within_s = 0;
    double share = 0;
};

struct Peer {
    std::string name;
    std::string zone;
    std::string address;
};

// What the platform's settings file says, see config/settings.hpp.
struct Settings {
    std::string name;
    std::string zone;
    std::string serve_on;
    std::string back;
    std::vector<Peer> peers;
    std::string cloud_address;
    std::string state_address;
    std::vector<std::string> zones;
    double clock_off_s = 0;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double report_s = 0;
    double lease_s = 0;
    double gang_wait_s = 0;
    double gang_peer_s = 0;
    double cancel_s = 0;
    double state_rps = 0;
    // The smaller of today's limits and of those that are announced: what fits these always fits.
    double state_write_rps = 0;
    double state_value_kb = 0;
    int state_txn_ops = 0;
    double state_value_kb_today = 0;  // what records of an earlier version may take
    double cloud_rps = 0;
    double list_lag_s = 0;
    int max_connections = 1000;
};

}  // namespace cranemoor::core

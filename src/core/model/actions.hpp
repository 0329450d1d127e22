// What the core returns: calls to make, answers to give, lines to log.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/model/constants.hpp"
#include "core/model/types.hpp"
#include "read_leases/read_leases.hpp"

namespace cranemoor::core {

using Json = nlohmann::json;

struct Condition {
    std::string key;
    Revision revision = 0;  // 0: the key must not exist
};

struct Write {
    std::string key;
    std::optional<Json> value;  // none: delete
    std::uint64_t lease = 0;    // 0: not attached
};

// Which changes go first while the write limit makes some wait.
enum class Urgency {
    first,   // users wait for them, or all work does
    normal,  // work waits for them
    last     // they only tell what everybody will learn in time
};

struct Txn {
    // What it is for, as the log counts it.
    enum class Purpose { other, accept, cancel, claim, end, final, mark, sheet, count };
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    Urgency urgency = Urgency::normal;
    Purpose purpose = Purpose::other;
    std::size_t spared = 0;  // writes that it makes unnecessary
};

struct StoreCall {
    enum class Kind { txn, get, list, watch, grant, renew };
    std::uint64_t id = 0;
    Kind kind = Kind::txn;
    Txn txn;
    std::string key;     // get: the key; list, watch: the prefix
    std::string after;   // list: the key to begin after
    Revision since = 0;  // watch
    std::uint64_t lease = 0;
};

struct Event {
    std::string key;
    std::optional<Json> value;  // none: deleted
    Revision revision = 0;
};

struct StoreReply {
    enum class Status {
        ok,
        conflict,   // a condition did not hold
        not_found,  // no such key or lease
        compacted,  // a watch began too far back
        refused,    // not executed: overloaded or out of service
        bad,        // malformed, or an ended lease
        unknown     // may have been executed, may yet be
    };
    Status status = Status::unknown;
    Revision revision = 0;
    std::vector<std::string> failed;
    Json value;
    std::uint64_t lease = 0;
    std::vector<Event> events;  // list and watch
    bool more = false;
};

struct CloudCall {
    enum class Kind { types, launch, release, list };
    std::uint64_t id = 0;
    Kind kind = Kind::list;
    std::string request;  // launch: its name, the idempotency key
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
    std::vector<std::string> machines;  // release
    std::string after;                  // list
};

struct CloudReply {
    enum class Status { ok, no_capacity, refused, bad, unknown };
    Status status = Status::unknown;
    std::vector<MachineType> types;
    std::vector<std::string> machines;
    std::vector<ListedMachine> listed;
    bool more = false;
};

struct UserReply {
    std::uint64_t request = 0;
    int status = 503;
    std::string uid;
    std::string state;                          // queued, running, done, cancelled
    std::optional<std::pair<int, int>> counts;  // done, running
    std::string error;
    int retry_after_s = constants::retry_after_s;  // with 503
};

struct WorkerReply {
    std::uint64_t request = 0;
    int status = 503;
    Token token = 0;
    std::string home;  // with 421
    std::vector<Command> commands;
};

// Commands sent to a worker's own address; without commands it raises the token. An agent
// epoch of 0 asks for the status only.
struct WorkerCommandCall {
    std::uint64_t id = 0;
    std::string machine;
    std::string address;
    Token token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<Command> commands;
};

struct WorkerCommandReply {
    bool answered = false;
    bool executed = false;
    std::optional<Heartbeat> heartbeat;
};

/// A launch request of the leader, as it tells its peers: still open, or what it launched.
struct LaunchNotice {
    std::string request;  ///< its name, the idempotency key at the cloud provider
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;                      ///< machines asked for
    bool open = true;                   ///< without a final answer of the provider yet
    std::vector<std::string> machines;  ///< once answered: the machines launched
};

// What a member runs short of, as it tells the others.
struct PressureSample {
    double write_wait_s = 0;  // that a change waits for its answer
    double writes = 0;        // puts and deletes a second, with those spared by sharing records
};

// A cancellation as one controller hands it to another, without the records.
struct Cancellation {
    std::string uid;
    double wall = 0;  // when it was asked for
};

// What goes with a heartbeat about leases; with a full lease all cancellations known to the sender.
struct LeaseHeartbeat {
    read_leases::Heartbeat heartbeat;
    std::vector<Cancellation> cancelled;
};

// A message to a peer; relays carry a report and expect a worker's answer.
struct PeerCall {
    std::uint64_t id = 0;
    std::string peer;
    bool state_contact = false;
    std::optional<Heartbeat> relay;
    std::vector<LaunchNotice> launches;
    std::optional<PressureSample> pressure;
    std::optional<LeaseHeartbeat> lease;
};

struct LogLine {
    enum class Level { error, info, debug };
    Level level = Level::info;
    std::string text;
};

using Action = std::variant<StoreCall, CloudCall, UserReply, WorkerReply, WorkerCommandCall,
                            PeerCall, LogLine>;

}  // namespace cranemoor::core

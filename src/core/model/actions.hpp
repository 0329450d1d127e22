/// Actions that the core returns to its caller, and the replies to them: calls to the key-value
/// store, the cloud provider, workers and peers, replies to requests, and log lines.
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

/// Compare-and-swap condition: the key must have been last written at this revision.
struct Condition {
    std::string key;
    Revision revision = 0;  ///< 0: the key must not exist
};

/// Puts or deletes one key.
struct Write {
    std::string key;
    std::optional<Json> value;  ///< null: deletes the key
    std::uint64_t lease = 0;    ///< the key is deleted when this lease ends; 0: no lease
};

/// The order in which queued transactions are sent while the store's limits delay some of them.
enum class Urgency {
    high,    ///< a user's request or all scheduling waits for it
    normal,  ///< some tasks or machines wait for it
    low      ///< nothing waits for it: it only records what others learn later anyway
};

/// A transaction of the key-value store: all writes are applied if all conditions hold, else none.
struct Txn {
    /// What it is for; the log counts writes by purpose. `count` is the number of purposes.
    enum class Purpose {
        other,
        accept,
        cancel,
        claim,
        task_exit,
        final,  ///< of a job's final state
        release_mark,
        claim_batch,
        count
    };
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    Urgency urgency = Urgency::normal;
    Purpose purpose = Purpose::other;
    std::size_t writes_avoided = 0;  ///< writes saved by batching them into this transaction
};

/// A call to the key-value store.
struct StoreCall {
    enum class Kind {
        txn,
        get,
        list,
        watch,
        grant,  ///< grants a new lease
        renew   ///< renews a lease
    };
    std::uint64_t id = 0;  ///< matches the reply to the call
    Kind kind = Kind::txn;
    Txn txn;
    std::string key;          ///< get: the key; list, watch: the prefix
    std::string after;        ///< list: the last key of the page before; empty: the first page
    Revision since = 0;       ///< watch: the revision after which changes are returned
    std::uint64_t lease = 0;  ///< renew
};

/// A change of a key, or a key and its value in a listing.
struct Event {
    std::string key;
    std::optional<Json> value;  ///< null: deleted
    Revision revision = 0;
};

/// Reply of the key-value store.
struct StoreReply {
    enum class Status {
        ok,
        conflict,     ///< a condition did not hold
        not_found,    ///< no such key or lease
        compacted,    ///< the changes after the watch's revision are no longer kept
        refused,      ///< not executed: overloaded, out of service, or not sent in time
        bad_request,  ///< not executed: malformed or too large, or the lease of a write has ended
        unknown       ///< the call may have been executed, or may still be
    };
    Status status = Status::unknown;
    Revision revision = 0;                 ///< of the store; 0 if the reply gives none
    std::vector<std::string> failed_keys;  ///< conflict: keys whose condition did not hold
    Json value;                            ///< get
    std::uint64_t lease = 0;               ///< grant: the new lease
    std::vector<Event> events;             ///< list and watch
    bool has_more = false;                 ///< list: further pages follow
};

/// A call to the cloud provider.
struct CloudCall {
    enum class Kind { types, launch, release, list };
    std::uint64_t id = 0;  ///< matches the reply to the call
    Kind kind = Kind::list;
    std::string request;  ///< launch: the request's name, which is its idempotency key
    std::string type;     ///< launch: name of the machine type
    std::string zone;
    bool spot = false;
    int count = 0;                      ///< launch: machines asked for
    std::vector<std::string> machines;  ///< release: names of the machines
    std::string after;  ///< list: the last machine of the page before; empty: the first page
};

/// Reply of the cloud provider.
struct CloudReply {
    enum class Status {
        ok,
        no_capacity,  ///< launch: the provider has no such machines now
        refused,      ///< not executed: rate limit
        bad_request,  ///< not executed: malformed
        unknown       ///< the call may have been executed, or may still be
    };
    Status status = Status::unknown;
    std::vector<MachineType> types;     ///< types
    std::vector<std::string> machines;  ///< launch: names of the machines launched
    std::vector<ListedMachine> listed;  ///< list
    bool has_more = false;              ///< list: further pages follow
};

/// Reply to a user's request.
struct UserReply {
    std::uint64_t request = 0;  ///< id of the request
    int status = 503;           ///< HTTP status code
    std::string uid;            ///< of the job; empty: left out
    std::string state;          ///< queued, running, done, cancelled; empty: left out
    std::optional<std::pair<int, int>> counts;     ///< tasks done and running; null: left out
    std::string error;                             ///< empty: none
    int retry_after_s = constants::retry_after_s;  ///< only sent with status 503
};

/// Reply to a worker's heartbeat.
struct WorkerReply {
    std::uint64_t request = 0;  ///< id of the request
    int status = 503;           ///< HTTP status code
    Token token = 0;            ///< this controller's fencing token, with status 200
    std::string owner;          ///< with status 421: name of the machine's owner; empty: unknown
    std::vector<Command> commands;
};

/// Direct command: sent to the worker's own address. Without commands it raises the worker's
/// fencing token; an agent epoch of 0 asks for the status only.
struct WorkerCommandCall {
    std::uint64_t id = 0;  ///< matches the reply to the call
    std::string machine;   ///< name of the machine
    std::string address;
    Token token = 0;
    std::uint64_t agent_epoch = 0;
    std::vector<Command> commands;
};

/// Reply of a worker to a direct command.
struct WorkerCommandReply {
    bool answered = false;               ///< the worker sent any HTTP response
    bool executed = false;               ///< the response has status 200
    std::optional<Heartbeat> heartbeat;  ///< from the response; null: none that can be decoded
};

/// A launch request of the leader, as sent to its peers: still open, or with what it launched.
struct LaunchNotice {
    std::string request;  ///< its name, the idempotency key at the cloud provider
    std::string type;     ///< name of the machine type
    std::string zone;
    bool spot = false;
    int count = 0;                      ///< machines asked for
    bool open = true;                   ///< the provider has not given a final answer yet
    std::vector<std::string> machines;  ///< once answered: the machines launched
};

/// Write load of a controller, as sent to its peers.
struct OverloadSample {
    double write_wait_s = 0;  ///< how long a transaction waits for its reply
    double writes_per_s = 0;  ///< puts and deletes, including those avoided by batching
};

/// A cancellation that one controller hands over to another, without the job's records.
struct Cancellation {
    std::string uid;            ///< of the job
    double cancelled_wall = 0;  ///< when it was requested, in seconds since the Unix epoch
};

/// The read lease part of a heartbeat between controllers.
struct LeaseHeartbeat {
    read_leases::Heartbeat heartbeat;
    std::vector<Cancellation> cancelled;  ///< with a full grant: all that the sender knows
};

/// A message to a peer: a heartbeat, launch notices, or a worker's heartbeat relayed to its owner,
/// which is answered with a `WorkerReply`.
struct PeerCall {
    std::uint64_t id = 0;            ///< matches the reply to the call
    std::string peer;                ///< name of the receiver
    bool has_store_contact = false;  ///< the key-value store answers the sender
    std::optional<Heartbeat> relayed_heartbeat;
    std::vector<LaunchNotice> launches;
    std::optional<OverloadSample> overload_sample;  ///< null: left out
    std::optional<LeaseHeartbeat> lease;            ///< null: left out
};

/// A line for the log.
struct LogLine {
    enum class Level { error, info, debug };
    Level level = Level::info;
    std::string text;
};

/// What the caller of the core must do.
using Action = std::variant<StoreCall, CloudCall, UserReply, WorkerReply, WorkerCommandCall,
                            PeerCall, LogLine>;

}  // namespace cranemoor::core

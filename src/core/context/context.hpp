/// Context: the state that the core's subsystems share: settings, time, the local replica of the
/// durable records, the actions that the caller must do, and the completions of calls in flight.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/context/pending_calls.hpp"
#include "core/model/actions.hpp"
#include "core/model/constants.hpp"
#include "core/model/types.hpp"
#include "core/overload/overload_detector.hpp"
#include "core/store/job_store.hpp"

namespace cranemoor::core {

/// Shared by all subsystems of one controller. Completions of calls in flight refer to it, so it
/// must not be moved.
class Context {
  public:
    using StoreCalls = PendingCalls<StoreReply>;
    using CloudCalls = PendingCalls<CloudReply>;
    using WorkerCommandCalls = PendingCalls<WorkerCommandReply>;
    using PeerCalls = PendingCalls<bool, std::optional<WorkerReply>>;

    /// `boot_id`: process incarnation id, unique to this start of the process.
    Context(Settings settings, Tunables tunables, std::string boot_id);

    /// Sends a call to the key-value store; `done` is called with its reply.
    void call_store(StoreCall call, StoreCalls::Completion done);
    /// Sends a compare-and-swap transaction to the key-value store; `done` is called with its
    /// reply.
    void send_txn(Txn txn, StoreCalls::Completion done);
    /// Sends a call to the cloud provider; `done` is called with its reply.
    void call_cloud(CloudCall call, CloudCalls::Completion done);
    /// Sends a direct command to a worker's own address; `done` is called with its reply.
    void call_worker(WorkerCommandCall call, WorkerCommandCalls::Completion done);
    /// Sends a message to another controller; `done` is called with whether it answered, and with
    /// the reply to the worker if the message relayed a heartbeat.
    void call_peer(PeerCall call, PeerCalls::Completion done);

    template <typename... Arguments>
    void info(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
        actions.emplace_back(LogLine{LogLine::Level::info,
                                     fmt::format(format, std::forward<Arguments>(arguments)...)});
    }
    template <typename... Arguments>
    void debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
        actions.emplace_back(LogLine{LogLine::Level::debug,
                                     fmt::format(format, std::forward<Arguments>(arguments)...)});
    }
    template <typename... Arguments>
    void error(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
        actions.emplace_back(LogLine{LogLine::Level::error,
                                     fmt::format(format, std::forward<Arguments>(arguments)...)});
    }

    /// Runs `read`, which decodes the record of that key. Returns false, with an error line that
    /// names the record, if it can't be read: what it says is unknown then, so nothing may be
    /// decided from its absence.
    template <typename Read>
    bool read_record(const std::string& key, Revision revision, Read read) {
        try {
            read();
            return true;
        } catch (const std::exception& unreadable) {
            error("record {} at revision {} in the key-value store can't be read: {}", key,
                  revision, unreadable.what());
            return false;
        }
    }

    /// Runs the completion of the call with that id; replies to unknown ids are ignored.
    void store_reply(std::uint64_t id, const StoreReply& reply);
    void cloud_reply(std::uint64_t id, const CloudReply& reply) {
        cloud_calls_.complete(id, reply);
    }
    void worker_command_reply(std::uint64_t id, const WorkerCommandReply& reply) {
        worker_command_calls_.complete(id, reply);
    }
    void peer_reply(std::uint64_t id, bool answered, const std::optional<WorkerReply>& reply) {
        peer_calls_.complete(id, answered, reply);
    }

    /// Runs `then` once the replica is complete and has reached the revision, at once if it has
    /// already.
    void when_replica_reaches(Revision revision, std::function<void()> then);
    /// Runs `then` when a transaction is settled: once the replica shows its writes or the writes
    /// that it conflicted with, or at once if nothing is known to have been written.
    void when_settled(const StoreReply& reply, std::function<void()> then);
    /// Runs the callbacks that waited for a revision which the replica has reached by now.
    void run_due_callbacks();

    /// Size limit of a value in bytes: a share (`constants::value_limit_share`) of the smaller one
    /// of the key-value store's limit in force and its announced limit.
    std::size_t value_bytes_max() const;
    /// Size limit in bytes of values that an earlier version wrote: from the limit in force at
    /// start, until a rejection shows that the announced limits are in force.
    std::size_t current_value_bytes_max() const;
    /// Most puts and deletes in one transaction.
    std::size_t txn_ops_max() const;
    /// Most conditions in one transaction.
    std::size_t txn_conditions_max() const;
    /// Whether every controller has run a version that understands records of this level; from then
    /// on, records are written that earlier versions would misread. Every controller in the
    /// settings counts, member or not: one that fails before its upgrade may return with the old
    /// version.
    bool all_controllers_support(FeatureLevel level = FeatureLevel::dependencies) const;

    /// The condition that no newer epoch than the replica's has been written.
    Condition epoch_condition() const;

    const Settings settings;
    const Tunables tunables;
    const std::string boot_id;
    Now now;                      ///< time of the input that is being handled
    JobStore jobs;                ///< the local replica of the key-value store's records
    OverloadDetector overload;    ///< measures the load on this process's writes
    std::vector<Action> actions;  ///< what the next Controller::take_actions() returns

    /// Whether the replica equals the state of the key-value store at some revision. It does not
    /// during a full read, page by page: a job whose record has not been read yet seems not to
    /// exist, and its blocks seem to be left over. Set by ReplicaSync and Membership.
    bool replica_complete = false;
    /// This process as a member; id 0 before its first epoch. Set by LeaderElection.
    Member self;
    /// Whether this process is a member of the current epoch. Set by LeaderElection.
    bool is_member = false;
    /// The fencing token: the number of the newest epoch read. Workers reject any controller whose
    /// token is lower than one that they have seen. Set by LeaderElection.
    Token fencing_token = 0;
    /// Uids of jobs with a block record that is too large to be written; see OversizedBlockSplit.
    std::set<std::string> jobs_to_split;
    /// Number of cordon batches that this process has written; part of their records' keys.
    std::uint64_t cordon_batches_written = 0;
    /// Keys of blocks with a write of this process in flight: no second one is sent until it is
    /// settled.
    std::set<std::string> block_writes_in_flight;

  private:
    std::uint64_t last_call_id_ = 0;
    StoreCalls store_calls_;
    CloudCalls cloud_calls_;
    WorkerCommandCalls worker_command_calls_;
    PeerCalls peer_calls_;
    std::multimap<Revision, std::function<void()>> callbacks_by_revision_;
    // A value above the announced limit was rejected: the announced limits are in force.
    bool announced_limits_in_force_ = false;
};

}  // namespace cranemoor::core

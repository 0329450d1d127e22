// Context: what the core's subsystems share: settings, time, the replica of the durable records,
// the actions on their way out and the completions of the calls among them.
#pragma once

#include <fmt/format.h>

#include <cstdint>
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

/// Shared by all subsystems of one controller. Completions of calls in flight refer to it.
class Context {
  public:
    using StoreCalls = PendingCalls<StoreReply>;
    using CloudCalls = PendingCalls<CloudReply>;
    using WorkerCommandCalls = PendingCalls<WorkerCommandReply>;
    using PeerCalls = PendingCalls<bool, std::optional<WorkerReply>>;

    /// `boot_id` tells this start of the process from every other one.
    Context(Settings settings, Tunables tunables, std::string boot_id);

    /// Sends a call to the key-value store; `done` gets its reply.
    void state(StoreCall call, StoreCalls::Completion done);
    /// Sends a compare-and-swap transaction to the key-value store; `done` gets its reply.
    void txn(Txn txn, StoreCalls::Completion done);
    /// Sends a call to the cloud; `done` gets its reply.
    void cloud(CloudCall call, CloudCalls::Completion done);
    /// Sends commands to a worker's own address; `done` gets its reply.
    void worker_command(WorkerCommandCall call, WorkerCommandCalls::Completion done);
    /// Sends a message to another controller; `done` gets whether it answered, and the worker's
    /// reply if the message relayed a heartbeat.
    void peer(PeerCall call, PeerCalls::Completion done);

    template <typename... A>
    void info(fmt::format_string<A...> format, A&&... arguments) {
        out.emplace_back(
            LogLine{LogLine::Level::info, fmt::format(format, std::forward<A>(arguments)...)});
    }
    template <typename... A>
    void debug(fmt::format_string<A...> format, A&&... arguments) {
        out.emplace_back(
            LogLine{LogLine::Level::debug, fmt::format(format, std::forward<A>(arguments)...)});
    }
    template <typename... A>
    void error(fmt::format_string<A...> format, A&&... arguments) {
        out.emplace_back(
            LogLine{LogLine::Level::error, fmt::format(format, std::forward<A>(arguments)...)});
    }

    /// The replies to the calls sent; those to unknown ids are ignored.
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

    /// Runs `then` once the replica has reached a revision.
    void when_at(Revision revision, std::function<void()> then);
    /// Runs `then` when a transaction is settled: once the replica shows what it or its rival
    /// wrote, or at once where nothing is known to have been written.
    void when_settled(const StoreReply& reply, std::function<void()> then);
    /// Runs what waited for a revision that the replica has reached by now.
    void run_waiting();

    /// Bytes that a value may take, under the smaller of the key-value store's limits.
    std::size_t value_max() const;
    /// The same for records of the version before, as long as the old limit may hold.
    std::size_t value_max_today() const;
    /// Puts and deletes that a transaction may hold.
    std::size_t ops_max() const;
    /// Conditions that a transaction may hold.
    std::size_t conditions_max() const;
    /// Whether every controller has run a version that understands records of this level. From then
    /// on records are used that the versions before would misread: one that dies before its upgrade
    /// and comes back old holds that up, and is named here by its settings, not by who happens to
    /// be a member.
    bool upgraded(FeatureLevel level = FeatureLevel::dependencies) const;

    /// The condition that no newer epoch than the replica's has been written.
    Condition epoch_condition() const;

    const Settings settings;
    const Tunables tunables;
    const std::string boot_id;
    Now now;                    // time of the input that is being handled
    JobStore jobs;              // the replica of the key-value store's records
    OverloadDetector overload;  // how scarce writes are for this process
    std::vector<Action> out;    // actions that Controller::take_actions() will return

    // Whether the replica is what the store held at some revision. It is not while everything is
    // read anew, page by page: a job whose record is still to come looks as if it were none, and
    // its blocks as if they had outlived it. Kept by ReplicaSync and Membership.
    bool replica_complete = false;
    // This process as a member; id 0 before its first epoch. Kept by LeaderElection.
    Member self;
    // Whether this process is a member of the current epoch. Kept by LeaderElection.
    bool is_member = false;
    // The fencing token: the number of the newest epoch read. Workers turn away any controller
    // whose token is older than one they have seen. Kept by LeaderElection.
    Token fencing_token = 0;
    // Jobs one of whose block records has become too large to be put: see OversizedBlockSplit.
    std::set<std::string> jobs_to_split;
    // Records of marked machines that this process wrote, as part of their keys.
    std::uint64_t mark_records_written = 0;
    // Block keys with a write of ours in flight: no second one is made until it is settled.
    std::set<std::string> blocks_in_flight;

  private:
    std::uint64_t next_id_ = 0;
    StoreCalls store_calls_;
    CloudCalls cloud_calls_;
    WorkerCommandCalls worker_command_calls_;
    PeerCalls peer_calls_;
    std::multimap<Revision, std::function<void()>> waiting_for_revision_;
    // A value that only the old limits allow was refused: the announced ones are in force.
    bool announced_limits_in_force_ = false;
};

}  // namespace cranemoor::core

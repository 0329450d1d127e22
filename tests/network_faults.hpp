// Faults that a test injects between the controllers and everything that they talk to.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "core/model/actions.hpp"

namespace cranemoor::test {

/// Faults of the simulated network and services; a test may change each at any time. Nodes are
/// named by their index.
struct NetworkFaults {
    /// The key-value store refuses every request.
    bool store_down = false;
    /// The cloud answers nothing.
    bool cloud_down = false;
    /// Nodes that the key-value store refuses.
    std::set<int> nodes_refused_by_store;
    /// Nodes that no worker reaches and that reach no worker.
    std::set<int> nodes_cut_from_workers;
    /// Pairs of nodes, the lower index first, that don't reach each other.
    std::set<std::pair<int, int>> cut_peer_links;
    /// Nodes whose peer heartbeats lack read leases, as those of the version before.
    std::set<int> nodes_without_read_leases;

    /// Probability that a reply of the key-value store or of the cloud is lost.
    double lost_reply_probability = 0;
    /// Probability that a transaction is executed seconds late, without a reply.
    double delayed_transaction_probability = 0;
    /// Probability that a copy of a worker's heartbeat arrives once more, late.
    double duplicated_heartbeat_probability = 0;
    /// Probability that a copy of a worker's heartbeat is recorded for replay.
    double recorded_heartbeat_probability = 0;
    /// Seconds until a reply of the key-value store is sent.
    double store_reply_delay_s = 0;

    /// Seconds until a transaction is executed; one that is held is not answered. May be empty.
    std::function<double(const core::Txn&)> transaction_hold_s;
    /// Seconds from a transaction's execution to its reply; from the client's timeout on there is
    /// none. May be empty.
    std::function<double(const core::Txn&)> transaction_reply_delay_s;
    /// Seconds until a transaction is executed and answered. May be empty.
    std::function<double(const core::Txn&)> transaction_delay_s;
    /// Whether a transaction is refused as if it were over the rate limit. May be empty.
    std::function<bool(const core::Txn&)> refuse_transaction;
};

}  // namespace cranemoor::test

/// Faults that a test injects between the controllers and the services, workers and peers.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include "core/model/actions.hpp"

namespace cranemoor::test {

/// Faults of the simulated network and services; a test may change each at any time. Nodes are
/// identified by their index.
struct NetworkFaults {
    /// The key-value store refuses every request.
    bool store_down = false;
    /// The cloud answers no call.
    bool cloud_down = false;
    /// Nodes whose requests the key-value store refuses.
    std::set<int> nodes_refused_by_store;
    /// Nodes without a connection to any worker, in either direction.
    std::set<int> nodes_cut_from_workers;
    /// Pairs of nodes, the lower index first, without a connection to each other.
    std::set<std::pair<int, int>> cut_peer_links;
    /// Nodes whose peer heartbeats lack read leases, as in the previous version.
    std::set<int> nodes_without_read_leases;

    /// Probability that a reply of the key-value store or of the cloud is lost.
    double lost_reply_probability = 0;
    /// Probability that a transaction is executed seconds late and its reply is lost.
    double delayed_transaction_probability = 0;
    /// Probability that a worker's heartbeat arrives a second time, late.
    double duplicated_heartbeat_probability = 0;
    /// Probability that a worker's heartbeat is recorded for replay.
    double recorded_heartbeat_probability = 0;
    /// Seconds from the execution of a key-value store call until its reply is sent.
    double store_reply_delay_s = 0;

    /// Seconds that a transaction is held before its execution; the reply to a held one is lost.
    /// May be empty.
    std::function<double(const core::Txn&)> transaction_hold_s;
    /// Seconds from a transaction's execution to its reply, which is lost if that reaches the
    /// client's timeout. May be empty.
    std::function<double(const core::Txn&)> transaction_reply_delay_s;
    /// Additional seconds until a transaction is executed and answered. May be empty.
    std::function<double(const core::Txn&)> transaction_delay_s;
    /// Whether a transaction is refused as if it exceeded the rate limit. May be empty.
    std::function<bool(const core::Txn&)> refuse_transaction;
};

}  // namespace cranemoor::test

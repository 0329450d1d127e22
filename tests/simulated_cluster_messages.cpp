// Messages of the controllers and workers of a simulated cluster, with delays, losses and replies.
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "core/model/constants.hpp"
#include "simulated_cluster.hpp"

namespace cranemoor::test {

namespace {
// Time after which the key-value store answers a watch without events.
constexpr double watch_timeout_s = 8;
// Time after which a call of a controller times out.
constexpr double call_timeout_s = 2;
// Time after which a call to a peer times out.
constexpr double peer_timeout_s = 1;
// Time after which a worker tries the next node: if a node does not answer, and if it cannot be
// reached.
constexpr double heartbeat_timeout_s = 4;
constexpr double unreachable_timeout_s = 1;
// Delay of a worker's next heartbeat after a reply that names another node, and after a failure.
constexpr double redirect_delay_s = 0.2;
constexpr double retry_delay_s = 1;
// Time within which a worker sends the next heartbeat after it receives a new fencing token.
constexpr double new_token_heartbeat_delay_max_s = 0.5;
// Minimum duration of a call to the cloud.
constexpr double cloud_call_min_s = 0.1;
constexpr int http_ok = 200;
constexpr int http_misdirected = 421;

int node_of(const std::string& name) {
    return std::stoi(name.substr(1));
}
}  // namespace

void SimulatedCluster::perform_actions(int node) {
    auto& controller = at(node).controller;
    while (controller) {
        auto actions = controller->take_actions();
        if (actions.empty()) {
            return;
        }
        for (const auto& action : actions) {
            perform(node, action);
        }
    }
}

void SimulatedCluster::perform(int node, const Action& action) {
    if (const auto* store_call = std::get_if<StoreCall>(&action)) {
        send(node, *store_call);
    } else if (const auto* cloud_call = std::get_if<CloudCall>(&action)) {
        send(node, *cloud_call);
    } else if (const auto* direct_call = std::get_if<WorkerCommandCall>(&action)) {
        send(node, *direct_call);
    } else if (const auto* peer_call = std::get_if<PeerCall>(&action)) {
        send(node, *peer_call);
    } else if (const auto* worker_reply = std::get_if<WorkerReply>(&action)) {
        send(*worker_reply);
    } else if (const auto* user_reply = std::get_if<UserReply>(&action)) {
        log_reply(node, *user_reply);
        users.receive(*user_reply);
    } else if (const auto* line = std::get_if<LogLine>(&action)) {
        log_lines.push_back(fmt::format("{:.3f} n{} {}", now(), node, line->text));
    }
}

void SimulatedCluster::log_reply(int node, const UserReply& reply) {
    log_lines.push_back(fmt::format("{:.3f} n{} reply {} to {}: {} {} {}", now(), node,
                                    reply.request, reply.uid, reply.status, reply.state,
                                    reply.error));
}

// --- key-value store

void SimulatedCluster::send(int node, const StoreCall& call) {
    int generation = at(node).generation;
    if (call.kind == StoreCall::Kind::watch) {
        watches_.push_back({node, generation, call.id, call.since, now() + watch_timeout_s});
        return;
    }
    bool is_txn = call.kind == StoreCall::Kind::txn;
    double hold_s = is_txn && faults.transaction_hold_s ? faults.transaction_hold_s(call.txn) : 0;
    bool is_late =
        hold_s > 0 || (is_txn && simulation.chance(faults.delayed_transaction_probability));
    double reply_s =
        is_txn && faults.transaction_reply_delay_s ? faults.transaction_reply_delay_s(call.txn) : 0;
    bool is_lost = is_late || simulation.chance(faults.lost_reply_probability) ||
                   reply_s >= constants::store_timeout_s;
    double wait_s = hold_s;
    if (hold_s <= 0 && is_late) {
        wait_s = simulation.uniform(2, 12);  // executed after later ones of the same node
    } else if (hold_s <= 0) {
        wait_s = simulation.message_delay();
        wait_s += is_txn && faults.transaction_delay_s ? faults.transaction_delay_s(call.txn) : 0;
    }
    simulation.schedule_after(wait_s, [=, this] {
        StoreReply reply;
        bool is_refused =
            faults.store_down || faults.nodes_refused_by_store.contains(node) ||
            (is_txn && faults.refuse_transaction && faults.refuse_transaction(call.txn));
        if (is_refused) {
            reply.status = StoreReply::Status::refused;
        } else {
            reply = store.execute(call);
        }
        if (!is_lost) {
            double delay_s = faults.store_reply_delay_s + reply_s + simulation.message_delay();
            simulation.schedule_after(
                delay_s, [=, this] { reply_to_store_call(node, generation, call.id, reply); });
        }
    });
    if (is_lost) {
        simulation.schedule_after(call_timeout_s, [=, this] {
            reply_to_store_call(node, generation, call.id, StoreReply{});
        });
    }
}

void SimulatedCluster::reply_to_store_call(int node, int generation, std::uint64_t id,
                                           const StoreReply& reply) {
    deliver(node, generation,
            [=, this](Controller& controller) { controller.store_reply(time(), id, reply); });
}

void SimulatedCluster::serve_watches() {
    if (faults.store_down) {
        return;
    }
    for (const auto& watch : std::exchange(watches_, {})) {
        serve_watch(watch);
    }
}

// Answers a watch that has events or has reached its timeout, and keeps any other open.
void SimulatedCluster::serve_watch(Watch watch) {
    bool is_refused = faults.nodes_refused_by_store.contains(watch.node);
    StoreReply reply;
    if (watch.since < store.compacted_revision() && !is_refused) {
        reply.status = StoreReply::Status::compacted;
        simulation.schedule_after(simulation.message_delay(), [=, this] {
            reply_to_store_call(watch.node, watch.generation, watch.id, reply);
        });
        return;
    }
    watch.was_refused = watch.was_refused || is_refused;
    std::vector<Event> events = store.changes_since(watch.since);
    if (is_refused || (now() < watch.ends_at_s && (events.empty() || watch.was_refused))) {
        watches_.push_back(watch);
        return;
    }
    reply.status = StoreReply::Status::ok;
    reply.revision = store.revision();
    reply.events = std::move(events);
    simulation.schedule_after(faults.store_reply_delay_s + simulation.message_delay(), [=, this] {
        reply_to_store_call(watch.node, watch.generation, watch.id, reply);
    });
}

// --- cloud

void SimulatedCluster::send(int node, const CloudCall& call) {
    int generation = at(node).generation;
    simulation.schedule_after(cloud_call_min_s + simulation.message_delay(), [=, this] {
        CloudReply reply;
        if (!faults.cloud_down) {
            reply = cloud.execute(call);
        }
        if (simulation.chance(faults.lost_reply_probability)) {
            reply = {};
        }
        double wait_s = call.kind == CloudCall::Kind::launch ? cloud.launch_reply_delay_s : 0;
        simulation.schedule_after(wait_s + simulation.message_delay(), [=, this] {
            deliver(node, generation, [=, this](Controller& controller) {
                controller.cloud_reply(time(), call.id, reply);
            });
        });
    });
}

// --- direct calls to workers

bool SimulatedCluster::reaches_worker(int node, const FakeWorker& worker) const {
    return !worker.deleted && !worker.is_unreachable && !worker.loses_replies &&
           now() >= worker.booted_at_s && (worker.only_node < 0 || worker.only_node == node) &&
           !faults.nodes_cut_from_workers.contains(node);
}

// False if the fencing token is lower than the worker's or the agent epoch is 0 or not the
// worker's.
bool SimulatedCluster::execute_direct_call(const WorkerCommandCall& call) {
    FakeWorker& worker = machines[call.address];
    if (call.agent_epoch == 0 || call.token < worker.fencing_token ||
        call.agent_epoch != worker.agent_epoch) {
        return false;
    }
    worker.fencing_token = call.token;
    for (const auto& command : call.commands) {
        workers.execute(worker, command);
    }
    return true;
}

void SimulatedCluster::send(int node, const WorkerCommandCall& call) {
    int generation = at(node).generation;
    simulation.schedule_after(simulation.message_delay(), [=, this] {
        WorkerCommandReply reply;
        auto it = machines.find(call.address);
        bool is_connected = it != machines.end() && reaches_worker(node, it->second);
        bool is_answered = is_connected && !it->second.is_hung;
        if (is_answered) {
            reply.answered = true;
            reply.executed = execute_direct_call(call);
            reply.heartbeat = FakeWorkers::make_heartbeat(it->second);
        } else if (is_connected) {
            it->second.deferred_commands.emplace_back([=, this] { execute_direct_call(call); });
        }
        double wait_s = is_answered ? simulation.message_delay() : call_timeout_s;
        simulation.schedule_after(wait_s, [=, this] {
            deliver(node, generation, [=, this](Controller& controller) {
                controller.worker_command_reply(time(), call.id, reply);
            });
        });
    });
}

// --- peers

void SimulatedCluster::send(int node, const PeerCall& call) {
    int generation = at(node).generation;
    int peer = node_of(call.peer);
    bool is_cut = faults.cut_peer_links.contains({std::min(node, peer), std::max(node, peer)});
    if (is_cut || !is_alive(peer)) {
        simulation.schedule_after(peer_timeout_s, [=, this] {
            deliver(node, generation, [=, this](Controller& controller) {
                controller.peer_reply(time(), call.id, false, std::nullopt);
            });
        });
        return;
    }
    int peer_generation = at(peer).generation;
    simulation.schedule_after(simulation.message_delay(), [=, this] {
        deliver(peer, peer_generation, [=, this](Controller& controller) {
            PeerCall message = call;
            if (faults.nodes_without_read_leases.contains(node)) {
                message.lease.reset();
            }
            controller.peer_message(time(), node_name(node), message);
            if (call.relayed_heartbeat) {
                relay_heartbeat(node, generation, call, controller);
            }
        });
    });
}

// Passes a worker's heartbeat from the node that received it to the one that handles it.
void SimulatedCluster::relay_heartbeat(int node, int generation, const PeerCall& call,
                                       Controller& receiver) {
    std::uint64_t request = simulation.new_request_id();
    worker_reply_handlers_[request] = [=, this](const WorkerReply& reply) {
        simulation.schedule_after(simulation.message_delay(), [=, this] {
            deliver(node, generation, [=, this](Controller& controller) {
                controller.peer_reply(time(), call.id, true, reply);
            });
        });
    };
    receiver.handle_heartbeat(time(), request, *call.relayed_heartbeat, true);
}

// --- heartbeats of workers

void SimulatedCluster::step_workers() {
    for (auto& [name, worker] : machines) {
        if (workers.step(worker)) {
            send_heartbeat(worker);
        }
    }
}

void SimulatedCluster::send_heartbeat(FakeWorker& worker) {
    worker.in_flight = true;
    worker.sent_at_s = now();
    worker.next_heartbeat_at_s = now() + settings.heartbeat_interval_s;
    Heartbeat heartbeat = FakeWorkers::make_heartbeat(worker);
    int node = static_cast<int>(worker.target_node);
    bool is_lost = worker.is_unreachable || worker.loses_heartbeats ||
                   (worker.only_node >= 0 && worker.only_node != node) ||
                   faults.nodes_cut_from_workers.contains(node) || !is_alive(node);
    if (!is_lost && simulation.chance(faults.duplicated_heartbeat_probability)) {
        duplicate_heartbeat(node, heartbeat);
    }
    if (!is_lost && simulation.chance(faults.recorded_heartbeat_probability)) {
        recorded_heartbeats_.push_back(heartbeat);
    }
    if (!is_lost) {
        deliver_heartbeat(worker, heartbeat);
    }
    time_out_heartbeat(worker.info.name, worker.sent_at_s,
                       is_lost ? unreachable_timeout_s : heartbeat_timeout_s);
}

void SimulatedCluster::deliver_heartbeat(const FakeWorker& worker, const Heartbeat& heartbeat) {
    int node = static_cast<int>(worker.target_node);
    int generation = at(node).generation;
    std::string machine = worker.info.name;
    std::uint64_t agent_epoch = worker.agent_epoch;
    double sent_at_s = worker.sent_at_s;
    simulation.schedule_after(simulation.message_delay(), [=, this] {
        deliver(node, generation, [=, this](Controller& controller) {
            std::uint64_t request = simulation.new_request_id();
            worker_reply_handlers_[request] = [=, this](const WorkerReply& reply) {
                simulation.schedule_after(simulation.message_delay(), [=, this] {
                    receive_worker_reply(machine, agent_epoch, sent_at_s, node, reply);
                });
            };
            controller.handle_heartbeat(time(), request, heartbeat, false);
        });
    });
}

// If a heartbeat gets no reply, the worker sends the next one to the next node.
void SimulatedCluster::time_out_heartbeat(const std::string& machine, double sent_at_s,
                                          double timeout_s) {
    simulation.schedule_after(timeout_s, [=, this] {
        auto it = machines.find(machine);
        if (it != machines.end() && it->second.in_flight && it->second.sent_at_s == sent_at_s) {
            it->second.in_flight = false;
            it->second.target_node = (it->second.target_node + 1) % nodes_.size();
            it->second.next_heartbeat_at_s = now() + retry_delay_s;
        }
    });
}

// Delivers a copy 2 s to 1.5 leases later, to the process that runs on the node by then.
void SimulatedCluster::duplicate_heartbeat(int node, const Heartbeat& heartbeat) {
    simulation.schedule_after(simulation.uniform(2, 1.5 * settings.lease_s), [=, this] {
        deliver(node, [=, this](Controller& controller) {
            // Its reply is discarded.
            controller.handle_heartbeat(time(), simulation.new_request_id(), heartbeat, false);
        });
    });
}

void SimulatedCluster::replay_recorded_heartbeats() {
    for (const auto& heartbeat : std::exchange(recorded_heartbeats_, {})) {
        for (int node = 0; node < node_count(); ++node) {
            deliver(node, [=, this](Controller& controller) {
                // Its reply is discarded.
                controller.handle_heartbeat(time(), simulation.new_request_id(), heartbeat, false);
            });
        }
    }
}

void SimulatedCluster::send(const WorkerReply& reply) {
    auto it = worker_reply_handlers_.find(reply.request);
    if (it != worker_reply_handlers_.end()) {
        auto handle = std::move(it->second);
        worker_reply_handlers_.erase(it);
        handle(reply);
    }
}

void SimulatedCluster::receive_worker_reply(const std::string& machine, std::uint64_t agent_epoch,
                                            double sent_at_s, int node, const WorkerReply& reply) {
    auto it = machines.find(machine);
    if (it == machines.end() || it->second.deleted || it->second.sent_at_s != sent_at_s ||
        !it->second.in_flight || it->second.is_unreachable || it->second.loses_replies ||
        it->second.loses_heartbeats) {
        return;
    }
    FakeWorker& worker = it->second;
    worker.in_flight = false;
    if (reply.status != http_ok) {
        redirect_worker(worker, node, reply);
        return;
    }
    if (reply.token < worker.fencing_token || agent_epoch != worker.agent_epoch || worker.is_hung) {
        return;
    }
    if (reply.token > worker.fencing_token) {
        worker.fencing_token = reply.token;
        worker.send_heartbeat_by(sent_at_s + new_token_heartbeat_delay_max_s);
    }
    worker.lease_start_s = sent_at_s;
    for (const auto& command : reply.commands) {
        workers.execute(worker, command);
    }
}

void SimulatedCluster::redirect_worker(FakeWorker& worker, int node,
                                       const WorkerReply& reply) const {
    bool names_other_node =
        reply.status == http_misdirected && !reply.owner.empty() && reply.owner != node_name(node);
    int next_node = names_other_node ? node_of(reply.owner) : (node + 1) % node_count();
    worker.target_node = static_cast<std::size_t>(next_node);
    worker.next_heartbeat_at_s = now() + (names_other_node ? redirect_delay_s : retry_delay_s);
}

WorkerReply SimulatedCluster::send_heartbeat(int node, const Heartbeat& heartbeat) {
    std::uint64_t request = simulation.new_request_id();
    auto received = std::make_shared<std::optional<WorkerReply>>();
    worker_reply_handlers_[request] = [received](const WorkerReply& reply) { *received = reply; };
    deliver(node, [=, this](Controller& controller) {
        controller.handle_heartbeat(time(), request, heartbeat, false);
    });
    run_until([&] { return received->has_value(); }, 5);
    return received->value_or(WorkerReply{});
}

}  // namespace cranemoor::test

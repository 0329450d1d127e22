// The cluster's time, nodes and queries; the messages are in simulated_cluster_messages.cpp.
#include "simulated_cluster.hpp"

#include <fmt/format.h>

#include <utility>

namespace cranemoor::test {

namespace {
// Interval between two ticks of the controllers and workers.
constexpr double tick_s = 0.05;

// Settings of a small cluster with short intervals.
Settings small_cluster_settings() {
    Settings settings;
    settings.zones = {"a", "b", "c"};
    settings.clock_error_max_s = 0.25;
    settings.teams = {{"red", {0, 8, 0}, {0, 16, 0}}, {"blue", {0, 8, 0}, {0, 0, 0}}};
    settings.heartbeat_interval_s = 3;
    settings.lease_s = 24;
    settings.gang_start_timeout_s = 30;
    settings.gang_stop_window_s = 4;
    settings.cancel_deadline_s = 44;
    settings.store_requests_per_s = 200;
    settings.store_writes_per_s = 50;
    settings.store_value_kb_max = settings.store_current_value_kb_max = 8;
    settings.store_txn_ops_max = 12;
    settings.cloud_requests_per_s = 5;
    return settings;
}
}  // namespace

SimulatedCluster::SimulatedCluster(int nodes, unsigned seed)
    : settings(small_cluster_settings()),
      simulation(seed),
      invariants(simulation, settings, machines, ledger_),
      store(simulation, settings, invariants),
      cloud(simulation, machines),
      workers(simulation, settings, machines, ledger_, invariants),
      users(simulation, ledger_, invariants, nodes,
            [this](int node, const Input& input) { deliver(node, input); }) {
    tunables.headroom_machines_max = 0;
    nodes_.resize(static_cast<std::size_t>(nodes));
}

// --- controllers

std::string SimulatedCluster::node_name(int node) {
    return fmt::format("n{}", node);
}

void SimulatedCluster::start_all() {
    for (int node = 0; node < node_count(); ++node) {
        start(node);
    }
}

void SimulatedCluster::start(int node) {
    auto zone_of = [&](int index) {
        return settings.zones[static_cast<std::size_t>(index) % settings.zones.size()];
    };
    Settings node_settings = settings;
    node_settings.name = node_name(node);
    node_settings.zone = zone_of(node);
    for (int peer = 0; peer < node_count(); ++peer) {
        if (peer != node) {
            node_settings.peers.push_back({node_name(peer), zone_of(peer), ""});
        }
    }
    Node& started = at(node);
    started.generation++;
    std::string boot = fmt::format("boot{}-{}", node, started.generation);
    started.controller = std::make_unique<Controller>(node_settings, tunables, boot);
    started.controller->start(time());
    perform_actions(node);
}

void SimulatedCluster::kill(int node) {
    Node& killed = at(node);
    killed.controller.reset();
    killed.is_paused = false;
    killed.deferred_inputs.clear();
    std::erase_if(watches_, [&](const Watch& watch) { return watch.node == node; });
}

void SimulatedCluster::pause(int node) {
    at(node).is_paused = true;
}

void SimulatedCluster::resume(int node) {
    Node& resumed = at(node);
    resumed.is_paused = false;
    for (const auto& input : std::exchange(resumed.deferred_inputs, {})) {
        deliver(node, input);
    }
}

void SimulatedCluster::deliver(int node, int generation, const Input& input) {
    Node& target = at(node);
    if (!target.controller || target.generation != generation) {
        return;
    }
    if (target.is_paused) {
        target.deferred_inputs.push_back(input);
        return;
    }
    input(*target.controller);
    perform_actions(node);
}

bool SimulatedCluster::all_members(std::size_t count) const {
    for (const auto& node : nodes_) {
        if (node.controller && (!node.controller->context().is_member ||
                                node.controller->context().jobs.epoch()->members.size() != count)) {
            return false;
        }
    }
    return true;
}

void SimulatedCluster::send_heartbeat_without_read_lease(int node) {
    PeerCall message;
    message.has_store_contact = true;
    for (int peer = 0; peer < node_count(); ++peer) {
        if (peer != node) {
            deliver(peer, [=, this](Controller& controller) {
                controller.peer_message(time(), node_name(node), message);
            });
        }
    }
}

// --- users and jobs

UserReply SimulatedCluster::wait_for_reply(std::uint64_t request, double seconds) {
    run_until([&] { return users.find_reply(request) != nullptr; }, seconds);
    const UserReply* reply = users.find_reply(request);
    UserReply none;
    none.status = 0;
    return reply == nullptr ? none : *reply;
}

JobSpec SimulatedCluster::make_job(int number, JobKind kind, int tasks) const {
    JobSpec spec;
    spec.uid = fmt::format("req-{:06}", number);
    spec.job_class = std::string("c");
    spec.team = "blue";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.task_resources = {4, 1, 16};
    spec.image = "img-01";
    spec.image_gb = 1;
    spec.estimate_s = workers.task_run_s;
    return spec;
}

int SimulatedCluster::running_tasks(const std::string& uid) const {
    return static_cast<int>(machines_running(uid).size());
}

std::vector<std::string> SimulatedCluster::machines_running(const std::string& uid) const {
    std::vector<std::string> names;
    for (const auto& [name, worker] : machines) {
        for (const auto& [id, attempts] : worker.tasks) {
            for (const auto& [attempt, task] : attempts) {
                if (id.uid == uid && task.state == TaskState::running) {
                    names.push_back(name);
                }
            }
        }
    }
    return names;
}

// --- time

void SimulatedCluster::tick() {
    store.expire_leases(faults.store_down);
    serve_watches();
    step_workers();
    for (int node = 0; node < node_count(); ++node) {
        if (!at(node).is_paused) {
            deliver(node, [&](Controller& controller) { controller.tick(time()); });
        }
    }
    invariants.check_cancelled_jobs();
}

void SimulatedCluster::run_for(double seconds) {
    run_until([] { return false; }, seconds);
}

bool SimulatedCluster::run_until(const std::function<bool()>& condition, double seconds) {
    double end = now() + seconds;
    double next_tick = now() + tick_s;
    while (now() < end) {
        if (condition()) {
            return true;
        }
        if (simulation.run_next_event(next_tick)) {
            serve_watches();
        } else {
            simulation.advance_to(next_tick);
            next_tick += tick_s;
            tick();
        }
    }
    return condition();
}

}  // namespace cranemoor::test

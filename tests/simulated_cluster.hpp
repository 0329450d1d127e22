// Several real controller cores among in-memory fakes of the key-value store, the cloud, the
// workers and the users, driven by simulated time. The protocol's rules are checked after every
// step.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/controller/controller.hpp"
#include "fake_cloud.hpp"
#include "fake_key_value_store.hpp"
#include "fake_users.hpp"
#include "fake_worker.hpp"
#include "invariant_checker.hpp"
#include "job_ledger.hpp"
#include "network_faults.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// A cluster in one process. Nodes, on each of which a controller may run, are named by their
/// index.
class SimulatedCluster {
  public:
    explicit SimulatedCluster(int nodes = 1, unsigned seed = 1);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    // --- time

    /// Seconds since the start.
    double now() const { return simulation.now(); }
    /// Lets everything go on for so long.
    void run_for(double seconds);
    /// Runs until it holds; false if it does not after so many seconds.
    bool run_until(const std::function<bool()>& holds, double seconds);

    // --- controllers

    /// Starts a new process on every node.
    void start_all();
    /// Starts a new process on a node.
    void start(int node);
    /// Ends a node's process without notice.
    void kill(int node);
    /// Stops a process while its clocks run on: what comes meanwhile waits until it is resumed.
    void pause(int node);
    /// Lets a paused process handle what waited, before its first tick.
    void resume(int node);
    /// The controller of a node on which a process runs.
    Controller& controller(int node) { return *at(node).controller; }
    /// The name of a node in settings and between controllers.
    static std::string node_name(int node);
    /// Whether a process runs there.
    bool is_alive(int node) const { return at(node).controller != nullptr; }
    /// Whether every process that runs is a member of an epoch of so many.
    bool all_members(std::size_t count) const;
    /// The other nodes get a peer heartbeat of the version before, which has no read leases.
    void send_heartbeat_without_read_lease(int node);

    // --- users

    /// Sends a submission; returns the request's id, like those below. See FakeUsers.
    std::uint64_t submit(int node, const JobSpec& spec) { return users.submit(node, spec); }
    /// Sends a submission that lacks a field.
    std::uint64_t submit_malformed(int node, const std::string& uid) {
        return users.submit_malformed(node, uid);
    }
    /// Asks for a job's state.
    std::uint64_t poll(int node, const std::string& uid) { return users.poll(node, uid); }
    /// Asks for a job's cancellation.
    std::uint64_t cancel(int node, const std::string& uid) { return users.cancel(node, uid); }
    /// Runs until a request is answered; a reply of status 0 if it is not in time.
    UserReply wait_for_reply(std::uint64_t request, double seconds = 6);
    /// Submits a job and waits for the reply.
    UserReply submit_and_wait(int node, const JobSpec& spec) {
        return wait_for_reply(submit(node, spec));
    }
    /// Asks for a job's state and waits for the reply.
    UserReply poll_and_wait(int node, const std::string& uid) {
        return wait_for_reply(poll(node, uid));
    }

    // --- jobs

    /// A small job of team blue, req-000001 for number 1.
    JobSpec make_job(int number, JobKind kind = JobKind::array, int tasks = 1) const;
    /// How many of a job's tasks run.
    int running_tasks(const std::string& uid) const;
    /// The machine of each running task of a job.
    std::vector<std::string> machines_running(const std::string& uid) const;
    /// Whether the records say that it was accepted.
    bool is_accepted(const std::string& uid) const { return store.is_accepted(uid); }
    /// Whether the records say that it is over.
    bool is_finished(const std::string& uid) const { return store.is_finished(uid); }

    // --- workers

    /// Adds a machine that is up, though nobody rented it.
    FakeWorker& add_machine(const std::string& name, const std::string& zone, bool spot = false) {
        return cloud.add_machine(name, zone, spot);
    }
    /// Sends a worker's heartbeat to a node, and waits for the reply.
    WorkerReply send_heartbeat(int node, const Heartbeat& heartbeat);
    /// The heartbeats that were recorded reach every controller that runs now.
    void replay_recorded_heartbeats();

    /// Settings of every controller and limits of the fakes; to be changed before start_all().
    Settings settings;
    /// Tuning parameters of every controller; to be changed before start_all().
    Tunables tunables;
    /// Faults to inject; may be changed at any time.
    NetworkFaults faults;
    /// Every machine by name; tests inject the workers' own faults here.
    Machines machines;
    /// Log lines of all controllers and replies to users, with time and node.
    std::vector<std::string> log_lines;

  private:
    JobLedger ledger_;

  public:
    /// Time, delays and randomness.
    Simulation simulation;
    /// Violations of the protocol's rules.
    InvariantChecker invariants;
    /// The key-value store.
    FakeKeyValueStore store;
    /// The cloud.
    FakeCloud cloud;
    /// The workers.
    FakeWorkers workers;
    /// The users.
    FakeUsers users;

  private:
    using Input = std::function<void(Controller&)>;

    struct Node {
        std::unique_ptr<Controller> controller;
        int generation = 0;  // which of the processes that have run there
        bool is_paused = false;
        std::vector<Input> held_inputs;  // came while it was paused
    };

    struct Watch {
        int node;
        int generation;
        std::uint64_t id;
        Revision since;
        double ends_at;        // s
        bool is_dead = false;  // refused meanwhile: waits for its time to run out
    };

    Node& at(int node) { return nodes_[static_cast<std::size_t>(node)]; }
    const Node& at(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
    int node_count() const { return static_cast<int>(nodes_.size()); }
    Now time() const { return simulation.time(); }
    void tick();

    // Input to the process of that generation, if it still runs; and the actions that follow.
    void deliver(int node, int generation, const Input& input);
    void deliver(int node, const Input& input) { deliver(node, at(node).generation, input); }
    void perform_actions(int node);
    void perform(int node, const Action& action);

    // Calls of a controller to the fakes, and their replies.
    void send(int node, const StoreCall& call);
    void send(int node, const CloudCall& call);
    void send(int node, const WorkerCommandCall& call);
    void send(int node, const PeerCall& call);
    void send(const WorkerReply& reply);
    void log_reply(int node, const UserReply& reply);
    void reply_to_store_call(int node, int generation, std::uint64_t id, const StoreReply& reply);
    void relay_heartbeat(int node, int generation, const PeerCall& call, Controller& relaying);
    bool reaches_worker(int node, const FakeWorker& worker) const;
    bool execute_direct_call(const WorkerCommandCall& call);
    void serve_watches();
    void serve_watch(Watch watch);

    // Heartbeats of the workers.
    void step_workers();
    void send_heartbeat(FakeWorker& worker);
    void deliver_heartbeat(const FakeWorker& worker, const Heartbeat& heartbeat);
    void duplicate_heartbeat(int node, const Heartbeat& heartbeat);
    void time_out_heartbeat(const std::string& machine, double sent_at, double timeout_s);
    void receive_worker_reply(const std::string& machine, std::uint64_t session, double sent_at,
                              int node, const WorkerReply& reply);
    void redirect_worker(FakeWorker& worker, int node, const WorkerReply& reply) const;

    std::vector<Node> nodes_;
    std::vector<Watch> watches_;
    std::map<std::uint64_t, std::function<void(const WorkerReply&)>> worker_reply_handlers_;
    std::vector<Heartbeat> recorded_heartbeats_;
};

}  // namespace cranemoor::test

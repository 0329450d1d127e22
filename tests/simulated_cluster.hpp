/// Several real controller cores with in-memory fakes of the key-value store, the cloud, the
/// workers and the users, driven by simulated time. The protocol's invariants are checked after
/// every step.
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

/// A cluster in one process. Each node may run one controller; nodes are identified by their index.
class SimulatedCluster {
  public:
    explicit SimulatedCluster(int nodes = 1, unsigned seed = 1);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    // --- time

    /// Seconds since the start.
    double now() const { return simulation.now(); }
    /// Advances the simulation by `seconds`.
    void run_for(double seconds);
    /// Runs until a condition holds; false if it does not within `seconds`.
    bool run_until(const std::function<bool()>& condition, double seconds);

    // --- controllers

    /// Starts a new controller process on every node.
    void start_all();
    /// Starts a new controller process on a node.
    void start(int node);
    /// Ends a node's process abruptly.
    void kill(int node);
    /// Suspends a process while its clocks run on; its input is deferred until it is resumed.
    void pause(int node);
    /// Resumes a paused process, which handles the deferred input before its first tick.
    void resume(int node);
    /// The controller of a node; its process must run.
    Controller& controller(int node) { return *at(node).controller; }
    /// The name of a node in settings and in messages between controllers.
    static std::string node_name(int node);
    /// Whether a controller process runs on a node, paused ones included.
    bool is_alive(int node) const { return at(node).controller != nullptr; }
    /// Whether every running controller is a member of an epoch of `count` members.
    bool all_members(std::size_t count) const;
    /// Sends the other nodes a peer heartbeat of the previous version, which has no read leases.
    void send_heartbeat_without_read_lease(int node);

    // --- users

    /// Submits a job; returns the id of the request, as do the functions below. See FakeUsers.
    std::uint64_t submit(int node, const JobSpec& spec) { return users.submit(node, spec); }
    /// Submits a job that lacks a field.
    std::uint64_t submit_malformed(int node, const std::string& uid) {
        return users.submit_malformed(node, uid);
    }
    /// Requests a job's state.
    std::uint64_t poll(int node, const std::string& uid) { return users.poll(node, uid); }
    /// Requests a job's cancellation.
    std::uint64_t cancel(int node, const std::string& uid) { return users.cancel(node, uid); }
    /// Runs until a request is answered; a reply with status 0 if that takes longer than `seconds`.
    UserReply wait_for_reply(std::uint64_t request, double seconds = 6);
    /// Submits a job and waits for the reply.
    UserReply submit_and_wait(int node, const JobSpec& spec) {
        return wait_for_reply(submit(node, spec));
    }
    /// Requests a job's state and waits for the reply.
    UserReply poll_and_wait(int node, const std::string& uid) {
        return wait_for_reply(poll(node, uid));
    }

    // --- jobs

    /// A small job of team blue; number 1 has the uid req-000001.
    JobSpec make_job(int number, JobKind kind = JobKind::array, int tasks = 1) const;
    /// Number of a job's running tasks.
    int running_tasks(const std::string& uid) const;
    /// The machine of each running task of a job.
    std::vector<std::string> machines_running(const std::string& uid) const;
    /// Whether the key-value store holds the job as accepted.
    bool is_accepted(const std::string& uid) const { return store.is_accepted(uid); }
    /// Whether the key-value store holds a final state of the job.
    bool is_finished(const std::string& uid) const { return store.is_finished(uid); }

    // --- workers

    /// Adds a running machine without a launch.
    FakeWorker& add_machine(const std::string& name, const std::string& zone, bool spot = false) {
        return cloud.add_machine(name, zone, spot);
    }
    /// Sends a worker's heartbeat to a node, and waits for the reply.
    WorkerReply send_heartbeat(int node, const Heartbeat& heartbeat);
    /// Delivers the recorded heartbeats to every running controller.
    void replay_recorded_heartbeats();

    /// Settings of every controller and limits of the fakes; change them before start_all().
    Settings settings;
    /// Tuning parameters of every controller; change them before start_all().
    Tunables tunables;
    /// Faults to inject; may be changed at any time.
    NetworkFaults faults;
    /// Every machine by name; tests inject faults of single workers here.
    Machines machines;
    /// Log lines of all controllers and replies to users, each with time and node.
    std::vector<std::string> log_lines;

  private:
    JobLedger ledger_;

  public:
    /// Time, delays and randomness.
    Simulation simulation;
    /// Violations of the protocol's invariants.
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
        int generation = 0;  // incremented at each start of a process on the node
        bool is_paused = false;
        std::vector<Input> deferred_inputs;  // received while it was paused
    };

    struct Watch {
        int node;
        int generation;
        std::uint64_t id;
        Revision since;
        double ends_at_s;
        bool was_refused = false;  // while open: receives no events, only the reply at its end
    };

    Node& at(int node) { return nodes_[static_cast<std::size_t>(node)]; }
    const Node& at(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
    int node_count() const { return static_cast<int>(nodes_.size()); }
    Now time() const { return simulation.time(); }
    void tick();

    // Passes input to the process of that generation, if it still runs, and performs the resulting
    // actions.
    void deliver(int node, int generation, const Input& input);
    void deliver(int node, const Input& input) { deliver(node, at(node).generation, input); }
    void perform_actions(int node);
    void perform(int node, const Action& action);

    // Calls of a controller to the fakes, and the replies.
    void send(int node, const StoreCall& call);
    void send(int node, const CloudCall& call);
    void send(int node, const WorkerCommandCall& call);
    void send(int node, const PeerCall& call);
    void send(const WorkerReply& reply);
    void log_reply(int node, const UserReply& reply);
    void reply_to_store_call(int node, int generation, std::uint64_t id, const StoreReply& reply);
    void relay_heartbeat(int node, int generation, const PeerCall& call, Controller& receiver);
    bool reaches_worker(int node, const FakeWorker& worker) const;
    bool execute_direct_call(const WorkerCommandCall& call);
    void serve_watches();
    void serve_watch(Watch watch);

    // Heartbeats of the workers.
    void step_workers();
    void send_heartbeat(FakeWorker& worker);
    void deliver_heartbeat(const FakeWorker& worker, const Heartbeat& heartbeat);
    void duplicate_heartbeat(int node, const Heartbeat& heartbeat);
    void time_out_heartbeat(const std::string& machine, double sent_at_s, double timeout_s);
    void receive_worker_reply(const std::string& machine, std::uint64_t agent_epoch,
                              double sent_at_s, int node, const WorkerReply& reply);
    void redirect_worker(FakeWorker& worker, int node, const WorkerReply& reply) const;

    std::vector<Node> nodes_;
    std::vector<Watch> watches_;
    std::map<std::uint64_t, std::function<void(const WorkerReply&)>> worker_reply_handlers_;
    std::vector<Heartbeat> recorded_heartbeats_;
};

}  // namespace cranemoor::test

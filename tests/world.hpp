// In-memory fakes of the state service, the cloud, the workers and the network round several
// real cores, driven by simulated time. After every step the protocol's rules are checked.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "answer_history.hpp"
#include "core/controller/controller.hpp"

namespace cranemoor::test {

using namespace core;

struct FakeTask {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitReason why = ExitReason::none;
    bool saved = false;
    double ready_at = 0;  // image there
    double ends_at = 1e18;
    double told_at = 1e18;  // to stop and save
};

struct FakeMachine {
    ListedMachine info;
    double made = 0;
    double up_at = 0;
    bool deleted = false;
    bool hangs = false;  // silent and idle, but not gone
    bool fails_tasks = false;
    bool zone_cut = false;  // unreachable for everybody
    bool deaf = false;      // its reports arrive, answers and direct commands to it are lost
    int only = -1;          // the one controller that it reaches and that reaches it
    bool mute = false;      // its reports reach nobody, direct commands reach it
    std::vector<std::function<void()>> held;  // commands that came while it hung
    Token token = 0;
    std::uint64_t session = 1;
    std::uint64_t seq = 0;
    double lease_from = 0;
    std::map<TaskId, std::map<std::uint64_t, FakeTask>> tasks;
    std::size_t target = 0;  // controller it reports to
    bool in_flight = false;
    double sent_at = 0;
    double next_report = 0;
    std::optional<double> notice_s;
    std::set<std::string> images;
};

class World {
  public:
    explicit World(int nodes = 1, unsigned seed = 1);

    // --- the story's means
    Settings settings;  // change before start_all()
    Tunables tunables;  // the same
    double fetch_s = 0.5;
    void start_all();
    void start(int node);
    void kill(int node);
    // Stands still while its clocks run on: what comes meanwhile waits, until it goes on.
    void freeze(int node);
    void thaw(int node);
    // The copies of reports that were kept reach every controller, whoever runs there now.
    void deliver_kept();
    // Watches that lag behind have to read everything again.
    void forget_history() { forgotten_ = ++tide_; }
    // The others hear a heartbeat of a node that runs a version without leases between controllers.
    void heartbeat_of_version_before(int node);
    void run(double seconds);
    // Runs until it holds; false after that many seconds.
    bool until(const std::function<bool()>& holds, double seconds);
    std::uint64_t submit(int node, const JobSpec& spec);
    // One that lacks a field.
    std::uint64_t submit_malformed(int node, const std::string& uid);
    std::uint64_t poll(int node, const std::string& uid);
    std::uint64_t cancel(int node, const std::string& uid);
    // Waits for the answer of a request.
    UserReply answer(std::uint64_t request, double seconds = 6);
    UserReply submit_and_wait(int node, const JobSpec& spec) { return answer(submit(node, spec)); }
    UserReply poll_and_wait(int node, const std::string& uid) { return answer(poll(node, uid)); }
    WorkerReply report(int node, const Heartbeat& report);
    FakeMachine& add_machine(const std::string& name, const std::string& zone, bool spot = false);

    JobSpec job(int number, JobKind kind = JobKind::array, int tasks = 1) const;
    int running(const std::string& uid) const;
    std::vector<std::string> places(const std::string& uid) const;
    bool all_members(std::size_t n) const;
    Controller& node(int i) { return *nodes_[static_cast<std::size_t>(i)].core; }
    bool alive(int i) const { return nodes_[static_cast<std::size_t>(i)].core != nullptr; }
    const Json* stored(const std::string& key) const;
    // Whether the records say so.
    bool accepted(const std::string& uid) const;
    bool finished(const std::string& uid) const;
    // Keys below a prefix.
    std::vector<std::string> keys(const std::string& prefix) const;
    void store(const std::string& key, const Json& value);
    // Writes the admission table as a leading member would: whether records are shared, and the
    // weights of the members in the order of the epoch.
    void set_table(bool shared, const std::vector<int>& weights = {});
    // Knows a job that is only in the records.
    void know(const JobSpec& spec) { specs_.try_emplace(spec.uid, spec); }
    bool is_service(const std::string& uid) const {
        auto it = specs_.find(uid);
        return it != specs_.end() && it->second.kind == JobKind::service;
    }
    void drop(const std::string& key);
    int machines_up() const;

    // --- troubles
    bool state_down = false;
    bool cloud_down = false;
    std::set<std::string> mistaken;  // jobs that fail wherever they run
    std::set<int> state_refused;     // nodes that the state service refuses
    std::set<int> workers_cut;       // nodes that no worker reaches
    std::set<std::pair<int, int>> peers_cut;
    double lost_answers = 0;  // probability that an answer of the state service is lost
    double late_txn = 0;      // probability that a transaction is executed late, without an answer
    double late_report = 0;   // probability that a copy of a report arrives once more, late
    double keep_report = 0;   // probability that a copy of a report is kept, see deliver_kept()
    // After each answer that says accepted, cancelled or done, users ask all nodes within
    // milliseconds and submit the job again.
    bool close_looks = false;
    double boot_s = 5;                           // until a rented machine is up
    std::set<int> version_before;                // nodes whose heartbeats say nothing of leases
    double state_answer_s = 0;                   // until an answer of the state service goes out
    double slow = 0;                             // probability that a message takes long
    std::function<double(const Txn&)> hold_txn;  // s until it is carried out, without an answer
    // s from when it is carried out to its answer; from the client's patience on there is none
    std::function<double(const Txn&)> late_answer;
    std::function<double(const Txn&)> slow_txn;  // s until it is carried out and answered
    std::function<bool(const Txn&)> refuse_txn;  // answered as if it were over the limit
    int capacity = 1000;
    double list_lag_s = 0;       // until the cloud lists a new machine
    double rental_answer_s = 0;  // until the cloud's answer to a rental goes out
    // What the state service takes: as the settings have it, until the story lowers it.
    std::optional<double> value_kb;
    std::optional<int> txn_ops;

    double now = 0;
    std::map<std::string, FakeMachine> machines;
    std::vector<std::string> broken;  // rules broken, in words
    int rentals = 0;
    int machines_rented = 0;
    int transactions = 0;
    std::set<std::string> saved;        // gangs that saved when they were stopped
    std::map<std::string, int> writes;  // puts and deletes by kind of record, as in "c/b"
    std::vector<Txn> refused_txns;
    std::vector<std::string> log;
    double run_s = 20;  // run time of arrays' and gangs' tasks
    std::function<void(const std::string& machine, const Command&)> on_command;

  private:
    struct Node {
        std::unique_ptr<Controller> core;
        int generation = 0;
        bool frozen = false;
        std::vector<std::function<void(Controller&)>> held;  // what came meanwhile
    };
    struct Item {
        double at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Item& o) const {
            return std::tie(at, order) > std::tie(o.at, o.order);
        }
    };
    struct Stored {
        Json value;
        Revision revision = 0;
        std::uint64_t lease = 0;
    };
    struct Watch {
        int node;
        int generation;
        std::uint64_t id;
        Revision since;
        double until;
        bool dead = false;  // refused meanwhile: waits for its time to run out
    };

    void after(double s, std::function<void()> what);
    double delay();
    bool chance(double p);
    Now time() const { return {now, 1.7e9 + now}; }
    void drain(int node);
    void act(int node, const StateCall& call);
    void act(int node, const CloudCall& call);
    void act(int node, const OrderCall& call);
    void act(int node, const PeerCall& call);
    void act(int node, const WorkerReply& reply);
    StateReply execute(const StateCall& call);
    void changed(const std::string& key, const std::optional<Json>& value);
    void serve_watches();
    void expire_leases();
    void report_again(std::size_t target, const Heartbeat& report);
    void to_node(int node, int generation, const std::function<void(Controller&)>& f);
    CloudReply cloud(const CloudCall& call);
    // workers
    void step_worker(FakeMachine& m);
    void complete_gang(const std::string& uid, std::uint64_t attempt);
    void save_gang(const std::string& uid, std::uint64_t attempt, FakeTask& t) const;
    void send_report(FakeMachine& m);
    void got_reply(const std::string& machine, std::uint64_t session, double sent,
                   std::size_t target, const WorkerReply& reply);
    void execute(FakeMachine& m, const Command& c);
    Heartbeat make_report(FakeMachine& m);
    void check_start(const FakeMachine& m, const TaskId& id);
    void check();
    bool needs(const std::string& uid, const std::function<bool(const std::string&)>& what) const;
    std::uint64_t ask(const std::string& uid);
    void user_reply(int node, const UserReply& reply);
    void look_closely(const std::string& uid);
    void tick();

    std::priority_queue<Item> queue_;
    std::uint64_t order_ = 0;
    std::mt19937 random_;
    std::vector<Node> nodes_;
    std::map<std::string, Stored> kv_;
    Revision tide_ = 0;
    std::vector<Event> events_;
    std::map<std::uint64_t, double> leases_;
    std::uint64_t next_lease_ = 0;
    std::vector<Watch> watches_;
    std::map<std::string, std::vector<std::string>> rented_;
    int next_machine_ = 0;
    std::uint64_t next_request_ = 0;
    std::map<std::uint64_t, UserReply> replies_;
    std::map<std::uint64_t, std::pair<std::string, JobSpec>> submitted_;
    std::map<std::uint64_t, std::function<void(const WorkerReply&)>> worker_done_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, double> cancelled_;          // told to the user
    std::map<std::string, std::set<int>> done_tasks_;  // completed on a worker
    std::set<std::string> asked_cancel_;               // by its user
    AnswerHistory history_;
    std::set<std::uint64_t> looks_;  // requests of close_looks, which bring no others
    std::vector<Heartbeat> kept_;    // see keep_report
    Revision forgotten_ = 0;         // changes up to then are told to no watch any more
};

}  // namespace cranemoor::test

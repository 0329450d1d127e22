// Fleet: the worker machines as their heartbeats show them. Agent epochs, adoption after failover,
// the replies to heartbeats, reconciliation of reported tasks with the job records (the proof that
// a task's place is empty), and failure detection: what becomes of silent or faulty machines.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/agents/gang_preemption.hpp"
#include "core/agents/pending_task_exits.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"

namespace cranemoor::core {

/// One attempt of a task: the task and its attempt number.
using Attempt = std::pair<TaskId, std::uint64_t>;

/// What this controller knows of one worker machine (agent): its identity, its latest heartbeat,
/// whether this controller owns and has adopted it, the stops sent to it, the heartbeat request
/// that waits for its reply, cached figures derived from the job records, and what the cloud
/// provider's listing says of it. Times are steady-clock seconds unless named otherwise.
struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;

    // From its heartbeats.
    bool heartbeat_received = false;  // at least one heartbeat has been taken in
    std::uint64_t agent_epoch = 0;    // incarnation of the worker agent; grows on each restart
    std::uint64_t heartbeat_seq = 0;  // sequence number of the heartbeat within the agent epoch
    Token fencing_token = 0;          // fencing token the worker last accepted
    double last_heartbeat_at = -1e9;
    bool last_heartbeat_relayed = false;  // the last heartbeat came by way of another controller
    // The spot instance is to be interrupted at this time (interruption notice of the provider).
    std::optional<double> interruption_deadline;
    std::map<Attempt, TaskStatus> tasks;

    // Ownership by this controller.
    bool owned_by_us = false;
    // Adopted: this controller has taken the agent over, i.e. the worker has accepted our fencing
    // token. Until then no command but the token raise is sent to it.
    bool adopted = false;
    double owned_since = 0;
    std::set<Attempt> starts_sent;   // started by a reply of ours since adoption
    std::set<Attempt> seen_running;  // reported alive since adoption
    /// A stop (kill with a grace period) sent to a task and repeated until the task has exited.
    struct PendingStop {
        double grace_s = 0;
        double first_requested_at = 0;
        double last_sent_at = -1e9;
    };
    std::map<Attempt, PendingStop> pending_stops;
    std::set<std::string> failed_jobs;  // that failed there since the last task was done
    double claim_backoff_until = -1e9;  // no new claims on it before this time
    // Its reply is held open (long poll) until reply_deadline, unless something changes.
    bool reply_held_open = false;
    bool probe_in_flight = false;
    int probe_failures = 0;
    bool release_mark_pending = false;  // a mark for its release is being written
    bool release_confirmed = false;     // the cloud confirmed its release

    // The heartbeat request that waits for its reply.
    std::optional<std::uint64_t> open_request;
    bool awaiting_reply = false;  // in the list of those that wait, or of those just answered
    double reply_deadline = 0;
    int claims_in_flight = 0;        // claims under way for it
    bool seen_by_scheduler = false;  // a scheduler round has seen it since that heartbeat

    // room left, counted anew after a change; see Fleet::room
    mutable Resources room;
    mutable bool room_known = false;
    mutable std::vector<int> images_pulling;  // images that its tasks wait for, as of then

    // what the records say of it, of the copy of that number; see Fleet::site
    mutable std::shared_ptr<const MachinePlacements> site;
    mutable std::uint64_t site_of = 0;

    // As listed by the cloud provider.
    bool listed = false;
    ListedState listed_state = ListedState::starting;
    double listed_at = -1e9;
    double launched_at = 0;     // steady time of its rental, as far as known
    double running_since = -1;  // first listed as running
    double empty_since = -1;    // no placements since, -1: has some

    /// Up as far as known here: only its owner gets its heartbeats, the others have the listing.
    bool up() const { return heartbeat_received || running_since >= 0; }

    // images it is thought to have cached, by number and size in GB, most recently used first
    std::vector<std::pair<int, double>> cached_images;
};

/// The machines (worker agents) as this controller knows them: it takes in their heartbeats and
/// builds the replies (start, stop and forget commands), adopts machines by raising their fencing
/// token after a failover, reconciles reported tasks with the job records, detects silent machines
/// (probe, then fence) and partitioned zones, and marks machines for release. Pure core: all
/// input and output goes through the Context (ctx.out, ctx.order, ctx.txn, ctx.peer).
class Fleet {
  public:
    /// `ctx`, `members`, `quota` and `sheets` must outlive the Fleet.
    Fleet(Context& ctx, Membership& membership, const Quota& quota, BatchedClaims& sheets)
        : ctx_(ctx),
          membership_(membership),
          pending_exits_(ctx, quota, *this, sheets),
          gang_preemption_(ctx) {}

    /// Takes in one heartbeat (wire: a worker report) with request id `request`. Replies at once
    /// with 503 (may not answer workers), 421 (newer fencing token, or another owner: redirect or
    /// relay), with 200 at once to a stale one, or holds the reply open until something is due.
    /// `relayed`: it came by way of a peer controller and is never passed on again.
    void handle_heartbeat(std::uint64_t request, const Report& report, bool relayed);
    /// The membership epoch changed from `before`: machines whose owner may have changed lose
    /// their adoption and are queued for a fencing-token raise.
    void epoch_changed(const std::optional<Epoch>& before);
    /// The job records changed; `touched` holds the uids of the jobs that changed.
    void records_changed(const std::set<std::string>& touched);
    /// Periodic work: token raises, release marks, the sweep of all machines, outcome writes and
    /// the heartbeat replies that have become due.
    void tick();
    /// Merges the cloud provider's listing of machines.
    void apply_cloud_listing(const std::vector<ListedMachine>& machines);
    /// Replaces the known machine types; free room is counted anew.
    void set_machine_types(const std::vector<MachineType>& types);

    /// All known machines by name.
    const std::map<std::string, Machine>& machines() const { return machines_; }
    /// The same machines in the same order, as a vector: a walk over a tree costs more than most
    /// of the looks done on the way.
    const std::vector<Machine*>& all() const { return all_; }
    /// The machine of that name, or nullptr.
    Machine* find(const std::string& name);
    /// The machine of that name, or nullptr.
    const Machine* find(const std::string& name) const;
    /// Whether that machine is ours and has accepted our fencing token.
    bool adopted(const std::string& name) const;
    /// The machine type of that name, or nullptr.
    const MachineType* type(const std::string& name) const;
    /// The known machine types.
    const std::vector<MachineType>& types() const { return types_; }
    /// Images by number: comparing names on every look would cost more than all the rest.
    int image_number(const std::string& image) const;
    /// Whether the machine is thought to have that image (by number) cached.
    static bool has_image(const Machine& m, int image);
    /// Room left by claimed tasks and by tasks still reported there. A task that has exited takes
    /// none, also while the record of its end is still to be written.
    const Resources& room(const Machine& m) const;
    /// What the job records say of the machine: placements, what they take, its release mark.
    const MachinePlacements& site(const Machine& m) const;
    /// Names of machines that must be released even by a controller that cannot write to the
    /// key-value store: silent ones past the deadline of a cancelled task, and fenced marks.
    std::set<std::string> overdue_and_silent();
    /// Whether new tasks may be claimed on it, as far as this controller knows.
    bool usable(const Machine& m) const;
    /// The same of any controller's machine, from what all controllers know.
    bool in_use(const Machine& m) const;
    /// The longest boot time of any machine type, in seconds.
    double longest_boot_s() const;
    /// Whether no machine type takes two tasks of that size.
    bool needs_whole_machine(const JobSpec& spec) const;
    /// Replies to the open heartbeat now, with all commands due.
    void send_heartbeat_reply(Machine& m);
    /// Replies if there is something to say or nothing to wait for; else holds the reply open.
    void reply_if_due(Machine& m);
    /// Runs reply_if_due over the machines whose heartbeat waits for its reply.
    void reply_to_due_heartbeats();
    /// Stops a task with a grace period in seconds: directly, and in every reply until it has
    /// exited. A later call may only shorten the grace period.
    void stop_task(Machine& m, const Attempt& task, double grace_s);
    /// Marks the machine for release (`fence`: also for fencing); `why` goes to the record and
    /// the log. The marks found in one tick are written together.
    void mark_for_release(Machine& m, const std::string& why, bool fence);
    /// A job whose tasks keep failing gets no new claims before this steady time.
    double job_pause_until(const std::string& uid) const;
    /// Machines that jobs submitted since that wall time take whole: the sum, and the sum of
    /// their squares.
    std::pair<double, double> whole_machine_arrivals(double since_wall) const;
    /// Jobs submitted since that wall time that may use spot machines.
    double spot_arrivals(double since_wall) const;
    /// Whether that zone seems partitioned from this controller: nothing new goes there.
    bool zone_partitioned(const std::string& zone) const {
        return partitioned_zones_.count(zone) != 0;
    }
    /// Seconds without a heartbeat after which a machine is probed and then fenced.
    double heartbeat_timeout_s() const;
    /// Steady time when a task's placement was first seen here (now, if unknown).
    double placed_at(const TaskId& id) const;
    /// Whether a gang has lost part of its tasks: some placed, none done, not all placed.
    static bool gang_incomplete(const Job& job);
    /// Whether all that is placed there has ended, as far as its owner knows.
    bool vacated(const Machine& m) const;
    /// Task exits known here, not all of them durable yet.
    const PendingTaskExits& pending_exits() const { return pending_exits_; }
    /// The graceful preemption of whole gangs.
    GangPreemption& gang_preemption() { return gang_preemption_; }
    /// Once the cloud has confirmed the release of that machine, records every task placed there
    /// as ended ("machine gone").
    void record_exits_of_released(const std::string& machine);

  private:
    // What this process makes of a job's failures, which stand in its blocks.
    struct JobFailures {
        int count = 0;
        double not_before = -1e9;
    };

    // How many of this process's machines are silent, as one look finds them.
    struct Silence {
        struct Count {
            int owned = 0;
            int silent = 0;
            bool suspect() const;  // too many at once to be the machines' own doing
        };
        Count adopted;  // of the machines it has adopted
        bool path_cut = false;
    };

    std::pair<Machine&, bool> find_or_add(const std::string& name);
    void apply_heartbeat(Machine& m, const Report& r);
    void reconcile_tasks(Machine& m, bool from_report);
    void record_exit(Machine& m, const TaskStatus& s);
    bool should_start(const Machine& m, const Job& job) const;
    void raise_fencing_token(Machine& m, int tries);
    void probe(Machine& m);
    void redirect_heartbeat(std::uint64_t request, const Report& r, const Member* owner,
                            bool relayed);
    void note_image_used(Machine& m, const std::string& image, double gb);
    void reject_heartbeat(std::uint64_t request, int status, const std::string& home = "");
    void send_stop(Machine& m, const Attempt& task, Machine::PendingStop& s);
    void note_arrival(const std::string& uid, const Job& job);
    void note_failures(const std::string& uid, const Job& job);
    void note_task_failure(Machine& m, const Job& job);
    void stop_unwanted(Machine& m, const Job& job, const TaskId& id, const Placement& p);
    void note_empty(Machine& m) const;
    void sweep();
    void prune_expired();
    Silence count_silent_machines();
    bool can_forget(Machine& m) const;
    void resend_pending_stops(Machine& m);
    void checkpoint_before_interruption(Machine& m);
    std::set<Machine*> machines_with_overdue_cancels();
    void fence_cancelled();
    double fence_after_s(const Machine& m, const Silence& silence) const;
    void check_liveness(Machine& m, const Silence& silence);
    bool partitioned_from_workers(int mine, int relayed) const;
    void raise_fencing_tokens();
    void write_release_marks();

    Context& ctx_;
    Membership& membership_;
    PendingTaskExits pending_exits_;
    GangPreemption gang_preemption_;
    std::map<std::string, Machine> machines_;
    std::vector<Machine*> all_;
    std::vector<MachineType> types_;
    mutable std::unordered_map<std::string, int> image_numbers_;
    std::vector<Machine*> awaiting_reply_;  // machines whose report waits for its answer
    std::map<std::string, JobFailures> job_failures_;
    std::unordered_map<TaskId, double, TaskIdHash> placed_at_;
    // submission time and machines of such jobs
    std::map<std::string, std::pair<double, int>> whole_machine_jobs_;
    std::map<std::string, std::pair<double, int>> spot_jobs_;
    std::deque<std::string> token_raise_queue_;  // taken over, their token still to be raised
    std::map<std::pair<std::string, bool>, std::set<std::string>>
        pending_release_marks_;  // by why and fence
    std::set<std::string> partitioned_zones_;
    double next_sweep_ = 0;
    double next_prune_ = 0;
    double last_direct_heartbeat_at_ = -1e9;  // heartbeat of a machine of ours, from itself
    // When a worker was last redirected to its owner, and when first to this owner.
    struct Redirect {
        std::uint64_t owner_id = 0;
        double last_at = -1e9;
        double first_at = -1e9;
    };
    std::map<std::string, Redirect> redirects_;  // by machine
};

}  // namespace cranemoor::core

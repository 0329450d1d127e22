// Fleet: machines as their workers report them. Sessions, adoption, the answers to reports, the
// proofs that a task's place is empty, and what becomes of silent or faulty machines.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/context.hpp"
#include "core/gang_preemption.hpp"
#include "core/membership.hpp"
#include "core/outcomes.hpp"
#include "core/quota.hpp"

namespace cranemoor::core {

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
    mutable std::shared_ptr<const Jobs::Site> site;
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

class Fleet {
  public:
    Fleet(Context& ctx, Membership& members, const Quota& quota, BatchedClaims& sheets)
        : ctx_(ctx),
          members_(members),
          outcomes_(ctx, quota, *this, sheets),
          gang_preemption_(ctx) {}

    // A report; relayed ones came over a peer and are never passed on again.
    void handle_heartbeat(std::uint64_t request, const Report& report, bool relayed);
    void epoch_changed(const std::optional<Epoch>& before);
    // touched: jobs that changed
    void records_changed(const std::set<std::string>& touched);
    void tick();
    void apply_cloud_listing(const std::vector<ListedMachine>& machines);
    void set_machine_types(const std::vector<MachineType>& types);

    const std::map<std::string, Machine>& machines() const { return machines_; }
    // The same in the same order, for looks at all of them: a walk over a tree costs more than most
    // looks.
    const std::vector<Machine*>& all() const { return all_; }
    Machine* find(const std::string& name);
    const Machine* find(const std::string& name) const;
    // Whether that machine is ours and has reported with our token.
    bool adopted(const std::string& name) const;
    const MachineType* type(const std::string& name) const;
    const std::vector<MachineType>& types() const { return types_; }
    // Images by number: comparing names on every look would cost more than all the rest.
    int image_number(const std::string& image) const;
    static bool has_image(const Machine& m, int image);
    // Room left by claimed tasks and by tasks still reported there. A task that has exited takes
    // none, also while the record of its end is still to be written.
    const Resources& room(const Machine& m) const;
    // What the records say of it: placements, what they take, its mark.
    const Jobs::Site& site(const Machine& m) const;
    std::set<std::string> overdue_and_silent();
    // Whether new tasks may be claimed on it, as far as this controller knows.
    bool usable(const Machine& m) const;
    // The same of any member's machine, from what all know.
    bool in_use(const Machine& m) const;
    double longest_boot_s() const;
    // Whether no machine takes two tasks of that size.
    bool needs_whole_machine(const JobSpec& spec) const;
    // Answers the open report now, with all commands due.
    void send_heartbeat_reply(Machine& m);
    // Answers it if there is something to say or nothing to wait for.
    void reply_if_due(Machine& m);
    void reply_to_due_heartbeats();
    // Asks a task to stop, directly and with every response until it is gone.
    void stop_task(Machine& m, const Attempt& task, double grace_s);
    // Marks it for return; the marks of one look are written together.
    void mark_for_release(Machine& m, const std::string& why, bool fence);
    // A job whose tasks fail is left alone until then.
    double job_pause_until(const std::string& uid) const;
    // Machines that jobs submitted since then take whole: the sum, and the sum of their squares.
    std::pair<double, double> whole_machine_arrivals(double since_wall) const;
    // Jobs submitted since then that may use spot machines.
    double spot_arrivals(double since_wall) const;
    // Whether that zone seems to be cut off: nothing new goes there.
    bool zone_partitioned(const std::string& zone) const {
        return partitioned_zones_.count(zone) != 0;
    }
    // Seconds without a report after which a machine is probed and then fenced.
    double heartbeat_timeout_s() const;
    // When a task's placement was first seen here.
    double placed_at(const TaskId& id) const;
    static bool gang_incomplete(const Job& job);
    // Whether all that is placed there has ended, as far as its owner knows.
    bool vacated(const Machine& m) const;
    const Outcomes& outcomes() const { return outcomes_; }
    GangPreemption& gang_preemption() { return gang_preemption_; }
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
    Membership& members_;
    Outcomes outcomes_;
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

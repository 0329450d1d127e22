// Pending queue: the jobs that have tasks to place, in scheduling order: hierarchical fair sharing
// over teams, then priorities, with a minimum share for each flow (one team's jobs of one class).
// It is updated from the changes of the local replica, so that a pass over the queue costs in
// proportion to the jobs visited and not to all pending jobs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/min_share.hpp"
#include "core/agents/agent_registry.hpp"
#include "core/agents/job_failures.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// A job with tasks to place, and the data that each visit to it needs.
struct PendingJob {
    const Job* job = nullptr;
    std::string uid;
    std::string team;
    std::string job_class;
    Priority priority = Priority::normal;
    /// Whether its flow is below its minimum share.
    bool below_min_share = false;
    std::string image;
    /// When it became eligible to run, in seconds since the Unix epoch.
    double eligible_wall = 0;
    /// When this process first saw that it has tasks to place, in steady-clock seconds.
    double pending_since_s = 0;
    /// Number of its tasks to place at the last update.
    int open_tasks = 0;
    /// When one of its tasks was last placed, or else when it became pending, in steady-clock
    /// seconds.
    double last_progress_at_s = 0;
    /// This controller's position in the order in which controllers place the job; 0 means that it
    /// is the shard owner of the job.
    std::size_t shard_rank = 0;
    /// Equal for jobs whose tasks fit the same machines.
    int equivalence_class = 0;
};

/// The pending jobs of the cluster. All controllers have the same queue, but each visits the jobs
/// of which it is the shard owner before other jobs of the same team and priority.
class PendingQueue {
  public:
    /// All arguments must outlive the queue.
    PendingQueue(Context& ctx, const AgentRegistry& agents, const JobFailures& job_failures)
        : ctx_(ctx), agents_(agents), job_failures_(job_failures) {}

    /// Computes the shard rank of each job anew after a change of the membership epoch.
    void epoch_changed();
    /// Updates the queue after a change of the records; `changed_uids` are the uids of the changed
    /// jobs.
    void records_changed(const std::set<std::string>& changed_uids);
    /// Checks at a fixed interval which flows are below their minimum share.
    void tick();

    /// Number of machines by which a flow is below its minimum share; 0 if it is not below it or
    /// has not waited long enough.
    double min_share_deficit(const std::string& team, const std::string& job_class) const;

    /// The factor, from 1 to `max_factor`, by which the usual interval between passes over all
    /// pending jobs is extended. The more jobs are pending, the longer a pass takes, and the less a
    /// small delay matters to each job.
    double round_interval_factor(double max_factor) const;

    /// Visits the jobs in scheduling order, flows below their minimum share first, until the
    /// visitor returns false. `is_write_limited` means that claims wait for the write limit, so
    /// that the order makes a difference of many seconds: among teams below their guarantee,
    /// production jobs then go before all others.
    template <typename Visit>
    void for_each_in_order(bool is_write_limited, Visit visit) const {
        auto queues = queues_in_order(is_write_limited);
        for (bool below_min_share : {true, false}) {
            if (below_min_share && min_share_deficits_.empty()) {
                continue;
            }
            for (const Queue* queue : queues) {
                for (const PendingJob* pending : *queue) {
                    if (pending->below_min_share == below_min_share && !is_backing_off(*pending) &&
                        !visit(*pending)) {
                        return;
                    }
                }
            }
        }
    }

  private:
    // The order of the jobs within a queue.
    struct QueueOrder {
        bool operator()(const PendingJob* a, const PendingJob* b) const;
    };
    // The pending jobs of one team and priority.
    using Queue = std::set<const PendingJob*, QueueOrder>;
    struct QueueKey {
        std::string team;
        Priority priority = Priority::normal;
        friend bool operator<(const QueueKey& a, const QueueKey& b) {
            return std::tie(a.team, a.priority) < std::tie(b.team, b.priority);
        }
    };
    // A team's usage compared with its guarantee.
    struct TeamShare {
        bool above_guarantee = true;
        double fair_share_key = 0;  // the team with the smallest key is served first
    };
    using Deficits = std::map<admission::FlowName, double>;

    std::vector<const Queue*> queues_in_order(bool is_write_limited) const;
    std::map<std::string, TeamShare> team_shares() const;
    std::vector<admission::WaitingFlow> waiting_flows() const;
    std::map<admission::FlowName, double> machines_held_by_flow() const;
    Deficits find_min_share_deficits() const;
    void log_new_deficits(const Deficits& deficits) const;
    double team_weight(const std::string& name) const;
    double dominant_share(const Resources& amount) const;
    std::size_t shard_rank(const Job& job) const;
    bool is_backing_off(const PendingJob& pending) const;
    // Whether the queue was built from the current load of the local replica: a full reload
    // invalidates the Job pointers.
    bool is_current() const { return replica_loads_ == ctx_.jobs.load_count(); }
    void rebuild();
    void update(const std::string& uid);
    void remove(const std::string& uid);
    void add(const Job& job, double pending_since_s);
    int equivalence_class(const JobSpec& spec);

    Context& ctx_;
    const AgentRegistry& agents_;
    const JobFailures& job_failures_;
    std::unordered_map<std::string, std::unique_ptr<PendingJob>> pending_jobs_;  // by uid
    std::map<QueueKey, Queue> queues_;
    Deficits min_share_deficits_;
    double next_min_share_check_at_s_ = 0;  // steady clock
    // `JobStore::load_count()` of the replica that pending_jobs_ refers to.
    std::uint64_t replica_loads_ = 0;
    std::unordered_map<std::string, int> equivalence_classes_;  // by the text of the demands
};

}  // namespace cranemoor::core

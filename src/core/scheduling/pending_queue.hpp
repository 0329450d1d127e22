// Pending queue: the jobs that have tasks to place, in the order in which they are scheduled:
// hierarchical fair sharing over teams, then priorities, with a minimum share for each flow (one
// team's jobs of one class). Kept up to date by the change stream, so that a visit costs what it
// visits and not what is pending.
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

/// A job with tasks to place, with what every visit to it needs.
struct PendingJob {
    const Job* job = nullptr;
    std::string uid;
    std::string team;
    std::string job_class;
    Priority priority = Priority::normal;
    /// Its flow is below its minimum share.
    bool below_min_share = false;
    std::string image;
    /// When it became ready to run, in seconds since the Unix epoch.
    double ready_wall = 0;
    /// Since when it has tasks to place, as far as this process has seen; steady s.
    double pending_since = 0;
    /// Its tasks to place, as last seen.
    int open_tasks = 0;
    /// When one of its tasks was last placed, or it became pending; steady s.
    double last_progress_at = 0;
    /// This controller's rank in the order in which controllers place the job; 0 is its home.
    std::size_t shard_rank = 0;
    /// Equal for jobs that fit the same machines.
    int equivalence_class = 0;
};

/// The pending jobs of the cluster. All controllers have the same queue, but visit the jobs of
/// which they are the home before others that came at the same time.
class PendingQueue {
  public:
    /// The arguments must outlive the queue.
    PendingQueue(Context& ctx, const AgentRegistry& agents, const JobFailures& job_failures)
        : ctx_(ctx), agents_(agents), job_failures_(job_failures) {}

    /// The membership epoch changed, and with it the shard rank of each job.
    void epoch_changed();
    /// The records changed; `touched` holds the uids of the jobs that changed.
    void records_changed(const std::set<std::string>& touched);
    /// Checks from time to time which flows are below their minimum share.
    void tick();

    /// Machines that a flow lacks to its minimum share; 0 if it is not below it, or has not waited
    /// long enough.
    double min_share_deficit(const std::string& team, const std::string& job_class) const;

    /// The factor by which the usual interval between visits of all jobs is stretched, from 1 to
    /// `max_factor`: the more jobs are pending the longer a visit takes, and the less a moment more
    /// matters to them.
    double round_interval_factor(double max_factor) const;

    /// Visits the jobs in scheduling order, until the visitor returns false. Flows below their
    /// minimum share go first. If `is_write_limited`, claims wait for the write limit and the order
    /// decides about many seconds: of the teams below their guarantee, production jobs then go
    /// before others.
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
    // The order within a queue.
    struct Before {
        bool operator()(const PendingJob* a, const PendingJob* b) const;
    };
    // The jobs of one team and priority.
    using Queue = std::set<const PendingJob*, Before>;
    struct QueueKey {
        std::string team;
        Priority priority = Priority::normal;
        friend bool operator<(const QueueKey& a, const QueueKey& b) {
            return std::tie(a.team, a.priority) < std::tie(b.team, b.priority);
        }
    };
    // How a team stands to its guarantee.
    struct TeamStanding {
        bool above_guarantee = true;
        double need = 0;  // the least is served first
    };
    using Deficits = std::map<admission::FlowName, double>;

    std::vector<const Queue*> queues_in_order(bool is_write_limited) const;
    std::map<std::string, TeamStanding> team_standings() const;
    std::vector<admission::WaitingFlow> waiting_flows() const;
    std::map<admission::FlowName, double> machines_held_by_flow() const;
    Deficits find_min_share_deficits() const;
    void log_new_deficits(const Deficits& deficits) const;
    double team_weight(const std::string& name) const;
    double dominant_share(const Resources& amount) const;
    std::size_t shard_rank(const Job& job) const;
    bool is_backing_off(const PendingJob& pending) const;
    // Whether this is of the replica of the records as it was last read whole.
    bool is_current() const { return replica_loads_ == ctx_.jobs.load_count(); }
    void rebuild();
    void update(const std::string& uid);
    void remove(const std::string& uid);
    void add(const Job& job, double pending_since);
    int equivalence_class(const JobSpec& spec);

    Context& ctx_;
    const AgentRegistry& agents_;
    const JobFailures& job_failures_;
    std::unordered_map<std::string, std::unique_ptr<PendingJob>> pending_jobs_;  // by uid
    std::map<QueueKey, Queue> queues_;
    Deficits min_share_deficits_;
    double next_min_share_check_at_ = 0;  // steady s
    std::uint64_t replica_loads_ = 0;     // Jobs::load_count() of pending_jobs_
    std::unordered_map<std::string, int> equivalence_classes_;  // by what is demanded
};

}  // namespace cranemoor::core

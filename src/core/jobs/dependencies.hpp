/// Dependencies: the graph of jobs that wait for others. Decides when such a job may run,
/// propagates a cancellation to all dependents of the cancelled job, and lets a job inherit the
/// priority of its dependents.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/model/budget.hpp"

namespace cranemoor::core {

/// Tracks the dependencies of waiting jobs in the replica. All controllers track them; one member
/// at a time writes what follows from them.
class Dependencies {
  public:
    /// Outcome of a job; `open`: it has neither ended nor been cancelled.
    enum class Outcome { open, done, cancelled };

    /// Reads the replica and sends reads and writes through `ctx`; both must outlive this.
    Dependencies(Context& ctx, const Membership& membership)
        : ctx_(ctx),
          membership_(membership),
          read_limiter_(ctx.settings.store_requests_per_s * constants::final_state_read_share,
                        ctx.settings.store_requests_per_s * constants::final_state_read_share) {}

    /// Updates the graph after the records of these jobs changed (`touched`: their uids).
    void records_changed(const std::set<std::string>& touched);
    /// Checks the jobs that may be ready or cancelled, and all waiting ones from time to time.
    void tick();
    /// The outcome of a job by its records and those of all its direct and transitive dependencies:
    /// cancelled if any of them is. Empty while that is not known.
    std::optional<Outcome> effective_outcome(const std::string& uid) const;

  private:
    void update_dependencies(const std::string& uid);
    void refresh_priority(const std::string& uid);
    std::optional<Outcome> recorded_outcome(const std::string& uid) const;
    void check_waiting_job(const std::string& uid);
    void mark_ready(const Job& job);
    void cancel_dependents(const std::vector<std::string>& uids);
    std::vector<std::string> transitive_dependents(const std::string& uid) const;
    bool is_responsible() const;
    void delete_orphaned_parts();

    Context& ctx_;
    const Membership& membership_;
    // Of waiting jobs: the jobs that each depends on.
    std::map<std::string, std::set<std::string>> dependencies_of_;
    // The waiting jobs that depend on each job.
    std::map<std::string, std::set<std::string>> dependents_of_;
    // Waiting jobs that may be ready or have a cancelled dependency.
    std::set<std::string> jobs_to_check_;
    std::set<std::string> writes_in_flight_;  // uids of jobs with a write of ours in flight
    // Outcomes read from archived final states, of jobs that are not in the replica.
    std::unordered_map<std::string, Outcome> archived_outcomes_;
    std::set<std::string> reads_in_flight_;  // uids of jobs whose final state is being read
    // Uids with parts of a dependency list but no waiting job: steady time since when.
    std::map<std::string, double> orphaned_since_s_;
    TokenBucket read_limiter_;
    double next_check_s_ = 0;  // steady time of the next check of all waiting jobs
};

}  // namespace cranemoor::core

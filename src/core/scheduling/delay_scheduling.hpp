// Delay scheduling (Zaharia et al., EuroSys 2010, section 4.1, Algorithm 3) with one locality
// level: a machine is local for a job if it has the job's container image cached. A job that is
// offered only machines without it is skipped until it has waited W seconds, and may then use any
// machine until it starts on a local one again.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The locality level of a job (the paper's j.level).
enum class LocalityLevel {
    image_local,  ///< it is skipped for machines without its image, up to its wait
    any,          ///< it uses any machine
};

/// Locality levels and waiting times of all jobs.
class DelayScheduling {
  public:
    /// What the algorithm keeps of a job (the paper's j.level, j.wait and j.skipped).
    struct JobState {
        LocalityLevel level = LocalityLevel::image_local;
        double waited_s = 0;
        bool is_skipped = false;
    };

    /// `ctx` and `fleet` must outlive this object.
    DelayScheduling(const Context& ctx, const Fleet& fleet) : ctx_(ctx), fleet_(fleet) {}

    /// Adds the time since the last round to the wait of each job that was skipped in it.
    void begin_round(double elapsed_s);
    /// The state of a job, as new for one that was not seen yet.
    JobState state_of(const std::string& uid) const;
    /// Notes that the job lets a machine pass in this round.
    void skip(const std::string& uid);
    /// The job has claimed machines, the best of which has its image or not: sets its level
    /// accordingly, and its wait to 0.
    void on_claimed(const std::string& uid, bool has_image);
    /// Drops the state of a job that has nothing left to place.
    void forget(const std::string& uid) { states_.erase(uid); }

    /// The wait W of a job for that machine, in seconds: how long it may let the machine pass. At
    /// most the tunable `locality_wait_s` and a share of what the fetch takes there; longer if the
    /// fetch would share its rate with another (`fetch_contended`).
    double longest_wait_s(const Machine& machine, const JobSpec& spec, bool fetch_contended) const;

  private:
    const Context& ctx_;
    const Fleet& fleet_;
    std::unordered_map<std::string, JobState> states_;  // by job
    std::vector<std::string> skipped_;                  // jobs skipped in the last round
};

}  // namespace cranemoor::core

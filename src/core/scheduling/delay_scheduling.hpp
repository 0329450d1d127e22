/// Delay scheduling (Zaharia et al., EuroSys 2010, section 4.1, Algorithm 3) with one locality
/// level: a machine is local for a job if it has the job's container image cached. A job that is
/// offered only machines without it is skipped until it has waited W seconds, and may then use any
/// machine until it starts on a local one again.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/agents/agent_registry.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

/// The locality level of a job (the paper's j.level).
enum class LocalityLevel {
    image_local,  ///< the job skips machines without its image, for at most its wait W
    any,          ///< the job uses any machine
};

/// Tracks the locality level and the wait of each job.
class DelayScheduling {
  public:
    /// The algorithm's state of a job (the paper's j.level, j.wait and j.skipped).
    struct JobState {
        LocalityLevel level = LocalityLevel::image_local;
        double waited_s = 0;
        bool is_skipped = false;
    };

    /// `ctx` and `agents` must outlive this object.
    DelayScheduling(const Context& ctx, const AgentRegistry& agents) : ctx_(ctx), agents_(agents) {}

    /// Begins a round, `elapsed_s` seconds after the last one: adds that time to the wait of each
    /// job skipped in the last round.
    void begin_round(double elapsed_s);
    /// The state of a job; the initial state for an unknown job.
    JobState state_of(const std::string& uid) const;
    /// Records that the job skips a machine in this round.
    void skip(const std::string& uid);
    /// Resets the job's wait after a claim and sets its level: `has_image` tells whether the
    /// best-ranked machine has the job's image.
    void on_claimed(const std::string& uid, bool has_image);
    /// Drops the state of a job that has no tasks left to place.
    void forget(const std::string& uid) { states_.erase(uid); }

    /// The wait W in seconds: how long the job may skip that machine. At most the tunable
    /// `locality_wait_s` and a share of the image's fetch time there; longer if the fetch would
    /// share its rate with another one (`fetch_contended`).
    double longest_wait_s(const Machine& machine, const JobSpec& spec, bool fetch_contended) const;

  private:
    const Context& ctx_;
    const AgentRegistry& agents_;
    std::unordered_map<std::string, JobState> states_;  // by uid
    std::vector<std::string> skipped_;  // uids of the jobs skipped since the last round began
};

}  // namespace cranemoor::core

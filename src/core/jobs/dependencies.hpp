// Dependencies: jobs that wait for others. Says when such a job may run, hands a cancellation on to
// all that need the cancelled job, and lends the priority of those that wait to what they wait for.
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

class Dependencies {
  public:
    enum class End { open, done, cancelled };

    Dependencies(Context& ctx, const Membership& membership)
        : ctx_(ctx),
          membership_(membership),
          look_ups_(ctx.settings.store_requests_per_s * constants::final_state_read_share,
                    ctx.settings.store_requests_per_s * constants::final_state_read_share) {}

    // touched: jobs that changed
    void records_changed(const std::set<std::string>& touched);
    void tick();
    // How a job stands, from what the records say of it and of all that it needs; none while that
    // is not known.
    std::optional<End> verdict(const std::string& uid) const;

  private:
    void note(const std::string& uid);
    void refresh_priority(const std::string& uid);
    std::optional<End> end_of(const std::string& uid) const;
    void look(const std::string& uid);
    void release(const Job& job);
    void cancel_with(const std::vector<std::string>& uids);
    std::vector<std::string> needing(const std::string& uid) const;
    bool acting() const;
    void remove_stray_parts();

    Context& ctx_;
    const Membership& membership_;
    std::map<std::string, std::set<std::string>> waiting_;  // job, and what it still waits for
    std::map<std::string, std::set<std::string>> needed_by_;
    std::set<std::string> look_;     // jobs that wait and may be ready, or cancelled with another
    std::set<std::string> writing_;  // a write of ours for them is under way
    std::unordered_map<std::string, End> moved_;  // ends that are in no memory, as they were read
    std::set<std::string> reading_;
    std::map<std::string, double>
        strays_;  // jobs nobody accepted whose parts are there: since when
    TokenBucket look_ups_;
    double next_look_ = 0;
};

}  // namespace cranemoor::core

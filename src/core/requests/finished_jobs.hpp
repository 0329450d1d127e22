// Finished jobs: final states of jobs, from the replica, a cache or the key-value store.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/context/context.hpp"
#include "core/model/budget.hpp"
#include "core/requests/open_requests.hpp"

namespace cranemoor::core {

/// Finds the final states of jobs. A final state needs no fresh read: it never changes.
class FinishedJobs {
  public:
    /// Called with the final state, or nullptr if the job has none. The pointer is valid during the
    /// call only.
    using OnFound = std::function<void(const Finished*)>;

    FinishedJobs(Context& ctx, OpenRequests& open_requests);

    /// The final state if it is in memory (in the replica or the cache), else nullptr.
    const Finished* find(const std::string& uid) const;
    /// Looks in memory and then in the key-value store. `on_found` isn't called if `request` was
    /// answered meanwhile, or is rejected here as unavailable because the store doesn't answer or
    /// the rate limit of such reads is reached.
    void look_up(RequestId request, const std::string& uid, OnFound on_found);

  private:
    void add_to_cache(const std::string& uid, const Finished& final_state);

    Context& ctx_;
    OpenRequests& open_requests_;
    TokenBucket look_up_rate_limiter_;
    std::unordered_map<std::string, Finished> cache_;
    std::vector<std::string> cache_order_;  // a ring buffer: the oldest entry is replaced first
    std::size_t next_replaced_ = 0;         // index in cache_order_
};

}  // namespace cranemoor::core

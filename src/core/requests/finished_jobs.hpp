// Finished jobs: final states of jobs, from the replica, from a cache and from the key-value store.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/context/context.hpp"
#include "core/model/budget.hpp"
#include "core/requests/open_requests.hpp"

namespace cranemoor::core {

/// Finds the final states of jobs. A final state needs no fresh read: nothing comes after it.
class FinishedJobs {
  public:
    /// Called with the final state, or nullptr if the job has none. The state is valid during the
    /// call only.
    using Found = std::function<void(const Finished*)>;

    FinishedJobs(Context& ctx, OpenRequests& open_requests);

    /// The final state if it is in memory (the replica or the cache), else nullptr.
    const Finished* find(const std::string& uid) const;
    /// Looks in memory and then in the key-value store. `found` isn't called if `request` was
    /// answered meanwhile, or if it is rejected here as unavailable: the store doesn't answer, or
    /// the limit on such reads is reached.
    void look_up(RequestId request, const std::string& uid, Found found);

  private:
    void remember(const std::string& uid, const Finished& final_state);

    Context& ctx_;
    OpenRequests& open_requests_;
    TokenBucket look_up_budget_;
    std::unordered_map<std::string, Finished> cache_;
    std::vector<std::string> cache_order_;  // a ring: the oldest entry is replaced first
    std::size_t next_replaced_ = 0;         // index in cache_order_
};

}  // namespace cranemoor::core

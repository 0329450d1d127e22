/// PendingCalls: the completions of calls in flight, matched to their replies by call id.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cranemoor::core {

/// The calls in flight of one kind. `Reply`: the argument types of their completions.
template <typename... Reply>
class PendingCalls {
  public:
    using Completion = std::function<void(const Reply&...)>;

    /// Records the completion of the call with this id.
    void add(std::uint64_t id, Completion completion) { completions_[id] = std::move(completion); }
    /// Removes the completion of that call and runs it; does nothing for an unknown id.
    void complete(std::uint64_t id, const Reply&... reply) {
        auto entry = completions_.find(id);
        if (entry == completions_.end()) {
            return;
        }
        Completion completion = std::move(entry->second);
        completions_.erase(entry);
        completion(reply...);
    }

  private:
    std::map<std::uint64_t, Completion> completions_;
};

}  // namespace cranemoor::core

// Calls to the cloud's interface, within a budget below its limit.
#pragma once

#include <deque>
#include <functional>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"

namespace cranemoor::io {

class CloudClient {
  public:
    using Done = std::function<void(std::uint64_t id, const core::CloudReply&)>;
    CloudClient(Loop& loop, const core::Settings& settings, Done done);
    void call(core::CloudCall call);

  private:
    void pump();

    Loop& loop_;
    Done done_;
    HttpClient client_;
    core::RateBudget budget_;
    std::deque<core::CloudCall> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

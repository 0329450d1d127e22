// Calls to the state service, within a budget below its limits.
#pragma once

#include <deque>
#include <functional>

#include "core/model/actions.hpp"
#include "core/model/budget.hpp"
#include "io/http_client.hpp"

namespace cranemoor::io {

class StateClient {
  public:
    using Done = std::function<void(std::uint64_t id, const core::StoreReply&)>;
    StateClient(Loop& loop, const core::Settings& settings, Done done);
    void call(core::StoreCall call);

  private:
    struct Waiting {
        core::StoreCall call;
        double deadline = 0;
        double not_before = 0;
        int tries = 0;
    };
    void enqueue(Waiting w);
    void pump();
    void send(const Waiting& w);

    Loop& loop_;
    Done done_;
    HttpClient calls_;
    HttpClient watches_;
    core::RateBudget requests_;
    core::RateBudget writes_;
    core::RateBudget reopened_;
    std::deque<Waiting> queue_;
    Timer timer_;
};

}  // namespace cranemoor::io

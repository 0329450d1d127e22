/// Checks that replies to users are linearizable: no reply may report an older state than a
/// reply that any user had received from any node before the request was sent.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::test {

/// History of all requests and replies, in the order in which they were sent and received.
class AnswerHistory {
  public:
    /// Records that a request about a job was sent.
    void record_request(std::uint64_t request, const std::string& uid, double time_s);
    /// Records a reply; returns the rule that it violates and the earlier reply that it
    /// contradicts, or an empty string.
    std::string check_reply(const core::UserReply& reply, double time_s);

  private:
    struct Reply {
        std::uint64_t order = 0;  // 0: none so far
        std::uint64_t request = 0;
        double time_s = 0;
    };
    // The first reply that reported each state of a job.
    struct FirstReplies {
        Reply accepted;
        Reply cancelled;
        Reply done;
    };
    struct Request {
        std::string uid;
        std::uint64_t order = 0;
        double time_s = 0;
    };
    std::map<std::uint64_t, Request> requests_;          // by request id
    std::map<std::string, FirstReplies> first_replies_;  // by uid
    std::uint64_t last_order_ = 0;
};

}  // namespace cranemoor::test

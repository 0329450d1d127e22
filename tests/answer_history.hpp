// Every answer to every user, in the order in which they were asked for and given. It tells when
// one is older than what had been told before it was asked for, at whatever node: answers are to be
// linearizable.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::test {

class AnswerHistory {
  public:
    void asked(std::uint64_t request, const std::string& uid, double at);
    // Takes an answer in; returns which rule it breaks and against which earlier answer, or "".
    std::string answered(const core::UserReply& reply, double at);

  private:
    struct Answer {
        std::uint64_t order = 0;  // 0: none so far
        std::uint64_t request = 0;
        double at = 0;
    };
    // The first answers that said so.
    struct Told {
        Answer accepted;
        Answer cancelled;
        Answer done;
    };
    struct Asked {
        std::string uid;
        std::uint64_t order = 0;
        double at = 0;
    };
    std::map<std::uint64_t, Asked> asked_;
    std::map<std::string, Told> told_;
    std::uint64_t order_ = 0;
};

}  // namespace cranemoor::test

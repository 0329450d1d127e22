// OverloadDetector: what this process runs short of, measured where it is used.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::core {

class OverloadDetector {
  public:
    void began(std::uint64_t id, const Txn& txn, double now);
    void ended(std::uint64_t id, StoreReply::Status status, double now);

    // s that a change waits for its answer: of those that work waits for, the age of the oldest on
    // its way, or what they took lately if that is more
    double write_wait_s(double now) const;
    // Puts and deletes sent off since the last call, and how many of them by purpose, in words.
    std::string take_words(double now);
    // What one member tells another.
    OverloadSample sample(double now) const;

  private:
    struct Open {
        double since = 0;
        std::size_t writes = 0;
        std::size_t writes_avoided = 0;
        Txn::Purpose purpose = Txn::Purpose::other;
        bool waited_for = true;
    };

    std::map<std::uint64_t, Open> open_;  // changes on their way, by the number of their call
    double took_s_ = 0;                   // smoothed over changes
    double rate_ = 0;                     // puts and deletes asked for a second, smoothed
    double rate_at_ = 0;
    std::array<std::size_t, static_cast<std::size_t>(Txn::Purpose::count)> written_{};
    std::size_t lost_ = 0;     // changes that others came before
    std::size_t refused_ = 0;  // changes that were not taken
    double words_at_ = 0;
};

}  // namespace cranemoor::core

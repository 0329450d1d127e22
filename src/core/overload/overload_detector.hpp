/// Overload detector: measures how long this process's transactions wait for the key-value store
/// and how many writes it requests.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/model/actions.hpp"

namespace cranemoor::core {

/// Pure: every input comes with its steady time in seconds (`now`).
class OverloadDetector {
  public:
    /// A call to the key-value store was sent. `txn`: its transaction; calls without writes are
    /// ignored.
    void on_call_sent(std::uint64_t call_id, const Txn& txn, double now);
    /// The reply to that call; replies to calls that were ignored are ignored too.
    void on_reply(std::uint64_t call_id, StoreReply::Status status, double now);

    /// Seconds that a transaction waits for its reply, among those that work waits for (of normal
    /// or high urgency): the age of the oldest one in flight, or the recent average if that is
    /// longer.
    double write_wait_s(double now) const;
    /// Summary for the log: puts and deletes replied to since the last call, by purpose, and the
    /// transactions that failed.
    std::string take_log_summary(double now);
    /// What this process sends to its peers.
    OverloadSample sample(double now) const;

  private:
    struct InFlightTxn {
        double sent_s = 0;  // steady time
        std::size_t writes = 0;
        std::size_t writes_avoided = 0;
        Txn::Purpose purpose = Txn::Purpose::other;
        bool is_awaited = true;  // work waits for it
    };

    std::map<std::uint64_t, InFlightTxn> in_flight_;  // by call id
    double average_wait_s_ = 0;                       // moving average over transactions
    // Requested puts and deletes, including those avoided by batching, smoothed.
    double writes_per_s_ = 0;
    double rate_updated_s_ = 0;  // steady time
    // Since the last log summary: puts and deletes by purpose, and transactions that failed.
    std::array<std::size_t, static_cast<std::size_t>(Txn::Purpose::count)> writes_by_purpose_{};
    std::size_t conflicts_ = 0;
    std::size_t refusals_ = 0;
    double last_summary_s_ = 0;  // steady time
};

}  // namespace cranemoor::core

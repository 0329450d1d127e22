#include "core/overload/overload_detector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/model/constants.hpp"

namespace cranemoor::core {

namespace {
constexpr std::array<const char*, static_cast<std::size_t>(Txn::Purpose::count)> purpose_names = {
    "other",      "accepted jobs", "cancellations", "claims",
    "task exits", "final states",  "release marks", "claim batches"};
}  // namespace

void OverloadDetector::on_call_sent(std::uint64_t call_id, const Txn& txn, double now) {
    if (!txn.writes.empty()) {
        in_flight_[call_id] = {now, txn.writes.size(), txn.writes_avoided, txn.purpose,
                               txn.urgency != Urgency::low};
    }
}

void OverloadDetector::on_reply(std::uint64_t call_id, StoreReply::Status status, double now) {
    auto it = in_flight_.find(call_id);
    if (it == in_flight_.end()) {
        return;
    }
    const InFlightTxn& txn = it->second;
    if (txn.is_awaited) {
        average_wait_s_ +=
            constants::write_wait_smoothing_factor * (now - txn.sent_s - average_wait_s_);
    }
    writes_by_purpose_[static_cast<std::size_t>(txn.purpose)] += txn.writes;
    conflicts_ += status == StoreReply::Status::conflict ? 1 : 0;
    refusals_ += status == StoreReply::Status::refused ? 1 : 0;
    double elapsed_s = std::max(0.0, now - rate_updated_s_);
    writes_per_s_ =
        writes_per_s_ * std::exp(-elapsed_s / constants::write_rate_window_s) +
        static_cast<double>(txn.writes + txn.writes_avoided) / constants::write_rate_window_s;
    rate_updated_s_ = now;
    in_flight_.erase(it);
}

double OverloadDetector::write_wait_s(double now) const {
    double wait = average_wait_s_;
    for (const auto& [id, txn] : in_flight_) {
        if (txn.is_awaited) {
            wait = std::max(wait, now - txn.sent_s);
            break;  // call ids increase: the first one is the oldest
        }
    }
    return wait;
}

OverloadSample OverloadDetector::sample(double now) const {
    double writes_per_s = writes_per_s_ * std::exp(-std::max(0.0, now - rate_updated_s_) /
                                                   constants::write_rate_window_s);
    return {write_wait_s(now), writes_per_s};
}

std::string OverloadDetector::take_log_summary(double now) {
    double elapsed_s = std::max(1e-3, now - last_summary_s_);
    std::size_t writes = 0;
    std::string by_purpose;
    for (std::size_t i = 0; i < purpose_names.size(); ++i) {
        writes += writes_by_purpose_[i];
        if (writes_by_purpose_[i] > 0) {
            by_purpose += fmt::format("{}{} {}", by_purpose.empty() ? "" : ", ", purpose_names[i],
                                      writes_by_purpose_[i]);
        }
    }
    auto summary =
        fmt::format("{:.1f} writes/s ({}), write wait {:.2f} s, {} conflicts, {} refused",
                    static_cast<double>(writes) / elapsed_s, by_purpose, write_wait_s(now),
                    conflicts_, refusals_);
    writes_by_purpose_ = {};
    conflicts_ = refusals_ = 0;
    last_summary_s_ = now;
    return summary;
}

}  // namespace cranemoor::core

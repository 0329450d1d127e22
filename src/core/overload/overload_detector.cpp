#include "core/overload/overload_detector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/model/constants.hpp"

namespace cranemoor::core {

namespace {
constexpr std::array<const char*, static_cast<std::size_t>(Txn::Purpose::count)> names = {
    "other", "accepted", "cancelled", "claims", "ends", "finals", "marks", "sheets"};
}  // namespace

void OverloadDetector::began(std::uint64_t id, const Txn& txn, double now) {
    if (!txn.writes.empty()) {
        open_[id] = {now, txn.writes.size(), txn.writes_avoided, txn.purpose,
                     txn.urgency != Urgency::low};
    }
}

void OverloadDetector::ended(std::uint64_t id, StoreReply::Status status, double now) {
    auto it = open_.find(id);
    if (it == open_.end()) {
        return;
    }
    const Open& o = it->second;
    if (o.waited_for) {
        took_s_ += constants::write_wait_smoothing_factor * (now - o.since - took_s_);
    }
    written_[static_cast<std::size_t>(o.purpose)] += o.writes;
    lost_ += status == StoreReply::Status::conflict ? 1 : 0;
    refused_ += status == StoreReply::Status::refused ? 1 : 0;
    double passed = std::max(0.0, now - rate_at_);
    rate_ = rate_ * std::exp(-passed / constants::write_rate_window_s) +
            static_cast<double>(o.writes + o.writes_avoided) / constants::write_rate_window_s;
    rate_at_ = now;
    open_.erase(it);
}

double OverloadDetector::write_wait_s(double now) const {
    double wait = took_s_;
    for (const auto& [id, o] : open_) {
        if (o.waited_for) {
            wait = std::max(wait, now - o.since);
            break;  // the first one is the oldest
        }
    }
    return wait;
}

OverloadSample OverloadDetector::sample(double now) const {
    double rate = rate_ * std::exp(-std::max(0.0, now - rate_at_) / constants::write_rate_window_s);
    return {write_wait_s(now), rate};
}

std::string OverloadDetector::take_words(double now) {
    double passed = std::max(1e-3, now - words_at_);
    std::size_t all = 0;
    std::string by;
    for (std::size_t i = 0; i < names.size(); ++i) {
        all += written_[i];
        if (written_[i] > 0) {
            by += fmt::format("{}{} {}", by.empty() ? "" : ", ", names[i], written_[i]);
        }
    }
    auto words =
        fmt::format("{:.1f} writes a second ({}), {:.2f} s waited, {} lost to others, {} refused",
                    static_cast<double>(all) / passed, by, write_wait_s(now), lost_, refused_);
    written_ = {};
    lost_ = refused_ = 0;
    words_at_ = now;
    return words;
}

}  // namespace cranemoor::core

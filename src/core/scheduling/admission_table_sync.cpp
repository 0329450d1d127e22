#include "core/scheduling/admission_table_sync.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

AdmissionTableSync::AdmissionTableSync(Context& ctx, const Membership& membership,
                                       const AgentRegistry& agents)
    : ctx_(ctx),
      membership_(membership),
      agents_(agents),
      write_scarcity_({constants::overload_onset_wait_s, constants::overload_onset_duration_s,
                       constants::overload_clear_wait_s, constants::overload_clear_rate_share,
                       constants::overload_clear_duration_s}) {}

void AdmissionTableSync::on_overload_sample(const std::string& peer, const OverloadSample& sample) {
    samples_by_peer_[peer] = {sample, ctx_.now.steady};
}

void AdmissionTableSync::tick() {
    double t = ctx_.now.steady;
    if (!ctx_.is_member || t < next_tick_s_) {
        return;
    }
    next_tick_s_ = t + constants::overload_check_interval_s;
    if (t >= next_pressure_log_s_) {
        next_pressure_log_s_ = t + constants::overload_log_interval_s;
        ctx_.info("pressure: {}", ctx_.overload.take_words(t));
    }
    if (membership_.is_leader() && membership_.has_store_contact() &&
        ctx_.all_controllers_support(current_feature_level)) {
        update_table();
    }
}

void AdmissionTableSync::update_table() {
    double t = ctx_.now.steady;
    OverloadSample mine = ctx_.overload.sample(t);
    double wait = mine.write_wait_s;
    double writes = mine.writes_per_s;
    for (const auto& [name, h] : samples_by_peer_) {
        if (t - h.at < constants::peer_heartbeat_ttl_s) {
            wait = std::max(wait, h.sample.write_wait_s);
            writes += h.sample.writes_per_s;
        }
    }
    const auto& old = ctx_.jobs.admission_table();
    admission::Table next = old.value_or(admission::Table{});
    bool was = next.shared;
    write_scarcity_.set(was);
    next.shared = write_scarcity_.look(t, wait, writes / ctx_.settings.store_writes_per_s);
    if (!next.shared && !was) {
        return;
    }
    if (next.shared == was && t < next_refresh_s_) {
        return;
    }
    next.parts = controller_parts();
    if (next.shared != was || parts_differ(next.parts)) {
        write_table(std::move(next));
    }
}

// By the machines that each member owns: what it can place.
std::map<std::uint64_t, admission::Part> AdmissionTableSync::controller_parts() const {
    std::map<std::uint64_t, int> machines;
    for (const auto& m : ctx_.jobs.epoch()->members) {
        machines[m.id] = 0;
    }
    for (const auto& [name, m] : agents_.machines()) {
        const Member* owner = membership_.owner(name, m.zone);
        if (owner != nullptr && agents_.in_use(m)) {
            machines[owner->id]++;
        }
    }
    std::map<std::uint64_t, admission::Part> parts;
    for (const auto& [id, n] : machines) {
        parts[id] = {std::max(1, n)};
    }
    return parts;
}

// Whether the table's parts are so far from what they should be that a write is worth it.
bool AdmissionTableSync::parts_differ(
    const std::map<std::uint64_t, admission::Part>& wanted) const {
    const auto& old = ctx_.jobs.admission_table()->parts;
    auto sum = [](const auto& all) {
        double s = 0;
        for (const auto& [id, part] : all) {
            s += part.weight;
        }
        return std::max(1.0, s);
    };
    double now = sum(wanted);
    double then = sum(old);
    return std::any_of(wanted.begin(), wanted.end(), [&](const auto& p) {
        auto o = old.find(p.first);
        double before = o == old.end() ? 0 : o->second.weight / then;
        return std::abs(p.second.weight / now - before) > constants::admission_share_change_min;
    });
}

void AdmissionTableSync::write_table(admission::Table next) {
    if (write_in_flight_) {
        return;
    }
    const auto& old = ctx_.jobs.admission_table();
    next.number = old ? old->number + 1 : 1;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition(),
                      {keys::admission_table, ctx_.jobs.revision_of(keys::admission_table)}};
    txn.writes = {{keys::admission_table, encode(next)}};
    write_in_flight_ = true;
    next_refresh_s_ = ctx_.now.steady + constants::admission_table_write_interval_s;
    ctx_.info("admission table {}: records {}", next.number,
              next.shared ? "shared, writes are short" : "by block again");
    ctx_.send_txn(std::move(txn), [this](const StoreReply& r) {
        ctx_.when_settled(r, [this] { write_in_flight_ = false; });
    });
}

}  // namespace cranemoor::core

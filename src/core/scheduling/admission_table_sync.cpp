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
    double now = ctx_.now.steady;
    if (!ctx_.is_member || now < next_tick_s_) {
        return;
    }
    next_tick_s_ = now + constants::overload_check_interval_s;
    if (now >= next_load_log_s_) {
        next_load_log_s_ = now + constants::overload_log_interval_s;
        ctx_.info("write load: {}", ctx_.overload.take_log_summary(now));
    }
    if (membership_.is_leader() && membership_.has_store_contact() &&
        ctx_.all_controllers_support(current_feature_level)) {
        update_table();
    }
}

void AdmissionTableSync::update_table() {
    double now = ctx_.now.steady;
    OverloadSample own_sample = ctx_.overload.sample(now);
    double write_wait_s = own_sample.write_wait_s;
    double writes_per_s = own_sample.writes_per_s;
    for (const auto& [name, received] : samples_by_peer_) {
        if (now - received.received_at < constants::peer_heartbeat_ttl_s) {
            write_wait_s = std::max(write_wait_s, received.sample.write_wait_s);
            writes_per_s += received.sample.writes_per_s;
        }
    }
    const auto& current = ctx_.jobs.admission_table();
    admission::Table next = current.value_or(admission::Table{});
    bool was_shared = next.write_overload;
    write_scarcity_.set(was_shared);
    next.write_overload =
        write_scarcity_.update(now, write_wait_s, writes_per_s / ctx_.settings.store_writes_per_s);
    if (!next.write_overload && !was_shared) {
        return;
    }
    if (next.write_overload == was_shared && now < next_refresh_s_) {
        return;
    }
    next.member_shares = controller_weights();
    if (next.write_overload != was_shared || weights_differ(next.member_shares)) {
        write_table(std::move(next));
    }
}

// Weights by controller id: the number of usable machines that the controller owns, at least 1.
std::map<std::uint64_t, admission::MemberShare> AdmissionTableSync::controller_weights() const {
    std::map<std::uint64_t, int> machine_counts;
    for (const auto& member : ctx_.jobs.epoch()->members) {
        machine_counts[member.id] = 0;
    }
    for (const auto& [name, machine] : agents_.machines()) {
        const Member* owner = membership_.owner(name, machine.zone);
        if (owner != nullptr && agents_.schedulable(machine)) {
            machine_counts[owner->id]++;
        }
    }
    std::map<std::uint64_t, admission::MemberShare> weights;
    for (const auto& [id, count] : machine_counts) {
        weights[id] = {std::max(1, count)};
    }
    return weights;
}

// Whether the table's weights differ enough from the wanted ones to be worth a write.
bool AdmissionTableSync::weights_differ(
    const std::map<std::uint64_t, admission::MemberShare>& wanted) const {
    const auto& current = ctx_.jobs.admission_table()->member_shares;
    auto total_weight = [](const auto& parts) {
        double total = 0;
        for (const auto& [id, part] : parts) {
            total += part.weight;
        }
        return std::max(1.0, total);
    };
    double wanted_total = total_weight(wanted);
    double current_total = total_weight(current);
    return std::any_of(wanted.begin(), wanted.end(), [&](const auto& entry) {
        auto found = current.find(entry.first);
        double current_share = found == current.end() ? 0 : found->second.weight / current_total;
        return std::abs(entry.second.weight / wanted_total - current_share) >
               constants::admission_share_change_min;
    });
}

void AdmissionTableSync::write_table(admission::Table next) {
    if (write_in_flight_) {
        return;
    }
    const auto& current = ctx_.jobs.admission_table();
    next.number = current ? current->number + 1 : 1;
    Txn txn;
    txn.urgency = Urgency::high;
    txn.conditions = {ctx_.epoch_condition(),
                      {keys::admission_table, ctx_.jobs.revision_of(keys::admission_table)}};
    txn.writes = {{keys::admission_table, encode(next)}};
    write_in_flight_ = true;
    next_refresh_s_ = ctx_.now.steady + constants::admission_table_write_interval_s;
    ctx_.info("writing admission table {}: {}", next.number,
              next.write_overload
                  ? "writes scarce, array claims and task exits go to claim batches"
                  : "writes no longer scarce, claims and task exits go to block records");
    ctx_.send_txn(std::move(txn), [this](const StoreReply& reply) {
        ctx_.when_settled(reply, [this] { write_in_flight_ = false; });
    });
}

}  // namespace cranemoor::core

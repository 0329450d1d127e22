#include "core/accord.hpp"

#include <algorithm>
#include <cmath>

namespace cranemoor::core {

Accord::Accord(Context& ctx, const Membership& members, const Fleet& fleet)
    : ctx_(ctx),
      members_(members),
      fleet_(fleet),
      writes_({constants::writes_short_s, constants::writes_short_for_s, constants::writes_calm_s,
               constants::writes_calm_share, constants::writes_calm_for_s}) {}

void Accord::hear(const std::string& peer, const PressureSample& sample) {
    heard_[peer] = {sample, ctx_.now.steady};
}

void Accord::tick() {
    double t = ctx_.now.steady;
    if (!ctx_.member || t < next_look_) {
        return;
    }
    next_look_ = t + constants::accord_every_s;
    if (t >= next_word_) {
        next_word_ = t + constants::pressure_word_every_s;
        ctx_.info("pressure: {}", ctx_.pressure.take_words(t));
    }
    if (members_.is_leader() && members_.in_contact() && ctx_.upgraded(level_now)) {
        lead();
    }
}

void Accord::lead() {
    double t = ctx_.now.steady;
    PressureSample mine = ctx_.pressure.sample(t);
    double wait = mine.write_wait_s;
    double writes = mine.writes;
    for (const auto& [name, h] : heard_) {
        if (t - h.at < constants::peer_message_s) {
            wait = std::max(wait, h.sample.write_wait_s);
            writes += h.sample.writes;
        }
    }
    const auto& old = ctx_.jobs.table();
    admission::Table next = old.value_or(admission::Table{});
    bool was = next.shared;
    writes_.set(was);
    next.shared = writes_.look(t, wait, writes / ctx_.settings.state_write_rps);
    if (!next.shared && !was) {
        return;
    }
    if (next.shared == was && t < next_write_) {
        return;
    }
    next.parts = parts();
    if (next.shared != was || differ(next.parts)) {
        write(std::move(next));
    }
}

// By the machines that each member owns: what it can place.
std::map<std::uint64_t, admission::Part> Accord::parts() const {
    std::map<std::uint64_t, int> machines;
    for (const auto& m : ctx_.jobs.epoch()->members) {
        machines[m.id] = 0;
    }
    for (const auto& [name, m] : fleet_.machines()) {
        const Member* owner = members_.owner(name, m.zone);
        if (owner != nullptr && fleet_.in_use(m)) {
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
bool Accord::differ(const std::map<std::uint64_t, admission::Part>& parts) const {
    const auto& old = ctx_.jobs.table()->parts;
    auto sum = [](const auto& all) {
        double s = 0;
        for (const auto& [id, part] : all) {
            s += part.weight;
        }
        return std::max(1.0, s);
    };
    double now = sum(parts);
    double then = sum(old);
    return std::any_of(parts.begin(), parts.end(), [&](const auto& p) {
        auto o = old.find(p.first);
        double before = o == old.end() ? 0 : o->second.weight / then;
        return std::abs(p.second.weight / now - before) > constants::parts_step;
    });
}

void Accord::write(admission::Table next) {
    if (writing_) {
        return;
    }
    const auto& old = ctx_.jobs.table();
    next.number = old ? old->number + 1 : 1;
    Txn txn;
    txn.urgency = Urgency::first;
    txn.conditions = {ctx_.epoch_condition(), {keys::table, ctx_.jobs.revision_of(keys::table)}};
    txn.writes = {{keys::table, encode(next)}};
    writing_ = true;
    next_write_ = ctx_.now.steady + constants::table_every_s;
    ctx_.info("admission table {}: records {}", next.number,
              next.shared ? "shared, writes are short" : "by block again");
    ctx_.txn(std::move(txn),
             [this](const StateReply& r) { ctx_.when_settled(r, [this] { writing_ = false; }); });
}

}  // namespace cranemoor::core

#include "core/context/context.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

// What the log says of a refused transaction.
struct LargestValue {
    std::string key;
    std::size_t bytes = 0;
};

LargestValue largest_value(const Txn& txn) {
    LargestValue largest;
    for (const auto& write : txn.writes) {
        std::size_t bytes = write.value ? write.value->dump().size() : 0;
        if (bytes >= largest.bytes) {
            largest = {write.key, bytes};
        }
    }
    return largest;
}

bool has_leased_write(const Txn& txn) {
    return std::any_of(txn.writes.begin(), txn.writes.end(),
                       [](const Write& write) { return write.lease != 0; });
}

std::size_t usable_bytes(double limit_kb) {
    return static_cast<std::size_t>(limit_kb * 1024 * constants::value_limit_share);
}

}  // namespace

Context::Context(Settings the_settings, Tunables the_tunables, std::string the_boot_id)
    : settings(std::move(the_settings)), tunables(the_tunables), boot_id(std::move(the_boot_id)) {}

void Context::state(StoreCall call, StoreCalls::Completion done) {
    call.id = ++next_id_;
    overload.on_call_sent(call.id, call.txn, now.steady);
    store_calls_.add(call.id, std::move(done));
    out.emplace_back(std::move(call));
}

void Context::txn(Txn txn, StoreCalls::Completion done) {
    StoreCall call;
    call.kind = StoreCall::Kind::txn;
    call.txn = std::move(txn);
    // A refused transaction with a leased write speaks of an expired lease, not of its size.
    bool leased = has_leased_write(call.txn);
    auto largest = largest_value(call.txn);
    state(std::move(call), [this, largest = std::move(largest), leased,
                            done = std::move(done)](const StoreReply& reply) {
        if (reply.status == StoreReply::Status::bad_request && !leased) {
            // Not to be repeated as it is. What was larger than the announced limits allow says
            // that they are in force.
            error("state service refuses a change of {} and others, {} bytes", largest.key,
                  largest.bytes);
            announced_limits_in_force_ = announced_limits_in_force_ || largest.bytes > value_max();
        }
        done(reply);
    });
}

void Context::cloud(CloudCall call, CloudCalls::Completion done) {
    call.id = ++next_id_;
    cloud_calls_.add(call.id, std::move(done));
    out.emplace_back(std::move(call));
}

void Context::worker_command(WorkerCommandCall call, WorkerCommandCalls::Completion done) {
    call.id = ++next_id_;
    worker_command_calls_.add(call.id, std::move(done));
    out.emplace_back(std::move(call));
}

void Context::peer(PeerCall call, PeerCalls::Completion done) {
    call.id = ++next_id_;
    peer_calls_.add(call.id, std::move(done));
    out.emplace_back(std::move(call));
}

void Context::store_reply(std::uint64_t id, const StoreReply& reply) {
    overload.on_reply(id, reply.status, now.steady);
    store_calls_.complete(id, reply);
}

void Context::when_at(Revision revision, std::function<void()> then) {
    if (replica_complete && jobs.revision() >= revision) {
        then();
    } else {
        waiting_for_revision_.emplace(revision, std::move(then));
    }
}

void Context::when_settled(const StoreReply& reply, std::function<void()> then) {
    if (reply.status == StoreReply::Status::ok || reply.status == StoreReply::Status::conflict) {
        when_at(reply.revision, std::move(then));
    } else {
        then();
    }
}

void Context::run_waiting() {
    while (!waiting_for_revision_.empty() &&
           waiting_for_revision_.begin()->first <= jobs.revision()) {
        auto then = std::move(waiting_for_revision_.begin()->second);
        waiting_for_revision_.erase(waiting_for_revision_.begin());
        then();
    }
}

std::size_t Context::value_max() const {
    return usable_bytes(settings.store_value_kb_max);
}

std::size_t Context::value_max_today() const {
    return announced_limits_in_force_ ? value_max()
                                      : usable_bytes(settings.store_current_value_kb_max);
}

std::size_t Context::ops_max() const {
    return static_cast<std::size_t>(settings.store_txn_ops_max);
}

std::size_t Context::conditions_max() const {
    return ops_max() * 4;
}

bool Context::upgraded(FeatureLevel level) const {
    return jobs.feature_level(settings.name) >= level &&
           std::all_of(
               settings.peers.begin(), settings.peers.end(),
               [this, level](const Peer& peer) { return jobs.feature_level(peer.name) >= level; });
}

Condition Context::epoch_condition() const {
    return {keys::epoch, jobs.revision_of(keys::epoch)};
}

}  // namespace cranemoor::core

#include "core/context/context.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {

// The key and size of a transaction's largest value, for the log line about its rejection.
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

void Context::call_store(StoreCall call, StoreCalls::Completion done) {
    call.id = ++last_call_id_;
    overload.on_call_sent(call.id, call.txn, now.steady);
    store_calls_.add(call.id, std::move(done));
    actions.emplace_back(std::move(call));
}

void Context::send_txn(Txn txn, StoreCalls::Completion done) {
    StoreCall call;
    call.kind = StoreCall::Kind::txn;
    call.txn = std::move(txn);
    // The rejection of a transaction with a leased write means an expired lease, not its size.
    bool leased = has_leased_write(call.txn);
    auto largest = largest_value(call.txn);
    call_store(std::move(call), [this, largest = std::move(largest), leased,
                                 done = std::move(done)](const StoreReply& reply) {
        if (reply.status == StoreReply::Status::bad_request && !leased) {
            // Must not be retried unchanged. The rejection of a value above the announced limit
            // shows that the announced limits are in force.
            error("key-value store rejected a transaction; its largest value is {} with {} bytes",
                  largest.key, largest.bytes);
            announced_limits_in_force_ =
                announced_limits_in_force_ || largest.bytes > value_bytes_max();
        }
        done(reply);
    });
}

void Context::call_cloud(CloudCall call, CloudCalls::Completion done) {
    call.id = ++last_call_id_;
    cloud_calls_.add(call.id, std::move(done));
    actions.emplace_back(std::move(call));
}

void Context::call_worker(WorkerCommandCall call, WorkerCommandCalls::Completion done) {
    call.id = ++last_call_id_;
    worker_command_calls_.add(call.id, std::move(done));
    actions.emplace_back(std::move(call));
}

void Context::call_peer(PeerCall call, PeerCalls::Completion done) {
    call.id = ++last_call_id_;
    peer_calls_.add(call.id, std::move(done));
    actions.emplace_back(std::move(call));
}

void Context::store_reply(std::uint64_t id, const StoreReply& reply) {
    overload.on_reply(id, reply.status, now.steady);
    store_calls_.complete(id, reply);
}

void Context::when_replica_reaches(Revision revision, std::function<void()> then) {
    if (replica_complete && jobs.revision() >= revision) {
        then();
    } else {
        callbacks_by_revision_.emplace(revision, std::move(then));
    }
}

void Context::when_settled(const StoreReply& reply, std::function<void()> then) {
    if (reply.status == StoreReply::Status::ok || reply.status == StoreReply::Status::conflict) {
        when_replica_reaches(reply.revision, std::move(then));
    } else {
        then();
    }
}

void Context::run_due_callbacks() {
    while (!callbacks_by_revision_.empty() &&
           callbacks_by_revision_.begin()->first <= jobs.revision()) {
        auto then = std::move(callbacks_by_revision_.begin()->second);
        callbacks_by_revision_.erase(callbacks_by_revision_.begin());
        then();
    }
}

std::size_t Context::value_bytes_max() const {
    return usable_bytes(settings.store_value_kb_max);
}

std::size_t Context::current_value_bytes_max() const {
    return announced_limits_in_force_ ? value_bytes_max()
                                      : usable_bytes(settings.store_current_value_kb_max);
}

std::size_t Context::txn_ops_max() const {
    return static_cast<std::size_t>(settings.store_txn_ops_max);
}

std::size_t Context::txn_conditions_max() const {
    return txn_ops_max() * 4;
}

bool Context::all_controllers_support(FeatureLevel level) const {
    return jobs.feature_level(settings.name) >= level &&
           std::all_of(
               settings.peers.begin(), settings.peers.end(),
               [this, level](const Peer& peer) { return jobs.feature_level(peer.name) >= level; });
}

Condition Context::epoch_condition() const {
    return {keys::epoch, jobs.revision_of(keys::epoch)};
}

}  // namespace cranemoor::core

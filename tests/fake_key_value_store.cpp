#include "fake_key_value_store.hpp"

#include <algorithm>

#include "core/model/constants.hpp"

namespace cranemoor::test {

namespace {
// Small, so that lists in tests take several pages.
constexpr std::size_t list_page_size = 20;
// Prefix of the controllers' own keys, the only ones that are watched.
const std::string watched_prefix = "c/";

bool has_prefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

StoreReply FakeKeyValueStore::execute(const StoreCall& call) {
    switch (call.kind) {
        case StoreCall::Kind::grant:
            return grant_lease();
        case StoreCall::Kind::renew:
            return renew_lease(call.lease);
        case StoreCall::Kind::get:
            return get(call.key);
        case StoreCall::Kind::list:
            return list(call.key, call.after);
        default:
            return commit(call.txn);
    }
}

double FakeKeyValueStore::new_lease_end_s() const {
    return simulation_.now() + constants::member_lease_ms / 1000.0;
}

StoreReply FakeKeyValueStore::grant_lease() {
    StoreReply reply;
    reply.status = StoreReply::Status::ok;
    reply.lease = ++last_lease_;
    lease_ends_s_[reply.lease] = new_lease_end_s();
    return reply;
}

StoreReply FakeKeyValueStore::renew_lease(std::uint64_t lease) {
    StoreReply reply;
    auto end = lease_ends_s_.find(lease);
    if (end == lease_ends_s_.end()) {
        reply.status = StoreReply::Status::not_found;
        return reply;
    }
    reply.status = StoreReply::Status::ok;
    end->second = new_lease_end_s();
    return reply;
}

StoreReply FakeKeyValueStore::get(const std::string& key) const {
    StoreReply reply;
    reply.revision = revision_;
    const Json* value = find(key);
    reply.status = value == nullptr ? StoreReply::Status::not_found : StoreReply::Status::ok;
    if (value != nullptr) {
        reply.value = *value;
    }
    return reply;
}

StoreReply FakeKeyValueStore::list(const std::string& prefix, const std::string& after) const {
    StoreReply reply;
    reply.status = StoreReply::Status::ok;
    reply.revision = revision_;
    for (auto it = records_.upper_bound(std::max(prefix, after)); it != records_.end(); ++it) {
        if (!has_prefix(it->first, prefix)) {
            break;
        }
        if (reply.events.size() == list_page_size) {
            reply.has_more = true;
            break;
        }
        reply.events.push_back({it->first, it->second.value, it->second.revision});
    }
    return reply;
}

StoreReply FakeKeyValueStore::commit(const Txn& txn) {
    StoreReply reply;
    if (!is_well_formed(txn)) {
        reply.status = StoreReply::Status::bad_request;
        return reply;
    }
    reply.failed_keys = failed_conditions(txn);
    if (!reply.failed_keys.empty()) {
        reply.status = StoreReply::Status::conflict;
        reply.revision = revision_;
        conflicting_transactions.push_back(txn);
        return reply;
    }
    apply(txn);
    reply.status = StoreReply::Status::ok;
    reply.revision = revision_;
    return reply;
}

bool FakeKeyValueStore::is_well_formed(const Txn& txn) {
    auto operations =
        static_cast<std::size_t>(transaction_operation_limit.value_or(settings_.store_txn_ops_max));
    if (txn.writes.size() > operations || txn.conditions.size() > 4 * operations) {
        invariants_.violations.emplace_back("transaction too large");
        return false;
    }
    return std::all_of(txn.writes.begin(), txn.writes.end(),
                       [&](const Write& write) { return is_well_formed(write); });
}

bool FakeKeyValueStore::is_well_formed(const Write& write) {
    double limit_bytes = value_limit_kb.value_or(settings_.store_current_value_kb_max) * 1024;
    if (write.value && static_cast<double>(write.value->dump().size()) > limit_bytes) {
        invariants_.violations.push_back("value too large: " + write.key);
        return false;
    }
    return write.lease == 0 || lease_ends_s_.contains(write.lease);
}

std::vector<std::string> FakeKeyValueStore::failed_conditions(const Txn& txn) const {
    std::vector<std::string> failed;
    for (const auto& condition : txn.conditions) {
        auto it = records_.find(condition.key);
        if ((it == records_.end() ? 0 : it->second.revision) != condition.revision) {
            failed.push_back(condition.key);
        }
    }
    return failed;
}

void FakeKeyValueStore::apply(const Txn& txn) {
    if (!txn.writes.empty()) {
        ++revision_;
    }
    for (const auto& write : txn.writes) {
        if (write.value) {
            records_[write.key] = {*write.value, revision_, write.lease};
        } else {
            records_.erase(write.key);
        }
        record_change(write.key, write.value);
    }
}

void FakeKeyValueStore::record_change(const std::string& key, const std::optional<Json>& value) {
    changes_.push_back({key, value, revision_});
    writes_by_kind[key.substr(0, key.find('/', 2))]++;
}

void FakeKeyValueStore::expire_leases(bool store_down) {
    for (auto it = lease_ends_s_.begin(); it != lease_ends_s_.end();) {
        if (store_down) {
            it->second = new_lease_end_s();
        }
        if (it->second > simulation_.now()) {
            ++it;
            continue;
        }
        std::vector<std::string> expired;
        for (const auto& [key, record] : records_) {
            if (record.lease == it->first) {
                expired.push_back(key);
            }
        }
        for (const auto& key : expired) {
            erase(key);
        }
        it = lease_ends_s_.erase(it);
    }
}

std::vector<Event> FakeKeyValueStore::changes_since(Revision since) const {
    std::vector<Event> changes;
    for (const auto& change : changes_) {
        if (change.revision > since && has_prefix(change.key, watched_prefix)) {
            changes.push_back(change);
        }
    }
    return changes;
}

const Json* FakeKeyValueStore::find(const std::string& key) const {
    auto it = records_.find(key);
    return it == records_.end() ? nullptr : &it->second.value;
}

std::vector<std::string> FakeKeyValueStore::keys(const std::string& prefix) const {
    std::vector<std::string> found;
    for (const auto& [key, record] : records_) {
        if (has_prefix(key, prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

bool FakeKeyValueStore::is_accepted(const std::string& uid) const {
    if (find("c/j/" + uid) != nullptr) {
        return true;
    }
    return std::any_of(records_.begin(), records_.end(), [&](const auto& item) {
        if (!has_prefix(item.first, "c/a/")) {
            return false;
        }
        const auto& jobs = item.second.value.at("jobs");
        return std::any_of(jobs.begin(), jobs.end(),
                           [&](const Json& job) { return job.at("uid") == uid; });
    });
}

bool FakeKeyValueStore::is_finished(const std::string& uid) const {
    const Json* block = find("c/b/" + uid + "/0");
    return find("f/" + uid) != nullptr || (block != nullptr && block->contains("final"));
}

void FakeKeyValueStore::put(const std::string& key, const Json& value) {
    ++revision_;
    records_[key] = {value, revision_, 0};
    record_change(key, value);
}

void FakeKeyValueStore::erase(const std::string& key) {
    if (records_.erase(key) != 0) {
        ++revision_;
        record_change(key, std::nullopt);
    }
}

void FakeKeyValueStore::put_admission_table(bool shared, const std::vector<int>& weights) {
    const Json* old = find("c/t");
    const Json* epoch = find("c/epoch");
    Json parts = Json::object();
    std::size_t i = 0;
    for (const auto& member : epoch != nullptr ? epoch->at("members") : Json::array()) {
        int weight = i < weights.size() ? weights[i] : 1;
        parts[std::to_string(member.at("id").get<std::uint64_t>())] = {{"weight", weight}};
        ++i;
    }
    std::uint64_t number = old != nullptr ? old->at("number").get<std::uint64_t>() + 1 : 1;
    put("c/t", {{"number", number}, {"shared", shared}, {"parts", parts}});
}

}  // namespace cranemoor::test

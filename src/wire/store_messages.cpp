#include "wire/store_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"
#include "wire/fields.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

// The protocol's names: a "ripple" is the revision of a key or an event, the "tide" the revision of
// the store, a "tether" a lease.

// --- requests

HttpRequest list_request(const StoreCall& call) {
    std::string target = "/kv?under=" + percent_encode(call.key);
    if (!call.after.empty()) {
        target += "&from=" + percent_encode(call.after);
    }
    return {"GET", target + "&most=" + std::to_string(constants::store_listing_page_items_max), ""};
}

HttpRequest watch_request(const StoreCall& call) {
    return {"GET",
            "/follow?under=" + percent_encode(call.key) + "&from=" + std::to_string(call.since) +
                "&hold_ms=" + std::to_string(constants::watch_duration_max_ms),
            ""};
}

Json encode_write(const Write& write) {
    Json map = Json::object();
    if (!write.value) {
        map["drop"] = write.key;
        return map;
    }
    map["put"] = write.key;
    map["value"] = *write.value;
    if (write.lease != 0) {
        map["tether"] = write.lease;
    }
    return map;
}

// A transaction without writes only checks its conditions; it is sent without "then".
HttpRequest transaction_request(const Txn& transaction) {
    Json conditions = Json::array();
    for (const auto& condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"ripple", condition.revision}});
    }
    Json map = {{"if", std::move(conditions)}};
    if (!transaction.writes.empty()) {
        Json writes = Json::array();
        for (const auto& write : transaction.writes) {
            writes.push_back(encode_write(write));
        }
        map["then"] = std::move(writes);
    }
    return {"POST", "/txn", encode_cbor(map)};
}

// --- replies

// Thrown if a reply is malformed.
class MalformedReply : public std::exception {};

// Reads an integer field. Rejects numbers that do not fit the integer type, because converting them
// is undefined behavior.
std::uint64_t read_count(const Json& map, const char* key) {
    Fields fields(map);
    auto count = fields.count(key);
    if (!fields.ok()) {
        throw MalformedReply();
    }
    return count;
}

StoreReply::Status reply_status(int http_status) {
    switch (http_status) {
        case 200:
            return StoreReply::Status::ok;
        case 409:
            return StoreReply::Status::conflict;
        case 404:
            return StoreReply::Status::not_found;
        case 410:
            return StoreReply::Status::compacted;
        case 429:
        case 503:
            return StoreReply::Status::refused;
        case 400:
            return StoreReply::Status::bad_request;
        default:
            return StoreReply::Status::unknown;
    }
}

void read_items(Json& map, StoreReply& reply) {
    reply.has_more = map.at("has_next").get<bool>();
    for (auto& item : map.at("items")) {
        reply.events.push_back({item.at("key").get<std::string>(), std::move(item.at("value")),
                                read_count(item, "ripple")});
    }
}

Event read_event(Json& map) {
    Event event;
    event.revision = read_count(map, "ripple");
    if (map.contains("put")) {
        event.key = map.at("put").get<std::string>();
        event.value = std::move(map.at("value"));
    } else {
        event.key = map.at("drop").get<std::string>();
    }
    return event;
}

void read_events(Json& map, StoreReply& reply) {
    for (auto& entry : map.at("log")) {
        reply.events.push_back(read_event(entry));
    }
    std::stable_sort(reply.events.begin(), reply.events.end(),
                     [](const Event& a, const Event& b) { return a.revision < b.revision; });
}

// Reads the part of a successful reply that depends on the call. Throws if it is malformed.
void read_result(StoreCall::Kind kind, Json& map, StoreReply& reply) {
    switch (kind) {
        case StoreCall::Kind::get:
            reply.value = std::move(map.at("value"));
            break;
        case StoreCall::Kind::list:
            read_items(map, reply);
            break;
        case StoreCall::Kind::watch:
            read_events(map, reply);
            break;
        case StoreCall::Kind::grant:
            reply.lease = read_count(map, "tether");
            break;
        case StoreCall::Kind::txn:
            (void)read_count(map, "tide");  // an answer without it could be anybody's
            break;
        case StoreCall::Kind::renew:
            break;
    }
}

// Throws if the reply is malformed.
StoreReply read_reply(StoreCall::Kind kind, int http_status, Json& map) {
    StoreReply reply;
    reply.status = reply_status(http_status);
    reply.revision = map.contains("tide") ? read_count(map, "tide") : 0;
    if (reply.status == StoreReply::Status::conflict) {
        reply.failed_keys = map.value("failed", std::vector<std::string>());
    }
    if (reply.status == StoreReply::Status::ok) {
        read_result(kind, map, reply);
    }
    return reply;
}

}  // namespace

HttpRequest store_request(const StoreCall& call) {
    switch (call.kind) {
        case StoreCall::Kind::get:
            return {"GET", "/kv/" + percent_encode(call.key), ""};
        case StoreCall::Kind::list:
            return list_request(call);
        case StoreCall::Kind::watch:
            return watch_request(call);
        case StoreCall::Kind::grant:
            return {"POST", "/grants", encode_cbor({{"ttl_ms", constants::member_lease_ms}})};
        case StoreCall::Kind::renew:
            return {"POST", "/grants/" + std::to_string(call.lease) + "/touch",
                    encode_cbor(Json::object())};
        case StoreCall::Kind::txn:
            break;
    }
    return transaction_request(call.txn);
}

Decoded<StoreReply> decode_store_reply(const StoreCall& call, int status, const std::string& body) {
    auto map = decode_reply_map(body);
    if (!map) {
        return map.error();
    }
    try {
        return read_reply(call.kind, status, *map);
    } catch (const std::exception&) {
        return DecodeError{"", malformed_reply};
    }
}

}  // namespace cranemoor::wire

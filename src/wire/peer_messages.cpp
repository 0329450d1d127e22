#include "wire/peer_messages.hpp"

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"
#include "wire/fields.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

// Names in the messages that differ from those in the code: "report" is a relayed heartbeat,
// "rentals" are launch notices, "pressure" is an overload sample, "home" the machine's owner.

constexpr int status_ok = 200;
constexpr double unix_time_s_max = 1e12;  // bound on a time in seconds since the Unix epoch

constexpr auto lease_grants =
    std::to_array<EnumName<read_leases::Grant>>({{"none", read_leases::Grant::none},
                                                 {"blank", read_leases::Grant::process_only},
                                                 {"full", read_leases::Grant::full}});

// --- read leases

Json encode_lease_heartbeat(const LeaseHeartbeat& lease) {
    const auto& heartbeat = lease.heartbeat;
    Json map = {{"boot", heartbeat.boot_id},
                {"beat", heartbeat.sequence_number},
                {"heard_boot", heartbeat.acknowledged_boot_id},
                {"heard_beat", heartbeat.acknowledged_sequence_number},
                {"wants", heartbeat.relies_on_leases},
                {"grant", enum_text(lease_grants, heartbeat.grant)}};
    for (const auto& cancellation : lease.cancelled) {
        map["cancelled"].push_back(
            {{"uid", cancellation.uid}, {"wall", cancellation.cancelled_wall}});
    }
    return map;
}

Decoded<std::vector<Cancellation>> decode_cancellations(const Json& list) {
    if (!list.is_array()) {
        return invalid_field("cancelled");
    }
    std::vector<Cancellation> cancellations;
    for (const auto& entry : list) {
        Fields fields(entry);
        Cancellation cancellation;
        cancellation.uid = fields.text("uid");
        cancellation.cancelled_wall = fields.number("wall", 0, unix_time_s_max);
        if (!fields.ok()) {
            return fields.error();
        }
        cancellations.push_back(std::move(cancellation));
    }
    return cancellations;
}

Decoded<LeaseHeartbeat> decode_lease_heartbeat(const Json& map) {
    Fields fields(map);
    LeaseHeartbeat lease;
    auto& heartbeat = lease.heartbeat;
    heartbeat.boot_id = fields.text("boot");
    heartbeat.sequence_number = fields.count("beat");
    heartbeat.acknowledged_boot_id = fields.text("heard_boot", Fields::text_bytes_max, 0);
    heartbeat.acknowledged_sequence_number = fields.count("heard_beat");
    heartbeat.relies_on_leases = fields.flag("wants");
    heartbeat.grant = fields.choice("grant", lease_grants);
    if (!fields.ok()) {
        return fields.error();
    }
    if (!fields.is_null("cancelled")) {
        auto cancellations = decode_cancellations(map.at("cancelled"));
        if (!cancellations) {
            return cancellations.error();
        }
        lease.cancelled = std::move(*cancellations);
    }
    return lease;
}

// --- launch notices and overload samples

Json encode_launch_notice(const LaunchNotice& notice) {
    return {{"request", notice.request},  {"type", notice.type},   {"zone", notice.zone},
            {"spot", notice.spot},        {"count", notice.count}, {"open", notice.open},
            {"machines", notice.machines}};
}

Decoded<std::vector<LaunchNotice>> decode_launch_notices(const Json& list) {
    if (!list.is_array()) {
        return invalid_field("rentals");
    }
    std::vector<LaunchNotice> notices;
    for (const auto& entry : list) {
        Fields fields(entry);
        LaunchNotice notice;
        notice.request = fields.text("request");
        notice.type = fields.text("type");
        notice.zone = fields.text("zone");
        notice.spot = fields.flag("spot");
        notice.count = static_cast<int>(fields.count("count", 1, constants::launch_machines_max));
        notice.open = fields.flag("open");
        notice.machines = fields.texts("machines");
        if (!fields.ok()) {
            return fields.error();
        }
        notices.push_back(std::move(notice));
    }
    return notices;
}

Decoded<OverloadSample> decode_overload_sample(const Json& map) {
    Fields fields(map);
    OverloadSample overload_sample;
    overload_sample.write_wait_s = fields.number("write_wait_s");
    overload_sample.writes_per_s = fields.number("writes");
    if (!fields.ok()) {
        return fields.error();
    }
    return overload_sample;
}

// Decodes a field with `decode` into `out`; leaves `out` unchanged if the field is missing or null.
// Returns the decoder's error, if any.
template <typename Value, typename Decode>
std::optional<DecodeError> decode_optional(const Json& map, const char* key, Decode decode,
                                           Value& out) {
    if (Fields(map).is_null(key)) {
        return std::nullopt;
    }
    auto decoded = decode(map.at(key));
    if (!decoded) {
        return decoded.error();
    }
    out = std::move(*decoded);
    return std::nullopt;
}

// Decodes the optional parts of a call.
std::optional<DecodeError> decode_parts(const Json& map, PeerCall& call) {
    if (auto error = decode_optional(map, "report", decode_heartbeat, call.relayed_heartbeat)) {
        return error;
    }
    if (auto error = decode_optional(map, "rentals", decode_launch_notices, call.launches)) {
        return error;
    }
    if (auto error = decode_optional(map, "lease", decode_lease_heartbeat, call.lease)) {
        return error;
    }
    return decode_optional(map, "pressure", decode_overload_sample, call.overload_sample);
}

}  // namespace

std::string encode_peer_call(const std::string& from, const PeerCall& call) {
    Json map = {{"from", from}, {"state_contact", call.has_store_contact}};
    if (call.relayed_heartbeat) {
        map["report"] = encode_heartbeat(*call.relayed_heartbeat);
    }
    for (const auto& notice : call.launches) {
        map["rentals"].push_back(encode_launch_notice(notice));
    }
    if (call.overload_sample) {
        map["pressure"] = {{"write_wait_s", call.overload_sample->write_wait_s},
                           {"writes", call.overload_sample->writes_per_s}};
    }
    if (call.lease) {
        map["lease"] = encode_lease_heartbeat(*call.lease);
    }
    return encode_cbor(map);
}

Decoded<PeerMessage> decode_peer_call(const std::string& body) {
    auto map = decode_cbor_map(body);
    if (!map) {
        return map.error();
    }
    Fields fields(*map);
    PeerMessage message;
    message.from = fields.text("from");
    message.call.has_store_contact = fields.flag("state_contact");
    if (!fields.ok()) {
        return fields.error();
    }
    if (auto error = decode_parts(*map, message.call)) {
        return *error;
    }
    return message;
}

std::string encode_peer_reply(const WorkerReply& reply) {
    return encode_cbor({{"status", reply.status},
                        {"token", reply.token},
                        {"home", reply.owner},
                        {"commands", encode_commands(reply.commands)}});
}

Decoded<WorkerReply> decode_peer_reply(const std::string& body) {
    auto map = decode_cbor_map(body);
    if (!map) {
        return map.error();
    }
    if (!map->contains("commands")) {
        return invalid_field("commands");
    }
    Fields fields(*map);
    WorkerReply reply;
    reply.status = static_cast<int>(fields.count("status", 200, 599));
    reply.token = fields.count("token");
    reply.owner = fields.is_null("home") ? "" : fields.text("home", Fields::text_bytes_max, 0);
    if (!fields.ok()) {
        return fields.error();
    }
    auto commands = decode_commands(map->at("commands"));
    if (!commands) {
        return commands.error();
    }
    reply.commands = std::move(*commands);
    return reply;
}

Decoded<std::optional<WorkerReply>> decode_peer_response(int status, const std::string& body) {
    if (status != status_ok || body.empty()) {
        return std::optional<WorkerReply>();
    }
    auto reply = decode_peer_reply(body);
    if (!reply) {
        return reply.error();
    }
    return std::optional<WorkerReply>(std::move(*reply));
}

}  // namespace cranemoor::wire

#include "wire/cloud_messages.hpp"

#include <array>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"
#include "wire/fields.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

// The protocol's names: a "roost" is a machine, a "breed" a machine type, a "marsh" a zone, a
// "driftwood" machine a spot instance, a "loan" a launch request, a "stance" the state of a
// machine.

constexpr double boot_s_default = 60;  // for a machine type without a boot time

constexpr auto listed_states =
    std::to_array<EnumName<ListedState>>({{"starting", ListedState::starting},
                                          {"running", ListedState::running},
                                          {"failed", ListedState::failed}});

HttpRequest list_request(const CloudCall& call) {
    std::string target =
        "/rentals?most=" + std::to_string(constants::machine_listing_page_machines_max);
    if (!call.after.empty()) {
        target += "&from=" + percent_encode(call.after);
    }
    return {"GET", target, ""};
}

HttpRequest launch_request(const CloudCall& call) {
    return {"POST", "/rentals",
            encode_cbor({{"loan", call.request},
                         {"breed", call.type},
                         {"marsh", call.zone},
                         {"driftwood", call.spot},
                         {"how_many", call.count}})};
}

bool says_no_capacity(const CloudCall& call, int http_status, const Json& map) {
    return http_status == 503 && call.kind == CloudCall::Kind::launch &&
           map.value("error", "") == "no capacity";
}

CloudReply::Status error_status(int http_status) {
    switch (http_status) {
        case 400:
            return CloudReply::Status::bad_request;
        case 429:
            return CloudReply::Status::refused;
        default:
            return CloudReply::Status::unknown;
    }
}

MachineType read_machine_type(const Json& map) {
    MachineType type;
    type.name = map.at("label").get<std::string>();
    type.size = {map.at("cpus").get<double>(), map.at("gpus").get<double>(),
                 map.at("mem_gb").get<double>()};
    type.cache_gb = map.value("local_gb", 0.0);
    type.fetch_gb_per_s = map.value("fetch_gb_per_s", 0.0);
    type.price = map.value("rate", 0.0);
    type.spot_price = map.value("spot_price", 0.0);
    type.boot_s = map.value("ready_s", boot_s_default);
    type.zones = map.at("marshes").get<std::vector<std::string>>();
    return type;
}

Decoded<ListedMachine> decode_listed_machine(const Json& map) {
    Fields fields(map);
    ListedMachine machine;
    machine.name = fields.text("uid");
    machine.type = fields.text("breed");
    machine.zone = fields.text("marsh");
    machine.spot = fields.flag("driftwood");
    machine.state = fields.choice("stance", listed_states);
    if (!fields.ok()) {
        return fields.error();
    }
    // A machine that is starting may have no address and no age yet.
    if (!fields.is_null("endpoint") && map.at("endpoint").is_string()) {
        machine.address = map.at("endpoint").get<std::string>();
    }
    machine.age_s = fields.is_null("held_s") ? 0 : fields.number("held_s");
    return machine;
}

// Reads the part of a successful reply that depends on the call. Throws `Json::exception` if it is
// malformed.
void read_result(CloudCall::Kind kind, const Json& map, CloudReply& reply) {
    switch (kind) {
        case CloudCall::Kind::types:
            for (const auto& entry : map.at("breeds")) {
                reply.types.push_back(read_machine_type(entry));
            }
            break;
        case CloudCall::Kind::launch:
            reply.machines = map.at("roosts").get<std::vector<std::string>>();
            break;
        case CloudCall::Kind::list:
            reply.has_more = map.value("has_next", false);
            for (const auto& entry : map.at("roosts")) {
                if (auto machine = decode_listed_machine(entry)) {
                    reply.listed.push_back(std::move(*machine));
                }
            }
            break;
        case CloudCall::Kind::release:
            break;
    }
}

// Throws `Json::exception` if the reply is malformed.
CloudReply read_reply(const CloudCall& call, int http_status, const Json& map) {
    CloudReply reply;
    if (says_no_capacity(call, http_status, map)) {
        reply.status = CloudReply::Status::no_capacity;
        return reply;
    }
    if (http_status != 200) {
        reply.status = error_status(http_status);
        return reply;
    }
    reply.status = CloudReply::Status::ok;
    read_result(call.kind, map, reply);
    return reply;
}

}  // namespace

HttpRequest cloud_request(const CloudCall& call) {
    switch (call.kind) {
        case CloudCall::Kind::types:
            return {"GET", "/flavors", ""};
        case CloudCall::Kind::list:
            return list_request(call);
        case CloudCall::Kind::release:
            return {"POST", "/rentals/release", encode_cbor({{"roosts", call.machines}})};
        case CloudCall::Kind::launch:
            break;
    }
    return launch_request(call);
}

Decoded<CloudReply> decode_cloud_reply(const CloudCall& call, int status, const std::string& body) {
    auto map = decode_reply_map(body);
    if (!map) {
        return map.error();
    }
    try {
        return read_reply(call, status, *map);
    } catch (const Json::exception&) {
        return DecodeError{"", malformed_reply};
    }
}

}  // namespace cranemoor::wire

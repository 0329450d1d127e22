#include "wire/worker_messages.hpp"

#include <array>
#include <optional>
#include <utility>

#include "wire/fields.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

// The protocol's names: a "roost" is a machine, a "breed" a machine type, a "marsh" a zone, a
// "driftwood" machine a spot instance, a "hatchling" a task, a "launch" an attempt, a "stance" the
// state of a task, a "cause" an exit reason; "perch" is the agent epoch, "call_seq" the sequence
// number, "crest" the fencing token, "home_roost" the machine's owner, "settle_s" the grace period.

constexpr int status_executed = 200;      // of direct commands
constexpr int status_not_executed = 409;  // the token is too low, or the agent epoch differs

constexpr std::size_t task_index_digits_max = 7;  // keeps the index within an int

constexpr auto task_states = std::to_array<EnumName<TaskState>>({{"pulling", TaskState::fetching},
                                                                 {"gathering", TaskState::waiting},
                                                                 {"running", TaskState::running},
                                                                 {"flushing", TaskState::saving},
                                                                 {"ended", TaskState::exited}});
constexpr auto exit_reasons =
    std::to_array<EnumName<ExitReason>>({{"done", ExitReason::done},
                                         {"halted", ExitReason::stopped},
                                         {"mates_gone", ExitReason::peers_gone},
                                         {"incomplete", ExitReason::incomplete},
                                         {"error", ExitReason::error},
                                         {"no_room", ExitReason::no_room},
                                         {"busy", ExitReason::busy},
                                         {"no_such", ExitReason::unknown_task}});
constexpr auto command_kinds =
    std::to_array<EnumName<Command::Kind>>({{"run", Command::Kind::start},
                                            {"kill", Command::Kind::stop},
                                            {"forget", Command::Kind::forget}});

// Parses a task id, which is a job id and an index: "req-000412/3".
std::optional<TaskId> parse_task_id(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size() ||
        text.size() - (slash + 1) > task_index_digits_max) {
        return std::nullopt;
    }
    TaskId id;
    id.uid = text.substr(0, slash);
    for (std::size_t i = slash + 1; i < text.size(); ++i) {
        if (text[i] < '0' || text[i] > '9') {
            return std::nullopt;
        }
        id.index = id.index * 10 + (text[i] - '0');
    }
    return id;
}

TaskId read_task_id(Fields& fields) {
    auto id = parse_task_id(fields.text("hatchling"));
    if (!id) {
        fields.reject("hatchling");
        return {};
    }
    return *id;
}

// Reads why a task exited; later versions of the protocol may add reasons.
ExitReason read_exit_reason(const Json& map) {
    Fields fields(map);
    ExitReason reason = fields.choice("cause", exit_reasons);
    return fields.ok() ? reason : ExitReason::other;
}

Decoded<TaskStatus> decode_task_status(const Json& map) {
    Fields fields(map);
    TaskStatus task;
    task.id = read_task_id(fields);
    task.attempt = fields.count("launch");
    task.state = fields.choice("stance", task_states);
    if (!fields.ok()) {
        return fields.error();
    }
    if (task.state == TaskState::exited) {
        task.exit_reason = read_exit_reason(map);
    }
    task.saved = !fields.is_null("saved") && fields.flag("saved");
    return task;
}

Json encode_task_status(const TaskStatus& task) {
    Json map = {{"hatchling", task.id.text()}, {"launch", task.attempt}};
    map["stance"] = enum_text(task_states, task.state);
    const char* reason = enum_text(exit_reasons, task.exit_reason);
    if (reason != nullptr) {
        map["cause"] = reason;
    }
    if (task.saved) {
        map["saved"] = true;
    }
    return map;
}

Decoded<Command> decode_command(const Json& map) {
    Fields fields(map);
    Command command;
    command.kind = fields.choice("call_kind", command_kinds);
    command.id = read_task_id(fields);
    command.attempt = fields.count("launch");
    command.grace_s = fields.is_null("settle_s") ? 0 : fields.number("settle_s");
    if (!fields.ok()) {
        return fields.error();
    }
    return command;
}

}  // namespace

Decoded<Heartbeat> decode_heartbeat(const Json& map) {
    Fields fields(map);
    Heartbeat heartbeat;
    heartbeat.machine = fields.text("roost");
    heartbeat.address = fields.text("endpoint");
    heartbeat.type = fields.text("breed");
    heartbeat.zone = fields.text("marsh");
    heartbeat.spot = fields.flag("driftwood");
    heartbeat.agent_epoch = fields.count("perch");
    heartbeat.seq = fields.count("call_seq");
    heartbeat.token = fields.count("crest");
    heartbeat.interruption_notice_s = fields.number_or_null("warning_s");
    if (!fields.ok()) {
        return fields.error();
    }
    if (fields.is_null("hatchlings") || !map.at("hatchlings").is_array()) {
        return invalid_field("hatchlings");
    }
    for (const auto& entry : map.at("hatchlings")) {
        auto task = decode_task_status(entry);
        if (!task) {
            return task.error();
        }
        heartbeat.tasks.push_back(std::move(*task));
    }
    return heartbeat;
}

Decoded<Heartbeat> decode_heartbeat_body(const std::string& body) {
    auto map = decode_cbor_map(body);
    if (!map) {
        return map.error();
    }
    return decode_heartbeat(*map);
}

Json encode_heartbeat(const Heartbeat& heartbeat) {
    Json tasks = Json::array();
    for (const auto& task : heartbeat.tasks) {
        tasks.push_back(encode_task_status(task));
    }
    Json map = {{"roost", heartbeat.machine},    {"endpoint", heartbeat.address},
                {"breed", heartbeat.type},       {"marsh", heartbeat.zone},
                {"driftwood", heartbeat.spot},   {"perch", heartbeat.agent_epoch},
                {"call_seq", heartbeat.seq},     {"crest", heartbeat.token},
                {"hatchlings", std::move(tasks)}};
    map["warning_s"] =
        heartbeat.interruption_notice_s ? Json(*heartbeat.interruption_notice_s) : Json();
    return map;
}

std::string encode_worker_reply(const WorkerReply& reply) {
    Json map = Json::object();
    if (reply.status == 200) {
        map["crest"] = reply.token;
        map["calls"] = encode_commands(reply.commands);
    } else if (!reply.owner.empty()) {
        map["home_roost"] = reply.owner;
    }
    return encode_cbor(map);
}

HttpRequest worker_request(const WorkerCommandCall& call) {
    if (call.agent_epoch == 0) {
        return {"GET", "/status", ""};
    }
    return {"POST", "/orders",
            encode_cbor({{"crest", call.token},
                         {"perch", call.agent_epoch},
                         {"calls", encode_commands(call.commands)}})};
}

Decoded<WorkerCommandReply> decode_worker_command_reply(int status, const std::string& body) {
    WorkerCommandReply reply;
    reply.answered = true;
    reply.executed = status == status_executed;
    if (body.empty() || (status != status_executed && status != status_not_executed)) {
        return reply;
    }
    auto heartbeat = decode_heartbeat_body(body);
    if (!heartbeat) {
        return heartbeat.error();
    }
    reply.heartbeat = std::move(*heartbeat);
    return reply;
}

Decoded<std::vector<Command>> decode_commands(const Json& list) {
    std::vector<Command> commands;
    for (const auto& entry : list) {
        auto command = decode_command(entry);
        if (!command) {
            return command.error();
        }
        commands.push_back(std::move(*command));
    }
    return commands;
}

Json encode_commands(const std::vector<Command>& commands) {
    Json list = Json::array();
    for (const auto& command : commands) {
        Json map = {{"hatchling", command.id.text()}, {"launch", command.attempt}};
        map["call_kind"] = enum_text(command_kinds, command.kind);
        if (command.kind == Command::Kind::stop) {
            map["settle_s"] = command.grace_s;
        }
        list.push_back(std::move(map));
    }
    return list;
}

}  // namespace cranemoor::wire

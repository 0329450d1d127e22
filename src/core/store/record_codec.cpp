#include "core/store/record_codec.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "core/model/constants.hpp"

namespace cranemoor::core {

namespace {
Json encode_resources(const Resources& resources) {
    return Json::array({resources.cpus, resources.gpus, resources.memory_gb});
}

Resources decode_resources(const Json& value) {
    return {value.at(0).get<double>(), value.at(1).get<double>(), value.at(2).get<double>()};
}

}  // namespace

const char* kind_name(JobKind kind) {
    switch (kind) {
        case JobKind::array:
            return "array";
        case JobKind::gang:
            return "gang";
        case JobKind::service:
            break;
    }
    return "service";
}

const char* priority_name(Priority priority) {
    switch (priority) {
        case Priority::best_effort:
            return "best_effort";
        case Priority::normal:
            return "normal";
        case Priority::high:
            return "high";
        case Priority::production:
            break;
    }
    return "production";
}

Json encode_member(const Member& member) {
    return {{"name", member.name}, {"zone", member.zone}, {"boot", member.boot}, {"id", member.id}};
}

Member decode_member(const Json& value) {
    return {value.at("name").get<std::string>(), value.at("zone").get<std::string>(),
            value.at("boot").get<std::string>(), value.at("id").get<std::uint64_t>()};
}

Json encode_level(const std::string& name, FeatureLevel level) {
    return {{"name", name}, {"level", static_cast<int>(level)}};
}

FeatureLevel decode_level(const Json& value) {
    return static_cast<FeatureLevel>(value.value("level", 1));
}

Json encode(const Epoch& epoch) {
    Json members = Json::array();
    for (const auto& member : epoch.members) {
        members.push_back(encode_member(member));
    }
    return {{"number", epoch.number}, {"members", members}};
}

Epoch decode_epoch(const Json& value) {
    Epoch epoch;
    epoch.number = value.at("number").get<Token>();
    for (const auto& member : value.at("members")) {
        epoch.members.push_back(decode_member(member));
    }
    return epoch;
}

Json encode(const Block& block) {
    Json placed = Json::object();
    for (const auto& [task, placement] : block.placed) {
        placed[std::to_string(task)] = Json::array(
            {placement.machine, placement.zone, placement.attempt, placement.charged_member});
    }
    Json done = Json::array();
    for (const auto& [first, last] : block.done) {
        done.push_back(Json::array({first, last}));
    }
    Json value = {{"attempt", block.attempt}, {"placed", placed}, {"done", done}};
    if (block.stop_attempt > 0) {
        value["stop"] = block.stop_attempt;
    }
    if (block.consecutive_failures > 0) {
        value["fails"] = block.consecutive_failures;
    }
    if (block.cancelled_wall > 0) {
        value["cancelled"] = block.cancelled_wall;
    }
    if (block.final) {
        value["final"] = encode(*block.final);
    }
    if (block.applied_batch_revision > 0) {
        value["merged"] = block.applied_batch_revision;
    }
    return value;
}

Block decode_block(const Json& value, Revision revision) {
    Block block;
    block.revision = revision;
    block.attempt = value.at("attempt").get<std::uint64_t>();
    for (const auto& [task, placement] : value.at("placed").items()) {
        block.placed[std::stoi(task)] = {
            placement.at(0).get<std::string>(), placement.at(1).get<std::string>(),
            placement.at(2).get<std::uint64_t>(), placement.at(3).get<std::uint64_t>()};
    }
    for (const auto& range : value.at("done")) {
        block.done.push_back({range.at(0).get<int>(), range.at(1).get<int>()});
        block.done_total += block.done.back().size();
    }
    block.stop_attempt = value.value("stop", std::uint64_t{0});
    block.consecutive_failures = value.value("fails", 0);
    block.cancelled_wall = value.value("cancelled", 0.0);
    block.applied_batch_revision = value.value("merged", Revision{0});
    if (value.contains("final")) {
        block.final = decode_finished(value.at("final"));
    }
    return block;
}

std::size_t bytes_of(int task, const Placement& placement) {
    // "7":["machine","zone",1,2],
    return fmt::formatted_size("{}{}{}", task, placement.attempt, placement.charged_member) +
           placement.machine.size() + placement.zone.size() + 13;
}

std::size_t bytes_of(const Block& block) {
    std::size_t sum = constants::block_overhead_bytes;
    for (const auto& [task, placement] : block.placed) {
        sum += bytes_of(task, placement);
    }
    for (const auto& [first, last] : block.done) {
        sum += fmt::formatted_size("[{},{}],", first, last);
    }
    return sum;
}

Json encode(const Finished& finished) {
    return {{"state", finished.cancelled ? "cancelled" : "done"}, {"tasks", finished.tasks}};
}

Finished decode_finished(const Json& value) {
    return {value.at("state").get<std::string>() == "cancelled", value.at("tasks").get<int>()};
}

Json encode(const CordonBatch& batch) {
    return {{"why", batch.reason},
            {"fence", batch.fence},
            {"machines", batch.machines},
            {"gone", batch.released}};
}

CordonBatch decode_cordon_batch(const Json& value, Revision revision) {
    CordonBatch batch;
    batch.revision = revision;
    batch.reason = value.at("why").get<std::string>();
    batch.fence = value.at("fence").get<bool>();
    batch.machines = value.at("machines").get<std::set<std::string>>();
    batch.released = value.at("gone").get<std::set<std::string>>();
    return batch;
}

Json encode(const QuotaSlices& slices) {
    Json held = Json::object();
    for (const auto& [id, resources] : slices.by_member) {
        held[std::to_string(id)] = encode_resources(resources);
    }
    return {{"held", held}};
}

QuotaSlices decode_quota_slices(const Json& value, Revision revision) {
    QuotaSlices slices;
    slices.revision = revision;
    for (const auto& [id, resources] : value.at("held").items()) {
        slices.by_member[std::stoull(id)] = decode_resources(resources);
    }
    return slices;
}

namespace {
Json encode_exits(const std::vector<ClaimBatchExit>& exits) {
    Json list = Json::array();
    for (const auto& [task, attempt] : exits) {
        list.push_back(Json::array({task, attempt}));
    }
    return list;
}

std::vector<ClaimBatchExit> decode_exits(const Json& value) {
    std::vector<ClaimBatchExit> exits;
    for (const auto& item : value) {
        exits.push_back({item.at(0).get<int>(), item.at(1).get<std::uint64_t>()});
    }
    return exits;
}
}  // namespace

// Entries are encoded as arrays, and each zone is named only once: the size of a batch limits how
// many claims one write can hold.
Json encode(const ClaimBatch& batch) {
    std::vector<std::string> zones;
    Json entries = Json::array();
    for (const auto& entry : batch.entries) {
        Json placed = Json::array();
        for (const auto& [task, placement] : entry.placed) {
            auto zone = std::find(zones.begin(), zones.end(), placement.zone) - zones.begin();
            if (zone == static_cast<std::ptrdiff_t>(zones.size())) {
                zones.push_back(placement.zone);
            }
            placed.push_back(Json::array(
                {task, placement.machine, zone, placement.attempt, placement.charged_member}));
        }
        entries.push_back(Json::array({entry.uid, entry.block, entry.write_revision, placed,
                                       encode_exits(entry.done), encode_exits(entry.lost)}));
    }
    return {{"zones", zones}, {"entries", entries}};
}

ClaimBatch decode_claim_batch(const Json& value, Revision revision) {
    ClaimBatch batch;
    batch.revision = revision;
    auto zones = value.at("zones").get<std::vector<std::string>>();
    for (const auto& item : value.at("entries")) {
        ClaimBatchEntry entry;
        entry.uid = item.at(0).get<std::string>();
        entry.block = item.at(1).get<int>();
        entry.write_revision = item.at(2).get<Revision>();
        entry.write_revision = entry.write_revision == 0 ? revision : entry.write_revision;
        for (const auto& placement : item.at(3)) {
            entry.placed[placement.at(0).get<int>()] = {
                placement.at(1).get<std::string>(), zones.at(placement.at(2).get<std::size_t>()),
                placement.at(3).get<std::uint64_t>(), placement.at(4).get<std::uint64_t>()};
        }
        entry.done = decode_exits(item.at(4));
        entry.lost = decode_exits(item.at(5));
        batch.entries.push_back(std::move(entry));
    }
    return batch;
}

Json encode(const admission::Table& table) {
    Json parts = Json::object();
    for (const auto& [id, part] : table.member_shares) {
        parts[std::to_string(id)] = {{"weight", part.weight}};
    }
    return {{"number", table.number}, {"shared", table.write_overload}, {"parts", parts}};
}

admission::Table decode_table(const Json& value, Revision revision) {
    admission::Table table;
    table.revision = revision;
    table.number = value.at("number").get<std::uint64_t>();
    table.write_overload = value.at("shared").get<bool>();
    for (const auto& [id, part] : value.at("parts").items()) {
        table.member_shares[std::stoull(id)] = {part.at("weight").get<int>()};
    }
    return table;
}

std::size_t bytes_of(const ClaimBatchEntry& entry) {
    // ["uid",0,revision,[...],[...],[...]],
    std::size_t sum = entry.uid.size() + constants::batch_entry_overhead_bytes;
    for (const auto& [task, placement] : entry.placed) {
        sum += bytes_of(task, placement) - placement.zone.size();
    }
    for (const auto* exits : {&entry.done, &entry.lost}) {
        for (const auto& [task, attempt] : *exits) {
            sum += fmt::formatted_size("[{},{}],", task, attempt);
        }
    }
    return sum;
}

Json encode(const JobRecord& job) {
    const JobSpec& spec = job.spec;
    Json value = {{"uid", spec.uid},
                  {"class", spec.job_class},
                  {"team", job.waiting ? "" : spec.team},
                  {"kind", static_cast<int>(spec.kind)},
                  {"priority", static_cast<int>(spec.priority)},
                  {"tasks", spec.tasks},
                  {"each", encode_resources(spec.task_resources)},
                  {"together", spec.same_zone},
                  {"spread", spec.zone_spread},
                  {"spot", spec.spot},
                  {"image", spec.image},
                  {"image_gb", spec.image_gb},
                  {"estimate_s", spec.estimate_s},
                  {"checkpoint_s", spec.checkpoint_s},
                  {"save_s", spec.save_s},
                  {"submitted", job.submitted_wall},
                  {"block_size", job.block_size},
                  {"cancelled", job.cancelled_wall}};
    if (spec.machine_types) {
        value["types"] = *spec.machine_types;
    }
    if (spec.zone) {
        value["zone"] = *spec.zone;
    }
    if (spec.deadline_s) {
        value["deadline_s"] = *spec.deadline_s;
    }
    if (job.page_size > 0) {
        value["page_size"] = job.page_size;
    }
    if (job.waiting) {
        value["of_team"] = spec.team;
        if (job.dependency_part_count > 0) {
            value["follow_parts"] = job.dependency_part_count;
        } else {
            value["follows"] = spec.depends_on;
        }
    }
    if (job.ready_wall > 0) {
        value["ready"] = job.ready_wall;
    }
    return value;
}

Json encode_listing(Json jobs) {
    Json value = Json::object();
    value["jobs"] = std::move(jobs);
    return value;
}

Json encode_dependencies(const std::vector<std::string>& dependencies) {
    return {{"follows", dependencies}};
}

std::vector<std::string> decode_dependencies(const Json& value) {
    return value.at("follows").get<std::vector<std::string>>();
}

JobRecord decode_job(const Json& value) {
    JobRecord job;
    JobSpec& spec = job.spec;
    spec.uid = value.at("uid").get<std::string>();
    spec.job_class = value.at("class").get<std::string>();
    spec.team = value.at("team").get<std::string>();
    spec.kind = static_cast<JobKind>(value.at("kind").get<int>());
    spec.priority = static_cast<Priority>(value.at("priority").get<int>());
    spec.tasks = value.at("tasks").get<int>();
    spec.task_resources = decode_resources(value.at("each"));
    spec.same_zone = value.at("together").get<bool>();
    spec.zone_spread = value.at("spread").get<bool>();
    spec.spot = value.at("spot").get<bool>();
    spec.image = value.at("image").get<std::string>();
    spec.image_gb = value.at("image_gb").get<double>();
    spec.estimate_s = value.at("estimate_s").get<double>();
    spec.checkpoint_s = value.at("checkpoint_s").get<double>();
    spec.save_s = value.at("save_s").get<double>();
    if (value.contains("types")) {
        spec.machine_types = value.at("types").get<std::vector<std::string>>();
    }
    if (value.contains("zone")) {
        spec.zone = value.at("zone").get<std::string>();
    }
    if (value.contains("deadline_s")) {
        spec.deadline_s = value.at("deadline_s").get<double>();
    }
    job.submitted_wall = value.at("submitted").get<double>();
    job.block_size = value.at("block_size").get<int>();
    job.cancelled_wall = value.at("cancelled").get<double>();
    job.page_size = value.value("page_size", 0);
    job.ready_wall = value.value("ready", 0.0);
    if (value.contains("of_team")) {
        job.waiting = true;
        spec.team = value.at("of_team").get<std::string>();
        job.dependency_part_count = value.value("follow_parts", 0);
        if (value.contains("follows")) {
            spec.depends_on = decode_dependencies(value);
        }
    }
    return job;
}

}  // namespace cranemoor::core

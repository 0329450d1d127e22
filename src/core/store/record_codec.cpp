#include "core/store/record_codec.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "core/model/constants.hpp"

namespace cranemoor::core {

namespace {
Json amounts(const Resources& r) {
    return Json::array({r.cpus, r.gpus, r.memory_gb});
}

Resources amounts(const Json& value) {
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

Json encode_member(const Member& m) {
    return {{"name", m.name}, {"zone", m.zone}, {"boot", m.boot}, {"id", m.id}};
}

Member decode_member(const Json& v) {
    return {v.at("name").get<std::string>(), v.at("zone").get<std::string>(),
            v.at("boot").get<std::string>(), v.at("id").get<std::uint64_t>()};
}

Json encode_level(const std::string& name, FeatureLevel level) {
    return {{"name", name}, {"level", static_cast<int>(level)}};
}

FeatureLevel decode_level(const Json& v) {
    return static_cast<FeatureLevel>(v.value("level", 1));
}

Json encode(const Epoch& epoch) {
    Json members = Json::array();
    for (const auto& m : epoch.members) {
        members.push_back(encode_member(m));
    }
    return {{"number", epoch.number}, {"members", members}};
}

Epoch decode_epoch(const Json& v) {
    Epoch epoch;
    epoch.number = v.at("number").get<Token>();
    for (const auto& m : v.at("members")) {
        epoch.members.push_back(decode_member(m));
    }
    return epoch;
}

Json encode(const Block& block) {
    Json placed = Json::object();
    for (const auto& [task, p] : block.placed) {
        placed[std::to_string(task)] = Json::array({p.machine, p.zone, p.attempt, p.charge});
    }
    Json done = Json::array();
    for (const auto& [from, to] : block.done) {
        done.push_back(Json::array({from, to}));
    }
    Json v = {{"attempt", block.attempt}, {"placed", placed}, {"done", done}};
    if (block.stop > 0) {
        v["stop"] = block.stop;
    }
    if (block.fails > 0) {
        v["fails"] = block.fails;
    }
    if (block.cancelled_wall > 0) {
        v["cancelled"] = block.cancelled_wall;
    }
    if (block.final) {
        v["final"] = encode(*block.final);
    }
    if (block.merged > 0) {
        v["merged"] = block.merged;
    }
    return v;
}

Block decode_block(const Json& v, Revision revision) {
    Block block;
    block.revision = revision;
    block.attempt = v.at("attempt").get<std::uint64_t>();
    for (const auto& [task, p] : v.at("placed").items()) {
        block.placed[std::stoi(task)] = {p.at(0).get<std::string>(), p.at(1).get<std::string>(),
                                         p.at(2).get<std::uint64_t>(),
                                         p.at(3).get<std::uint64_t>()};
    }
    for (const auto& range : v.at("done")) {
        block.done.push_back({range.at(0).get<int>(), range.at(1).get<int>()});
        block.done_total += block.done.back().size();
    }
    block.stop = v.value("stop", std::uint64_t{0});
    block.fails = v.value("fails", 0);
    block.cancelled_wall = v.value("cancelled", 0.0);
    block.merged = v.value("merged", Revision{0});
    if (v.contains("final")) {
        block.final = decode_finished(v.at("final"));
    }
    return block;
}

std::size_t bytes_of(int task, const Placement& p) {
    // "7":["machine","zone",1,2],
    return fmt::formatted_size("{}{}{}", task, p.attempt, p.charge) + p.machine.size() +
           p.zone.size() + 13;
}

std::size_t bytes_of(const Block& block) {
    std::size_t sum = constants::block_overhead_bytes;
    for (const auto& [task, p] : block.placed) {
        sum += bytes_of(task, p);
    }
    for (const auto& [from, to] : block.done) {
        sum += fmt::formatted_size("[{},{}],", from, to);
    }
    return sum;
}

Json encode(const Finished& f) {
    return {{"state", f.cancelled ? "cancelled" : "done"}, {"tasks", f.tasks}};
}

Finished decode_finished(const Json& v) {
    return {v.at("state").get<std::string>() == "cancelled", v.at("tasks").get<int>()};
}

Json encode(const CordonBatch& m) {
    return {{"why", m.why}, {"fence", m.fence}, {"machines", m.machines}, {"gone", m.gone}};
}

CordonBatch decode_cordons(const Json& v, Revision revision) {
    CordonBatch m;
    m.revision = revision;
    m.why = v.at("why").get<std::string>();
    m.fence = v.at("fence").get<bool>();
    m.machines = v.at("machines").get<std::set<std::string>>();
    m.gone = v.at("gone").get<std::set<std::string>>();
    return m;
}

Json encode(const Slices& slices) {
    Json held = Json::object();
    for (const auto& [id, r] : slices.held) {
        held[std::to_string(id)] = amounts(r);
    }
    return {{"held", held}};
}

Slices decode_slices(const Json& v, Revision revision) {
    Slices slices;
    slices.revision = revision;
    for (const auto& [id, r] : v.at("held").items()) {
        slices.held[std::stoull(id)] = amounts(r);
    }
    return slices;
}

namespace {
Json encode_exits(const std::vector<BatchedTaskExit>& exits) {
    Json list = Json::array();
    for (const auto& [task, attempt] : exits) {
        list.push_back(Json::array({task, attempt}));
    }
    return list;
}

std::vector<BatchedTaskExit> decode_exits(const Json& v) {
    std::vector<BatchedTaskExit> exits;
    for (const auto& each : v) {
        exits.push_back({each.at(0).get<int>(), each.at(1).get<std::uint64_t>()});
    }
    return exits;
}
}  // namespace

// Entries are lists, and each zone is named once: the size of a batch decides how many claims one
// write holds.
Json encode(const ClaimBatch& batch) {
    std::vector<std::string> zones;
    Json entries = Json::array();
    for (const auto& e : batch.entries) {
        Json placed = Json::array();
        for (const auto& [task, p] : e.placed) {
            auto zone = std::find(zones.begin(), zones.end(), p.zone) - zones.begin();
            if (zone == static_cast<std::ptrdiff_t>(zones.size())) {
                zones.push_back(p.zone);
            }
            placed.push_back(Json::array({task, p.machine, zone, p.attempt, p.charge}));
        }
        entries.push_back(Json::array(
            {e.uid, e.block, e.at, placed, encode_exits(e.done), encode_exits(e.lost)}));
    }
    return {{"zones", zones}, {"entries", entries}};
}

ClaimBatch decode_claim_batch(const Json& v, Revision revision) {
    ClaimBatch batch;
    batch.revision = revision;
    auto zones = v.at("zones").get<std::vector<std::string>>();
    for (const auto& each : v.at("entries")) {
        BatchEntry e;
        e.uid = each.at(0).get<std::string>();
        e.block = each.at(1).get<int>();
        e.at = each.at(2).get<Revision>();
        e.at = e.at == 0 ? revision : e.at;
        for (const auto& p : each.at(3)) {
            e.placed[p.at(0).get<int>()] = {
                p.at(1).get<std::string>(), zones.at(p.at(2).get<std::size_t>()),
                p.at(3).get<std::uint64_t>(), p.at(4).get<std::uint64_t>()};
        }
        e.done = decode_exits(each.at(4));
        e.lost = decode_exits(each.at(5));
        batch.entries.push_back(std::move(e));
    }
    return batch;
}

Json encode(const admission::Table& table) {
    Json parts = Json::object();
    for (const auto& [id, part] : table.parts) {
        parts[std::to_string(id)] = {{"weight", part.weight}};
    }
    return {{"number", table.number}, {"shared", table.shared}, {"parts", parts}};
}

admission::Table decode_table(const Json& v, Revision revision) {
    admission::Table table;
    table.revision = revision;
    table.number = v.at("number").get<std::uint64_t>();
    table.shared = v.at("shared").get<bool>();
    for (const auto& [id, part] : v.at("parts").items()) {
        table.parts[std::stoull(id)] = {part.at("weight").get<int>()};
    }
    return table;
}

std::size_t bytes_of(const BatchEntry& e) {
    // ["uid",0,revision,[...],[...],[...]],
    std::size_t sum = e.uid.size() + constants::batch_entry_overhead_bytes;
    for (const auto& [task, p] : e.placed) {
        sum += bytes_of(task, p) - p.zone.size();
    }
    for (const auto* exits : {&e.done, &e.lost}) {
        for (const auto& [task, attempt] : *exits) {
            sum += fmt::formatted_size("[{},{}],", task, attempt);
        }
    }
    return sum;
}

Json encode(const JobRecord& job) {
    const JobSpec& s = job.spec;
    Json v = {{"uid", s.uid},
              {"class", s.job_class},
              {"team", job.waiting ? "" : s.team},
              {"kind", static_cast<int>(s.kind)},
              {"priority", static_cast<int>(s.priority)},
              {"tasks", s.tasks},
              {"each", amounts(s.task_resources)},
              {"together", s.same_zone},
              {"spread", s.zone_spread},
              {"spot", s.spot},
              {"image", s.image},
              {"image_gb", s.image_gb},
              {"estimate_s", s.estimate_s},
              {"checkpoint_s", s.checkpoint_s},
              {"save_s", s.save_s},
              {"submitted", job.submitted_wall},
              {"block_size", job.block_size},
              {"cancelled", job.cancelled_wall}};
    if (s.machine_types) {
        v["types"] = *s.machine_types;
    }
    if (s.zone) {
        v["zone"] = *s.zone;
    }
    if (s.deadline_s) {
        v["deadline_s"] = *s.deadline_s;
    }
    if (job.page_size > 0) {
        v["page_size"] = job.page_size;
    }
    if (job.waiting) {
        v["of_team"] = s.team;
        if (job.follow_parts > 0) {
            v["follow_parts"] = job.follow_parts;
        } else {
            v["follows"] = s.depends_on;
        }
    }
    if (job.ready_wall > 0) {
        v["ready"] = job.ready_wall;
    }
    return v;
}

Json encode_listing(Json jobs) {
    Json v = Json::object();
    v["jobs"] = std::move(jobs);
    return v;
}

Json encode_follows(const std::vector<std::string>& follows) {
    return {{"follows", follows}};
}

std::vector<std::string> decode_follows(const Json& v) {
    return v.at("follows").get<std::vector<std::string>>();
}

JobRecord decode_job(const Json& v) {
    JobRecord job;
    JobSpec& s = job.spec;
    s.uid = v.at("uid").get<std::string>();
    s.job_class = v.at("class").get<std::string>();
    s.team = v.at("team").get<std::string>();
    s.kind = static_cast<JobKind>(v.at("kind").get<int>());
    s.priority = static_cast<Priority>(v.at("priority").get<int>());
    s.tasks = v.at("tasks").get<int>();
    s.task_resources = amounts(v.at("each"));
    s.same_zone = v.at("together").get<bool>();
    s.zone_spread = v.at("spread").get<bool>();
    s.spot = v.at("spot").get<bool>();
    s.image = v.at("image").get<std::string>();
    s.image_gb = v.at("image_gb").get<double>();
    s.estimate_s = v.at("estimate_s").get<double>();
    s.checkpoint_s = v.at("checkpoint_s").get<double>();
    s.save_s = v.at("save_s").get<double>();
    if (v.contains("types")) {
        s.machine_types = v.at("types").get<std::vector<std::string>>();
    }
    if (v.contains("zone")) {
        s.zone = v.at("zone").get<std::string>();
    }
    if (v.contains("deadline_s")) {
        s.deadline_s = v.at("deadline_s").get<double>();
    }
    job.submitted_wall = v.at("submitted").get<double>();
    job.block_size = v.at("block_size").get<int>();
    job.cancelled_wall = v.at("cancelled").get<double>();
    job.page_size = v.value("page_size", 0);
    job.ready_wall = v.value("ready", 0.0);
    if (v.contains("of_team")) {
        job.waiting = true;
        s.team = v.at("of_team").get<std::string>();
        job.follow_parts = v.value("follow_parts", 0);
        if (v.contains("follows")) {
            s.depends_on = decode_follows(v);
        }
    }
    return job;
}

}  // namespace cranemoor::core

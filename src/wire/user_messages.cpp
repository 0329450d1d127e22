#include "wire/user_messages.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "wire/cbor.hpp"
#include "wire/fields.hpp"

namespace cranemoor::wire {

using namespace core;

namespace {

constexpr std::string_view job_path_prefix = "/work/";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::size_t uid_bytes_max = 32;
constexpr std::uint64_t tasks_max = 100000;  // in one job, given by the protocol

constexpr auto job_kinds = std::to_array<EnumName<JobKind>>(
    {{"array", JobKind::array}, {"gang", JobKind::gang}, {"service", JobKind::service}});
constexpr auto priorities =
    std::to_array<EnumName<Priority>>({{"normal", Priority::normal},
                                       {"production", Priority::production},
                                       {"high", Priority::high},
                                       {"best_effort", Priority::best_effort}});

// Whether any text in the map is not UTF-8, in unknown fields too: such text can't be stored in any
// record.
bool has_invalid_utf8(const Json& map) {
    try {
        (void)map.dump();
        return false;
    } catch (const Json::type_error&) {
        return true;
    }
}

// Reads the ids of the jobs that this one depends on, without duplicates.
std::vector<std::string> read_dependencies(Fields& fields) {
    std::vector<std::string> uids = fields.texts("follows");
    if (!std::all_of(uids.begin(), uids.end(), is_valid_uid)) {
        fields.reject("follows");
    }
    std::sort(uids.begin(), uids.end());
    uids.erase(std::unique(uids.begin(), uids.end()), uids.end());
    return uids;
}

// Reads all fields except the job's id. The protocol's names: "flock" is the job class, "crew" the
// team, "gait" the kind, "rank" the priority, "hatchlings" the number of tasks, "plumage" the
// image, "breeds" the machine types, "marsh" the zone, "driftwood" whether spot instances are
// allowed, "flight_s" the estimated run time, "nestmark_s" the interval between checkpoints,
// "preen_s" the time to save one, "dusk_s" the deadline, "follows" the dependencies.
void read_job(Fields& fields, JobSpec& spec) {
    spec.job_class = fields.text("flock");
    spec.team = fields.text("crew");
    spec.kind = fields.choice("gait", job_kinds);
    spec.priority = fields.choice("rank", priorities);
    spec.tasks = static_cast<int>(fields.count("hatchlings", 1, tasks_max));
    spec.task_resources.cpus = fields.number("cpus");
    spec.task_resources.gpus = fields.number("gpus");
    spec.task_resources.memory_gb = fields.number("mem_gb");
    spec.image = fields.text("plumage");
    spec.image_gb = fields.number("size_gb");
    if (!fields.is_null("breeds")) {
        spec.machine_types = fields.texts("breeds");
    }
    if (!fields.is_null("marsh")) {
        spec.zone = fields.text("marsh");
    }
    spec.same_zone = fields.flag("together");
    spec.zone_spread = fields.flag("spread");
    spec.spot = fields.flag("driftwood");
    spec.estimate_s = fields.number("flight_s");
    spec.checkpoint_s = fields.number("nestmark_s");
    spec.save_s = fields.number("preen_s");
    spec.deadline_s = fields.number_or_null("dusk_s");
    if (!fields.is_null("follows")) {
        spec.depends_on = read_dependencies(fields);
    }
}

// The protocol's name of a job's state.
std::string state_text(const std::string& state) {
    if (state == "queued") {
        return "pending";
    }
    return state == "cancelled" ? "withdrawn" : state;
}

}  // namespace

bool is_job_path(const std::string& path) {
    return path.compare(0, job_path_prefix.size(), job_path_prefix) == 0;
}

JobPath parse_job_path(const std::string& path) {
    JobPath job;
    job.uid = path.substr(job_path_prefix.size());
    std::size_t suffix_size = cancel_suffix.size();
    job.is_cancellation =
        job.uid.size() > suffix_size &&
        job.uid.compare(job.uid.size() - suffix_size, suffix_size, cancel_suffix) == 0;
    if (job.is_cancellation) {
        job.uid.resize(job.uid.size() - suffix_size);
    }
    return job;
}

bool is_valid_uid(const std::string& uid) {
    static const std::string prefix = "req-";
    return uid.size() > prefix.size() && uid.size() <= uid_bytes_max &&
           uid.compare(0, prefix.size(), prefix) == 0 &&
           std::all_of(uid.begin() + static_cast<std::ptrdiff_t>(prefix.size()), uid.end(),
                       [](char c) { return c >= '0' && c <= '9'; });
}

Decoded<JobSpec, InvalidSubmission> decode_submission(const std::string& body) {
    auto map = decode_cbor_map(body);
    if (!map) {
        return InvalidSubmission{std::nullopt, map.error()};
    }
    Fields fields(*map);
    JobSpec spec;
    spec.uid = fields.text("uid");
    if (!fields.ok() || !is_valid_uid(spec.uid)) {
        return InvalidSubmission{std::nullopt, invalid_field("uid")};
    }
    if (has_invalid_utf8(*map)) {
        return InvalidSubmission{spec.uid, {"", "not UTF-8"}};
    }
    read_job(fields, spec);
    if (!fields.ok()) {
        return InvalidSubmission{spec.uid, fields.error()};
    }
    return spec;
}

std::string encode_user_reply(const UserReply& reply) {
    Json map = Json::object();
    if (!reply.uid.empty()) {
        map["uid"] = reply.uid;
    }
    if (!reply.state.empty()) {
        map["stance"] = state_text(reply.state);
    }
    if (reply.counts) {
        map["done"] = reply.counts->first;
        map["running"] = reply.counts->second;
    }
    if (!reply.error.empty()) {
        map["error"] = reply.error;
    }
    return encode_cbor(map);
}

}  // namespace cranemoor::wire

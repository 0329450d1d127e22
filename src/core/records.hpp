// The durable records in the state service and their JSON forms. docs/design.md lists the keys.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace cranemoor::core {

using Json = nlohmann::json;

namespace keys {
inline const std::string live = "c/";  // everything that controllers watch
inline const std::string epoch = "c/epoch";
std::string member(const std::string& name);
std::string job(const std::string& uid);
std::string block(const std::string& uid, int index);
// Jobs of one block that were accepted together.
std::string accepted(std::uint64_t member, std::uint64_t number);
std::string quota(const std::string& team);
std::string marks(std::uint64_t member, std::uint64_t number);
std::string finished(const std::string& uid);
}  // namespace keys

// The same on every controller and in every version.
std::uint64_t stable_hash(const std::string& text);

struct Member {
    std::string name;
    std::string zone;
    std::string boot;      // a random word per process start
    std::uint64_t id = 0;  // the epoch number it joined with: never used twice
    friend bool operator==(const Member& a, const Member& b) { return a.id == b.id; }
};

struct Epoch {
    Token number = 0;
    std::vector<Member> members;  // by age: the first one rents and returns machines
    const Member* find(const std::string& name) const;
    bool has(std::uint64_t id) const;
};

struct Placement {
    std::string machine;
    std::string zone;
    std::uint64_t attempt = 0;
    std::uint64_t charge = 0;  // id of the member whose quota slice carries it
};

// The final state of a job, kept for good.
struct Finished {
    bool cancelled = false;
    int tasks = 0;
};

struct Block {
    Revision revision = 0;  // 0: no record yet
    std::uint64_t attempt = 0;
    std::map<int, Placement> placed;        // by task number
    std::vector<std::pair<int, int>> done;  // ranges of task numbers, ends included
    int fails = 0;                  // writes in a row that told of errors and of nothing done
    double cancelled_wall = 0;      // of a job without a record of its own; 0: it was not
    std::optional<Finished> final;  // of the whole job, in its first block
    int done_total = 0;             // tasks in those ranges
    bool is_done(int task) const;
    int done_count() const { return done_total; }
    void add_done(int task);
};

// Set on a machine before it is returned: nothing new is started on it from then on.
struct Mark {
    bool fence = false;  // release it whatever still runs there
    bool gone = false;   // the cloud has confirmed the release
};

// Machines marked together: a wave takes hundreds, and one record for each would cost the write
// limit of half a minute.
struct Marks {
    Revision revision = 0;
    std::string why;
    bool fence = false;
    std::set<std::string> machines;
    std::set<std::string> gone;
};

// A team's limit as held by members, by member id.
struct Slices {
    Revision revision = 0;
    std::map<std::uint64_t, Resources> held;
    Resources total() const;
};

Json encode(const Epoch& epoch);
Json encode(const Block& block);
Json encode(const Finished& finished);
Json encode(const Marks& marks);
Json encode(const Slices& slices);
Json encode_member(const Member& member);
// cancelled_wall: when it was cancelled, 0 if it was not
Json encode_job(const JobSpec& spec, double submitted_wall, int block_size, double cancelled_wall);

// jobs: as encode_job made them
Json encode_listing(Json jobs);

Epoch decode_epoch(const Json& value);
Block decode_block(const Json& value);
Finished decode_finished(const Json& value);
Marks decode_marks(const Json& value);
Slices decode_slices(const Json& value);
Member decode_member(const Json& value);
JobSpec decode_job_spec(const Json& value);

const char* kind_name(JobKind kind);
const char* priority_name(Priority priority);

}  // namespace cranemoor::core

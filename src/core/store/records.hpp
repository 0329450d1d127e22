// The durable records in the state service and their JSON forms. docs/design.md lists the keys.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/table.hpp"
#include "core/model/types.hpp"

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
// A page of a job whose block records can't be put any more; see JobRecord.
std::string page(const std::string& uid, int index);
// A part of a long list of jobs that one follows.
std::string follows(const std::string& uid, int part);
// Which version the controller of that name has run, see level_now.
std::string version(const std::string& name);
// Claims and ends of many jobs.
std::string sheet(std::uint64_t member, std::uint64_t number);
inline const std::string table = "c/t";  // what members act on together under pressure
std::string quota(const std::string& team);
std::string marks(std::uint64_t member, std::uint64_t number);
std::string finished(const std::string& uid);
}  // namespace keys

/// The kinds of records below `keys::live`, told apart by their keys.
enum class RecordKind {
    unknown,  // of a later version
    epoch,
    member,
    job,
    listing,
    block,
    page,
    dependencies,
    version,
    admission_table,
    claim_batch,
    quota,
    cordons
};
/// The kind of the record with that key.
RecordKind kind_of(const std::string& key);

/// What a key made of a job's uid and a number names: a block, a page, a part of a list.
struct IndexedKey {
    std::string uid;
    int index = 0;
};
/// Splits the key of a block, a page or a part of a dependency list.
IndexedKey parse_indexed_key(const std::string& key);
/// The uid in the key of a job's own record.
std::string uid_of_job_key(const std::string& key);

// The same on every controller and in every version.
std::uint64_t stable_hash(const std::string& text);

// What a controller's version understands: from 1 on pages and dependent jobs, from 2 on sheets and
// the admission table.
inline constexpr int level_now = 2;

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
    std::uint64_t stop = 0;         // attempt of a gang that is to be stopped whole, 0: none
    int fails = 0;                  // writes in a row that told of errors and of nothing done
    double cancelled_wall = 0;      // of a job without a record of its own; 0: it was not
    std::optional<Finished> final;  // of the whole job, in its first block
    int done_total = 0;             // tasks in those ranges
    // What sheets said of this block up to that revision is in it; 0: nothing.
    Revision merged = 0;
    Revision recorded = 0;  // the same of its record
    bool is_done(int task) const;
    int done_count() const { return done_total; }
    void add_done(int task);
};
// What its record takes, as the state service counts it.
std::size_t bytes_of(const Block& block);
std::size_t bytes_of(int task, const Placement& place);

// A job as its record has it.
struct JobRecord {
    JobSpec spec;
    double submitted_wall = 0;
    int block_size = 0;  // tasks of one block record
    double cancelled_wall = 0;
    // Tasks of one page, 0: it has none. The block records of a job with pages stay as they are;
    // what changes is written to the page, which holds for its tasks as soon as it is there.
    int page_size = 0;
    // Waits for the jobs it follows. The version before this one takes its team for unknown, and
    // so claims nothing for it.
    bool waiting = false;
    int follow_parts = 0;   // records that hold what it follows, 0: this one does
    double ready_wall = 0;  // when the last job that it follows was done
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

// What one write of a sheet says of one block: tasks that were claimed, and tasks that have ended.
struct Entry {
    std::string uid;
    int block = 0;
    Revision at = 0;  // of the write that said it first; 0: of the one that is being made
    std::map<int, Placement> placed;
    using Ended = std::vector<std::pair<int, std::uint64_t>>;  // task, attempt
    Ended done;
    Ended lost;  // ended without being done
};

// Claims and ends of many jobs in one record: while writes are short, one for each block would make
// all work wait. Its entries hold beside the blocks' records until a write of the block takes them
// in.
struct Sheet {
    Revision revision = 0;
    std::vector<Entry> entries;
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
// What a machine's name takes in such a record once it is gone.
inline std::size_t mark_bytes(const std::string& machine) {
    return 2 * (machine.size() + 3);
}
Json encode(const Slices& slices);
Json encode(const Sheet& sheet);
Json encode(const admission::Table& table);
// What an entry takes in a sheet at the most.
std::size_t bytes_of(const Entry& entry);
Json encode_member(const Member& member);
Json encode(const JobRecord& job);
Json encode_follows(const std::vector<std::string>& follows);

// jobs: as encode made them
Json encode_listing(Json jobs);

Epoch decode_epoch(const Json& value);
/// `revision`: of the record; 0 for a block that is no record itself.
Block decode_block(const Json& value, Revision revision = 0);
Finished decode_finished(const Json& value);
Marks decode_marks(const Json& value, Revision revision);
Slices decode_slices(const Json& value, Revision revision);
// revision: of the record, for what it says for the first time
Sheet decode_sheet(const Json& value, Revision revision);
admission::Table decode_table(const Json& value, Revision revision);
Member decode_member(const Json& value);
int decode_level(const Json& value);
JobRecord decode_job(const Json& value);
std::vector<std::string> decode_follows(const Json& value);

const char* kind_name(JobKind kind);
const char* priority_name(Priority priority);

}  // namespace cranemoor::core

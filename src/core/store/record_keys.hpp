// The keys of the records in the key-value store. docs/design.md lists what each record holds.
#pragma once

#include <cstdint>
#include <string>

namespace cranemoor::core {

namespace keys {
/// Prefix of everything that controllers watch.
inline const std::string live = "c/";
/// The membership epoch.
inline const std::string epoch = "c/epoch";
/// The admission table.
inline const std::string table = "c/t";
/// A member of the epoch, attached to the controller's lease.
std::string member(const std::string& name);
/// A job's own record.
std::string job(const std::string& uid);
/// A block of a job's tasks.
std::string block(const std::string& uid, int index);
/// Jobs of one block that were accepted together, by the accepting member and its count.
std::string accepted(std::uint64_t member, std::uint64_t number);
/// A page of a job whose block records were split, see `JobRecord::page_size`.
std::string page(const std::string& uid, int index);
/// A part of a long list of jobs that one depends on.
std::string follows(const std::string& uid, int part);
/// The feature level that the controller of that name has run, see `FeatureLevel`.
std::string version(const std::string& name);
/// Claims and task exits of many jobs, by the writing member and its count.
std::string claim_batch(std::uint64_t member, std::uint64_t number);
/// The quota slices of a team.
std::string quota(const std::string& team);
/// Machines cordoned together, by the writing member and its count.
std::string marks(std::uint64_t member, std::uint64_t number);
/// A final state that was moved out of the watched records.
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
/// Splits the key of a block, a page or a part of a dependency list. Throws `std::logic_error` if
/// it has no number.
IndexedKey parse_indexed_key(const std::string& key);
/// The uid in the key of a job's own record.
std::string uid_of_job_key(const std::string& key);

/// A hash that is the same on every controller and in every version.
std::uint64_t stable_hash(const std::string& text);

}  // namespace cranemoor::core

// The keys of the records in the key-value store, and the record kinds that they stand for.
// docs/design.md lists what each record holds.
#pragma once

#include <cstdint>
#include <string>

namespace cranemoor::core {

namespace keys {
/// Prefix of all keys that controllers watch and replicate.
inline const std::string watched_prefix = "c/";
/// The membership epoch (`Epoch`).
inline const std::string epoch = "c/epoch";
/// The admission table (`admission::Table`), written by the leader.
inline const std::string admission_table = "c/t";
/// A member of the epoch (`Member`), attached to the controller's lease.
std::string member(const std::string& name);
/// A job's own record (`JobRecord`).
std::string job(const std::string& uid);
/// A block of a job's tasks (`Block`).
std::string block(const std::string& uid, int index);
/// Jobs of one block each that were accepted together; `number` distinguishes those of one
/// accepting member.
std::string job_listing(std::uint64_t member, std::uint64_t number);
/// A page (`Block`) of a job whose block records were split, see `JobRecord::page_size`.
std::string page(const std::string& uid, int index);
/// A part of a list of dependencies that is too long for the job's own record. Written before the
/// record that accepts the job.
std::string dependencies(const std::string& uid, int part);
/// The highest feature level that the controller of that name has run, see `FeatureLevel`.
std::string feature_level(const std::string& name);
/// Claims and task exits of many jobs (`ClaimBatch`); `number` distinguishes those of one writing
/// member.
std::string claim_batch(std::uint64_t member, std::uint64_t number);
/// The quota slices of a team (`QuotaSlices`).
std::string quota(const std::string& team);
/// Machines cordoned together (`CordonBatch`); `number` distinguishes those of one writing member.
std::string cordon_batch(std::uint64_t member, std::uint64_t number);
/// The final state of a job (`Finished`) that was moved out of the watched records.
std::string final_state(const std::string& uid);
}  // namespace keys

/// The kinds of records below `keys::watched_prefix`, distinguished by their keys.
enum class RecordKind {
    unknown,  // written by a later version
    epoch,
    member,
    job,
    listing,
    block,
    page,
    dependencies,
    feature_level,
    admission_table,
    claim_batch,
    quota,
    cordon_batch
};
/// The kind of the record with that key; `unknown` if the key is of none of the other kinds.
RecordKind kind_of(const std::string& key);

/// The parts of a key that consists of a job's uid and a number: the key of a block, of a page or
/// of a part of a dependency list.
struct IndexedKey {
    std::string uid;
    int index = 0;
};
/// Splits the key of a block, a page or a part of a dependency list. Throws `std::logic_error` if
/// the key has no number.
IndexedKey parse_indexed_key(const std::string& key);
/// The uid in the key of a job's own record, as escaped there.
std::string uid_of_job_key(const std::string& key);

/// A hash that is the same on all controllers and in all versions.
std::uint64_t stable_hash(const std::string& text);

}  // namespace cranemoor::core

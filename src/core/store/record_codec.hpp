// Conversion of the durable records to and from JSON, and the sizes of the stored values. The names
// of the JSON fields are part of the stored format.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "admission/table.hpp"
#include "core/model/types.hpp"
#include "core/store/record_keys.hpp"
#include "core/store/records.hpp"

namespace cranemoor::core {

using Json = nlohmann::json;

/// Encodes a record as its stored form.
Json encode(const Epoch& epoch);
Json encode(const Block& block);
Json encode(const Finished& finished);
Json encode(const CordonBatch& batch);
Json encode(const QuotaSlices& slices);
Json encode(const ClaimBatch& batch);
Json encode(const admission::Table& table);
Json encode(const JobRecord& job);
/// The stored form of a member, both in its own record and in the epoch.
Json encode_member(const Member& member);
/// The stored form of the feature level that the controller of that name has run.
Json encode_level(const std::string& name, FeatureLevel level);
/// The stored form of a part of a dependency list.
Json encode_dependencies(const std::vector<std::string>& dependencies);
/// The stored form of jobs accepted together. `jobs` is an array of their stored forms.
Json encode_listing(Json jobs);

/// Decode the stored form of a record, and throw a `Json::exception` if the value doesn't have that
/// form. `revision` is that of the record, 0 for a value that isn't a record itself.
Epoch decode_epoch(const Json& value);
Block decode_block(const Json& value, Revision revision = 0);
Finished decode_finished(const Json& value);
CordonBatch decode_cordon_batch(const Json& value, Revision revision);
QuotaSlices decode_quota_slices(const Json& value, Revision revision);
/// Entries that are new in this write of the batch get its revision.
ClaimBatch decode_claim_batch(const Json& value, Revision revision);
admission::Table decode_table(const Json& value, Revision revision);
Member decode_member(const Json& value);
FeatureLevel decode_level(const Json& value);
JobRecord decode_job(const Json& value);
std::vector<std::string> decode_dependencies(const Json& value);

/// Size of a block's record in bytes, as the key-value store counts it.
std::size_t bytes_of(const Block& block);
/// Size of a placed task in a block's record, in bytes.
std::size_t bytes_of(int task, const Placement& place);
/// Size of an entry in a claim batch in bytes, at most.
std::size_t bytes_of(const ClaimBatchEntry& entry);
/// Size of a machine's name in a cordon batch in bytes, once its release is confirmed: the record
/// then contains it twice.
inline std::size_t cordon_bytes(const std::string& machine) {
    return 2 * (machine.size() + 3);
}

/// The name of a job kind in logs and for users.
const char* kind_name(JobKind kind);
/// The name of a priority in logs and for users.
const char* priority_name(Priority priority);

}  // namespace cranemoor::core

// The JSON forms of the durable records, and the sizes that they take. The names of the fields are
// part of the stored format.
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

/// The stored form of each record.
Json encode(const Epoch& epoch);
Json encode(const Block& block);
Json encode(const Finished& finished);
Json encode(const CordonBatch& m);
Json encode(const Slices& slices);
Json encode(const ClaimBatch& batch);
Json encode(const admission::Table& table);
Json encode(const JobRecord& job);
/// The stored form of a member, in a record of its own and in the epoch.
Json encode_member(const Member& member);
/// The stored form of a feature level, as the controller of that name has run it.
Json encode_level(const std::string& name, FeatureLevel level);
/// The stored form of a part of a dependency list.
Json encode_follows(const std::vector<std::string>& follows);
/// The stored form of jobs accepted together, from the stored forms of each.
Json encode_listing(Json jobs);

/// Each reads the stored form back, and throws a `Json::exception` where the value isn't of that
/// form. `revision` is that of the record, 0 for a value that is no record itself.
Epoch decode_epoch(const Json& value);
Block decode_block(const Json& value, Revision revision = 0);
Finished decode_finished(const Json& value);
CordonBatch decode_cordons(const Json& value, Revision revision);
Slices decode_slices(const Json& value, Revision revision);
/// Entries that the batch says for the first time take its revision.
ClaimBatch decode_claim_batch(const Json& value, Revision revision);
admission::Table decode_table(const Json& value, Revision revision);
Member decode_member(const Json& value);
FeatureLevel decode_level(const Json& value);
JobRecord decode_job(const Json& value);
std::vector<std::string> decode_follows(const Json& value);

/// Bytes that the record of a block takes, as the key-value store counts them.
std::size_t bytes_of(const Block& block);
/// Bytes that a placed task takes in it.
std::size_t bytes_of(int task, const Placement& place);
/// Bytes that an entry takes in a claim batch, at most.
std::size_t bytes_of(const BatchEntry& entry);
/// Bytes that a machine's name takes in a record of cordons once its release is confirmed.
inline std::size_t mark_bytes(const std::string& machine) {
    return 2 * (machine.size() + 3);
}

/// The name of a job kind, as logs and users see it.
const char* kind_name(JobKind kind);
/// The name of a priority, as logs and users see it.
const char* priority_name(Priority priority);

}  // namespace cranemoor::core

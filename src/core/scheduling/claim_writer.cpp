#include "core/scheduling/claim_writer.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

namespace {
// Writes that one more claim may add to a transaction: a block record and a quota record.
constexpr std::size_t claim_writes_max = 2;
// Conditions that are added to the transaction of a claim batch when it is sent: on the epoch, the
// admission table and the claim batch itself.
constexpr std::size_t claim_batch_conditions = 3;
}  // namespace

Resources ClaimWriter::claimed_on(const std::string& machine) const {
    auto found = claimed_by_machine_.find(machine);
    return found == claimed_by_machine_.end() ? Resources{} : found->second;
}

bool ClaimWriter::has_unresolved_claim(const std::string& block_key) const {
    return std::any_of(unknown_outcomes_.begin(), unknown_outcomes_.end(), [&](const Claim& claim) {
        return claim.key == block_key && is_unresolved(claim);
    });
}

// Whether a claim's conditions still hold, so that it may still be applied.
bool ClaimWriter::is_unresolved(const Claim& claim) const {
    return ctx_.jobs.revision_of(claim.key) == claim.revision &&
           ctx_.jobs.revision_of(keys::epoch) == claim.epoch;
}

bool ClaimWriter::cover_quota(ClaimTarget target, const std::string& team,
                              const Resources& amount) {
    Txn& txn =
        target == ClaimTarget::claim_batch ? batched_transaction_.txn : block_transaction_.txn;
    return quota_.ensure_slice(team, amount, txn);
}

void ClaimWriter::add_block_claim(const Job& job, const std::map<int, Block>& blocks,
                                  const std::vector<std::string>& machines, int tasks) {
    Txn& txn = block_transaction_.txn;
    std::vector<std::string>& block_keys = block_transaction_.in_flight.block_keys;
    for (auto& condition : JobStore::live_conditions(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    Claim claim;
    for (const auto& [index, block] : blocks) {
        claim.key = job.block_key(index);
        claim.revision = job.block(index).revision;
        job.add_block_write(index, block, txn);
        block_keys.push_back(claim.key);
        ++blocks_in_flight_;
    }
    if (job.page_size > 0 && (job.spec.zone_spread || job.spec.same_zone)) {
        // Whether these placements are allowed depends on the tasks of the other pages.
        for (int index = 0; index < job.block_count(); ++index) {
            if (!blocks.contains(index)) {
                txn.conditions.push_back({job.block_key(index), job.block(index).revision});
            }
        }
    }
    track_claim(block_transaction_, job, std::move(claim), machines, tasks);
    if (block_keys.size() >= constants::claim_blocks_per_txn_max ||
        txn.writes.size() + claim_writes_max > ctx_.txn_ops_max() ||
        txn.conditions.size() + constants::claim_conditions_max > ctx_.txn_conditions_max()) {
        send_block_claims();
    }
}

void ClaimWriter::add_batched_claim(const Job& job, int block, const Block& next,
                                    const std::vector<std::string>& machines) {
    ClaimBatchEntry entry;
    entry.uid = job.spec.uid;
    entry.block = block;
    for (const auto& [task, placement] : next.placed) {
        if (!job.block(block).placed.contains(task)) {
            entry.placed[task] = placement;
        }
    }
    auto tasks = static_cast<int>(entry.placed.size());
    std::size_t bytes = bytes_of(entry);
    if (!batched_transaction_.entries.empty() &&
        batched_transaction_.entries_bytes + bytes > batched_claims_.entry_bytes_per_write()) {
        send_batched_claims();
    }
    Txn& txn = batched_transaction_.txn;
    for (auto& condition : JobStore::live_conditions(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    txn.conditions.push_back({job.block_key(block), job.block(block).revision});
    batched_transaction_.in_flight.block_keys.push_back(job.block_key(block));
    batched_transaction_.entries_bytes += bytes;
    batched_transaction_.entries.push_back(std::move(entry));
    track_claim(batched_transaction_, job, {}, machines, tasks);
    if (txn.conditions.size() + claim_batch_conditions + constants::claim_conditions_max >
            ctx_.txn_conditions_max() ||
        txn.writes.size() + claim_writes_max > ctx_.txn_ops_max()) {
        send_batched_claims();
    }
}

// Reserves a claim's resources, quota and blocks until its outcome is known.
void ClaimWriter::track_claim(OpenTransaction& open, const Job& job, Claim claim,
                              const std::vector<std::string>& machines, int tasks) {
    InFlightClaims& in_flight = open.in_flight;
    ctx_.block_writes_in_flight.insert(in_flight.block_keys.begin(), in_flight.block_keys.end());
    for (const auto& name : machines) {
        claimed_by_machine_[name] += job.spec.task_resources;
        in_flight.claimed_resources.push_back({name, job.spec.task_resources});
    }
    claim.epoch = ctx_.jobs.revision_of(keys::epoch);
    claim.team = job.spec.team;
    claim.amount = job.spec.task_resources * tasks;
    quota_.reserve(claim.team, claim.amount);
    in_flight.claims.push_back(std::move(claim));
    std::set<std::string> distinct_machines(machines.begin(), machines.end());
    ctx_.info("claim for job {}: {} tasks on machines {}", job.spec.uid, tasks,
              fmt::join(distinct_machines, ","));
}

void ClaimWriter::send_block_claims() {
    OpenTransaction open = std::exchange(block_transaction_, {});
    if (open.in_flight.claims.empty()) {
        return;
    }
    open.txn.conditions.push_back(ctx_.epoch_condition());
    open.txn.conditions.push_back(batched_claims_.table_condition());
    open.txn.purpose = Txn::Purpose::claim;
    // A machine that is cordoned in the meantime starts nothing any more: every replica that holds
    // a claim made after the cordon also holds the cordon, and the claim is withdrawn.
    open.in_flight.target = ClaimTarget::block_record;
    hold_heartbeat_replies(open.in_flight);
    ctx_.send_txn(std::move(open.txn), [this, in_flight = std::move(open.in_flight)](
                                           const StoreReply& reply) { settle(in_flight, reply); });
}

void ClaimWriter::send_batched_claims() {
    OpenTransaction open = std::exchange(batched_transaction_, {});
    if (open.in_flight.claims.empty()) {
        return;
    }
    Condition record = batched_claims_.next_record();
    for (auto& claim : open.in_flight.claims) {
        claim.key = record.key;
        claim.revision = record.revision;
    }
    open.txn.conditions.push_back(batched_claims_.table_condition());
    open.in_flight.target = ClaimTarget::claim_batch;
    hold_heartbeat_replies(open.in_flight);
    ++batched_writes_in_flight_;
    batched_claims_.write(std::move(open.entries), std::move(open.txn),
                          [this, in_flight = std::move(open.in_flight)](const StoreReply& reply) {
                              settle(in_flight, reply);
                          });
}

// Holds the replies to the machines' open heartbeats until the claims are settled.
void ClaimWriter::hold_heartbeat_replies(InFlightClaims& in_flight) {
    for (const auto& taken : in_flight.claimed_resources) {
        in_flight.machines.insert(taken.machine);
    }
    for (const auto& name : in_flight.machines) {
        if (Machine* machine = agents_.find(name)) {
            machine->claims_in_flight++;
        }
    }
}

void ClaimWriter::settle(const InFlightClaims& in_flight, const StoreReply& reply) {
    using Status = StoreReply::Status;
    if (reply.status == Status::ok || reply.status == Status::conflict) {
        if (reply.status == Status::conflict) {
            ctx_.debug("claims rejected because other writes changed {}",
                       fmt::join(reply.failed_keys, ","));
        }
        ctx_.when_replica_reaches(reply.revision, [this, in_flight] {
            release_quota(in_flight);
            release_in_flight(in_flight);
        });
    } else if (reply.status == Status::unknown) {
        // The transaction may still be applied while its conditions hold: its quota stays reserved
        // until the records have changed so that they no longer hold.
        unknown_outcomes_.insert(unknown_outcomes_.end(), in_flight.claims.begin(),
                                 in_flight.claims.end());
        release_in_flight(in_flight);
    } else {
        release_quota(in_flight);
        release_in_flight(in_flight);
    }
}

void ClaimWriter::release_quota(const InFlightClaims& in_flight) {
    for (const auto& claim : in_flight.claims) {
        quota_.release(claim.team, claim.amount);
    }
}

// Releases what a transaction's claims held while in flight, except quota.
void ClaimWriter::release_in_flight(const InFlightClaims& in_flight) {
    if (in_flight.target == ClaimTarget::claim_batch) {
        --batched_writes_in_flight_;
    } else {
        blocks_in_flight_ -= in_flight.block_keys.size();
    }
    for (const auto& key : in_flight.block_keys) {
        ctx_.block_writes_in_flight.erase(key);
    }
    for (const auto& taken : in_flight.claimed_resources) {
        Resources& claimed = claimed_by_machine_[taken.machine];
        claimed -= taken.amount;
        if (claimed.cpus < Resources::rounding_tolerance) {
            claimed_by_machine_.erase(taken.machine);
        }
    }
    for (const auto& name : in_flight.machines) {
        Machine* machine = agents_.find(name);
        if (machine != nullptr) {
            machine->claims_in_flight--;
            replies_.send_if_due(*machine);
        }
    }
}

void ClaimWriter::records_changed() {
    for (std::size_t index = 0; index < unknown_outcomes_.size();) {
        const Claim& claim = unknown_outcomes_[index];
        if (is_unresolved(claim)) {
            ++index;
            continue;
        }
        quota_.release(claim.team, claim.amount);
        unknown_outcomes_.erase(unknown_outcomes_.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

}  // namespace cranemoor::core

#include "core/scheduling/claim_writer.hpp"

#include <algorithm>
#include <utility>

namespace cranemoor::core {

namespace {
// Writes that the next claim may bring: a block and a quota record.
constexpr std::size_t writes_of_next_claim = 2;
// Conditions that a transaction of a batched record gets when it is sent: the epoch, the admission
// table and the record itself.
constexpr std::size_t conditions_of_batched_record = 3;
}  // namespace

Resources ClaimWriter::claimed_on(const std::string& machine) const {
    auto found = claimed_.find(machine);
    return found == claimed_.end() ? Resources{} : found->second;
}

bool ClaimWriter::is_in_doubt(const std::string& block_key) const {
    return std::any_of(unknown_outcomes_.begin(), unknown_outcomes_.end(), [&](const Claim& claim) {
        return claim.key == block_key && is_undecided(claim);
    });
}

// Whether a claim's conditions still hold, so that it may yet be carried out.
bool ClaimWriter::is_undecided(const Claim& claim) const {
    return ctx_.jobs.revision_of(claim.key) == claim.revision &&
           ctx_.jobs.revision_of(keys::epoch) == claim.epoch;
}

bool ClaimWriter::cover_quota(ClaimTarget target, const std::string& team,
                              const Resources& amount) {
    Txn& txn = target == ClaimTarget::batched_record ? batched_entries_.txn : block_claims_.txn;
    return quota_.cover(team, amount, txn);
}

void ClaimWriter::add_block_claim(const Job& job, const std::map<int, Block>& blocks,
                                  const std::vector<std::string>& machines, int tasks) {
    Txn& txn = block_claims_.txn;
    std::vector<std::string>& block_keys = block_claims_.in_flight.block_keys;
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
        // Whether the place is allowed depends on the tasks of the other pages.
        for (int index = 0; index < job.block_count(); ++index) {
            if (!blocks.contains(index)) {
                txn.conditions.push_back({job.block_key(index), job.block(index).revision});
            }
        }
    }
    take_claim(block_claims_, job, std::move(claim), machines, tasks);
    if (block_keys.size() >= constants::claim_blocks_per_txn_max ||
        txn.writes.size() + writes_of_next_claim > ctx_.txn_ops_max() ||
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
    if (!batched_entries_.entries.empty() &&
        batched_entries_.entries_bytes + bytes > batched_claims_.entry_bytes_per_write()) {
        send_batched_claims();
    }
    Txn& txn = batched_entries_.txn;
    for (auto& condition : JobStore::live_conditions(job)) {
        txn.conditions.push_back(std::move(condition));
    }
    txn.conditions.push_back({job.block_key(block), job.block(block).revision});
    batched_entries_.in_flight.block_keys.push_back(job.block_key(block));
    batched_entries_.entries_bytes += bytes;
    batched_entries_.entries.push_back(std::move(entry));
    take_claim(batched_entries_, job, {}, machines, tasks);
    if (txn.conditions.size() + conditions_of_batched_record + constants::claim_conditions_max >
            ctx_.txn_conditions_max() ||
        txn.writes.size() + writes_of_next_claim > ctx_.txn_ops_max()) {
        send_batched_claims();
    }
}

// Keeps what a claim takes reserved until its outcome is known.
void ClaimWriter::take_claim(OpenTransaction& open, const Job& job, Claim claim,
                             const std::vector<std::string>& machines, int tasks) {
    InFlight& in_flight = open.in_flight;
    ctx_.block_writes_in_flight.insert(in_flight.block_keys.begin(), in_flight.block_keys.end());
    for (const auto& name : machines) {
        claimed_[name] += job.spec.task_resources;
        in_flight.shares.push_back({name, job.spec.task_resources});
    }
    claim.epoch = ctx_.jobs.revision_of(keys::epoch);
    claim.team = job.spec.team;
    claim.amount = job.spec.task_resources * tasks;
    quota_.reserve(claim.team, claim.amount);
    in_flight.claims.push_back(std::move(claim));
    std::set<std::string> distinct(machines.begin(), machines.end());
    ctx_.info("claim {} tasks {} on {}", job.spec.uid, tasks, fmt::join(distinct, ","));
}

void ClaimWriter::send_block_claims() {
    OpenTransaction open = std::exchange(block_claims_, {});
    if (open.in_flight.claims.empty()) {
        return;
    }
    open.txn.conditions.push_back(ctx_.epoch_condition());
    open.txn.conditions.push_back(batched_claims_.table_condition());
    open.txn.purpose = Txn::Purpose::claim;
    // A machine that is marked meanwhile starts nothing any more: every copy that holds a claim
    // made after the mark holds the mark as well, and the claim is taken back.
    open.in_flight.target = ClaimTarget::block_record;
    hold_replies(open.in_flight);
    ctx_.send_txn(std::move(open.txn), [this, in_flight = std::move(open.in_flight)](
                                           const StoreReply& reply) { settle(in_flight, reply); });
}

void ClaimWriter::send_batched_claims() {
    OpenTransaction open = std::exchange(batched_entries_, {});
    if (open.in_flight.claims.empty()) {
        return;
    }
    Condition record = batched_claims_.next_record();
    for (auto& claim : open.in_flight.claims) {
        claim.key = record.key;
        claim.revision = record.revision;
    }
    open.txn.conditions.push_back(batched_claims_.table_condition());
    open.in_flight.target = ClaimTarget::batched_record;
    hold_replies(open.in_flight);
    ++batched_in_flight_;
    batched_claims_.write(std::move(open.entries), std::move(open.txn),
                          [this, in_flight = std::move(open.in_flight)](const StoreReply& reply) {
                              settle(in_flight, reply);
                          });
}

// The machines' open heartbeats are replied to once the claims are settled.
void ClaimWriter::hold_replies(InFlight& in_flight) {
    for (const auto& share : in_flight.shares) {
        in_flight.machines.insert(share.machine);
    }
    for (const auto& name : in_flight.machines) {
        if (Machine* machine = agents_.find(name)) {
            machine->claims_in_flight++;
        }
    }
}

void ClaimWriter::settle(const InFlight& in_flight, const StoreReply& reply) {
    using Status = StoreReply::Status;
    if (reply.status == Status::ok || reply.status == Status::conflict) {
        if (reply.status == Status::conflict) {
            ctx_.debug("claims lost to other changes of {}", fmt::join(reply.failed_keys, ","));
        }
        ctx_.when_replica_reaches(reply.revision, [this, in_flight] {
            release_quota(in_flight);
            finish(in_flight);
        });
    } else if (reply.status == Status::unknown) {
        // It may still be executed, for as long as its conditions hold: its amount stays
        // reserved until the records have moved on.
        unknown_outcomes_.insert(unknown_outcomes_.end(), in_flight.claims.begin(),
                                 in_flight.claims.end());
        finish(in_flight);
    } else {
        release_quota(in_flight);
        finish(in_flight);
    }
}

void ClaimWriter::release_quota(const InFlight& in_flight) {
    for (const auto& claim : in_flight.claims) {
        quota_.release(claim.team, claim.amount);
    }
}

// Ends what a transaction's claims held while they were in flight, other than quota.
void ClaimWriter::finish(const InFlight& in_flight) {
    if (in_flight.target == ClaimTarget::batched_record) {
        --batched_in_flight_;
    } else {
        blocks_in_flight_ -= in_flight.block_keys.size();
    }
    for (const auto& key : in_flight.block_keys) {
        ctx_.block_writes_in_flight.erase(key);
    }
    for (const auto& share : in_flight.shares) {
        Resources& claimed = claimed_[share.machine];
        claimed -= share.amount;
        if (claimed.cpus < Resources::rounding_tolerance) {
            claimed_.erase(share.machine);
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
    for (std::size_t i = 0; i < unknown_outcomes_.size();) {
        const Claim& claim = unknown_outcomes_[i];
        if (is_undecided(claim)) {
            ++i;
            continue;
        }
        quota_.release(claim.team, claim.amount);
        unknown_outcomes_.erase(unknown_outcomes_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

}  // namespace cranemoor::core

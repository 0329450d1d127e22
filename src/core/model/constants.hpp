/// Every constant of the service, with its unit and the reason for its value. What an operator may
/// change is in `Tunables`, which config/operators.cpp reads from an XML file.
#pragma once

#include <cstddef>

namespace cranemoor::core {

/// The operators' tunables and their defaults.
struct Tunables {
    /// Longest time that a job passes over machines that lack its image: the delay scheduling wait
    /// W of Algorithm 3 of the paper.
    double locality_wait_s = 3.0;
    /// How long machines that become free are reserved for the first gang in its team's order.
    double gang_reservation_s = 20.0;
    /// How long a team may stay below its guarantee before newer work of other teams is preempted.
    double guarantee_timeout_s = 6.0;
    /// Most empty machines kept for jobs that have not been submitted yet; how many of these are
    /// kept follows demand.
    double headroom_machines_max = 100.0;
    /// How long an empty machine beyond the headroom is kept: a boot costs more than that.
    double idle_release_s = 45.0;
    /// Final states kept among the watched records before the oldest are archived. This many take
    /// about a megabyte of memory, and four pages to read at a start.
    double final_states_max = 4000;
    /// Time without a heartbeat after which a machine is probed and then fenced; 0: derived from
    /// the setting `heartbeat_interval_s`.
    double worker_timeout_s = 0;
};

namespace constants {

// --- membership ---------------------------------------------------------------------------
/// Lease of a member: long enough for two lost renewals and a slow answer of the key-value store.
inline constexpr int member_lease_ms = 3000;
/// Interval between lease renewals; a quarter of the lease.
inline constexpr double lease_renewal_interval_s = 0.75;
/// Additional time that each further member waits before it removes a dead one, so that only one of
/// them does it.
inline constexpr double member_removal_stagger_s = 0.4;
/// Delay before a call to the key-value store, such as joining or loading, is tried again after a
/// refusal.
inline constexpr double store_retry_delay_s = 0.25;
/// Margin before the point at which replies to workers must stop, so that a cancellation takes
/// effect in time by the end of their leases.
inline constexpr double cancel_reply_margin_s = 3.0;
/// Time without contact with the key-value store after which users are sent to other controllers.
inline constexpr double store_contact_timeout_s = 1.5;
/// Interval between the heartbeats with which controllers tell each other about their store
/// contact.
inline constexpr double peer_heartbeat_interval_s = 1.0;
/// How long a peer's heartbeat about its store contact stays valid.
inline constexpr double peer_heartbeat_ttl_s = 3.0;
/// How long a controller without store contact promises its peers to confirm no cancellation to
/// users (see src/read_leases). Longer than a process takes to end, restart and send a heartbeat,
/// so that its peers' workers keep running; not much longer, since no user gets a confirmation for
/// that long if a peer stays away.
inline constexpr double read_lease_s = 15.0;
/// Time by which the holder ends a read lease sooner: clocks may drift apart by 0.1 % of it.
inline constexpr double read_lease_margin_s = 0.1;
/// Size limit of the cancellations sent with one peer heartbeat, of the 64 KiB that a request may
/// have. A controller that knows of more grants no lease.
inline constexpr std::size_t peer_cancellations_bytes_max = 49152;
/// Size of one of these cancellations without its job's name.
inline constexpr std::size_t peer_cancellation_overhead_bytes = 24;
/// How long cancellations that were confirmed to users may be unknown here when a task is started:
/// what a request to the store and its answer take on a bad day. A worker's lease is renewed for
/// much longer, since it ends by itself; a start is only held back until the next answer.
inline constexpr double start_staleness_max_s = 2.0;
/// Age of the safe time after which the key-value store is asked for its revision, if no other
/// answer named it. A second is little beside the time that workers may be answered without.
inline constexpr double safe_time_refresh_interval_s = 1.0;

// --- overload -----------------------------------------------------------------------------
/// Weight of the latest write in the moving average of what writes take: about ten writes count,
/// which is a second's worth.
inline constexpr double write_wait_smoothing_factor = 0.1;
/// Time constant of the moving average of the write rate.
inline constexpr double write_rate_window_s = 3.0;
/// Interval between overload checks.
inline constexpr double overload_check_interval_s = 0.5;
/// Interval between changes of the admission table that are no emergency: the table costs writes,
/// of which there are too few during overload.
inline constexpr double admission_table_write_interval_s = 4.0;
/// Wait of a write from which on writes count as overloaded: a write takes some hundredths of a
/// second.
inline constexpr double overload_onset_wait_s = 0.4;
/// How long writes must wait that long before overload begins: a burst that is over by then needs
/// no table.
inline constexpr double overload_onset_duration_s = 1.0;
/// Wait of a write below which overload may end.
inline constexpr double overload_clear_wait_s = 0.2;
/// Share of the write limit below which the requested rate must be for overload to end. Writes
/// saved by sharing records count as requested, or overload would end at once.
inline constexpr double overload_clear_rate_share = 0.6;
/// How long both wait and rate must be below their limits before overload ends.
inline constexpr double overload_clear_duration_s = 15.0;
/// Share of all machines by which a member's weight in the admission table must be off before the
/// table is written again.
inline constexpr double admission_share_change_min = 0.04;
/// Interval between log lines about the load on writes.
inline constexpr double overload_log_interval_s = 10.0;

// --- minimum shares -----------------------------------------------------------------------
/// Minimum share of a flow, as a fraction of its fair share by its team's weight; a flow below it
/// goes ahead of all others. A class that asks for as much as its fair share gets more than half of
/// it, and the ordinary order still decides about roughly a third of all room.
inline constexpr double min_share_fair_share_fraction = 0.7;
/// Minimum share of each best-effort flow, as a fraction of all room: served last, but not never.
inline constexpr double min_share_best_effort_fraction = 0.01;
/// How long a flow must have waited before it goes ahead: longer than a boot and a fetch, which no
/// order of the queue can avoid.
inline constexpr double min_share_wait_s = 60;
/// Interval between checks for flows below their minimum share.
inline constexpr double min_share_check_interval_s = 2.0;
/// Gangs of flows below their minimum share that machines are reserved for at once: each may keep
/// some machines idle.
inline constexpr std::size_t min_share_gang_reservations_max = 16;
/// How long machines are reserved for such a gang: tasks that run there end by themselves, those of
/// an array within minutes.
inline constexpr double min_share_gang_reservation_s = 90;

// --- key-value store ----------------------------------------------------------------------
/// Timeout of a call; an answer later than this is taken as "may have been executed".
inline constexpr double store_timeout_s = 2.0;
/// Longest time that one watch request stays open.
inline constexpr int watch_duration_max_ms = 8000;
/// Time beyond its longest duration after which a watch without answer is opened again. Watches
/// stay open during an outage, so this must not be short.
inline constexpr double watch_timeout_margin_s = 2.0;
/// Share of the request limit for the watches that a controller opens again, see `TokenBucket`.
inline constexpr double watch_request_share = 0.12;
/// Interval between read checks (compare-only transactions) of a controller.
inline constexpr double read_check_interval_s = 0.04;
/// Read checks in flight at once. While the store takes half a second for an answer, a query that
/// had to wait for the check before its own would not be answered within the user's 2 s.
inline constexpr int read_checks_in_flight_max = 8;
/// Share of the settings' request limit that one controller may use.
inline constexpr double store_request_share = 0.5;
/// Share of the settings' request limit for reading final states that are not in memory.
inline constexpr double final_state_read_share = 0.1;
/// Share of the settings' write limit that one controller may use.
inline constexpr double store_write_share = 0.6;
/// Interval between checks for unused quota slices.
inline constexpr double quota_slice_return_interval_s = 2.0;
/// Share of a team's limit that must be free of slices for a member to keep unused ones.
inline constexpr double quota_slice_return_share = 0.25;
/// Items requested in one listing page, the store's own maximum.
inline constexpr int store_listing_page_items_max = 1000;
/// Most tasks in one block record; even, so that spread rules per block add up.
inline constexpr int block_tasks_max = 128;
/// Share of the value limit that is used: the store may count a value with added white space.
inline constexpr double value_limit_share = 0.95;
/// Size limit of a transaction, given by the protocol.
inline constexpr double txn_bytes_max = 65536;
/// Size of one placed task in a value without its zone's name: numbers, punctuation and a machine
/// name of twelve letters. Only an estimate for the size of blocks: claims are limited by the
/// actual size of their record.
inline constexpr int placement_bytes = 40;
/// Size of a block's record without its placed and completed tasks.
inline constexpr int block_overhead_bytes = 160;
/// Size of a claim batch's entry without its uid and its tasks: four numbers, one of them a
/// revision, and the brackets.
inline constexpr std::size_t batch_entry_overhead_bytes = 40;
/// Size of a claim batch without its entries and its zones' names.
inline constexpr std::size_t claim_batch_overhead_bytes = 64;
/// Size limit of a claim batch: every member reads it whole with each write of it.
inline constexpr std::size_t claim_batch_bytes_max = 8192;
/// Share of a claim batch that may still be needed when it is written again; beyond it a new batch
/// is begun.
inline constexpr double claim_batch_live_share_max = 0.25;
/// How long a cached count of the bytes still needed in a claim batch is used: it can only be too
/// high.
inline constexpr double claim_batch_live_bytes_ttl_s = 2.0;
/// Claim batches deleted in one transaction; no other work waits for their deletion.
inline constexpr std::size_t claim_batch_deletions_per_txn_max = 4;
/// Writes of claim batches with claims in flight at once: more would only wait for each other.
inline constexpr std::size_t claim_batch_writes_in_flight_max = 2;
/// Interval between writes of claim batches with task exits.
inline constexpr double batched_exit_write_interval_s = 0.5;
/// Tasks of one block from which on a claim is written to the block's own record: as many in a
/// claim batch would leave little room for others.
inline constexpr int block_record_claim_tasks_min = 32;
/// Size of a value around the list that it holds: {"follows":[]} or {"jobs":[]}
inline constexpr std::size_t listing_overhead_bytes = 16;
/// Size of a cordon batch without its machines' names.
inline constexpr int cordon_batch_overhead_bytes = 160;
/// Conditions that one more claim may add to a transaction: two of the job, its record or its page
/// and the block records it is made from, and the quota record.
inline constexpr std::size_t claim_conditions_max = 6;
/// Finished jobs whose final state is cached in memory; the key-value store keeps all.
inline constexpr std::size_t final_states_cached_max = 20000;

/// Interval between checks of every job that waits for others. The end of a job is noticed at once;
/// the checks repair what a lost write or read left undone.
inline constexpr double dependency_check_interval_s = 1.0;
/// How long a list of dependencies may exist without its job: longer than a submission and any
/// write of it that comes late.
inline constexpr double orphaned_dependency_parts_ttl_s = 120.0;

// --- scheduling ---------------------------------------------------------------------------
/// Interval between scheduling rounds: the heartbeats of that time are served together, since every
/// claim is a write.
inline constexpr double scheduling_round_interval_s = 0.2;
/// Time that each further member leaves a new job to its shard owner: a round, a transaction and
/// the watch. Members that claim from the same block at once only fail each other.
inline constexpr double shard_stagger_s = 0.75;
/// Blocks claimed in one transaction: if one was changed by others, the claims on all are lost.
inline constexpr std::size_t claim_blocks_per_txn_max = 4;
/// Blocks whose claims are in flight at once. More would only wait for the write limit and be
/// outdated when they are sent; meanwhile room becomes free, and the next claims cover more of it.
inline constexpr std::size_t claim_blocks_in_flight_max = 8;
/// Share of a team's limit by which a member's quota slice grows, so that few claims need the quota
/// record.
inline constexpr double quota_slice_growth_share = 1.0 / 16;
/// Share of an image's fetch time that a job waits at most for a machine that has the image.
inline constexpr double locality_wait_fetch_share = 0.25;
/// Length of the windows of time within which jobs of a team count as having arrived together: a
/// rush of submissions lasts about that long, and no job is overtaken by more.
inline constexpr double arrival_window_s = 10.0;
/// Longest time that a job passes over a machine that is busy fetching another image; most machines
/// come up within that time of each other.
inline constexpr double contended_fetch_wait_max_s = 10.0;
/// How long best-effort work waits without progress, while no spot machine that it allows is up or
/// booting, before it gets ordinary machines: longer than launch requests for all spot machines
/// take to be refused, and than the cloud's list lags.
inline constexpr double best_effort_spot_wait_s = 30.0;
/// How long work that may run on a spot machine leaves empty ordinary machines alone.
inline constexpr double spot_machine_wait_s = 6.0;
/// Share of a machine by which one without an open heartbeat must be fuller than one with it to be
/// preferred.
inline constexpr double sent_reply_penalty_share = 0.1;
/// Interval between searches for work to preempt.
inline constexpr double preemption_interval_s = 0.2;
/// Jobs for which every machine is examined in one such search.
inline constexpr int preemption_jobs_per_round_max = 3;
/// How long a job waits before it may preempt others: a heartbeat of a machine with room may be in
/// flight.
inline constexpr double preemption_wait_s = 0.4;
/// Least time between two preemptions for the same job; the freed room is reserved for that long.
inline constexpr double preemption_cooldown_s = 5.0;
/// How long a job waits before it may have a gang of several tasks checkpointed and stopped: about
/// two boots, so that while a fleet is launched no gang makes room for a replica whose machine is
/// still booting.
inline constexpr double gang_victim_wait_s = 60.0;
/// How long a gang waits before it may preempt lower work for a whole machine: about a boot.
inline constexpr double gang_preemption_wait_s = 30.0;

// --- user requests ------------------------------------------------------------------------
/// Records of accepted jobs in flight at once. Jobs that come meanwhile share the next record, and
/// the write limit allows no more in the time of an answer.
inline constexpr std::size_t accept_writes_in_flight_max = 2;
/// Interval between such records during write overload: more jobs share one, and their users wait
/// that much longer of the second that they allow.
inline constexpr double accept_write_interval_s = 0.25;
/// Most attempts to write a submission; a conflict makes another one necessary.
inline constexpr int accept_attempts_max = 4;
/// Most attempts to write a cancellation; a conflict makes another one necessary.
inline constexpr int cancel_attempts_max = 8;
/// How long a count of a job's running tasks is used to answer polls: a state may lag by 3 s.
inline constexpr double running_count_ttl_s = 1.0;
/// Interval between removals of such counts that were not requested again.
inline constexpr double running_count_prune_interval_s = 10.0;
/// `Retry-After` of a response when the service can't take the request now.
inline constexpr int retry_after_s = 1;
/// Longest `Retry-After` for submissions that found no place in the queue: it leaves half a dozen
/// attempts in their 60 s.
inline constexpr int retry_after_max_s = 8;
/// Window over which accepted jobs are counted to estimate how fast the queue moves.
inline constexpr double accept_rate_window_s = 5;
/// How long a status query may wait for the key-value store: below the users' own 2 s for a poll.
inline constexpr double status_query_timeout_s = 1.8;
/// How long a submission or cancellation may wait: below the users' own 5 s.
inline constexpr double submission_timeout_s = 4.5;
/// Most requests that wait for the key-value store; further ones are rejected with 503.
inline constexpr std::size_t user_requests_max = 2000;

// --- workers ------------------------------------------------------------------------------
/// How long a heartbeat's reply waits for the claims made for it: well below the workers' 4 s.
inline constexpr double heartbeat_reply_hold_s = 0.6;
/// How long the reply to a machine with room is held open while nothing ends there, so that a new
/// job starts at once: below the workers' 4 s by what a slow controller and the network may take.
inline constexpr double idle_heartbeat_reply_hold_s = 3.0;
/// Share of a worker's lease after which the reply that renews it is no longer held open.
inline constexpr double held_reply_lease_share = 0.5;
/// Longest time between two heartbeats, as a multiple of the setting `heartbeat_interval_s`.
inline constexpr double heartbeat_interval_factor = 1.25;
/// Time beyond that after which a machine counts as silent. A timeout of 4 s at one controller is
/// covered by the probe, which takes this long.
inline constexpr double heartbeat_timeout_margin_s = 2.25;
/// Time beyond the longest heartbeat interval within which a worker that comes back to a wrong
/// controller is taken as cut off from its own: a timeout of 4 s and a pause of 1 s.
inline constexpr double redirect_return_margin_s = 5.25;
/// Interval between checks of every machine.
inline constexpr double machine_check_interval_s = 0.5;
/// Interval between removals of what is remembered of ended tasks and jobs: it does no harm, and a
/// removal visits every task.
inline constexpr double placement_prune_interval_s = 10.0;
/// Newly owned machines, not adopted yet, whose fencing token is raised in one tick. Each costs a
/// connection and a heartbeat to read, in the very seconds after a restart of all controllers in
/// which every worker sends its heartbeat anyway; at this rate a third of a large fleet is adopted
/// within five seconds.
inline constexpr int token_raises_per_tick_max = 10;
/// How long the exits of an array's tasks are collected for one write: nothing waits for them, and
/// each write saved is available to a claim.
inline constexpr double exit_write_delay_s = 15.0;
/// How long the exits of a cancelled job's tasks are collected: its workers report them within half
/// a second of the stop.
inline constexpr double urgent_exit_write_delay_s = 1.0;
/// Interval between scans of all pending exits for those that are due.
inline constexpr double exit_scan_interval_s = 0.5;
/// Blocks with exits whose writes are in flight at once: about what a short write limit lets
/// through in the time of an answer.
inline constexpr std::size_t exit_blocks_in_flight_max = 6;
/// How long a worker is relayed before it is redirected to its owner once more: if it still can't
/// reach it, that costs it a timeout of 4 s and a pause of 1 s of its lease.
inline constexpr double redirect_retry_interval_s = 30.0;
/// Share of an owner's machines whose heartbeats come relayed above which a partition between the
/// owner and its machines is assumed.
inline constexpr double partition_relayed_share = 0.2;
/// Time after which a worker cut off from its controller has found a relay: two timeouts of 4 s, a
/// pause of 1 s after each, and the relay itself.
inline constexpr double relay_failover_s = 12.5;
/// Least time without any heartbeat after which a partition from the workers is assumed.
inline constexpr double partition_heartbeat_gap_s = 1.0;
/// The same as a multiple of the mean time between two heartbeats; the longer time counts.
/// Heartbeats come at random, so that a gap of eight times the mean is one chance in 3,000.
inline constexpr double partition_heartbeat_gap_factor = 8;
/// Timeout of a relayed heartbeat.
inline constexpr double relay_timeout_s = 2.5;
/// Timeout of a direct command or probe.
inline constexpr double direct_command_timeout_s = 2.0;
/// Interval between repeated direct stops of the same task.
inline constexpr double stop_retry_interval_s = 2.0;
/// Time before a spot machine's end, beside the time to save a checkpoint, at which its tasks must
/// begin to save: two checks of the machine and a command that must be repeated.
inline constexpr double spot_checkpoint_margin_s = 3.0;
/// Interval between releases that a member requests without contact with the key-value store: the
/// cloud allows a few calls a second, of which each member takes one.
inline constexpr double unrecorded_release_interval_s = 1.0;
/// Fraction of the setting `cancel_deadline_s` after which a machine that still has a cancelled
/// task is fenced.
inline constexpr double cancel_fence_share = 0.4;
/// The same if its owner has just taken it over and may still hear that the task has ended: late
/// enough for the longest time between heartbeats, and early enough for a release that is repeated.
inline constexpr double cancel_fence_after_takeover_share = 0.6;
/// Share of an owner's machines that may be silent at once before it suspects its own network.
inline constexpr double partition_silent_share = 0.5;
/// Most machines silent at once that never raise that suspicion.
inline constexpr int partition_silent_machines_tolerated_max = 2;
/// Jobs whose tasks fail on a machine, one after the other, after which the machine is cordoned:
/// several failed tasks of one job say no more than one.
inline constexpr int machine_failed_jobs_max = 2;
/// Backoff of a job that fails repeatedly, doubled with each further failure; also the pause of a
/// machine after a failure, so that the next attempt goes elsewhere.
inline constexpr double job_backoff_s = 2.0;
/// Longest backoff of a job that fails repeatedly.
inline constexpr double job_backoff_max_s = 60.0;
/// Failures in a row after which a job is backed off: the first machine may have been at fault.
inline constexpr int job_backoff_failures_min = 2;

// --- cloud --------------------------------------------------------------------------------
/// Timeout of a call; the cloud's answers take a few hundred ms.
inline constexpr double cloud_timeout_s = 4.0;
/// Interval between listings of the machines by the leader.
inline constexpr double leader_listing_interval_s = 2.0;
/// Interval between listings by each other member.
inline constexpr double non_leader_listing_interval_s = 6.0;
/// Share of the cloud's request limit for the leader's listing pages.
inline constexpr double leader_listing_request_share = 0.2;
/// Share of the cloud's request limit for the listing pages of each other member.
inline constexpr double non_leader_listing_request_share = 0.08;
/// Least interval between listings, as a multiple of the setting `list_lag_s`: more frequent ones
/// show nothing new.
inline constexpr double listing_interval_lag_factor = 0.4;
/// Longest time until the listing shows a machine, as a multiple of the setting `list_lag_s`; the
/// protocol's bound.
inline constexpr double listing_delay_lag_factor = 2.0;
/// Interval between queries of prices and machine types.
inline constexpr double machine_types_interval_s = 60.0;
/// Interval between log lines about the whole fleet.
inline constexpr double fleet_log_interval_s = 10.0;
/// Interval between scale-out decisions.
inline constexpr double scale_out_interval_s = 0.5;
/// Pending jobs beyond which the periodic work on all of them runs less often, in proportion to
/// their number.
inline constexpr double slowdown_pending_jobs_min = 300;
/// Largest factor by which the interval between scale-out decisions grows: a machine takes up to
/// half a minute to come up, so that a few seconds don't matter.
inline constexpr double scale_out_slowdown_factor_max = 6;
/// The same for scheduling rounds: a claim takes longer than that to be written and acknowledged in
/// any case.
inline constexpr double scheduling_round_slowdown_factor_max = 2;
/// The same for searches for work to preempt.
inline constexpr double preemption_slowdown_factor_max = 3;
/// History of submissions from which the demand for whole machines is estimated.
inline constexpr double arrivals_history_s = 120.0;
/// Empty machines kept, in standard deviations of the machines requested during a boot: as many
/// jobs end as arrive, so that only the variation needs room.
inline constexpr double headroom_deviation_factor = 2.0;
/// Free room kept on spot machines, in machines, while work for them keeps arriving.
inline constexpr double spot_headroom_machines = 0.75;
/// How long a machine type, zone and instance kind without capacity is not requested again, at
/// least.
inline constexpr double no_capacity_backoff_s = 12.0;
/// Usual time until the cloud answers a launch request, the wait for its rate limit included.
inline constexpr double launch_reply_s = 0.5;
/// Launch requests pending at once: more would only wait for the cloud's rate limit, and a plan
/// made later sees more jobs and requests more machines in each.
inline constexpr std::size_t pending_launches_max = 4;
/// Machines requested in one launch request, the cloud's own maximum.
inline constexpr int launch_machines_max = 50;
/// Machines of one instance kind requested by one plan: what the rate limit allows in the time of a
/// boot, without too many launches for a burst that the next plan sees more clearly.
inline constexpr int launch_machines_per_plan_max = 200;
/// Machines named in one release request, the cloud's own maximum.
inline constexpr int release_machines_max = 100;
/// Machines in one listing page, the cloud's own maximum.
inline constexpr int machine_listing_page_machines_max = 500;
/// Multiple of the type's boot time after which a booting machine no longer counts as coming up.
inline constexpr double boot_late_factor = 2.0;
/// Multiple of the type's boot time after which a machine that never came up is released.
inline constexpr double boot_failed_factor = 4.5;
/// How long a machine listed as running may stay without a heartbeat before it is fenced.
inline constexpr double first_heartbeat_timeout_s = 25.0;
/// Interval between searches for records to delete or archive, such as cordons and claim batches.
inline constexpr double record_cleanup_interval_s = 2.0;
/// How long the cordon of a released machine is kept, so that late heartbeats of it are recognised.
inline constexpr double gone_cordon_ttl_s = 120.0;

// --- sockets ------------------------------------------------------------------------------
/// Interval between ticks of the core: the finest of its deadlines is a tenth of a second.
inline constexpr double core_tick_interval_s = 0.05;
/// Share of the settings' connections that users and workers may take.
inline constexpr double client_connections_share = 0.85;
/// Share of these in use from which on a response to a user ends its connection: a new connection
/// costs some hundredths of a millisecond, one that is refused a second or more.
inline constexpr double user_keep_alive_share = 0.5;
/// The same for a response to a worker.
inline constexpr double worker_keep_alive_share = 0.75;
/// How long a connection must have been idle before it is closed for a new one while all are taken:
/// a client that was just answered may send its next request.
inline constexpr double shed_idle_min_s = 0.5;
/// Share of the settings' connections that clients to workers take before unused ones are closed.
inline constexpr double worker_clients_share = 0.04;
/// Most connections from all other controllers together.
inline constexpr std::size_t peer_server_connections_max = 64;
/// Most connections to each other controller.
inline constexpr std::size_t peer_client_connections_max = 16;
/// Most connections to one worker.
inline constexpr std::size_t worker_client_connections_max = 2;
/// How long a client to a worker may be unused before it is dropped.
inline constexpr double worker_client_idle_timeout_s = 20;
/// Interval between checks for such clients.
inline constexpr double worker_client_prune_interval_s = 0.5;
/// Size limit of a response of a worker, a peer or a controller: 16 times the protocol's limit.
inline constexpr std::size_t peer_response_bytes_max = 1UL << 20;
/// Most connections to the key-value store: as many transactions may be in flight at once.
inline constexpr std::size_t store_connections_max = 8;
/// Most connections for watches: one for the watch, and one for the watch that replaces one that is
/// no longer served.
inline constexpr std::size_t watch_connections_max = 2;
/// Size limit of the key-value store's responses; a watch's response has no limit of its own.
inline constexpr std::size_t store_response_bytes_max = 64UL << 20;
/// Delay before a call answered with 429 is sent again, multiplied by the number of retries so far.
inline constexpr double store_rate_limit_backoff_s = 0.06;
/// Most retries of a call answered with 429.
inline constexpr int store_rate_limit_retries_max = 5;
/// Watches that may be opened again in quick succession.
inline constexpr double watch_requests_burst_max = 6;
/// Most connections to the cloud.
inline constexpr std::size_t cloud_connections_max = 4;
/// Size limit of the cloud's responses: 500 machines take 100 KiB.
inline constexpr std::size_t cloud_response_bytes_max = 16UL << 20;
/// Share of the cloud's request limit for one controller: the leader makes all calls but a few
/// listings.
inline constexpr double cloud_request_share = 0.75;
/// How long a request may take to arrive: connections of slow senders must not accumulate.
inline constexpr double request_timeout_s = 10;
/// Age from which on an incomplete request is closed for a new connection while all are taken. A
/// complete one arrives well within it, and a health check waits no longer than twice that.
inline constexpr double shed_incomplete_min_s = 0.5;
/// How long a connection may stay idle between requests; users poll every 5 s, workers every 3 s.
inline constexpr double idle_timeout_s = 120;
/// Interval between checks for connections beyond these timeouts.
inline constexpr double connection_check_interval_s = 2;
/// Interval between log lines about refused messages.
inline constexpr double refused_messages_log_interval_s = 10.0;
/// Connections accepted in one batch.
inline constexpr int accept_batch_connections_max = 64;
/// Connections that the kernel may queue before they are accepted.
inline constexpr int listen_backlog_max = 512;
/// Size limit of a request's body, given by the protocol.
inline constexpr std::size_t request_body_bytes_max = 65536;
/// Size limit of a start line and headers: those of this protocol take a few hundred bytes.
inline constexpr std::size_t head_bytes_max = 16384;
/// Most digits of a chunk size: enough for any body within the limits.
inline constexpr std::size_t chunk_size_digits_max = 8;
/// Most levels of nesting in a body. A decoded value is copied, encoded and destroyed by functions
/// that call themselves for each level.
inline constexpr std::size_t message_depth_max = 24;

// --- settings -----------------------------------------------------------------------------
/// Changes in one transaction without which the service can't work: a final state is archived by
/// writing it, deleting its block, and changing the record that lists its job.
inline constexpr double txn_ops_min = 3;
/// Largest number of any setting, whatever its unit: fits integers of 32 bits.
inline constexpr double setting_value_max = 2e9;

// --- cranemoorctl -------------------------------------------------------------------------
/// Timeout of one attempt of a submission or cancellation, the same as users'.
inline constexpr double submission_response_timeout_s = 5;
/// Timeout of one attempt of a poll, the same as users'.
inline constexpr double status_response_timeout_s = 2;
/// How long a submission or cancellation is repeated, given by the protocol.
inline constexpr double client_retry_duration_s = 60;
/// Least time between two attempts, given by the protocol.
inline constexpr double client_retry_interval_min_s = 1;
/// Longest `Retry-After` that is obeyed; of a longer one only this much is waited.
inline constexpr double client_retry_after_max_s = 30;
/// Interval between two polls of a job.
inline constexpr double client_poll_interval_s = 5;

}  // namespace constants
}  // namespace cranemoor::core

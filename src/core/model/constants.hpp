// Every constant of the service, with its unit and the reason for its value.
// What an operator may change is in Tunables; config/operators.cpp reads it from XML.
#pragma once

#include <cstddef>

namespace cranemoor::core {

// Operators' tunables and their defaults.
struct Tunables {
    // seconds a job passes over machines that lack its image (W of the paper's Algorithm 3)
    double locality_wait_s = 3.0;
    // seconds that the first gang in its team's order holds freeing room
    double gang_hold_s = 20.0;
    // seconds a team may stay below its guarantee before newer work of others is stopped
    double share_timeout_s = 6.0;
    // empty machines kept at the most for work that has not come yet; how many follows demand
    double headroom_machines = 100.0;
    // seconds an empty machine beyond the headroom is kept: a boot costs more than that
    double idle_return_s = 45.0;
    // final states kept among the watched records before the oldest are moved away: about a
    // megabyte of memory and four pages to read at a start
    double final_states = 4000;
    // seconds without a report after which a machine is probed and then fenced; 0: follows
    // heartbeat_interval_s
    double silence_s = 0;
};

namespace constants {

// --- membership ---------------------------------------------------------------------------
// ms; long enough for two lost renewals and a slow answer of the state service
inline constexpr int member_lease_ms = 3000;
// s between renewals: a fourth of the lease
inline constexpr double renew_every_s = 0.75;
// s each further member waits before it removes a dead one, so that one does it
inline constexpr double removal_stagger_s = 0.4;
// s between attempts to join or to load after a refusal
inline constexpr double retry_state_s = 0.25;
// s of margin before the point where silence towards workers is needed for a cancellation
inline constexpr double cancel_margin_s = 3.0;
// s without state contact after which users are told to go elsewhere
inline constexpr double contact_lost_s = 1.5;
// s between peers' messages about their state contact
inline constexpr double peer_beat_s = 1.0;
// s a peer's word about its state contact is believed
inline constexpr double peer_message_s = 3.0;
// s for which a controller without state contact promises its peers to tell users of no
// cancellation (see src/read_leases): longer than a process takes to end, come back and be heard,
// so that its peers' workers live on; not much longer, since nobody is told for so long if a peer
// stays away
inline constexpr double read_lease_s = 15.0;
// s by which the holder ends it sooner: clocks may drift apart by 0.1 % of it
inline constexpr double read_lease_margin_s = 0.1;
// bytes of cancellations handed over with a heartbeat at the most, of the 64 KiB that a request may
// have; whoever knows of more grants no lease
inline constexpr std::size_t handed_over_bytes = 49152;
// bytes that one of them takes beside the job's name
inline constexpr std::size_t handed_over_frame_bytes = 24;
// s for which cancellations that users were told of may be unknown here when a task is started:
// what asking and the answer take on a bad day. A lease is renewed for much longer, since it ends
// by itself; a start is only held back until the next answer
inline constexpr double start_known_s = 2.0;
// s after which the state service is asked for its revision, if no other answer named it: a second
// is little beside the time that workers may be answered without
inline constexpr double safe_time_every_s = 1.0;

// --- pressure -----------------------------------------------------------------------------
// weight of one more change in what changes took lately: some ten count, a second's worth
inline constexpr double pressure_smooth = 0.1;
// s over which the rate of changes is told
inline constexpr double pressure_rate_s = 3.0;
// s between looks at it, and between changes of the admission table that are no emergency: the
// table costs writes, of which there are too few just then
inline constexpr double accord_every_s = 0.5;
inline constexpr double table_every_s = 4.0;
// s that a change waits from which on writes count as short, and for how many s that must hold: a
// change takes some hundredths of a second, and a burst that is over by then needs no table
inline constexpr double writes_short_s = 0.4;
inline constexpr double writes_short_for_s = 1.0;
// s waited, share of the write limit asked for, and s for which both must be less, for writes to be
// no longer short: what is saved by sharing counts as asked for, or it would end at once
inline constexpr double writes_calm_s = 0.2;
inline constexpr double writes_calm_share = 0.6;
inline constexpr double writes_calm_for_s = 15.0;
// share of all machines by which a member's part must be off to be set anew
inline constexpr double parts_step = 0.04;
// s between words in the log about what is short
inline constexpr double pressure_word_every_s = 10.0;

// --- floors -------------------------------------------------------------------------------
// share of what a flow is entitled to by its team's weight below which it goes ahead of all others:
// so that a class that asks for as much as its part is served to more than half, and the ordinary
// order still decides about a third of all room
inline constexpr double floor_share = 0.7;
// the same for idle work, of all room: its last place, but not none
inline constexpr double floor_idle_share = 0.01;
// s that a flow must have waited: longer than a boot and a fetch, which nobody can spare it
inline constexpr double floor_after_s = 60;
// s between looks at who is below
inline constexpr double floors_every_s = 2.0;
// gangs of flows below their floor that machines are held for at once: each may keep some idle
inline constexpr std::size_t floor_holds = 16;
// s for which they are held: what runs there ends by itself, an array's task within minutes
inline constexpr double floor_hold_s = 90;

// --- state service ------------------------------------------------------------------------
// s; an answer later than this is taken as "may have been executed"
inline constexpr double state_timeout_s = 2.0;
// ms; one watch stays open this long at the most
inline constexpr int watch_hold_ms = 8000;
// s beyond its hold after which a watch without answer is opened anew; watches stay open
// during an outage, so this must not be short
inline constexpr double watch_grace_s = 2.0;
// 1/s watches reopened by a controller: a share of the request limit, see TokenBucket
inline constexpr double watch_share = 0.12;
// s between read checks (compare-only transactions) of a controller
inline constexpr double read_check_every_s = 0.04;
// read checks on their way at once: while the state service takes half a second for an answer, a
// question that had to wait for the one before would not be answered within the user's 2 s
inline constexpr int read_checks_open = 8;
// fraction of the settings' request limit that one controller may use
inline constexpr double state_rate_share = 0.5;
// fraction of it for reading final states that are in no memory
inline constexpr double look_up_share = 0.1;
// fraction of the settings' write limit that one controller may use
inline constexpr double state_write_share = 0.6;
// s between looks at unused quota slices
inline constexpr double slice_return_every_s = 2.0;
// share of a team's limit that must be free of slices before unused ones are kept in hand
inline constexpr double slice_return_share = 0.25;
// items asked of one listing page, the service's own maximum
inline constexpr int list_page = 1000;
// tasks of one block record at the most; even, so that per-block spread rules add up
inline constexpr int block_tasks_max = 128;
// share of the value limit that is used: what the service counts may be spaced out
inline constexpr double value_share = 0.95;
// bytes of a transaction at the most, the protocol's limit
inline constexpr double txn_bytes = 65536;
// bytes of a value that one placed task takes beside its zone's name: numbers, marks, and a
// machine's name of twelve letters. Only an estimate for the size of blocks: claims are bounded by
// what their record really takes.
inline constexpr int placement_bytes = 40;
// bytes of a block's record beside its placed and done tasks
inline constexpr int block_frame_bytes = 160;
// bytes of a sheet's entry beside its uid and its tasks: four numbers, one of them a revision, and
// the brackets
inline constexpr std::size_t entry_frame_bytes = 40;
// bytes of a sheet beside its entries and its zones' names
inline constexpr std::size_t sheet_frame_bytes = 64;
// bytes of a sheet at the most: every member reads it whole with each write of it
inline constexpr std::size_t sheet_bytes = 8192;
// share of a sheet that may still be needed when it is written again; beyond it a new one is begun
inline constexpr double sheet_kept_share = 0.25;
// s for which a count of what is still needed of a sheet is used: it can only be too high
inline constexpr double sheet_count_s = 2.0;
// sheets removed in one change: they are in nobody's way
inline constexpr std::size_t sheets_retired = 4;
// writes of sheets with claims on their way at the most: more would only wait for each other
inline constexpr std::size_t sheets_open = 2;
// s between writes of a sheet with ends
inline constexpr double sheet_ends_every_s = 0.5;
// tasks of one block from which on a claim takes the block's own record: as many in a sheet would
// leave little room for others
inline constexpr int sheet_claim_tasks = 32;
// bytes of a value round the list that it holds: {"follows":[]} or {"jobs":[]}
inline constexpr std::size_t listing_frame_bytes = 16;
// bytes of a record of marks beside its machines' names
inline constexpr int marks_frame_bytes = 160;
// conditions that one more claim may bring to a transaction: two of the job, its record or its
// page and the block records it is made from, and the quota record
inline constexpr std::size_t claim_conditions = 6;
// finished jobs whose final state is kept in memory; the state service keeps all
inline constexpr std::size_t finished_cache = 20000;

// s between looks at every job that waits for others: news of their ends comes at once, this is for
// what a lost write or a read left undone
inline constexpr double dependents_look_s = 1.0;
// s a list of followed jobs may be there without its job: longer than a submission and any write
// of it that comes late
inline constexpr double stray_parts_s = 120.0;

// --- scheduling ---------------------------------------------------------------------------
// s between rounds: the reports of that time are served together, since every claim is a write
inline constexpr double round_every_s = 0.2;
// s that each further member leaves a new job to the first in its order: a round, a transaction
// and the watch. Members that claim from the same block at once only fail each other.
inline constexpr double home_stagger_s = 0.75;
// blocks claimed in one transaction: if one was changed by others, the claims on all are lost
inline constexpr std::size_t claim_blocks = 4;
// blocks whose claims are on their way at the most: more would only wait for the write limit, and
// be too old when their turn comes; meanwhile room gathers, and the next claims cover more of it
inline constexpr std::size_t claim_blocks_open = 8;
// parts of a team's limit that a member's slice grows by, so that few claims need the record
inline constexpr double slice_grain = 1.0 / 16;
// share of an image's fetch that a job waits at the most for a machine that has it
inline constexpr double wait_share = 0.25;
// s within which jobs of a team count as having come together: a rush lasts about that long, and
// nobody is overtaken by more
inline constexpr double together_s = 10.0;
// s a job lets a machine pass that is busy fetching another image; most machines come up within
// that time of each other
inline constexpr double fetch_pass_s = 10.0;
// s work that may run on a cheap machine leaves empty ordinary ones alone
inline constexpr double cheap_pass_s = 6.0;
// share of a machine by which another must be fuller to be the better one
inline constexpr double rank_step = 0.1;
// s between looks for work that must make room
inline constexpr double preempt_every_s = 0.2;
// jobs for which every machine is looked at in one such look
inline constexpr int preempt_looks = 3;
// s a job waits before it may stop others: a report of a machine with room may be under way
inline constexpr double preempt_after_s = 0.4;
// s between two times that room is made for the same job; the freed room is held that long
inline constexpr double preempt_pause_s = 5.0;
// s a job waits before it may have a gang of several tasks stopped and saved: about two boots, so
// that while a fleet fills nobody's gang makes room for a replica whose machine is on its way
inline constexpr double gang_victim_s = 60.0;
// s a gang waits before it may stop lower work for a whole machine: about a boot
inline constexpr double gang_preempt_s = 30.0;

// --- users --------------------------------------------------------------------------------
// records of accepted jobs on their way at the most: jobs that come meanwhile share the next one,
// and the write limit allows no more in the time of an answer
inline constexpr std::size_t accepts_open = 2;
// s between such records while writes are short: more jobs share one, and their users wait that
// much longer of the second that they allow
inline constexpr double accepts_every_s = 0.25;
// times a submission is tried again after a conflict, and a cancellation
inline constexpr int accept_tries = 4;
inline constexpr int cancel_tries = 8;
// s a count of a job's running tasks serves polls: a state may lag by 3 s
inline constexpr double count_every_s = 1.0;
// s between looks for such counts that nobody asked for again
inline constexpr double count_prune_s = 10.0;
// s; what a user is told to wait when the service can't take the request now
inline constexpr int retry_after_s = 1;
// the same at the most, for submissions that found no place in the queue: of their 60 s it leaves
// half a dozen tries
inline constexpr int retry_after_most_s = 8;
// s over which jobs accepted are counted to tell how fast the queue moves
inline constexpr double accepted_window_s = 5;
// s a user's request may wait for the state service: below the users' own 2 s for a poll
inline constexpr double user_wait_s = 1.8;
// s a submission or cancellation may wait: below the users' own 5 s
inline constexpr double submit_wait_s = 4.5;
// requests waiting for the state service at the most; beyond it 503 is the honest answer
inline constexpr std::size_t user_queue_max = 2000;

// --- workers ------------------------------------------------------------------------------
// s a report's answer waits for the claims made for it: well below the workers' 4 s
inline constexpr double report_hold_s = 0.6;
// s the answer to a machine with room is kept open while nothing ends there, so that a new job
// starts at once: below the workers' 4 s by what a slow controller and the network may take
inline constexpr double idle_hold_s = 3.0;
// times heartbeat_interval_s within which the next report goes out at the latest
inline constexpr double report_spread = 1.25;
// s beyond that after which a machine is silent: a timeout of 4 s at one controller is met by
// the probe, which takes this long
inline constexpr double silence_margin_s = 2.25;
// s beyond the longest time between reports within which a worker that comes back to a wrong
// controller is taken as cut off from its own: a timeout of 4 s and a pause of 1 s
inline constexpr double relay_window_s = 5.25;
// s between looks at every machine
inline constexpr double sweep_every_s = 0.5;
// s between looks for what is remembered of tasks and jobs that are no more: it harms nobody, and a
// look visits every task
inline constexpr double forget_every_s = 10.0;
// machines taken over whose token is raised in one tick: each costs a connection and a report to
// read, in the very seconds after a restart of all in which every worker reports by itself; so many
// take a third of a large fleet over within five seconds
inline constexpr int raise_per_tick = 10;
// s the ends of an array's tasks are collected for one write: nothing waits for them, and each
// write saved is one that a claim can have
inline constexpr double outcome_hold_s = 15.0;
// s the ends of a cancelled job's tasks are collected: its workers report them within half a
// second of the stop
inline constexpr double outcome_soon_s = 1.0;
// s between looks at all ends that wait, for those whose time has come
inline constexpr double ends_look_s = 0.5;
// blocks whose ends are on their way to the records at the most: about what the write limit lets
// through in the time of an answer when it is short
inline constexpr std::size_t ends_open = 6;
// s a worker is relayed before it is sent to its owner once more: if it still can't reach it, that
// costs it a timeout of 4 s and a pause of 1 s of its lease
inline constexpr double relay_again_s = 30.0;
// share of an owner's machines whose reports come relayed that speaks for a cut between them
inline constexpr double relayed_share = 0.2;
// s after which a worker cut off from its controller has found a way round: two timeouts of
// 4 s, a pause of 1 s after each, and the relay itself
inline constexpr double relay_detour_s = 12.5;
// s without any report, and times the mean time between two, after which the way to the workers is
// taken as cut: reports come at random, so that eight times the mean is one chance in 3,000
inline constexpr double report_gap_s = 1.0;
inline constexpr double report_gap_factor = 8;
// s a relayed report may take
inline constexpr double relay_timeout_s = 2.5;
// s a direct command or probe may take
inline constexpr double order_timeout_s = 2.0;
// s between repeated direct stops of the same task
inline constexpr double stop_repeat_s = 2.0;
// s before a spot machine's end, beside the time to save, at which its tasks are told to: two looks
// at the machine and a command that must be repeated
inline constexpr double spot_save_margin_s = 3.0;
// s between releases that are asked for without contact with the state service: one call of the
// cloud's few a second, by each member
inline constexpr double release_unrecorded_every_s = 1.0;
// fraction of cancel_deadline_s after which a machine that still has a cancelled task is released
inline constexpr double cancel_fence_share = 0.4;
// the same if its owner has just taken it over and may still hear that the task has ended: late
// enough for the longest time between reports, and early enough for a release that is repeated
inline constexpr double cancel_fence_last_share = 0.6;
// share of an owner's machines that may be silent at once before it suspects itself
inline constexpr double silent_share = 0.5;
// machines silent at once that never raise that suspicion
inline constexpr int silent_few = 2;
// jobs whose tasks fail on a machine, one after the other, after which it is set aside: several
// tasks of one job say no more than one
inline constexpr int machine_errors_max = 2;
// s of pause for a doubtful job, doubled with each further failure up to job_backoff_max_s; also
// the pause of a machine after a failure, so that the next try goes elsewhere
inline constexpr double job_backoff_s = 2.0;
inline constexpr double job_backoff_max_s = 60.0;
// failures in a row after which a job is doubtful: the first machine may have been at fault
inline constexpr int job_fails_doubtful = 2;

// --- cloud --------------------------------------------------------------------------------
// s; the cloud's answers take a few hundred ms
inline constexpr double cloud_timeout_s = 4.0;
// s between listings by the leader, and by the others
inline constexpr double list_every_s = 2.0;
inline constexpr double list_every_others_s = 6.0;
// share of the cloud's calls for listing pages, of the leader and of each other
inline constexpr double list_share = 0.2;
inline constexpr double list_share_others = 0.08;
// times list_lag_s between listings: more often they say nothing new
inline constexpr double list_lag_factor = 0.4;
// times list_lag_s after which the list shows a machine at the latest, the protocol's bound
inline constexpr double list_lag_most = 2.0;
// s between looks at prices and types
inline constexpr double types_every_s = 60.0;
// s between log lines about the whole fleet
inline constexpr double fleet_log_every_s = 10.0;
// s between provisioning decisions
inline constexpr double provision_every_s = 0.5;
// jobs that wait from which on all of them are looked at less often, and how many times less often
// at the most. For launches: a machine takes as long as half a minute to come, so seconds still
// don't matter
inline constexpr double plan_jobs = 300;
inline constexpr double plan_rarely = 6;
// the same for rounds: a claim takes longer than that to be written and told in any case
inline constexpr double round_rarely = 2;
// the same for looks for work that must make room
inline constexpr double preempt_rarely = 3;
// s looked back to tell how often whole machines are asked for
inline constexpr double arrivals_s = 120.0;
// standard deviations of the machines asked for during a boot that are kept empty: as many as
// come also end, so that only the swing needs room
inline constexpr double headroom_margin = 2.0;
// machines' worth of free room kept on cheap machines while work for them keeps coming
inline constexpr double cheap_headroom = 0.75;
// s a type, zone and kind without capacity is left alone
inline constexpr double no_capacity_s = 12.0;
// launch requests pending at the most: more would only wait for the cloud's rate of calls, and a
// plan made later sees more jobs and asks for more machines in each
inline constexpr std::size_t pending_launches_max = 4;
// machines asked for in one launch request at the most, the cloud's own maximum
inline constexpr int launch_machines_max = 50;
// machines of one instance kind asked for by one plan: what the rate of calls allows in the time
// of a boot, without a flood for a burst that the next plan sees more clearly
inline constexpr int launch_machines_per_plan = 200;
// machines named in one release at the most, the cloud's own maximum
inline constexpr int release_max = 100;
// machines of one listing page, the cloud's own maximum
inline constexpr int machines_page = 500;
// times boot_s after which a booting machine no longer counts as coming
inline constexpr double boot_late_factor = 2.0;
// times boot_s after which a machine that never came up is given back
inline constexpr double boot_dead_factor = 4.5;
// s a listed running machine may stay unreported before it is fenced
inline constexpr double unreported_s = 25.0;
// s between looks for marks to remove
inline constexpr double retire_every_s = 2.0;
// s a gone machine's mark stays, so that late reports of it are recognised
inline constexpr double gone_mark_s = 120.0;

// --- sockets ------------------------------------------------------------------------------
// s between ticks of the core: the finest of its deadlines is a tenth of a second
inline constexpr double core_tick_s = 0.05;
// share of the settings' sockets that users and workers may take
inline constexpr double front_share = 0.85;
// shares of those, taken, from which on an answer to a user and to a worker ends the connection: a
// new one costs some hundredths of a millisecond, one that is refused a second or more
inline constexpr double users_keep_share = 0.5;
inline constexpr double workers_keep_share = 0.75;
// s that a connection has been idle before it makes room for a new one while all are taken: what
// was just answered may ask again
inline constexpr double idle_spare_s = 0.5;
// share of the settings' sockets that connections to workers take before unused ones are closed
inline constexpr double orders_share = 0.04;
// sockets for the other controllers: from all of them, and to each
inline constexpr std::size_t back_connections = 64;
inline constexpr std::size_t peer_connections = 16;
// connections to one worker
inline constexpr std::size_t worker_connections = 2;
// s after which an unused client to a worker is dropped, and between looks for such
inline constexpr double worker_idle_s = 20;
inline constexpr double worker_prune_s = 0.5;
// bytes of an answer of a worker, a peer or a controller at the most: 16 times the protocol's limit
inline constexpr std::size_t peer_answer_max = 1UL << 20;
// connections to the state service: as many transactions may be under way at once
inline constexpr std::size_t state_connections = 8;
// one for the watch, one for the watch that takes the place of one that is not served any more
inline constexpr std::size_t watch_connections = 2;
// bytes of the state service's answers at the most; a watch's answer has no limit of its own
inline constexpr std::size_t state_answer_max = 64UL << 20;
// s after which a call answered with 429 is sent again, and how often
inline constexpr double state_again_s = 0.06;
inline constexpr int state_again_max = 5;
// watches that may be reopened in quick succession
inline constexpr double watch_burst = 6;
// connections to the cloud, and bytes of its answers at the most: 500 machines take 100 KiB
inline constexpr std::size_t cloud_connections = 4;
inline constexpr std::size_t cloud_answer_max = 16UL << 20;
// share of the cloud's limit for one controller: the leading one makes all calls but a few listings
inline constexpr double cloud_share = 0.75;
// s a connection may stay in the middle of a request: slow senders must not pile up
inline constexpr double request_timeout_s = 10;
// s after which half a request makes room for a new connection while all sockets are taken: a whole
// one comes well within it, and a health check waits no longer than twice that
inline constexpr double half_sent_spare_s = 0.5;
// s a connection may stay idle between requests; users poll every 5 s, workers every 3 s
inline constexpr double idle_timeout_s = 120;
// s between looks for such connections
inline constexpr double connection_sweep_s = 2;
// connections accepted in one go
inline constexpr int accept_batch = 64;
// connections the kernel may hold before they are accepted
inline constexpr int listen_backlog = 512;
// bytes of a request's body, the protocol's limit
inline constexpr std::size_t body_max = 65536;
// bytes of a start line and headers at the most: ours are a few hundred
inline constexpr std::size_t head_max = 16384;
// digits of a chunk size: enough for any body within the limits
inline constexpr std::size_t chunk_digits_max = 8;
// levels of nesting that a body may have. The decoder calls itself for each level: a body of
// nothing but opening brackets must not exhaust the stack
inline constexpr std::size_t message_depth_max = 24;

// --- settings -----------------------------------------------------------------------------
// changes of one transaction without which the service can't work: a final state is moved by
// writing it, deleting its block, and changing the record that lists its job
inline constexpr double txn_ops_least = 3;
// the largest number of any setting, whatever its unit: fits whole numbers of 32 bits
inline constexpr double setting_most = 2e9;

// --- cranemoorctl -------------------------------------------------------------------------
// s to wait for the answer to a submission or cancellation, and to a poll: as users do
inline constexpr double submit_answer_s = 5;
inline constexpr double poll_answer_s = 2;
// s a submission or cancellation is repeated, and that lie between two tries at the least, the
// protocol's; of what Retry-After asks for, no more than the last is waited
inline constexpr double user_patience_s = 60;
inline constexpr double user_again_s = 1;
inline constexpr double user_retry_max_s = 30;
// s between two looks at a job
inline constexpr double user_poll_s = 5;

}  // namespace constants
}  // namespace cranemoor::core

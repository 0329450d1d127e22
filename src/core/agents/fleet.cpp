#include "core/agents/fleet.hpp"

#include <algorithm>

namespace cranemoor::core {

namespace {
const char* reason_name(ExitReason why) {
    switch (why) {
        case ExitReason::done:
            return "done";
        case ExitReason::stopped:
            return "stopped";
        case ExitReason::peers_gone:
            return "peers gone";
        case ExitReason::incomplete:
            return "gang incomplete";
        case ExitReason::error:
            return "error";
        case ExitReason::no_room:
            return "no room";
        case ExitReason::busy:
            return "busy";
        case ExitReason::unknown_task:
            return "unknown task";
        default:
            return "exited";
    }
}
}  // namespace

Machine* Fleet::find(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

const Machine* Fleet::find(const std::string& name) const {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

bool Fleet::adopted(const std::string& name) const {
    const Machine* machine = find(name);
    return machine != nullptr && machine->owned_by_us && machine->adopted;
}

// The machine of that name, and whether it was unknown so far.
std::pair<Machine&, bool> Fleet::find_or_add(const std::string& name) {
    auto [it, fresh] = machines_.try_emplace(name);
    Machine& machine = it->second;
    if (fresh) {
        machine.name = name;
        auto before = [](const Machine* a, const Machine* b) { return a->name < b->name; };
        all_.insert(std::upper_bound(all_.begin(), all_.end(), &machine, before), &machine);
    }
    return {machine, fresh};
}

const Jobs::Site& Fleet::site(const Machine& machine) const {
    if (machine.site == nullptr || machine.site_of != ctx_.jobs.loads()) {
        machine.site = ctx_.jobs.site(machine.name);
        machine.site_of = ctx_.jobs.loads();
    }
    return *machine.site;
}

const MachineType* Fleet::type(const std::string& name) const {
    for (const auto& t : types_) {
        if (t.name == name) {
            return &t;
        }
    }
    return nullptr;
}

void Fleet::set_machine_types(const std::vector<MachineType>& types) {
    types_ = types;
    for (auto& [name, machine] : machines_) {
        machine.room_known = false;
    }
}

// --- images -------------------------------------------------------------------------------

int Fleet::image_number(const std::string& image) const {
    return image_numbers_.try_emplace(image, static_cast<int>(image_numbers_.size())).first->second;
}

void Fleet::note_image_used(Machine& machine, const std::string& image, double gb) {
    int number = image_number(image);
    std::erase_if(machine.cached_images,
                  [&](const CachedImage& cached) { return cached.number == number; });
    machine.cached_images.insert(machine.cached_images.begin(), {number, gb});
    const MachineType* t = type(machine.type);
    if (t == nullptr) {
        return;
    }
    // The worker keeps the most recently used images; the estimate drops them the same way.
    double sum = 0;
    for (auto it = machine.cached_images.begin(); it != machine.cached_images.end(); ++it) {
        sum += it->size_gb;
        if (sum > t->cache_gb && it != machine.cached_images.begin()) {
            machine.cached_images.erase(it, machine.cached_images.end());
            break;
        }
    }
}

bool Fleet::has_image(const Machine& machine, int image) {
    return std::any_of(machine.cached_images.begin(), machine.cached_images.end(),
                       [&](const CachedImage& cached) { return cached.number == image; });
}

// --- room ---------------------------------------------------------------------------------

const Resources& Fleet::room(const Machine& machine) const {
    if (machine.room_known) {
        return machine.room;
    }
    machine.room_known = true;
    machine.images_pulling.clear();
    const MachineType* t = type(machine.type);
    if (t == nullptr) {
        machine.room = {};
        return machine.room;
    }
    for (const auto& [id, on] : site(machine).tasks) {
        auto status = machine.tasks.find({id, on.place->attempt});
        if (status == machine.tasks.end() || status->second.state == TaskState::fetching) {
            int image = image_number(on.job->spec.image);
            if (std::find(machine.images_pulling.begin(), machine.images_pulling.end(), image) ==
                machine.images_pulling.end()) {
                machine.images_pulling.push_back(image);
            }
        }
    }
    machine.room = t->size - site(machine).used;
    for (const auto& [attempt, status] : machine.tasks) {
        const Placement* p = ctx_.jobs.placement(attempt.task);
        bool here = p != nullptr && p->machine == machine.name;
        bool exited = status.state == TaskState::exited;
        // A task that runs there without a placement still takes its room until it is stopped.
        bool extra = !here && !exited;
        bool over = here && exited && p->attempt == attempt.number && machine.owned_by_us &&
                    machine.adopted;
        const Job* job = extra || over ? ctx_.jobs.find(attempt.task.uid) : nullptr;
        if (job != nullptr) {
            machine.room += job->spec.each * (over ? 1.0 : -1.0);
        }
    }
    return machine.room;
}

bool Fleet::usable(const Machine& machine) const {
    // A machine that is gone stays known for a moment longer than its mark; a silent one may be
    // gone: neither must be given work.
    return machine.owned_by_us && machine.adopted && !machine.release_confirmed &&
           !machine.interruption_deadline && ctx_.now.steady >= machine.claim_backoff_until &&
           ctx_.now.steady - machine.last_heartbeat_at <= heartbeat_timeout_s() &&
           !machine.release_mark_pending && !site(machine).mark && type(machine.type) != nullptr;
}

bool Fleet::in_use(const Machine& machine) const {
    return machine.up() && !machine.release_confirmed && !machine.interruption_deadline &&
           !zone_partitioned(machine.zone) && !site(machine).mark;
}

double Fleet::longest_boot_s() const {
    double boot = 0;
    for (const auto& t : types_) {
        boot = std::max(boot, t.boot_s);
    }
    return boot;
}

// --- reports ------------------------------------------------------------------------------

void Fleet::reject_heartbeat(std::uint64_t request, int status, const std::string& home) {
    WorkerReply reply;
    reply.request = request;
    reply.status = status;
    reply.home = home;
    ctx_.out.emplace_back(reply);
}

void Fleet::redirect_heartbeat(std::uint64_t request, const Report& r, const Member* owner,
                               bool relayed) {
    if (owner == nullptr || relayed) {
        reject_heartbeat(request, 421);
        return;
    }
    Redirect& redirect = redirects_[r.machine];
    double t = ctx_.now.steady;
    // Relayed once, it stays here and comes again with its next report.
    double window = constants::relay_window_s + ctx_.settings.report_s * constants::report_spread;
    // Guards against workers that came back because their owner changed meanwhile, or could not be
    // reached for a moment, and were relayed for good: now and then they are sent home once more.
    bool again = redirect.owner_id == owner->id && t - redirect.last_at < window &&
                 t - redirect.first_at < constants::relay_again_s;
    redirect.last_at = t;
    if (!again) {
        redirect.owner_id = owner->id;
        redirect.first_at = t;
        reject_heartbeat(request, 421, owner->name);
        return;
    }
    // The worker was sent to its owner a moment ago and is back: it can't reach it, and its
    // lease would run out. The report goes over the controllers' own network instead.
    PeerCall call;
    call.peer = owner->name;
    call.state_contact = membership_.has_store_contact();
    call.relay = r;
    ctx_.peer(call, [this, request](bool answered, const std::optional<WorkerReply>& reply) {
        if (!answered || !reply) {
            reject_heartbeat(request, 421);
            return;
        }
        WorkerReply passed = *reply;
        passed.request = request;
        ctx_.out.emplace_back(passed);
    });
}

void Fleet::handle_heartbeat(std::uint64_t request, const Report& r, bool relayed) {
    if (!membership_.may_answer_workers()) {
        reject_heartbeat(request, 503);
        return;
    }
    if (r.token > ctx_.fencing_token) {
        // A newer epoch exists that this process hasn't heard of: it may not command.
        reject_heartbeat(request, 421);
        return;
    }
    const Member* owner = membership_.owner(r.machine, r.zone);
    if (owner == nullptr || owner->id != ctx_.me.id) {
        redirect_heartbeat(request, r, owner, relayed);
        return;
    }
    last_direct_heartbeat_at_ = relayed ? last_direct_heartbeat_at_ : ctx_.now.steady;
    Machine& machine = find_or_add(r.machine).first;
    if (machine.heartbeat_received &&
        std::tie(r.session, r.seq) <= std::tie(machine.agent_epoch, machine.heartbeat_seq)) {
        // A delayed report: its list of tasks is as old as itself.
        WorkerReply reply;
        reply.request = request;
        reply.status = 200;
        reply.token = ctx_.fencing_token;
        ctx_.out.emplace_back(reply);
        return;
    }
    if (machine.open_request) {
        // The worker gave up on the earlier report; nobody reads its answer.
        reject_heartbeat(*machine.open_request, 503);
        machine.open_request.reset();
    }
    if (const auto& mark = site(machine).mark; mark && mark->gone) {
        reject_heartbeat(request, 503);
        return;
    }
    apply_heartbeat(machine, r);
    machine.last_heartbeat_at = ctx_.now.steady;
    machine.last_heartbeat_relayed = relayed;
    machine.probe_failures = 0;
    machine.open_request = request;
    machine.seen_by_scheduler = false;
    machine.reply_held_open = false;
    if (!machine.awaiting_reply) {
        machine.awaiting_reply = true;
        awaiting_reply_.push_back(&machine);
    }
    if (r.token == ctx_.fencing_token && !machine.adopted) {
        machine.adopted = true;
        ctx_.info("machine {}: adopted in session {} with {} tasks", machine.name,
                  machine.agent_epoch, machine.tasks.size());
    }
    if (!machine.adopted) {
        send_heartbeat_reply(machine);  // raises its token
        return;
    }
    machine.reply_deadline = ctx_.now.steady + constants::report_hold_s;
    reconcile_tasks(machine, true);
    if (relayed) {
        // Its peer has few connections for relays and waits less long than an answer is kept open
        // for: held, they would fail for hundreds of machines whose owner is cut off from them.
        send_heartbeat_reply(machine);
        return;
    }
    reply_if_due(machine);
}

// Whether the way between this process and its machines is more likely to be cut than they are to
// be gone: their reports come by way of others, or none has come for much longer than there should
// be between any two.
bool Fleet::partitioned_from_workers(int mine, int relayed) const {
    double t = ctx_.now.steady;
    double apart = ctx_.settings.report_s * constants::report_spread / std::max(1, mine);
    double gap = std::max(constants::report_gap_s, apart * constants::report_gap_factor);
    return mine > constants::silent_few &&
           (relayed > mine * constants::relayed_share || t - last_direct_heartbeat_at_ > gap);
}

void Fleet::apply_heartbeat(Machine& machine, const Report& r) {
    bool first = !machine.heartbeat_received;
    machine.room_known = false;
    machine.address = r.address;
    machine.type = r.type;
    machine.zone = r.zone;
    machine.spot = r.spot;
    if (first) {
        machine.launched_at = machine.launched_at == 0 ? ctx_.now.steady : machine.launched_at;
        ctx_.info("machine {}: first report, type {} zone {}{}", machine.name, machine.type,
                  machine.zone, machine.spot ? " spot" : "");
    }
    if (!machine.owned_by_us) {
        machine.owned_by_us = true;
        machine.adopted = false;
        machine.owned_since = ctx_.now.steady;
    }
    machine.heartbeat_received = true;
    machine.agent_epoch = r.session;
    machine.heartbeat_seq = r.seq;
    machine.fencing_token = r.token;
    if (r.notice_s && !machine.interruption_deadline) {
        machine.interruption_deadline = ctx_.now.steady + *r.notice_s;
        ctx_.info("machine {}: taken away in {:.1f} s", machine.name, *r.notice_s);
    }
    machine.tasks.clear();
    for (const auto& t : r.tasks) {
        machine.tasks[{t.id, t.attempt}] = t;
    }
    for (auto it = machine.pending_stops.begin(); it != machine.pending_stops.end();) {
        auto t = machine.tasks.find(it->first);
        bool over = t == machine.tasks.end() || t->second.state == TaskState::exited;
        it = over ? machine.pending_stops.erase(it) : std::next(it);
    }
}

bool Fleet::gang_incomplete(const Job& job) {
    if (job.spec.kind != JobKind::gang) {
        return false;
    }
    int placed = job.placed();
    // Once a task of a gang is done, all are; stragglers then finish one by one.
    return placed > 0 && job.done() == 0 && placed < job.spec.tasks;
}

bool Fleet::should_start(const Machine& machine, const Job& job) const {
    return !job.cancelled && !job.final && !site(machine).mark && !machine.release_mark_pending &&
           !machine.interruption_deadline && !gang_incomplete(job) && !job.stopping();
}

void Fleet::record_exit(Machine& machine, const TaskStatus& s) {
    PendingTaskExits::TaskExit o;
    o.attempt = s.attempt;
    o.machine = machine.name;
    o.done = s.why == ExitReason::done;
    o.error = s.why == ExitReason::error || s.why == ExitReason::unknown_task;
    o.why = fmt::format("{}{}", reason_name(s.why), s.saved ? ", saved" : "");
    const Job* job = ctx_.jobs.find(s.id.uid);
    if (job == nullptr) {
        return;
    }
    const PendingTaskExits::TaskExit* known = pending_exits_.find(*job, s.id.index);
    bool again = known != nullptr && known->attempt == s.attempt;
    pending_exits_.add(s.id, o);
    if (again) {
        return;
    }
    if (o.done && job->spec.kind == JobKind::gang) {
        // A gang completes together: what one of its tasks reports holds for all of the attempt,
        // and one write tells it.
        job->each_placement([&](int task, const Placement& p) {
            if (p.attempt == s.attempt) {
                pending_exits_.add({s.id.uid, task}, {p.attempt, true, "done", p.machine, false});
            }
            return true;
        });
    }
    if (o.done) {
        machine.failed_jobs.clear();
    } else if (o.error) {
        note_task_failure(machine, *job);
    } else if (s.why == ExitReason::no_room || s.why == ExitReason::busy) {
        machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
    }
}

// A failed task speaks against its machine, until its job has failed elsewhere too. Guards against
// machines set aside for a job that was submitted with a mistake, however many of its tasks failed
// there.
void Fleet::note_task_failure(Machine& machine, const Job& job) {
    if (!job.doubtful()) {
        machine.failed_jobs.insert(job.spec.uid);
    }
    if (machine.failed_jobs.size() >= constants::machine_errors_max) {
        mark_for_release(machine, "failing tasks", false);
    }
    machine.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
}

// Failures are counted in the job's blocks, with the ends that are written anyway: every member
// knows of them, also after a take-over. The pause begins when they are seen.
void Fleet::note_failures(const std::string& uid, const Job& job) {
    if (job.fails == 0) {
        job_failures_.erase(uid);
        return;
    }
    JobFailures& f = job_failures_[uid];
    if (f.count == job.fails) {
        return;
    }
    f.count = job.fails;
    if (!job.doubtful()) {
        return;
    }
    double pause = constants::job_backoff_s;
    for (int i = constants::job_fails_doubtful; i <= job.fails; ++i) {
        pause = std::min(pause * 2, constants::job_backoff_max_s);
    }
    f.not_before = ctx_.now.steady + pause;
    for (auto& [name, machine] : machines_) {
        machine.failed_jobs.erase(uid);
    }
}

void Fleet::reconcile_tasks(Machine& machine, bool from_report) {
    for (const auto& [id, on] : site(machine).tasks) {
        const Job* job = on.job;
        const Placement* p = on.place;
        Attempt attempt{id, p->attempt};
        auto t = machine.tasks.find(attempt);
        if (t != machine.tasks.end()) {
            if (t->second.state == TaskState::exited) {
                record_exit(machine, t->second);
            } else {
                machine.seen_running.insert(attempt);
                stop_unwanted(machine, *job, id, *p);
            }
            continue;
        }
        // Absent. Only a report that answers after our last response proves it: a direct
        // command's answer may overtake a start that is still in flight.
        bool proof = from_report || machine.starts_sent.count(attempt) == 0;
        bool lost_gang =
            job->spec.kind == JobKind::gang && machine.seen_running.count(attempt) != 0;
        if (proof && (lost_gang || !should_start(machine, *job))) {
            PendingTaskExits::TaskExit o;
            o.attempt = p->attempt;
            o.machine = machine.name;
            o.why = lost_gang ? "lost" : "not started";
            pending_exits_.add(id, o);
        }
    }
}

bool Fleet::vacated(const Machine& machine) const {
    const auto& placed = site(machine).tasks;
    return std::all_of(placed.begin(), placed.end(), [&](const auto& t) {
        auto status = machine.tasks.find({t.first, t.second.place->attempt});
        return status != machine.tasks.end() && status->second.state == TaskState::exited;
    });
}

// --- answers ------------------------------------------------------------------------------

void Fleet::send_heartbeat_reply(Machine& machine) {
    if (!machine.open_request) {
        return;
    }
    WorkerReply reply;
    reply.request = *machine.open_request;
    machine.open_request.reset();
    if (!membership_.may_answer_workers() || !machine.owned_by_us) {
        reply.status = machine.owned_by_us ? 503 : 421;
        ctx_.out.emplace_back(reply);
        return;
    }
    reply.status = 200;
    reply.token = ctx_.fencing_token;
    if (machine.adopted) {
        std::set<TaskId> live;
        for (const auto& [attempt, status] : machine.tasks) {
            const Placement* p = ctx_.jobs.placement(attempt.task);
            bool ours = p != nullptr && p->machine == machine.name && p->attempt == attempt.number;
            if (status.state == TaskState::exited) {
                if (!ours) {
                    reply.commands.push_back(
                        {Command::Kind::forget, attempt.task, attempt.number, 0});
                    machine.starts_sent.erase(attempt);
                    machine.seen_running.erase(attempt);
                }
                continue;
            }
            live.insert(attempt.task);
            auto s = machine.pending_stops.find(attempt);
            if (!ours) {
                reply.commands.push_back({Command::Kind::stop, attempt.task, attempt.number, 0});
            } else if (s != machine.pending_stops.end()) {
                reply.commands.push_back(
                    {Command::Kind::stop, attempt.task, attempt.number, s->second.grace_s});
            }
        }
        bool may_start = membership_.may_start_tasks();
        for (const auto& [id, on] : site(machine).tasks) {
            const Placement* p = on.place;
            if (!may_start || !should_start(machine, *on.job)) {
                continue;
            }
            Attempt attempt{id, p->attempt};
            bool ending = pending_exits_.find(*on.job, id.index) != nullptr;
            if (machine.tasks.count(attempt) != 0 || live.count(id) != 0 || ending) {
                continue;
            }
            if (machine.starts_sent.insert(attempt).second) {
                ctx_.info("start {} attempt {} on {}", id.text(), p->attempt, machine.name);
            }
            reply.commands.push_back({Command::Kind::start, id, p->attempt, 0});
        }
    }
    ctx_.out.emplace_back(std::move(reply));
}

void Fleet::reply_to_due_heartbeats() {
    // Those that were answered otherwise leave the list here: until then they stay known, see
    // can_forget().
    std::size_t kept = 0;
    for (std::size_t i = 0; i < awaiting_reply_.size(); ++i) {
        Machine* machine = awaiting_reply_[i];
        if (machine->open_request &&
            !(machine->reply_held_open && ctx_.now.steady < machine->reply_deadline)) {
            reply_if_due(*machine);
        }
        machine->awaiting_reply = machine->open_request.has_value();
        if (machine->awaiting_reply) {
            awaiting_reply_[kept++] = machine;
        }
    }
    awaiting_reply_.resize(kept);
}

void Fleet::reply_if_due(Machine& machine) {
    if (!machine.open_request) {
        return;
    }
    bool late = ctx_.now.steady >= machine.reply_deadline;
    if (!late && machine.claims_in_flight > 0) {
        return;
    }
    // Something to say: say it now.
    bool start_due = false;
    bool news = false;  // whether the worker may soon have something to report
    for (const auto& [id, on] : site(machine).tasks) {
        auto t = machine.tasks.find({id, on.place->attempt});
        start_due = start_due || (t == machine.tasks.end() && should_start(machine, *on.job));
        news = news || on.job->cancelled || on.job->spec.kind != JobKind::service ||
               t == machine.tasks.end() || t->second.state != TaskState::running;
    }
    if (start_due && !late && !membership_.may_start_tasks()) {
        return;  // the next answer of the state service is a moment away
    }
    bool offer = !start_due && usable(machine);
    if (offer && !late && !machine.seen_by_scheduler) {
        return;  // the next round is a moment away
    }
    news = news || machine.tasks.size() > site(machine).tasks.size();
    if (offer && !news && !late && room(machine).cpus > Resources::slack) {
        // Nothing ends there by itself, so the worker has nothing to report: its answer is kept
        // open for a while, and a job that comes meanwhile starts without waiting for a report.
        machine.reply_deadline =
            std::max(machine.reply_deadline, machine.last_heartbeat_at + constants::idle_hold_s);
        machine.reply_held_open = true;
        return;
    }
    send_heartbeat_reply(machine);
}

// --- stops --------------------------------------------------------------------------------

void Fleet::send_stop(Machine& machine, const Attempt& attempt, Machine::PendingStop& s) {
    s.last_sent_at = ctx_.now.steady;
    OrderCall call;
    call.machine = machine.name;
    call.address = machine.address;
    call.token = ctx_.fencing_token;
    call.session = machine.agent_epoch;
    call.commands.push_back({Command::Kind::stop, attempt.task, attempt.number, s.grace_s});
    ctx_.order(call, [](const OrderReply&) {
        // The worker reports the change by itself within half a second.
    });
}

void Fleet::stop_task(Machine& machine, const Attempt& attempt, double grace_s) {
    auto [it, first] = machine.pending_stops.try_emplace(attempt);
    if (!first && it->second.grace_s <= grace_s) {
        return;
    }
    if (first) {
        ctx_.info("stop {} attempt {} on {}, grace {:.1f} s", attempt.task.text(), attempt.number,
                  machine.name, grace_s);
        it->second.first_requested_at = ctx_.now.steady;
    }
    it->second.grace_s = grace_s;
    if (machine.adopted && machine.heartbeat_received) {
        send_stop(machine, attempt, it->second);
        send_heartbeat_reply(
            machine);  // a worker with a report in flight could not tell that the task ended
    }
}

// --- ownership ----------------------------------------------------------------------------

void Fleet::epoch_changed(const std::optional<Epoch>& before) {
    const auto& epoch = ctx_.jobs.epoch();
    // Only from one epoch to the next is it certain that nobody else owned a machine between.
    bool next = before && epoch && epoch->number == before->number + 1 && ctx_.member &&
                before->has(ctx_.me.id);
    int taken = 0;
    for (auto& [name, machine] : machines_) {
        bool mine = membership_.owned_by_us(name, machine.zone);
        machine.room_known = false;
        if (mine && machine.owned_by_us && next) {
            continue;
        }
        if (machine.open_request && !mine) {
            machine.owned_by_us = false;
            send_heartbeat_reply(machine);
        }
        machine.owned_by_us = mine;
        machine.adopted = false;
        pending_exits_.forget(name);
        machine.starts_sent.clear();
        machine.seen_running.clear();
        machine.pending_stops.clear();
        if (mine) {
            machine.owned_since = ctx_.now.steady;
            machine.probe_failures = 0;
            ++taken;
            token_raise_queue_.push_back(name);
        }
    }
    if (taken > 0) {
        ctx_.info("epoch {}: took over {} machines", ctx_.fencing_token, taken);
    }
}

// A few at a time: hundreds of connections at once would cost a slow controller seconds, while
// its other workers and its lease wait. Those that report meanwhile are adopted that way.
void Fleet::raise_fencing_tokens() {
    for (int i = 0; i < constants::raise_per_tick && !token_raise_queue_.empty(); ++i) {
        Machine* machine = find(token_raise_queue_.front());
        token_raise_queue_.pop_front();
        if (machine != nullptr && machine->owned_by_us && !machine->adopted) {
            raise_fencing_token(*machine, 2);
        }
    }
}

void Fleet::raise_fencing_token(Machine& machine, int tries) {
    if (machine.address.empty() || tries == 0 || site(machine).mark) {
        return;
    }
    OrderCall call;
    call.machine = machine.name;
    call.address = machine.address;
    call.token = ctx_.fencing_token;
    call.session = std::max<std::uint64_t>(machine.agent_epoch, 1);
    Token token = ctx_.fencing_token;
    ctx_.order(call, [this, name = machine.name, token, tries](const OrderReply& reply) {
        Machine* machine = find(name);
        if (machine == nullptr || !reply.report || !machine->owned_by_us ||
            token != ctx_.fencing_token || machine->adopted) {
            return;
        }
        const Report& r = *reply.report;
        if (machine->heartbeat_received &&
            std::tie(r.session, r.seq) <= std::tie(machine->agent_epoch, machine->heartbeat_seq)) {
            return;
        }
        apply_heartbeat(*machine, r);
        if (r.token == ctx_.fencing_token) {
            machine->adopted = true;
            machine->last_heartbeat_at = ctx_.now.steady;
            ctx_.info("machine {}: adopted in session {} with {} tasks", name, machine->agent_epoch,
                      machine->tasks.size());
            reconcile_tasks(*machine, false);
        } else {
            raise_fencing_token(*machine, tries - 1);  // its session was another than we thought
        }
    });
}

void Fleet::apply_cloud_listing(const std::vector<ListedMachine>& list) {
    for (const auto& l : list) {
        auto [machine, fresh] = find_or_add(l.name);
        machine.room_known = machine.room_known && machine.type == l.type;
        // A rental's answer names no address. It may come after the machine's first report.
        machine.address = l.address.empty() ? machine.address : l.address;
        machine.type = l.type;
        machine.zone = l.zone;
        machine.spot = l.spot;
        machine.listed = true;
        machine.listed_at = ctx_.now.steady;
        if (machine.listed_state == ListedState::starting || l.state == ListedState::failed) {
            machine.listed_state = l.state;
        }
        if (fresh) {
            machine.launched_at = ctx_.now.steady - l.age_s;
        }
        if (l.state == ListedState::running && machine.running_since < 0) {
            machine.running_since = ctx_.now.steady;
        }
        if (!machine.owned_by_us && membership_.owned_by_us(machine.name, machine.zone)) {
            machine.owned_by_us = true;
            machine.adopted = false;
            machine.owned_since = ctx_.now.steady;
            if (l.state == ListedState::running) {
                token_raise_queue_.push_back(machine.name);
            }
        }
    }
}

// --- upkeep -------------------------------------------------------------------------------

void Fleet::mark_for_release(Machine& machine, const std::string& why, bool fence) {
    const Mark* old = ctx_.jobs.mark(machine.name);
    if (machine.release_mark_pending || !ctx_.member || !membership_.has_store_contact() ||
        (old != nullptr && (old->fence || !fence))) {
        return;
    }
    machine.release_mark_pending = true;
    pending_release_marks_[{why, fence}].insert(machine.name);
    ctx_.info("machine {}: to be returned ({})", machine.name, why);
}

void Fleet::write_release_marks() {
    auto waiting = std::exchange(pending_release_marks_, {});
    Txn txn;
    txn.purpose = Txn::Purpose::mark;
    std::set<std::string> names;
    auto send = [&] {
        if (txn.writes.empty()) {
            return;
        }
        txn.conditions.push_back(ctx_.epoch_condition());
        ctx_.txn(std::exchange(txn, {}), [this, names](const StateReply& r) {
            ctx_.when_settled(r, [this, names] {
                for (const auto& name : names) {
                    if (Machine* machine = find(name)) {
                        machine->release_mark_pending = false;
                    }
                }
            });
        });
        names.clear();
    };
    for (const auto& [group, machines] : waiting) {
        Marks marks;
        marks.why = group.first;
        marks.fence = group.second;
        auto next = machines.begin();
        while (next != machines.end()) {
            marks.machines.clear();
            // Each name stands there twice once its machine is gone.
            std::size_t bytes = constants::marks_frame_bytes + group.first.size();
            while (next != machines.end() && marks.machines.size() < constants::release_max &&
                   (marks.machines.empty() || bytes + mark_bytes(*next) <= ctx_.value_max())) {
                bytes += mark_bytes(*next);
                marks.machines.insert(*next);
                names.insert(*next);
                ++next;
            }
            auto key = keys::marks(ctx_.me.id, ++ctx_.marks_made);
            txn.conditions.push_back({key, 0});
            txn.writes.push_back({key, encode(marks)});
            if (txn.writes.size() >= ctx_.ops_max()) {
                send();
            }
        }
    }
    send();
}

void Fleet::probe(Machine& machine) {
    if (machine.probe_in_flight || machine.address.empty()) {
        return;
    }
    machine.probe_in_flight = true;
    OrderCall call;
    call.machine = machine.name;
    call.address = machine.address;
    ctx_.order(call, [this, name = machine.name](const OrderReply& reply) {
        Machine* machine = find(name);
        if (machine == nullptr) {
            return;
        }
        machine->probe_in_flight = false;
        if (reply.answered) {
            // Alive, but it reports elsewhere or its reports don't get through: the raised
            // token makes it turn away from whoever answers it wrongly.
            machine->probe_failures = 0;
            if (reply.report) {
                machine->agent_epoch = std::max(machine->agent_epoch, reply.report->session);
            }
            if (machine->owned_by_us) {
                raise_fencing_token(*machine, 1);
            }
        } else {
            machine->probe_failures++;
        }
    });
}

double Fleet::job_pause_until(const std::string& uid) const {
    auto it = job_failures_.find(uid);
    return it == job_failures_.end() ? never_s : it->second.not_before;
}

std::pair<double, double> Fleet::whole_machine_arrivals(double since_wall) const {
    std::pair<double, double> sums;
    for (const auto& [uid, at] : whole_machine_jobs_) {
        if (at.first >= since_wall) {
            sums.first += at.second;
            sums.second += static_cast<double>(at.second) * at.second;
        }
    }
    return sums;
}

double Fleet::spot_arrivals(double since_wall) const {
    return static_cast<double>(
        std::count_if(spot_jobs_.begin(), spot_jobs_.end(),
                      [&](const auto& t) { return t.second.first >= since_wall; }));
}

double Fleet::heartbeat_timeout_s() const {
    return ctx_.tunables.silence_s > 0
               ? ctx_.tunables.silence_s
               : ctx_.settings.report_s * constants::report_spread + constants::silence_margin_s;
}

double Fleet::placed_at(const TaskId& id) const {
    auto it = placed_at_.find(id);
    return it == placed_at_.end() ? ctx_.now.steady : it->second;
}

bool Fleet::needs_whole_machine(const JobSpec& spec) const {
    Resources two = spec.each * 2;
    return std::none_of(types_.begin(), types_.end(),
                        [&](const MachineType& t) { return two.fits_in(t.size); });
}

void Fleet::note_arrival(const std::string& uid, const Job& job) {
    if (job.waiting || job.came_wall() < ctx_.now.wall - constants::arrivals_s) {
        return;
    }
    if (needs_whole_machine(job.spec)) {
        whole_machine_jobs_.try_emplace(uid, job.came_wall(), job.spec.tasks);
    }
    // Without checkpoints a machine that is taken back costs all the work on it: such jobs
    // use cheap machines that are there, but none are kept for them.
    if (job.spec.spot && job.spec.checkpoint_s > 0) {
        spot_jobs_.try_emplace(uid, job.came_wall(), job.spec.tasks);
    }
}

// A task that must end: its job was cancelled, its gang lost a part, or is to be stopped whole.
// Once one of its tasks has ended the gang has saved, or never will.
void Fleet::stop_unwanted(Machine& machine, const Job& job, const TaskId& id, const Placement& p) {
    bool at_once = job.cancelled || gang_incomplete(job);
    if (!machine.owned_by_us || !machine.adopted || !(at_once || job.stopping())) {
        return;
    }
    Attempt attempt{id, p.attempt};
    auto t = machine.tasks.find(attempt);
    bool exited = t != machine.tasks.end() && t->second.state == TaskState::exited;
    // A start that has gone out but isn't reported yet must be stopped as well.
    bool there = t != machine.tasks.end() || machine.starts_sent.count(attempt) != 0;
    if (there && !exited) {
        stop_task(machine, attempt, at_once ? 0 : job.spec.save_s);
    }
}

void Fleet::note_empty(Machine& machine) const {
    if (!site(machine).tasks.empty()) {
        machine.empty_since = -1;
    } else if (machine.empty_since < 0) {
        machine.empty_since = ctx_.now.steady;
    }
}

void Fleet::records_changed(const std::set<std::string>& touched) {
    for (const auto& [id, p] : ctx_.jobs.take_new_placements()) {
        placed_at_[id] = ctx_.now.steady;
        const Job* job = ctx_.jobs.find(id.uid);
        if (job == nullptr) {
            continue;
        }
        auto [machine, fresh] = find_or_add(p.machine);
        if (fresh) {
            machine.zone = p.zone;
            machine.launched_at = ctx_.now.steady;
            machine.owned_by_us = membership_.owned_by_us(machine.name, machine.zone);
            machine.owned_since = ctx_.now.steady;
        }
        note_image_used(machine, job->spec.image, job->spec.image_gb);
    }
    for (const auto& name : ctx_.jobs.take_touched_machines()) {
        if (membership_.is_leader()) {
            record_exits_of_released(name);
        }
        Machine* machine = find(name);
        if (machine == nullptr) {
            continue;
        }
        machine->room_known = false;
        note_empty(*machine);
        reply_if_due(*machine);
    }
    for (const auto& uid : touched) {
        pending_exits_.recheck_job(uid);
        const Job* job = ctx_.jobs.find(uid);
        if (job == nullptr) {
            job_failures_.erase(uid);
            continue;
        }
        note_arrival(uid, *job);
        note_failures(uid, *job);
        if (!job->cancelled && !gang_incomplete(*job) && !job->stopping()) {
            continue;  // a job of many thousand tasks changes many times a second
        }
        job->each_placement([&](int task, const Placement& p) {
            if (Machine* machine = find(p.machine)) {
                stop_unwanted(*machine, *job, {uid, task}, p);
            }
            return true;
        });
    }
}

// The cloud's answer to a release is the proof that everything on the machine has ended.
void Fleet::record_exits_of_released(const std::string& name) {
    const Mark* mark = ctx_.jobs.mark(name);
    if (mark == nullptr || !mark->gone) {
        return;
    }
    for (const auto& [id, on] : ctx_.jobs.on_machine(name)) {
        pending_exits_.add(id, {on.place->attempt, false, "machine gone", name, false});
    }
}

void Fleet::tick() {
    raise_fencing_tokens();
    write_release_marks();
    if (ctx_.now.steady >= next_sweep_) {
        next_sweep_ = ctx_.now.steady + constants::sweep_every_s;
        sweep();
    }
    pending_exits_.flush();
    reply_to_due_heartbeats();
}

// Looks at every machine: the silent, the faulty, the failed, and those that are no more.
void Fleet::sweep() {
    prune_expired();
    fence_cancelled();
    if (membership_.is_leader()) {
        for (const auto& [key, marks] : ctx_.jobs.marks()) {
            for (const auto& name : marks.gone) {
                record_exits_of_released(name);  // also of claims that came after the machine's end
            }
        }
    }
    Silence silence = count_silent_machines();
    for (auto it = machines_.begin(); it != machines_.end();) {
        Machine& machine = it->second;
        if (can_forget(machine)) {
            std::erase(all_, &machine);
            it = machines_.erase(it);
            continue;
        }
        ++it;
        note_empty(machine);
        if (ctx_.member && machine.owned_by_us) {
            resend_pending_stops(machine);
        }
        if (ctx_.member && machine.owned_by_us && !site(machine).mark) {
            checkpoint_before_interruption(machine);
            check_liveness(machine, silence);
        }
    }
}

// A cancelled task that is still somewhere well after its user was told: its machine can't be
// reached, and must be released before the time is up. Its owner does it, who knows what has ended.
// Guards against machines released, with all else that ran on them, for ends that only wait to be
// written: their work then came back and made the wait longer.
void Fleet::fence_cancelled() {
    for (Machine* machine : machines_with_overdue_cancels()) {
        mark_for_release(*machine, "cancelled task still there", true);
    }
}

// Machines that are past the time for a cancelled task and neither report nor answer, and those
// with a mark that says so: what must be released even by somebody who can write nothing down.
std::set<std::string> Fleet::overdue_and_silent() {
    std::set<std::string> names;
    for (const Machine* machine : machines_with_overdue_cancels()) {
        // Who answers a probe is alive, and only reports to another by now.
        if (machine->probe_failures > 0 &&
            ctx_.now.steady - std::max(machine->last_heartbeat_at, machine->owned_since) >
                heartbeat_timeout_s()) {
            names.insert(machine->name);
        }
    }
    for (const auto& [key, marks] : ctx_.jobs.marks()) {
        for (const auto& name : marks.machines) {
            const Machine* machine = find(name);
            bool ours = machine != nullptr ? machine->owned_by_us : membership_.is_leader();
            if (marks.fence && marks.gone.count(name) == 0 && ours) {
                names.insert(name);
            }
        }
    }
    return names;
}

std::set<Machine*> Fleet::machines_with_overdue_cancels() {
    std::set<Machine*> machines;
    double limit = ctx_.settings.cancel_s * constants::cancel_fence_share;
    double last = ctx_.settings.cancel_s * constants::cancel_fence_last_share;
    for (const auto& uid : ctx_.jobs.cancelled()) {
        const Job& job = ctx_.jobs.jobs().at(uid);
        double since = ctx_.now.wall - job.cancelled_wall;
        if (since < limit) {
            continue;
        }
        job.each_placement([&](int task, const Placement& p) {
            Machine* machine = find(p.machine);
            const PendingTaskExits::TaskExit* end = pending_exits_.find(job, task);
            bool ended = end != nullptr && end->attempt == p.attempt;
            // Just taken over: what ended there before is known with its first report.
            bool new_here = machine != nullptr && !machine->adopted && since < last &&
                            ctx_.now.steady - machine->owned_since < heartbeat_timeout_s();
            if (machine != nullptr && machine->owned_by_us && !ended && !new_here) {
                machines.insert(machine);
            }
            return true;
        });
    }
    return machines;
}

void Fleet::prune_expired() {
    if (ctx_.now.steady < next_prune_) {
        return;
    }
    next_prune_ = ctx_.now.steady + constants::forget_every_s;
    ctx_.jobs.forget_sites();
    std::erase_if(placed_at_,
                  [&](const auto& entry) { return ctx_.jobs.placement(entry.first) == nullptr; });
    std::erase_if(redirects_, [&](const auto& s) {
        return ctx_.now.steady - s.second.last_at > constants::gone_mark_s;
    });
    for (auto* times : {&whole_machine_jobs_, &spot_jobs_}) {
        double old = ctx_.now.wall - constants::arrivals_s;
        std::erase_if(*times, [&](const auto& e) { return e.second.first < old; });
    }
}

bool Fleet::Silence::Count::suspect() const {
    return silent > constants::silent_few && silent > owned * constants::silent_share;
}

// When most machines fall silent at once, this process's own network is the likelier cause; when
// most of another zone do, that zone is cut off. Inside it work goes on and its images stay:
// releasing hundreds of healthy machines would cost more than waiting for them.
Fleet::Silence Fleet::count_silent_machines() {
    Silence silence;
    int relayed = 0;
    std::map<std::string, Silence::Count> zones;
    for (const auto& [name, machine] : machines_) {
        bool known = machine.heartbeat_received || machine.running_since >= 0;
        if (!machine.owned_by_us || !known || site(machine).mark) {
            continue;
        }
        bool quiet = ctx_.now.steady - std::max(machine.last_heartbeat_at, machine.owned_since) >
                     heartbeat_timeout_s();
        Silence::Count& zone = zones[machine.zone];
        zone.owned++;
        zone.silent += quiet ? 1 : 0;
        if (machine.heartbeat_received && machine.adopted) {
            silence.adopted.owned++;
            silence.adopted.silent += quiet ? 1 : 0;
            relayed +=
                machine.last_heartbeat_relayed &&
                        ctx_.now.steady - machine.last_heartbeat_at < constants::relay_detour_s
                    ? 1
                    : 0;
        }
    }
    silence.path_cut = partitioned_from_workers(silence.adopted.owned, relayed);
    partitioned_zones_.clear();
    for (const auto& [zone, count] : zones) {
        if (zone != ctx_.settings.zone && count.suspect()) {
            partitioned_zones_.insert(zone);
        }
    }
    return silence;
}

// Whether nothing is left of a machine. Keeps what is known of it in step with its mark.
bool Fleet::can_forget(Machine& machine) const {
    const auto& mark = site(machine).mark;
    bool placed = !site(machine).tasks.empty();
    if (mark && mark->gone) {
        machine.release_confirmed = true;
    } else if (machine.release_confirmed && !mark && !machine.awaiting_reply) {
        if (!placed) {
            return true;  // its mark was retired
        }
        // A claim came as late as that: its end must be proved once more.
        machine.release_confirmed = false;
        machine.heartbeat_received = machine.adopted = false;
        machine.address.clear();
    }
    double heard = std::max(machine.last_heartbeat_at, machine.owned_since);
    return !placed && !mark && !machine.awaiting_reply &&
           ctx_.now.steady - heard > constants::gone_mark_s &&
           ctx_.now.steady - machine.listed_at > constants::gone_mark_s;
}

void Fleet::resend_pending_stops(Machine& machine) {
    double t = ctx_.now.steady;
    for (auto& [task, s] : machine.pending_stops) {
        if (machine.adopted && t - s.last_sent_at >= constants::stop_repeat_s) {
            if (s.grace_s > 0 && t - s.first_requested_at > s.grace_s + ctx_.settings.gang_peer_s) {
                s.grace_s = 0;  // it should have saved by now
            }
            send_stop(machine, task, s);
        }
    }
}

// Before a machine is taken away, what can save on it does: its progress since the last checkpoint
// would be lost, and it starts elsewhere the sooner. As late as it may be, since what runs may end.
void Fleet::checkpoint_before_interruption(Machine& machine) {
    if (!machine.interruption_deadline || !machine.adopted) {
        return;
    }
    double left = *machine.interruption_deadline - ctx_.now.steady;
    for (const auto& [id, on] : site(machine).tasks) {
        const JobSpec& s = on.job->spec;
        Attempt attempt{id, on.place->attempt};
        auto t = machine.tasks.find(attempt);
        if (s.checkpoint_s <= 0 || s.kind == JobKind::service || t == machine.tasks.end() ||
            t->second.state != TaskState::running) {
            continue;
        }
        double to_go = s.estimate_s - (ctx_.now.steady - placed_at(id));
        bool ends_first = to_go > 0 && to_go < left;
        if (left > s.save_s + constants::spot_save_margin_s || ends_first) {
            continue;
        }
        if (s.kind == JobKind::array || s.tasks == 1) {
            stop_task(machine, attempt, s.save_s);
        } else if (GangPreemption::would_save(*on.job)) {
            gang_preemption_.request_preemption(*on.job,
                                                "its machine " + machine.name + " is taken away");
        }
    }
}

// s without a report after which a machine is fenced.
double Fleet::fence_after_s(const Machine& machine, const Silence& silence) const {
    double limit = heartbeat_timeout_s();
    if (silence.adopted.silent == silence.adopted.owned || silence.path_cut) {
        // Perhaps only the way to it is cut: a worker needs this long to come back by way of
        // another controller, which relays its reports. Guards against the release of hundreds of
        // healthy machines by a controller that is cut off from them.
        limit = std::max(
            limit, constants::relay_detour_s + ctx_.settings.report_s * constants::report_spread);
    }
    if (silence.adopted.suspect()) {
        limit = ctx_.settings.lease_s + heartbeat_timeout_s();
    }
    if (zone_partitioned(machine.zone)) {
        // By then every lease there has ended; starting anew costs about a boot.
        limit = std::max(limit, ctx_.settings.cancel_s + longest_boot_s());
    }
    return limit;
}

void Fleet::check_liveness(Machine& machine, const Silence& silence) {
    double t = ctx_.now.steady;
    double quiet = t - std::max(machine.last_heartbeat_at, machine.owned_since);
    bool placed = !site(machine).tasks.empty();
    if (machine.listed_state == ListedState::failed) {
        mark_for_release(machine, "failed", true);
    } else if (placed && machine.address.empty() && quiet > constants::unreported_s) {
        // Placed by a claim on a machine that nobody lists any more: it can't be probed.
        mark_for_release(machine, "unknown", true);
    } else if (machine.heartbeat_received || placed) {
        double limit = fence_after_s(machine, silence);
        if (quiet > limit && machine.probe_failures > 0) {
            mark_for_release(machine, "silent", true);
        } else if (quiet > limit - constants::order_timeout_s) {
            probe(machine);
        }
    } else if (machine.running_since >= 0 && !zone_partitioned(machine.zone) &&
               t - std::max(machine.running_since, machine.owned_since) > constants::unreported_s) {
        mark_for_release(machine, "never reported", true);
    }
    if (machine.interruption_deadline && !placed && machine.heartbeat_received) {
        mark_for_release(machine, "taken away soon", false);
    }
}

}  // namespace cranemoor::core

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
    const Machine* m = find(name);
    return m != nullptr && m->owned_by_us && m->adopted;
}

// The machine of that name, and whether it was unknown so far.
std::pair<Machine&, bool> Fleet::find_or_add(const std::string& name) {
    auto [it, fresh] = machines_.try_emplace(name);
    Machine& m = it->second;
    if (fresh) {
        m.name = name;
        auto before = [](const Machine* a, const Machine* b) { return a->name < b->name; };
        all_.insert(std::upper_bound(all_.begin(), all_.end(), &m, before), &m);
    }
    return {m, fresh};
}

const MachinePlacements& Fleet::site(const Machine& m) const {
    if (m.site == nullptr || m.site_of != ctx_.jobs.loads()) {
        m.site = ctx_.jobs.site(m.name);
        m.site_of = ctx_.jobs.loads();
    }
    return *m.site;
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
    for (auto& [name, m] : machines_) {
        m.room_known = false;
    }
}

// --- images -------------------------------------------------------------------------------

int Fleet::image_number(const std::string& image) const {
    return image_numbers_.try_emplace(image, static_cast<int>(image_numbers_.size())).first->second;
}

void Fleet::note_image_used(Machine& m, const std::string& image, double gb) {
    int number = image_number(image);
    std::erase_if(m.cached_images, [&](const auto& i) { return i.first == number; });
    m.cached_images.insert(m.cached_images.begin(), {number, gb});
    const MachineType* t = type(m.type);
    if (t == nullptr) {
        return;
    }
    // The worker keeps the most recently used images; the estimate drops them the same way.
    double sum = 0;
    for (auto it = m.cached_images.begin(); it != m.cached_images.end(); ++it) {
        sum += it->second;
        if (sum > t->cache_gb && it != m.cached_images.begin()) {
            m.cached_images.erase(it, m.cached_images.end());
            break;
        }
    }
}

bool Fleet::has_image(const Machine& m, int image) {
    return std::any_of(m.cached_images.begin(), m.cached_images.end(),
                       [&](const auto& i) { return i.first == image; });
}

// --- room ---------------------------------------------------------------------------------

const Resources& Fleet::room(const Machine& m) const {
    if (m.room_known) {
        return m.room;
    }
    m.room_known = true;
    m.images_pulling.clear();
    const MachineType* t = type(m.type);
    if (t == nullptr) {
        m.room = {};
        return m.room;
    }
    for (const auto& [id, on] : site(m).tasks) {
        auto status = m.tasks.find({id, on.place->attempt});
        if (status == m.tasks.end() || status->second.state == TaskState::fetching) {
            int image = image_number(on.job->spec.image);
            if (std::find(m.images_pulling.begin(), m.images_pulling.end(), image) ==
                m.images_pulling.end()) {
                m.images_pulling.push_back(image);
            }
        }
    }
    m.room = t->size - site(m).used;
    for (const auto& [attempt, status] : m.tasks) {
        const Placement* p = ctx_.jobs.placement(attempt.first);
        bool here = p != nullptr && p->machine == m.name;
        bool exited = status.state == TaskState::exited;
        // A task that runs there without a placement still takes its room until it is stopped.
        bool extra = !here && !exited;
        bool over = here && exited && p->attempt == attempt.second && m.owned_by_us && m.adopted;
        const Job* job = extra || over ? ctx_.jobs.find(attempt.first.uid) : nullptr;
        if (job != nullptr) {
            m.room += job->spec.each * (over ? 1.0 : -1.0);
        }
    }
    return m.room;
}

bool Fleet::usable(const Machine& m) const {
    // A machine that is gone stays known for a moment longer than its mark; a silent one may be
    // gone: neither must be given work.
    return m.owned_by_us && m.adopted && !m.release_confirmed && !m.interruption_deadline &&
           ctx_.now.steady >= m.claim_backoff_until &&
           ctx_.now.steady - m.last_heartbeat_at <= heartbeat_timeout_s() &&
           !m.release_mark_pending && !site(m).mark && type(m.type) != nullptr;
}

bool Fleet::in_use(const Machine& m) const {
    return m.up() && !m.release_confirmed && !m.interruption_deadline &&
           !zone_partitioned(m.zone) && !site(m).mark;
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
    Machine& m = find_or_add(r.machine).first;
    if (m.heartbeat_received &&
        std::tie(r.session, r.seq) <= std::tie(m.agent_epoch, m.heartbeat_seq)) {
        // A delayed report: its list of tasks is as old as itself.
        WorkerReply reply;
        reply.request = request;
        reply.status = 200;
        reply.token = ctx_.fencing_token;
        ctx_.out.emplace_back(reply);
        return;
    }
    if (m.open_request) {
        // The worker gave up on the earlier report; nobody reads its answer.
        reject_heartbeat(*m.open_request, 503);
        m.open_request.reset();
    }
    if (const auto& mark = site(m).mark; mark && mark->gone) {
        reject_heartbeat(request, 503);
        return;
    }
    apply_heartbeat(m, r);
    m.last_heartbeat_at = ctx_.now.steady;
    m.last_heartbeat_relayed = relayed;
    m.probe_failures = 0;
    m.open_request = request;
    m.seen_by_scheduler = false;
    m.reply_held_open = false;
    if (!m.awaiting_reply) {
        m.awaiting_reply = true;
        awaiting_reply_.push_back(&m);
    }
    if (r.token == ctx_.fencing_token && !m.adopted) {
        m.adopted = true;
        ctx_.info("machine {}: adopted in session {} with {} tasks", m.name, m.agent_epoch,
                  m.tasks.size());
    }
    if (!m.adopted) {
        send_heartbeat_reply(m);  // raises its token
        return;
    }
    m.reply_deadline = ctx_.now.steady + constants::report_hold_s;
    reconcile_tasks(m, true);
    if (relayed) {
        // Its peer has few connections for relays and waits less long than an answer is kept open
        // for: held, they would fail for hundreds of machines whose owner is cut off from them.
        send_heartbeat_reply(m);
        return;
    }
    reply_if_due(m);
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

void Fleet::apply_heartbeat(Machine& m, const Report& r) {
    bool first = !m.heartbeat_received;
    m.room_known = false;
    m.address = r.address;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    if (first) {
        m.launched_at = m.launched_at == 0 ? ctx_.now.steady : m.launched_at;
        ctx_.info("machine {}: first report, type {} zone {}{}", m.name, m.type, m.zone,
                  m.spot ? " spot" : "");
    }
    if (!m.owned_by_us) {
        m.owned_by_us = true;
        m.adopted = false;
        m.owned_since = ctx_.now.steady;
    }
    m.heartbeat_received = true;
    m.agent_epoch = r.session;
    m.heartbeat_seq = r.seq;
    m.fencing_token = r.token;
    if (r.notice_s && !m.interruption_deadline) {
        m.interruption_deadline = ctx_.now.steady + *r.notice_s;
        ctx_.info("machine {}: taken away in {:.1f} s", m.name, *r.notice_s);
    }
    m.tasks.clear();
    for (const auto& t : r.tasks) {
        m.tasks[{t.id, t.attempt}] = t;
    }
    for (auto it = m.pending_stops.begin(); it != m.pending_stops.end();) {
        auto t = m.tasks.find(it->first);
        bool over = t == m.tasks.end() || t->second.state == TaskState::exited;
        it = over ? m.pending_stops.erase(it) : std::next(it);
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

bool Fleet::should_start(const Machine& m, const Job& job) const {
    return !job.cancelled && !job.final && !site(m).mark && !m.release_mark_pending &&
           !m.interruption_deadline && !gang_incomplete(job) && !job.stopping();
}

void Fleet::record_exit(Machine& m, const TaskStatus& s) {
    PendingTaskExits::TaskExit o;
    o.attempt = s.attempt;
    o.machine = m.name;
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
        m.failed_jobs.clear();
    } else if (o.error) {
        note_task_failure(m, *job);
    } else if (s.why == ExitReason::no_room || s.why == ExitReason::busy) {
        m.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
    }
}

// A failed task speaks against its machine, until its job has failed elsewhere too. Guards against
// machines set aside for a job that was submitted with a mistake, however many of its tasks failed
// there.
void Fleet::note_task_failure(Machine& m, const Job& job) {
    if (!job.doubtful()) {
        m.failed_jobs.insert(job.spec.uid);
    }
    if (m.failed_jobs.size() >= constants::machine_errors_max) {
        mark_for_release(m, "failing tasks", false);
    }
    m.claim_backoff_until = ctx_.now.steady + constants::job_backoff_s;
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
    for (auto& [name, m] : machines_) {
        m.failed_jobs.erase(uid);
    }
}

void Fleet::reconcile_tasks(Machine& m, bool from_report) {
    for (const auto& [id, on] : site(m).tasks) {
        const Job* job = on.job;
        const Placement* p = on.place;
        Attempt attempt{id, p->attempt};
        auto t = m.tasks.find(attempt);
        if (t != m.tasks.end()) {
            if (t->second.state == TaskState::exited) {
                record_exit(m, t->second);
            } else {
                m.seen_running.insert(attempt);
                stop_unwanted(m, *job, id, *p);
            }
            continue;
        }
        // Absent. Only a report that answers after our last response proves it: a direct
        // command's answer may overtake a start that is still in flight.
        bool proof = from_report || m.starts_sent.count(attempt) == 0;
        bool lost_gang = job->spec.kind == JobKind::gang && m.seen_running.count(attempt) != 0;
        if (proof && (lost_gang || !should_start(m, *job))) {
            PendingTaskExits::TaskExit o;
            o.attempt = p->attempt;
            o.machine = m.name;
            o.why = lost_gang ? "lost" : "not started";
            pending_exits_.add(id, o);
        }
    }
}

bool Fleet::vacated(const Machine& m) const {
    const auto& placed = site(m).tasks;
    return std::all_of(placed.begin(), placed.end(), [&](const auto& t) {
        auto status = m.tasks.find({t.first, t.second.place->attempt});
        return status != m.tasks.end() && status->second.state == TaskState::exited;
    });
}

// --- answers ------------------------------------------------------------------------------

void Fleet::send_heartbeat_reply(Machine& m) {
    if (!m.open_request) {
        return;
    }
    WorkerReply reply;
    reply.request = *m.open_request;
    m.open_request.reset();
    if (!membership_.may_answer_workers() || !m.owned_by_us) {
        reply.status = m.owned_by_us ? 503 : 421;
        ctx_.out.emplace_back(reply);
        return;
    }
    reply.status = 200;
    reply.token = ctx_.fencing_token;
    if (m.adopted) {
        std::set<TaskId> live;
        for (const auto& [attempt, status] : m.tasks) {
            const Placement* p = ctx_.jobs.placement(attempt.first);
            bool ours = p != nullptr && p->machine == m.name && p->attempt == attempt.second;
            if (status.state == TaskState::exited) {
                if (!ours) {
                    reply.commands.push_back(
                        {Command::Kind::forget, attempt.first, attempt.second, 0});
                    m.starts_sent.erase(attempt);
                    m.seen_running.erase(attempt);
                }
                continue;
            }
            live.insert(attempt.first);
            auto s = m.pending_stops.find(attempt);
            if (!ours) {
                reply.commands.push_back({Command::Kind::stop, attempt.first, attempt.second, 0});
            } else if (s != m.pending_stops.end()) {
                reply.commands.push_back(
                    {Command::Kind::stop, attempt.first, attempt.second, s->second.grace_s});
            }
        }
        bool may_start = membership_.may_start_tasks();
        for (const auto& [id, on] : site(m).tasks) {
            const Placement* p = on.place;
            if (!may_start || !should_start(m, *on.job)) {
                continue;
            }
            Attempt attempt{id, p->attempt};
            bool ending = pending_exits_.find(*on.job, id.index) != nullptr;
            if (m.tasks.count(attempt) != 0 || live.count(id) != 0 || ending) {
                continue;
            }
            if (m.starts_sent.insert(attempt).second) {
                ctx_.info("start {} attempt {} on {}", id.text(), p->attempt, m.name);
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
        Machine* m = awaiting_reply_[i];
        if (m->open_request && !(m->reply_held_open && ctx_.now.steady < m->reply_deadline)) {
            reply_if_due(*m);
        }
        m->awaiting_reply = m->open_request.has_value();
        if (m->awaiting_reply) {
            awaiting_reply_[kept++] = m;
        }
    }
    awaiting_reply_.resize(kept);
}

void Fleet::reply_if_due(Machine& m) {
    if (!m.open_request) {
        return;
    }
    bool late = ctx_.now.steady >= m.reply_deadline;
    if (!late && m.claims_in_flight > 0) {
        return;
    }
    // Something to say: say it now.
    bool start_due = false;
    bool news = false;  // whether the worker may soon have something to report
    for (const auto& [id, on] : site(m).tasks) {
        auto t = m.tasks.find({id, on.place->attempt});
        start_due = start_due || (t == m.tasks.end() && should_start(m, *on.job));
        news = news || on.job->cancelled || on.job->spec.kind != JobKind::service ||
               t == m.tasks.end() || t->second.state != TaskState::running;
    }
    if (start_due && !late && !membership_.may_start_tasks()) {
        return;  // the next answer of the state service is a moment away
    }
    bool offer = !start_due && usable(m);
    if (offer && !late && !m.seen_by_scheduler) {
        return;  // the next round is a moment away
    }
    news = news || m.tasks.size() > site(m).tasks.size();
    if (offer && !news && !late && room(m).cpus > Resources::slack) {
        // Nothing ends there by itself, so the worker has nothing to report: its answer is kept
        // open for a while, and a job that comes meanwhile starts without waiting for a report.
        m.reply_deadline = std::max(m.reply_deadline, m.last_heartbeat_at + constants::idle_hold_s);
        m.reply_held_open = true;
        return;
    }
    send_heartbeat_reply(m);
}

// --- stops --------------------------------------------------------------------------------

void Fleet::send_stop(Machine& m, const Attempt& task, Machine::PendingStop& s) {
    s.last_sent_at = ctx_.now.steady;
    OrderCall call;
    call.machine = m.name;
    call.address = m.address;
    call.token = ctx_.fencing_token;
    call.session = m.agent_epoch;
    call.commands.push_back({Command::Kind::stop, task.first, task.second, s.grace_s});
    ctx_.order(call, [](const OrderReply&) {
        // The worker reports the change by itself within half a second.
    });
}

void Fleet::stop_task(Machine& m, const Attempt& task, double grace_s) {
    auto [it, first] = m.pending_stops.try_emplace(task);
    if (!first && it->second.grace_s <= grace_s) {
        return;
    }
    if (first) {
        ctx_.info("stop {} attempt {} on {}, grace {:.1f} s", task.first.text(), task.second,
                  m.name, grace_s);
        it->second.first_requested_at = ctx_.now.steady;
    }
    it->second.grace_s = grace_s;
    if (m.adopted && m.heartbeat_received) {
        send_stop(m, task, it->second);
        send_heartbeat_reply(
            m);  // a worker with a report in flight could not tell that the task ended
    }
}

// --- ownership ----------------------------------------------------------------------------

void Fleet::epoch_changed(const std::optional<Epoch>& before) {
    const auto& epoch = ctx_.jobs.epoch();
    // Only from one epoch to the next is it certain that nobody else owned a machine between.
    bool next = before && epoch && epoch->number == before->number + 1 && ctx_.member &&
                before->has(ctx_.me.id);
    int taken = 0;
    for (auto& [name, m] : machines_) {
        bool mine = membership_.owned_by_us(name, m.zone);
        m.room_known = false;
        if (mine && m.owned_by_us && next) {
            continue;
        }
        if (m.open_request && !mine) {
            m.owned_by_us = false;
            send_heartbeat_reply(m);
        }
        m.owned_by_us = mine;
        m.adopted = false;
        pending_exits_.forget(name);
        m.starts_sent.clear();
        m.seen_running.clear();
        m.pending_stops.clear();
        if (mine) {
            m.owned_since = ctx_.now.steady;
            m.probe_failures = 0;
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
        Machine* m = find(token_raise_queue_.front());
        token_raise_queue_.pop_front();
        if (m != nullptr && m->owned_by_us && !m->adopted) {
            raise_fencing_token(*m, 2);
        }
    }
}

void Fleet::raise_fencing_token(Machine& m, int tries) {
    if (m.address.empty() || tries == 0 || site(m).mark) {
        return;
    }
    OrderCall call;
    call.machine = m.name;
    call.address = m.address;
    call.token = ctx_.fencing_token;
    call.session = std::max<std::uint64_t>(m.agent_epoch, 1);
    Token token = ctx_.fencing_token;
    ctx_.order(call, [this, name = m.name, token, tries](const OrderReply& reply) {
        Machine* m = find(name);
        if (m == nullptr || !reply.report || !m->owned_by_us || token != ctx_.fencing_token ||
            m->adopted) {
            return;
        }
        const Report& r = *reply.report;
        if (m->heartbeat_received &&
            std::tie(r.session, r.seq) <= std::tie(m->agent_epoch, m->heartbeat_seq)) {
            return;
        }
        apply_heartbeat(*m, r);
        if (r.token == ctx_.fencing_token) {
            m->adopted = true;
            m->last_heartbeat_at = ctx_.now.steady;
            ctx_.info("machine {}: adopted in session {} with {} tasks", name, m->agent_epoch,
                      m->tasks.size());
            reconcile_tasks(*m, false);
        } else {
            raise_fencing_token(*m, tries - 1);  // its session was another than we thought
        }
    });
}

void Fleet::apply_cloud_listing(const std::vector<ListedMachine>& list) {
    for (const auto& l : list) {
        auto [m, fresh] = find_or_add(l.name);
        m.room_known = m.room_known && m.type == l.type;
        // A rental's answer names no address. It may come after the machine's first report.
        m.address = l.address.empty() ? m.address : l.address;
        m.type = l.type;
        m.zone = l.zone;
        m.spot = l.spot;
        m.listed = true;
        m.listed_at = ctx_.now.steady;
        if (m.listed_state == ListedState::starting || l.state == ListedState::failed) {
            m.listed_state = l.state;
        }
        if (fresh) {
            m.launched_at = ctx_.now.steady - l.age_s;
        }
        if (l.state == ListedState::running && m.running_since < 0) {
            m.running_since = ctx_.now.steady;
        }
        if (!m.owned_by_us && membership_.owned_by_us(m.name, m.zone)) {
            m.owned_by_us = true;
            m.adopted = false;
            m.owned_since = ctx_.now.steady;
            if (l.state == ListedState::running) {
                token_raise_queue_.push_back(m.name);
            }
        }
    }
}

// --- upkeep -------------------------------------------------------------------------------

void Fleet::mark_for_release(Machine& m, const std::string& why, bool fence) {
    const Mark* old = ctx_.jobs.mark(m.name);
    if (m.release_mark_pending || !ctx_.member || !membership_.has_store_contact() ||
        (old != nullptr && (old->fence || !fence))) {
        return;
    }
    m.release_mark_pending = true;
    pending_release_marks_[{why, fence}].insert(m.name);
    ctx_.info("machine {}: to be returned ({})", m.name, why);
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
                    if (Machine* m = find(name)) {
                        m->release_mark_pending = false;
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

void Fleet::probe(Machine& m) {
    if (m.probe_in_flight || m.address.empty()) {
        return;
    }
    m.probe_in_flight = true;
    OrderCall call;
    call.machine = m.name;
    call.address = m.address;
    ctx_.order(call, [this, name = m.name](const OrderReply& reply) {
        Machine* m = find(name);
        if (m == nullptr) {
            return;
        }
        m->probe_in_flight = false;
        if (reply.answered) {
            // Alive, but it reports elsewhere or its reports don't get through: the raised
            // token makes it turn away from whoever answers it wrongly.
            m->probe_failures = 0;
            if (reply.report) {
                m->agent_epoch = std::max(m->agent_epoch, reply.report->session);
            }
            if (m->owned_by_us) {
                raise_fencing_token(*m, 1);
            }
        } else {
            m->probe_failures++;
        }
    });
}

double Fleet::job_pause_until(const std::string& uid) const {
    auto it = job_failures_.find(uid);
    return it == job_failures_.end() ? -1e9 : it->second.not_before;
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
void Fleet::stop_unwanted(Machine& m, const Job& job, const TaskId& id, const Placement& p) {
    bool at_once = job.cancelled || gang_incomplete(job);
    if (!m.owned_by_us || !m.adopted || !(at_once || job.stopping())) {
        return;
    }
    Attempt attempt{id, p.attempt};
    auto t = m.tasks.find(attempt);
    bool exited = t != m.tasks.end() && t->second.state == TaskState::exited;
    // A start that has gone out but isn't reported yet must be stopped as well.
    bool there = t != m.tasks.end() || m.starts_sent.count(attempt) != 0;
    if (there && !exited) {
        stop_task(m, attempt, at_once ? 0 : job.spec.save_s);
    }
}

void Fleet::note_empty(Machine& m) const {
    if (!site(m).tasks.empty()) {
        m.empty_since = -1;
    } else if (m.empty_since < 0) {
        m.empty_since = ctx_.now.steady;
    }
}

void Fleet::records_changed(const std::set<std::string>& touched) {
    for (const auto& [id, p] : ctx_.jobs.take_new_placements()) {
        placed_at_[id] = ctx_.now.steady;
        const Job* job = ctx_.jobs.find(id.uid);
        if (job == nullptr) {
            continue;
        }
        auto [m, fresh] = find_or_add(p.machine);
        if (fresh) {
            m.zone = p.zone;
            m.launched_at = ctx_.now.steady;
            m.owned_by_us = membership_.owned_by_us(m.name, m.zone);
            m.owned_since = ctx_.now.steady;
        }
        note_image_used(m, job->spec.image, job->spec.image_gb);
    }
    for (const auto& name : ctx_.jobs.take_touched_machines()) {
        if (membership_.is_leader()) {
            record_exits_of_released(name);
        }
        Machine* m = find(name);
        if (m == nullptr) {
            continue;
        }
        m->room_known = false;
        note_empty(*m);
        reply_if_due(*m);
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
            if (Machine* m = find(p.machine)) {
                stop_unwanted(*m, *job, {uid, task}, p);
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
        Machine& m = it->second;
        if (can_forget(m)) {
            std::erase(all_, &m);
            it = machines_.erase(it);
            continue;
        }
        ++it;
        note_empty(m);
        if (ctx_.member && m.owned_by_us) {
            resend_pending_stops(m);
        }
        if (ctx_.member && m.owned_by_us && !site(m).mark) {
            checkpoint_before_interruption(m);
            check_liveness(m, silence);
        }
    }
}

// A cancelled task that is still somewhere well after its user was told: its machine can't be
// reached, and must be released before the time is up. Its owner does it, who knows what has ended.
// Guards against machines released, with all else that ran on them, for ends that only wait to be
// written: their work then came back and made the wait longer.
void Fleet::fence_cancelled() {
    for (Machine* m : machines_with_overdue_cancels()) {
        mark_for_release(*m, "cancelled task still there", true);
    }
}

// Machines that are past the time for a cancelled task and neither report nor answer, and those
// with a mark that says so: what must be released even by somebody who can write nothing down.
std::set<std::string> Fleet::overdue_and_silent() {
    std::set<std::string> names;
    for (const Machine* m : machines_with_overdue_cancels()) {
        // Who answers a probe is alive, and only reports to another by now.
        if (m->probe_failures > 0 &&
            ctx_.now.steady - std::max(m->last_heartbeat_at, m->owned_since) >
                heartbeat_timeout_s()) {
            names.insert(m->name);
        }
    }
    for (const auto& [key, marks] : ctx_.jobs.marks()) {
        for (const auto& name : marks.machines) {
            const Machine* m = find(name);
            bool ours = m != nullptr ? m->owned_by_us : membership_.is_leader();
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
            Machine* m = find(p.machine);
            const PendingTaskExits::TaskExit* end = pending_exits_.find(job, task);
            bool ended = end != nullptr && end->attempt == p.attempt;
            // Just taken over: what ended there before is known with its first report.
            bool new_here = m != nullptr && !m->adopted && since < last &&
                            ctx_.now.steady - m->owned_since < heartbeat_timeout_s();
            if (m != nullptr && m->owned_by_us && !ended && !new_here) {
                machines.insert(m);
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
    for (const auto& [name, m] : machines_) {
        bool known = m.heartbeat_received || m.running_since >= 0;
        if (!m.owned_by_us || !known || site(m).mark) {
            continue;
        }
        bool quiet =
            ctx_.now.steady - std::max(m.last_heartbeat_at, m.owned_since) > heartbeat_timeout_s();
        Silence::Count& zone = zones[m.zone];
        zone.owned++;
        zone.silent += quiet ? 1 : 0;
        if (m.heartbeat_received && m.adopted) {
            silence.adopted.owned++;
            silence.adopted.silent += quiet ? 1 : 0;
            relayed += m.last_heartbeat_relayed &&
                               ctx_.now.steady - m.last_heartbeat_at < constants::relay_detour_s
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
bool Fleet::can_forget(Machine& m) const {
    const auto& mark = site(m).mark;
    bool placed = !site(m).tasks.empty();
    if (mark && mark->gone) {
        m.release_confirmed = true;
    } else if (m.release_confirmed && !mark && !m.awaiting_reply) {
        if (!placed) {
            return true;  // its mark was retired
        }
        // A claim came as late as that: its end must be proved once more.
        m.release_confirmed = false;
        m.heartbeat_received = m.adopted = false;
        m.address.clear();
    }
    double heard = std::max(m.last_heartbeat_at, m.owned_since);
    return !placed && !mark && !m.awaiting_reply &&
           ctx_.now.steady - heard > constants::gone_mark_s &&
           ctx_.now.steady - m.listed_at > constants::gone_mark_s;
}

void Fleet::resend_pending_stops(Machine& m) {
    double t = ctx_.now.steady;
    for (auto& [task, s] : m.pending_stops) {
        if (m.adopted && t - s.last_sent_at >= constants::stop_repeat_s) {
            if (s.grace_s > 0 && t - s.first_requested_at > s.grace_s + ctx_.settings.gang_peer_s) {
                s.grace_s = 0;  // it should have saved by now
            }
            send_stop(m, task, s);
        }
    }
}

// Before a machine is taken away, what can save on it does: its progress since the last checkpoint
// would be lost, and it starts elsewhere the sooner. As late as it may be, since what runs may end.
void Fleet::checkpoint_before_interruption(Machine& m) {
    if (!m.interruption_deadline || !m.adopted) {
        return;
    }
    double left = *m.interruption_deadline - ctx_.now.steady;
    for (const auto& [id, on] : site(m).tasks) {
        const JobSpec& s = on.job->spec;
        Attempt attempt{id, on.place->attempt};
        auto t = m.tasks.find(attempt);
        if (s.checkpoint_s <= 0 || s.kind == JobKind::service || t == m.tasks.end() ||
            t->second.state != TaskState::running) {
            continue;
        }
        double to_go = s.estimate_s - (ctx_.now.steady - placed_at(id));
        bool ends_first = to_go > 0 && to_go < left;
        if (left > s.save_s + constants::spot_save_margin_s || ends_first) {
            continue;
        }
        if (s.kind == JobKind::array || s.tasks == 1) {
            stop_task(m, attempt, s.save_s);
        } else if (GangPreemption::would_save(*on.job)) {
            gang_preemption_.request_preemption(*on.job,
                                                "its machine " + m.name + " is taken away");
        }
    }
}

// s without a report after which a machine is fenced.
double Fleet::fence_after_s(const Machine& m, const Silence& silence) const {
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
    if (zone_partitioned(m.zone)) {
        // By then every lease there has ended; starting anew costs about a boot.
        limit = std::max(limit, ctx_.settings.cancel_s + longest_boot_s());
    }
    return limit;
}

void Fleet::check_liveness(Machine& m, const Silence& silence) {
    double t = ctx_.now.steady;
    double quiet = t - std::max(m.last_heartbeat_at, m.owned_since);
    bool placed = !site(m).tasks.empty();
    if (m.listed_state == ListedState::failed) {
        mark_for_release(m, "failed", true);
    } else if (placed && m.address.empty() && quiet > constants::unreported_s) {
        // Placed by a claim on a machine that nobody lists any more: it can't be probed.
        mark_for_release(m, "unknown", true);
    } else if (m.heartbeat_received || placed) {
        double limit = fence_after_s(m, silence);
        if (quiet > limit && m.probe_failures > 0) {
            mark_for_release(m, "silent", true);
        } else if (quiet > limit - constants::order_timeout_s) {
            probe(m);
        }
    } else if (m.running_since >= 0 && !zone_partitioned(m.zone) &&
               t - std::max(m.running_since, m.owned_since) > constants::unreported_s) {
        mark_for_release(m, "never reported", true);
    }
    if (m.interruption_deadline && !placed && m.heartbeat_received) {
        mark_for_release(m, "taken away soon", false);
    }
}

}  // namespace cranemoor::core

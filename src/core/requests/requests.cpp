#include "core/requests/requests.hpp"

#include <algorithm>
#include <iterator>

#include "core/jobs/oversized_block_split.hpp"

namespace cranemoor::core {

namespace {

std::size_t bytes_of(const JobRecord& record) {
    return encode(record).dump().size();
}

}  // namespace

// Guards against answers that name what they end: an answer owns all that it says before its
// request is forgotten, and with it whatever its caller may have named from there.
void Requests::answer(UserReply reply) {
    open_.erase(reply.request);
    ctx_.out.emplace_back(std::move(reply));
}

void Requests::reply(std::uint64_t request, int status, const std::string& uid,
                     const std::string& state, const std::string& error) {
    UserReply r;
    r.request = request;
    r.status = status;
    r.uid = uid;
    r.state = state;
    r.error = error;
    answer(std::move(r));
}

// For display only, and counted anew once in a while: a job may have many thousand tasks, and as
// many polls a second as its users like.
int Requests::running_tasks(const Job& job) {
    Count& count = counts_[job.spec.uid];
    if (ctx_.now.steady < count.until && (count.running > 0) == (job.placed() > 0)) {
        return count.running;
    }
    count = {0, ctx_.now.steady + constants::count_every_s};
    job.each_placement([&](int task, const Placement& p) {
        const Machine* m = fleet_.find(p.machine);
        // What other members' machines do is not known here; a place counts as running.
        bool known = m != nullptr && m->owned_by_us && m->adopted;
        auto t =
            known ? m->tasks.find({{job.spec.uid, task}, p.attempt}) : decltype(m->tasks.end()){};
        if (!known || (t != m->tasks.end() && t->second.state == TaskState::running)) {
            ++count.running;
        }
        return true;
    });
    return count.running;
}

void Requests::reply_job(std::uint64_t request, int status, const Job& job, bool counts) {
    bool cancelled = job.cancelled;
    if (job.waiting && !cancelled) {
        // Guards against an answer that is older than the cancellation of a job that it needs,
        // which may still have to be handed on.
        auto verdict = dependencies_.verdict(job.spec.uid);
        if (!verdict) {
            busy(request, job.spec.uid);
            return;
        }
        cancelled = verdict == Dependencies::End::cancelled;
    }
    if (cancelled && !membership_.may_confirm_cancellations()) {
        busy(request, job.spec.uid);
        return;
    }
    UserReply r;
    r.request = request;
    r.status = status;
    r.uid = job.spec.uid;
    int running = running_tasks(job);
    if (cancelled) {
        r.state = "cancelled";
    } else {
        // Also when every task is done: until the final record is written, a cancellation may
        // still come before it, and "done" would have to be taken back.
        r.state = running > 0 || job.done() > 0 ? "running" : "queued";
    }
    if (counts) {
        r.counts = std::make_pair(job.done(), running);
    }
    answer(std::move(r));
}

void Requests::reply_finished(std::uint64_t request, const std::string& uid, const Finished& f,
                              bool counts) {
    UserReply r;
    r.request = request;
    r.status = 200;
    r.uid = uid;
    r.state = f.cancelled ? "cancelled" : "done";
    if (counts) {
        r.counts = std::make_pair(f.cancelled ? 0 : f.tasks, 0);
    }
    answer(std::move(r));
}

void Requests::busy(std::uint64_t request, const std::string& uid) {
    reply(request, 503, uid, "", "not able to decide now");
}

// Where its flow stands, spread so that those sent away together don't come back together.
int Requests::turn_in_s(const std::string& uid) const {
    std::size_t lately = 0;
    for (const auto& [at, jobs] : accepted_) {
        lately += ctx_.now.steady - at < constants::accepted_window_s ? jobs : 0;
    }
    double rate = std::max(1.0, static_cast<double>(lately) / constants::accepted_window_s);
    int soon = static_cast<int>(static_cast<double>(admission_controller_.waiting_count()) / rate);
    int most = std::clamp(soon, constants::retry_after_s, constants::retry_after_most_s);
    return 1 + static_cast<int>(stable_hash(uid) % static_cast<std::uint64_t>(most));
}

void Requests::turn_away(std::uint64_t request, const std::string& uid) {
    UserReply r;
    r.request = request;
    r.uid = uid;
    r.error = "too many submissions wait";
    r.retry_after_s = turn_in_s(uid);
    answer(std::move(r));
}

// Guards against one class of which thousands wait: no other's submissions, and nobody's questions,
// are refused for them.
bool Requests::has_room(const admission::FlowName& flow) {
    if (open_.size() < constants::user_queue_max) {
        return true;
    }
    auto longest = admission_controller_.flow_to_evict(flow);
    if (!longest) {
        return false;
    }
    Acceptance last = pull(*longest, Pulled::sent_away);
    for (auto request : last.requests) {
        if (take(request)) {
            turn_away(request, last.spec.uid);
        }
    }
    return open_.size() < constants::user_queue_max;
}

void Requests::enqueue(Acceptance a) {
    auto flow = flow_of(a.spec);
    admission_controller_.enqueue(flow);
    accepting_[flow].push_back(std::move(a));
}

Requests::Acceptance* Requests::first() {
    while (auto flow = admission_controller_.next_flow()) {
        Acceptance& a = accepting_.at(*flow).front();
        std::erase_if(a.requests, [&](std::uint64_t r) { return !take(r); });
        if (!a.requests.empty()) {
            return &a;
        }
        pull(*flow, Pulled::given_up);
    }
    return nullptr;
}

// Takes one out of a flow's queue: the one whose turn it is, or the last that came.
Requests::Acceptance Requests::pull(const admission::FlowName& flow, Pulled how) {
    auto queue = accepting_.find(flow);
    auto& list = queue->second;
    auto which = how == Pulled::sent_away ? std::prev(list.end()) : list.begin();
    Acceptance a = std::move(*which);
    list.erase(which);
    admission_controller_.dequeue(flow, how == Pulled::taken);
    if (list.empty()) {
        accepting_.erase(queue);
    }
    return a;
}

bool Requests::take(std::uint64_t request) {
    return open_.count(request) != 0;
}

// A final state that is in memory: it needs no fresh look, since nothing comes after it.
const Finished* Requests::known_final(const std::string& uid) const {
    if (const Finished* f = ctx_.jobs.finished(uid)) {
        return f;
    }
    auto it = finished_.find(uid);
    return it == finished_.end() ? nullptr : &it->second;
}

void Requests::remember(const std::string& uid, const Finished& f) {
    if (!finished_.try_emplace(uid, f).second) {
        return;
    }
    if (finished_order_.size() < constants::finished_cache) {
        finished_order_.push_back(uid);
        return;
    }
    finished_.erase(finished_order_[finished_next_]);
    finished_order_[finished_next_] = uid;
    finished_next_ = (finished_next_ + 1) % finished_order_.size();
}

void Requests::freshly(std::uint64_t request, const std::string& uid, double wait_s,
                       std::function<void()> then) {
    if (!ctx_.whole || !membership_.has_store_contact() || !has_room({})) {
        busy(request, uid);
        return;
    }
    open_[request] = {uid, ctx_.now.steady + wait_s, std::move(then)};
    queued_.push_back(request);
    check();
}

// One compare-only transaction serves every request that waits: its answer names the state
// service's revision at a moment after they came, and once the watched copy has reached that
// revision it is as fresh as a read of each key would be.
void Requests::check() {
    if (checks_open_ >= constants::read_checks_open || queued_.empty() ||
        ctx_.now.steady < next_check_) {
        return;
    }
    ++checks_open_;
    next_check_ = ctx_.now.steady + constants::read_check_every_s;
    auto batch = std::exchange(queued_, {});
    Txn txn;
    txn.conditions = {ctx_.epoch_condition()};
    ctx_.txn(txn, [this, batch](const StoreReply& r) {
        --checks_open_;
        bool ok = r.status == StoreReply::Status::ok || r.status == StoreReply::Status::conflict;
        if (!ok) {
            for (auto request : batch) {
                if (auto it = open_.find(request); it != open_.end()) {
                    busy(request, it->second.uid);
                }
            }
            return;
        }
        ctx_.when_at(r.revision, [this, batch] {
            for (auto request : batch) {
                auto it = open_.find(request);
                if (it != open_.end() && it->second.fresh) {
                    auto then = std::exchange(it->second.fresh, nullptr);
                    then();
                }
            }
        });
        check();
    });
}

void Requests::look_up(std::uint64_t request, const std::string& uid,
                       std::function<void(const Finished*)> then) {
    if (const Finished* f = known_final(uid)) {
        then(f);
        return;
    }
    // Guards against users who ask for what nobody submitted, many times a second: their reads
    // must not crowd out leases, claims and submissions.
    if (!look_ups_.has(ctx_.now.steady, 1)) {
        busy(request, uid);
        return;
    }
    look_ups_.take(1);
    StoreCall call;
    call.kind = StoreCall::Kind::get;
    call.key = keys::finished(uid);
    ctx_.state(call, [this, request, uid, then = std::move(then)](const StoreReply& r) {
        if (!take(request)) {
            return;
        }
        if (r.status == StoreReply::Status::ok) {
            Finished f = decode_finished(r.value);
            remember(uid, f);
            then(&f);
        } else if (r.status == StoreReply::Status::not_found) {
            then(nullptr);
        } else {
            busy(request, uid);
        }
    });
}

// Answers with what is known of a job, from the copy and then among the finished; else goes on.
void Requests::answer_known(std::uint64_t request, const std::string& uid, bool counts,
                            std::function<void()> otherwise) {
    if (const Job* job = ctx_.jobs.find(uid)) {
        reply_job(request, 200, *job, counts);
        return;
    }
    look_up(request, uid,
            [this, request, uid, counts, otherwise = std::move(otherwise)](const Finished* f) {
                if (f != nullptr) {
                    reply_finished(request, uid, *f, counts);
                } else {
                    otherwise();
                }
            });
}

std::string Requests::refusal(const JobSpec& s) const {
    const Team* team = quota_.team(s.team);
    if (team == nullptr) {
        return "unknown team";
    }
    bool fits = false;
    for (const auto& t : fleet_.types()) {
        bool type_ok =
            !s.types || std::find(s.types->begin(), s.types->end(), t.name) != s.types->end();
        bool zone_ok =
            !s.zone || std::find(t.zones.begin(), t.zones.end(), *s.zone) != t.zones.end();
        fits = fits || (type_ok && zone_ok && s.each.fits_in(t.size));
    }
    if (!fits) {
        return "a task fits no allowed machine type";
    }
    Resources need = s.each * (s.kind == JobKind::array ? 1 : s.tasks);
    if ((team->limit.cpus > 0 && need.cpus > team->limit.cpus + Resources::slack) ||
        (team->limit.gpus > 0 && need.gpus > team->limit.gpus + Resources::slack)) {
        return "more than the team's limit";
    }
    if (s.kind == JobKind::gang && s.tasks > largest_gang(ctx_)) {
        return fmt::format("a gang of more than {} tasks can't be started whole",
                           largest_gang(ctx_));
    }
    return "";
}

void Requests::submit(std::uint64_t request, const JobSpec& spec) {
    if (!ctx_.member || fleet_.types().empty()) {
        busy(request, spec.uid);
        return;
    }
    if (const Finished* f = known_final(spec.uid)) {
        reply_finished(request, spec.uid, *f, false);
        return;
    }
    std::string why = refusal(spec);
    bool known = ctx_.jobs.find(spec.uid) != nullptr || on_way_.count(spec.uid) != 0;
    if (why.empty() && !known && spec.follows.empty()) {
        if (!membership_.has_store_contact()) {
            busy(request, spec.uid);
            return;
        }
        if (!has_room(flow_of(spec))) {
            turn_away(request, spec.uid);
            return;
        }
        open_[request] = {spec.uid, ctx_.now.steady + constants::submit_wait_s, nullptr};
        accept(request, spec, constants::accept_tries);
        return;
    }
    // Known, or to be refused: a job accepted earlier is never told 422.
    freshly(request, spec.uid, constants::submit_wait_s, [this, request, spec, why] {
        answer_known(request, spec.uid, false, [this, request, spec, why] {
            if (!why.empty()) {
                reply(request, 422, spec.uid, "", why);
            } else if (!spec.follows.empty()) {
                accept_dependent(request, spec);
            } else {
                accept(request, spec, constants::accept_tries);
            }
        });
    });
}

// A job that follows others, after a fresh look: each of them must have been accepted. Most are in
// memory; what is over so long that it isn't is read, within the budget of look-ups, and kept for
// the case that the user has to come again.
void Requests::accept_dependent(std::uint64_t request, const JobSpec& spec) {
    if (!ctx_.upgraded()) {
        // A controller of the version before may still have to come back and would start it.
        busy(request, spec.uid);
        return;
    }
    for (const auto& other : spec.follows) {
        bool known = ctx_.jobs.find(other) != nullptr || known_final(other) != nullptr ||
                     on_way_.count(other) != 0;
        if (known) {
            continue;
        }
        look_up(request, other, [this, request, spec, other](const Finished* f) {
            if (f == nullptr) {
                reply(request, 422, spec.uid, "",
                      "follows a job that was never accepted: " + other);
            } else {
                accept_dependent(request, spec);
            }
        });
        return;
    }
    // What is done stays done: only the others have to be waited for.
    JobSpec left = spec;
    std::erase_if(left.follows, [&](const std::string& other) {
        const Finished* f = known_final(other);
        return f != nullptr && !f->cancelled;
    });
    bool cancelled = std::any_of(left.follows.begin(), left.follows.end(), [&](const auto& other) {
        const Finished* f = known_final(other);
        return f != nullptr || dependencies_.verdict(other) == Dependencies::End::cancelled;
    });
    accept(request, left, constants::accept_tries, cancelled);
}

void Requests::invalid(std::uint64_t request, const std::optional<std::string>& uid,
                       const std::string& error) {
    if (!uid) {
        reply(request, 400, "", "", error);
        return;
    }
    freshly(request, *uid, constants::submit_wait_s, [this, request, uid = *uid, error] {
        answer_known(request, uid, false,
                     [this, request, uid, error] { reply(request, 400, uid, "", error); });
    });
}

void Requests::accept(std::uint64_t request, const JobSpec& spec, int tries, bool cancelled) {
    if (!ctx_.member || tries == 0) {
        busy(request, spec.uid);
        return;
    }
    for (auto& [flow, queue] : accepting_) {
        auto same = std::find_if(queue.begin(), queue.end(),
                                 [&](const auto& a) { return a.spec.uid == spec.uid; });
        if (same != queue.end()) {
            same->requests.push_back(request);
            return;
        }
    }
    Acceptance a;
    a.requests = {request};
    a.spec = spec;
    a.tries = tries;
    a.cancelled = cancelled;
    enqueue(std::move(a));
    write_accepted();
}

// Jobs that come while others are being written share a record: one write accepts them all. A job
// of several blocks has a record of its own, since claims on its blocks don't see each other, and
// so has one that waits for others, which is written again when they are done.
void Requests::write_accepted() {
    const auto& table = ctx_.jobs.table();
    bool gather = table && table->shared;  // writes are short
    while (!accepting_.empty() && accepts_open_ < constants::accepts_open &&
           (!gather || ctx_.now.steady >= next_accept_)) {
        next_accept_ = ctx_.now.steady + constants::accepts_every_s;
        std::vector<Acceptance> batch;
        Txn txn;
        txn.urgency = Urgency::first;
        txn.purpose = Txn::Purpose::accept;
        txn.conditions.push_back(ctx_.epoch_condition());
        Json jobs = Json::array();
        std::size_t room =
            ctx_.value_max() - std::min(ctx_.value_max(), constants::listing_frame_bytes);
        while (Acceptance* waiting = first()) {
            Acceptance& a = *waiting;
            const auto& uid = a.spec.uid;
            JobRecord record = new_record(a);
            if (record.waiting && a.parts == 0 && bytes_of(record) > ctx_.value_max()) {
                write_parts(take_first());
                continue;
            }
            bool own = record.waiting || a.spec.tasks > record.block_size;
            Json value = encode(record);
            std::size_t size = value.dump().size();
            if (size > ctx_.value_max()) {
                // Names of hundreds of odd letters: no record of it can be kept.
                Acceptance long_one = take_first();
                for (auto request : long_one.requests) {
                    reply(request, 422, long_one.spec.uid, "", "the job's description is too long");
                }
                continue;
            }
            std::size_t bytes = own ? 0 : size + 1;
            // Of a listing there is one write more.
            std::size_t writes =
                txn.writes.size() + (own || jobs.empty() ? 1 : 0) + (own && !jobs.empty() ? 1 : 0);
            if (!batch.empty() && (bytes > room || writes > ctx_.ops_max() ||
                                   txn.conditions.size() + 4 > ctx_.conditions_max())) {
                break;
            }
            room -= std::min(room, bytes);
            // Neither known in any form nor over: a write that comes late must not revive it.
            for (const auto& key : {keys::job(uid), keys::block(uid, 0), keys::finished(uid)}) {
                txn.conditions.push_back({key, 0});
            }
            if (a.parts > 0) {
                txn.conditions.push_back({keys::follows(uid, a.parts - 1), a.parts_revision});
            }
            if (own) {
                txn.writes.push_back({keys::job(uid), std::move(value)});
            } else {
                jobs.push_back(std::move(value));
            }
            batch.push_back(take_first());
        }
        if (batch.empty()) {
            return;
        }
        if (!jobs.empty()) {
            txn.writes.push_back(
                {keys::accepted(ctx_.me.id, ++accepted_records_), encode_listing(std::move(jobs))});
        }
        ++accepts_open_;
        ctx_.txn(std::move(txn), [this, batch = std::move(batch)](const StoreReply& r) {
            --accepts_open_;
            accepted(batch, r);
            write_accepted();
        });
    }
}

JobRecord Requests::new_record(const Acceptance& a) const {
    JobRecord record;
    record.spec = a.spec;
    record.submitted_wall = ctx_.now.wall;
    record.block_size = block_tasks(ctx_);
    record.waiting = !a.spec.follows.empty();
    record.follow_parts = a.parts;
    record.cancelled_wall = a.cancelled ? std::max(1.0, ctx_.now.wall) : 0;
    if (record.spec.types && bytes_of(record) > ctx_.value_max()) {
        // A list of many types is cut to those that can be rented.
        std::erase_if(*record.spec.types,
                      [&](const std::string& t) { return fleet_.type(t) == nullptr; });
    }
    return record;
}

// A long list of followed jobs is written before the record that accepts the job, a part in each
// write. Without that record the parts mean nothing, and are removed after a while.
void Requests::write_parts(const Acceptance& a) {
    std::size_t room =
        ctx_.value_max() - std::min(ctx_.value_max() / 2, constants::listing_frame_bytes);
    std::vector<std::vector<std::string>> parts(1);
    std::size_t bytes = 0;
    for (const auto& other : a.spec.follows) {
        if (bytes + other.size() + 3 > room) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += other.size() + 3;
        parts.back().push_back(other);
    }
    write_part(std::make_shared<Acceptance>(a), std::move(parts));
}

void Requests::write_part(const std::shared_ptr<Acceptance>& a,
                          std::vector<std::vector<std::string>> parts) {
    auto n = static_cast<std::size_t>(a->parts);
    if (n == parts.size()) {
        enqueue(std::move(*a));
        write_accepted();
        return;
    }
    auto key = keys::follows(a->spec.uid, a->parts);
    Txn txn;
    txn.urgency = Urgency::first;
    txn.conditions = {ctx_.epoch_condition(), {key, ctx_.jobs.revision_of(key)}};
    txn.writes = {{key, encode_follows(parts[n])}};
    ctx_.txn(std::move(txn), [this, a, parts = std::move(parts)](const StoreReply& r) {
        if (r.status != StoreReply::Status::ok) {
            for (auto request : a->requests) {
                if (take(request)) {
                    busy(request, a->spec.uid);
                }
            }
            return;
        }
        ++a->parts;
        a->parts_revision = r.revision;
        write_part(a, parts);
    });
}

void Requests::accepted(const std::vector<Acceptance>& batch, const StoreReply& r) {
    if (r.status == StoreReply::Status::ok) {
        accepted_.emplace_back(ctx_.now.steady, batch.size());
    }
    for (const auto& a : batch) {
        const auto& uid = a.spec.uid;
        if (r.status == StoreReply::Status::ok) {
            // Until the copy shows it, a second submission is looked up afresh.
            on_way_.insert(uid);
            ctx_.when_at(r.revision, [this, uid] { on_way_.erase(uid); });
            ctx_.info("job {}: accepted, {} of {} tasks, class {} team {} image {}", uid,
                      kind_name(a.spec.kind), a.spec.tasks, a.spec.job_class, a.spec.team,
                      a.spec.image);
        }
        for (auto request : a.requests) {
            if (!take(request)) {
                continue;
            }
            if (r.status == StoreReply::Status::ok) {
                answer_accepted(request, a);
            } else if (r.status != StoreReply::Status::conflict) {
                busy(request, uid);
            } else {
                ctx_.when_at(r.revision, [this, request, a] {
                    accept_again(request, a.spec, a.tries - 1, a.cancelled);
                });
            }
        }
    }
}

// Guards against an answer that comes late and is older than what others told meanwhile: what the
// copy knows of the job's end goes before "queued".
void Requests::answer_accepted(std::uint64_t request, const Acceptance& a) {
    const auto& uid = a.spec.uid;
    const Job* job = ctx_.jobs.find(uid);
    if (const Finished* f = known_final(uid)) {
        reply_finished(request, uid, *f, false);
    } else if (job != nullptr && job->cancelled) {
        reply_job(request, 201, *job, false);
    } else if (a.cancelled && !membership_.may_confirm_cancellations()) {
        busy(request, uid);
    } else {
        reply(request, 201, uid, a.cancelled ? "cancelled" : "queued");
    }
}

// After a conflict, which may be another job's of the same record, or the epoch's.
void Requests::accept_again(std::uint64_t request, const JobSpec& spec, int tries, bool cancelled) {
    if (!take(request)) {
        return;
    }
    answer_known(request, spec.uid, false, [this, request, spec, tries, cancelled] {
        accept(request, spec, tries, cancelled);
    });
}

void Requests::poll(std::uint64_t request, const std::string& uid) {
    if (const Finished* f = known_final(uid)) {
        reply_finished(request, uid, *f, true);
        return;
    }
    freshly(request, uid, constants::user_wait_s, [this, request, uid] {
        answer_known(request, uid, true,
                     [this, request, uid] { reply(request, 404, uid, "", "no such job"); });
    });
}

void Requests::cancel(std::uint64_t request, const std::string& uid) {
    if (const Finished* f = known_final(uid)) {
        reply_finished(request, uid, *f, false);
        return;
    }
    freshly(request, uid, constants::submit_wait_s,
            [this, request, uid] { do_cancel(request, uid, constants::cancel_tries); });
}

void Requests::do_cancel(std::uint64_t request, const std::string& uid, int tries) {
    const Job* job = ctx_.jobs.find(uid);
    if (job == nullptr || job->cancelled) {
        answer_known(request, uid, false,
                     [this, request, uid] { reply(request, 404, uid, "", "no such job"); });
        return;
    }
    if (!ctx_.member || tries == 0) {
        busy(request, uid);
        return;
    }
    // Claims are conditional on the record that is changed here, so that none can follow.
    double when = std::max(1.0, ctx_.now.wall);
    Txn txn;
    txn.urgency = Urgency::first;
    txn.purpose = Txn::Purpose::cancel;
    txn.conditions = ctx_.jobs.alive(*job);
    txn.conditions.push_back(ctx_.epoch_condition());
    JobRecord record = job->record();
    record.cancelled_wall = when;
    if (job->own_record) {
        // Guards against a job that is called done and then cancelled: its final state stands in
        // the first block and leaves the job's own record as it is.
        txn.conditions.push_back({keys::block(uid, 0), job->first_record().revision});
        txn.writes = {{keys::job(uid), encode(record)}};
    } else if (bytes_of(job->block(0)) > ctx_.value_max()) {
        // Its block can't be put again: a record of its own goes before the one that it shares.
        txn.conditions.push_back({keys::block(uid, 0), job->block(0).revision});
        txn.writes = {{keys::job(uid), encode(record)}};
    } else {
        Block b = job->block(0);
        b.cancelled_wall = when;
        txn.conditions.push_back({keys::block(uid, 0), b.revision});
        txn.writes = {{keys::block(uid, 0), encode(b)}};
    }
    ctx_.txn(txn, [this, request, uid, tries, when](const StoreReply& r) {
        if (r.status == StoreReply::Status::ok) {
            ctx_.info("job {}: cancelled", uid);
            // Guards against the state service's end just now: the watch may never tell of it.
            membership_.note_cancelled(uid, when);
        }
        if (!take(request)) {
            return;
        }
        if (r.status == StoreReply::Status::ok && membership_.may_confirm_cancellations()) {
            reply(request, 200, uid, "cancelled");
        } else if (r.status == StoreReply::Status::conflict) {
            ctx_.when_at(r.revision, [this, request, uid, tries] {
                if (take(request)) {
                    do_cancel(request, uid, tries - 1);
                }
            });
        } else {
            busy(request, uid);
        }
    });
}

void Requests::tick() {
    check();
    write_accepted();
    if (ctx_.now.steady >= next_prune_) {
        next_prune_ = ctx_.now.steady + constants::count_prune_s;
        std::erase_if(counts_, [&](const auto& c) { return ctx_.now.steady >= c.second.until; });
        std::erase_if(accepted_, [&](const auto& a) {
            return ctx_.now.steady - a.first >= constants::accepted_window_s;
        });
    }
    std::vector<std::uint64_t> late;
    for (const auto& [request, w] : open_) {
        if (ctx_.now.steady >= w.until) {
            late.push_back(request);
        }
    }
    for (auto request : late) {
        busy(request, open_[request].uid);
    }
}

}  // namespace cranemoor::core

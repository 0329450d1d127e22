#include "core/requests.hpp"

#include <algorithm>

namespace cranemoor::core {

void Requests::reply(std::uint64_t request, int status, const std::string& uid,
                     const std::string& state, const std::string& error) {
    open_.erase(request);
    UserReply r;
    r.request = request;
    r.status = status;
    r.uid = uid;
    r.state = state;
    r.error = error;
    ctx_.out.emplace_back(std::move(r));
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
        bool known = m != nullptr && m->mine && m->adopted;
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
    open_.erase(request);
    UserReply r;
    r.request = request;
    r.status = status;
    r.uid = job.spec.uid;
    int running = running_tasks(job);
    if (job.cancelled) {
        r.state = "cancelled";
    } else {
        // Also when every task is done: until the final record is written, a cancellation may
        // still come before it, and "done" would have to be taken back.
        r.state = running > 0 || job.done() > 0 ? "running" : "queued";
    }
    if (counts) {
        r.counts = std::make_pair(job.done(), running);
    }
    ctx_.out.emplace_back(std::move(r));
}

void Requests::reply_finished(std::uint64_t request, const std::string& uid, const Finished& f,
                              bool counts) {
    open_.erase(request);
    UserReply r;
    r.request = request;
    r.status = 200;
    r.uid = uid;
    r.state = f.cancelled ? "cancelled" : "done";
    if (counts) {
        r.counts = std::make_pair(f.cancelled ? 0 : f.tasks, 0);
    }
    ctx_.out.emplace_back(std::move(r));
}

void Requests::busy(std::uint64_t request, const std::string& uid) {
    reply(request, 503, uid, "", "not able to decide now");
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
    if (!ctx_.jobs.loaded() || !members_.in_contact() ||
        open_.size() >= constants::user_queue_max) {
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
    if (checking_ || queued_.empty() || ctx_.now.steady < next_check_) {
        return;
    }
    checking_ = true;
    next_check_ = ctx_.now.steady + constants::read_check_every_s;
    auto batch = std::exchange(queued_, {});
    Txn txn;
    txn.conditions = {ctx_.epoch_condition()};
    ctx_.txn(txn, [this, batch](const StateReply& r) {
        checking_ = false;
        bool ok = r.status == StateReply::Status::ok || r.status == StateReply::Status::conflict;
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
    StateCall call;
    call.kind = StateCall::Kind::get;
    call.key = keys::finished(uid);
    ctx_.state(call, [this, request, uid, then = std::move(then)](const StateReply& r) {
        if (!take(request)) {
            return;
        }
        if (r.status == StateReply::Status::ok) {
            Finished f = decode_finished(r.value);
            remember(uid, f);
            then(&f);
        } else if (r.status == StateReply::Status::not_found) {
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
    if (why.empty() && ctx_.jobs.find(spec.uid) == nullptr && on_way_.count(spec.uid) == 0) {
        open_[request] = {spec.uid, ctx_.now.steady + constants::submit_wait_s, nullptr};
        if (!members_.in_contact() || open_.size() > constants::user_queue_max) {
            busy(request, spec.uid);
            return;
        }
        accept(request, spec, constants::accept_tries);
        return;
    }
    // Known, or to be refused: a job accepted earlier is never told 422.
    freshly(request, spec.uid, constants::submit_wait_s, [this, request, spec, why] {
        answer_known(request, spec.uid, false, [this, request, spec, why] {
            if (!why.empty()) {
                reply(request, 422, spec.uid, "", why);
            } else {
                accept(request, spec, constants::accept_tries);
            }
        });
    });
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

int Requests::block_size() const {
    int fits =
        static_cast<int>((ctx_.settings.state_value_kb * 1024 - constants::block_overhead_bytes) /
                         constants::placement_bytes);
    return std::max(2, std::min(constants::block_tasks_max, fits) / 2 * 2);
}

void Requests::accept(std::uint64_t request, const JobSpec& spec, int tries) {
    if (!ctx_.member || tries == 0) {
        busy(request, spec.uid);
        return;
    }
    for (auto& a : accepting_) {
        if (a.spec.uid == spec.uid) {
            a.requests.push_back(request);
            return;
        }
    }
    Acceptance a;
    a.requests = {request};
    a.spec = spec;
    a.tries = tries;
    accepting_.push_back(std::move(a));
    write_accepted();
}

// Jobs that come while others are being written share a record: one write accepts them all. A job
// of several blocks has a record of its own, since claims on its blocks don't see each other.
void Requests::write_accepted() {
    while (!accepting_.empty() && accepts_open_ < constants::accepts_open) {
        std::vector<Acceptance> batch;
        Txn txn;
        txn.conditions.push_back(ctx_.epoch_condition());
        Json jobs = Json::array();
        std::size_t conditions_max = static_cast<std::size_t>(ctx_.settings.state_txn_ops) * 4;
        double room = ctx_.settings.state_value_kb * 1024 - constants::block_overhead_bytes;
        bool alone = false;  // the first is a job of several blocks
        while (!accepting_.empty() && !alone) {
            Acceptance& a = accepting_.front();
            std::erase_if(a.requests, [&](std::uint64_t r) { return !take(r); });
            if (a.requests.empty()) {
                accepting_.pop_front();
                continue;
            }
            const auto& uid = a.spec.uid;
            bool large = a.spec.tasks > block_size();
            Json value = encode_job(a.spec, ctx_.now.wall, block_size(), 0);
            room -= static_cast<double>(value.dump().size()) + 1;
            if (!batch.empty() &&
                (large || room < 0 || txn.conditions.size() + 3 > conditions_max)) {
                break;
            }
            alone = large;
            // Neither known in any form nor over: a write that comes late must not revive it.
            for (const auto& key : {keys::job(uid), keys::block(uid, 0), keys::finished(uid)}) {
                txn.conditions.push_back({key, 0});
            }
            jobs.push_back(std::move(value));
            batch.push_back(std::move(a));
            accepting_.pop_front();
        }
        if (batch.empty()) {
            return;
        }
        if (alone) {
            txn.writes = {{keys::job(batch.front().spec.uid), jobs.front()}};
        } else {
            txn.writes = {
                {keys::accepted(ctx_.me.id, ++accepted_records_), encode_listing(std::move(jobs))}};
        }
        ++accepts_open_;
        ctx_.txn(std::move(txn), [this, batch = std::move(batch)](const StateReply& r) {
            --accepts_open_;
            accepted(batch, r);
            write_accepted();
        });
    }
}

void Requests::accepted(const std::vector<Acceptance>& batch, const StateReply& r) {
    for (const auto& a : batch) {
        const auto& uid = a.spec.uid;
        if (r.status == StateReply::Status::ok) {
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
            if (r.status == StateReply::Status::ok) {
                reply(request, 201, uid, "queued");
            } else if (r.status != StateReply::Status::conflict) {
                busy(request, uid);
            } else {
                ctx_.when_at(r.revision, [this, request, spec = a.spec, tries = a.tries] {
                    accept_again(request, spec, tries - 1);
                });
            }
        }
    }
}

// After a conflict, which may be another job's of the same record, or the epoch's.
void Requests::accept_again(std::uint64_t request, const JobSpec& spec, int tries) {
    if (!take(request)) {
        return;
    }
    answer_known(request, spec.uid, false,
                 [this, request, spec, tries] { accept(request, spec, tries); });
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
    txn.conditions = ctx_.jobs.alive(*job);
    txn.conditions.push_back(ctx_.epoch_condition());
    if (job->own_record) {
        txn.writes = {
            {keys::job(uid), encode_job(job->spec, job->submitted_wall, job->block_size, when)}};
    } else {
        Block b = job->block(0);
        b.cancelled_wall = when;
        txn.conditions.push_back({keys::block(uid, 0), b.revision});
        txn.writes = {{keys::block(uid, 0), encode(b)}};
    }
    ctx_.txn(txn, [this, request, uid, tries](const StateReply& r) {
        if (!take(request)) {
            return;
        }
        if (r.status == StateReply::Status::ok) {
            ctx_.info("job {}: cancelled", uid);
            reply(request, 200, uid, "cancelled");
        } else if (r.status == StateReply::Status::conflict) {
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
    if (ctx_.now.steady >= next_prune_) {
        next_prune_ = ctx_.now.steady + constants::count_prune_s;
        std::erase_if(counts_, [&](const auto& c) { return ctx_.now.steady >= c.second.until; });
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

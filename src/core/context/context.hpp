// What the core's parts share: settings, time, the durable records' copy and the way out.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/actions.hpp"
#include "core/model/constants.hpp"
#include "core/model/types.hpp"
#include "core/overload/overload_detector.hpp"
#include "core/store/job_store.hpp"

namespace cranemoor::core {

class Context {
  public:
    using StateDone = std::function<void(const StateReply&)>;
    using CloudDone = std::function<void(const CloudReply&)>;
    using OrderDone = std::function<void(const OrderReply&)>;
    using PeerDone = std::function<void(bool answered, const std::optional<WorkerReply>&)>;

    Context(Settings s, Tunables t, std::string boot_word)
        : settings(std::move(s)), tunables(t), boot(std::move(boot_word)) {}

    void state(StateCall call, StateDone done) {
        call.id = ++next_id_;
        overload.began(call.id, call.txn, now.steady);
        state_done_[call.id] = std::move(done);
        out.emplace_back(std::move(call));
    }
    void txn(Txn txn, StateDone done) {
        StateCall call;
        call.kind = StateCall::Kind::txn;
        call.txn = std::move(txn);
        std::size_t most = 0;
        std::string key;
        bool leased = false;
        for (const auto& w : call.txn.writes) {
            leased = leased || w.lease != 0;
            std::size_t size = w.value ? w.value->dump().size() : 0;
            if (size >= most) {
                most = size;
                key = w.key;
            }
        }
        state(std::move(call),
              [this, most, key, leased, done = std::move(done)](const StateReply& r) {
                  if (r.status == StateReply::Status::bad && !leased) {
                      // Not to be repeated as it is. What was larger than the announced limits
                      // allow says that they are in force.
                      error("state service refuses a change of {} and others, {} bytes", key, most);
                      limits_dropped = limits_dropped || most > value_max();
                  }
                  done(r);
              });
    }
    void cloud(CloudCall call, CloudDone done) {
        call.id = ++next_id_;
        cloud_done_[call.id] = std::move(done);
        out.emplace_back(std::move(call));
    }
    void order(OrderCall call, OrderDone done) {
        call.id = ++next_id_;
        order_done_[call.id] = std::move(done);
        out.emplace_back(std::move(call));
    }
    void peer(PeerCall call, PeerDone done) {
        call.id = ++next_id_;
        peer_done_[call.id] = std::move(done);
        out.emplace_back(std::move(call));
    }
    template <typename... A>
    void info(fmt::format_string<A...> f, A&&... a) {
        out.emplace_back(LogLine{LogLine::Level::info, fmt::format(f, std::forward<A>(a)...)});
    }
    template <typename... A>
    void debug(fmt::format_string<A...> f, A&&... a) {
        out.emplace_back(LogLine{LogLine::Level::debug, fmt::format(f, std::forward<A>(a)...)});
    }
    template <typename... A>
    void error(fmt::format_string<A...> f, A&&... a) {
        out.emplace_back(LogLine{LogLine::Level::error, fmt::format(f, std::forward<A>(a)...)});
    }

    void state_reply(std::uint64_t id, const StateReply& r) {
        overload.ended(id, r.status, now.steady);
        finish(state_done_, id, r);
    }
    void cloud_reply(std::uint64_t id, const CloudReply& r) { finish(cloud_done_, id, r); }
    void order_reply(std::uint64_t id, const OrderReply& r) { finish(order_done_, id, r); }
    void peer_reply(std::uint64_t id, bool answered, const std::optional<WorkerReply>& r) {
        finish(peer_done_, id, answered, r);
    }

    // Runs `then` once the copy of the records has reached a revision.
    void when_at(Revision revision, std::function<void()> then) {
        if (whole && jobs.revision() >= revision) {
            then();
        } else {
            waiting_.emplace(revision, std::move(then));
        }
    }
    // Runs `over` when a transaction is settled: once the copy shows what it or its rival wrote,
    // or at once where nothing is known to have been written.
    void when_settled(const StateReply& r, std::function<void()> over) {
        if (r.status == StateReply::Status::ok || r.status == StateReply::Status::conflict) {
            when_at(r.revision, std::move(over));
        } else {
            over();
        }
    }
    void run_waiting() {
        while (!waiting_.empty() && waiting_.begin()->first <= jobs.revision()) {
            auto then = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            then();
        }
    }

    // Bytes that a value may take, under the smaller limit.
    std::size_t value_max() const { return bytes(settings.state_value_kb); }
    // The same for records of the version before, as long as the old limit may hold.
    std::size_t value_max_today() const {
        return limits_dropped ? value_max() : bytes(settings.state_value_kb_today);
    }
    std::size_t ops_max() const { return static_cast<std::size_t>(settings.state_txn_ops); }
    std::size_t conditions_max() const { return ops_max() * 4; }
    // Whether every controller has run a version that understands so much. From then on records are
    // used that the versions before would misread: one that dies before its turn and comes back old
    // holds that up, and is named here by its settings, not by who happens to be a member.
    bool upgraded(int level = 1) const {
        return jobs.level(settings.name) >= level &&
               std::all_of(settings.peers.begin(), settings.peers.end(),
                           [this, level](const Peer& p) { return jobs.level(p.name) >= level; });
    }

    Condition epoch_condition() const { return {keys::epoch, jobs.revision_of(keys::epoch)}; }

    const Settings settings;
    const Tunables tunables;
    const std::string boot;
    Now now;
    JobStore jobs;
    OverloadDetector overload;
    std::vector<Action> out;

    // Whether the copy is what was true at some moment. It is not while everything is read anew,
    // page by page: a job whose record is still to come looks as if it were none, and its blocks as
    // if they had outlived it. Kept by Membership.
    bool whole = false;
    // This process's membership; id 0 while it is in no epoch. Kept by Membership.
    Member me;
    bool member = false;
    // The fencing token: the number of the newest epoch read. Workers turn away any controller
    // whose token is older than one they have seen. Kept by Membership.
    Token fencing_token = 0;
    // A value that only the old limits allow was refused.
    bool limits_dropped = false;
    // Jobs one of whose block records has become too large to be put: see OversizedBlockSplit.
    std::set<std::string> to_part;
    // Records of marks that this process made, as part of their keys.
    std::uint64_t marks_made = 0;
    // Block keys with a write of ours under way: no second one is made until it is known.
    std::set<std::string> busy;

  private:
    static std::size_t bytes(double kb) {
        return static_cast<std::size_t>(kb * 1024 * constants::value_share);
    }
    template <typename Map, typename... A>
    static void finish(Map& map, std::uint64_t id, const A&... a) {
        auto it = map.find(id);
        if (it == map.end()) {
            return;
        }
        auto done = std::move(it->second);
        map.erase(it);
        done(a...);
    }

    std::uint64_t next_id_ = 0;
    std::map<std::uint64_t, StateDone> state_done_;
    std::map<std::uint64_t, CloudDone> cloud_done_;
    std::map<std::uint64_t, OrderDone> order_done_;
    std::map<std::uint64_t, PeerDone> peer_done_;
    std::multimap<Revision, std::function<void()>> waiting_;
};

}  // namespace cranemoor::core

// Scheduler: the paper's Algorithm 3 with one locality level. The machines that reported free room
// since the last round are served together: the jobs are walked in fair team order, and a job
// without its image on a machine lets it pass for at most W seconds. Gangs hold room and start
// whole.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"

namespace cranemoor::core {

class Scheduler {
  public:
    Scheduler(Context& ctx, Membership& membership, Fleet& fleet, Quota& quota,
              const PendingQueue& flows, BatchedClaims& sheets)
        : ctx_(ctx),
          membership_(membership),
          fleet_(fleet),
          quota_(quota),
          pending_queue_(flows),
          sheets_(sheets) {}

    void epoch_changed();
    // touched: jobs that changed
    void records_changed(const std::set<std::string>& touched);
    void tick();

    // Whether claims wait for the write limit.
    bool rush() const { return blocks_open_ >= constants::claim_blocks; }
    // Keeps a machine's room for one job for a while, unless a more urgent one comes.
    void hold(const std::string& machine, const JobSpec& spec, double seconds);
    bool held_for_other(const std::string& machine, const std::string& uid) const;
    // Whether a task of the job may ever be on that machine, and in that zone just now.
    bool allowed(const Job& job, const Machine& m) const;
    // Best-effort work that may use cheap machines.
    static bool idle_work(const JobSpec& spec);
    static Resources leftover(const MachineType& type, Resources room);
    // How many tasks the spread rule lets the job add in a zone, in one block.
    static int spread_room(const Job& job, int block, const std::string& zone);

  private:
    struct Wait {
        int level = 0;
        double wait = 0;
        bool skipped = false;
    };
    struct Hold {
        std::string uid;
        double until = 0;
        Priority priority = Priority::normal;
    };
    // A claim whose outcome is open: counted until the records tell.
    struct Claim {
        std::string key;
        Revision revision = 0;
        Revision epoch = 0;
        std::string team;
        Resources amount;
    };

    // Claims of one round, written together: one by one they would all change the
    // same quota record and fail each other.
    struct Batch {
        Txn txn;
        std::vector<std::string> blocks;
        std::vector<std::pair<std::string, Resources>> places;  // machine, amount
        std::vector<Claim> claims;
        std::vector<Entry> entries;  // for a sheet
        std::size_t bytes = 0;       // of them
    };

    // A machine with room in this round.
    struct Offer {
        Machine* machine = nullptr;
        Resources room;
        bool mine = false;
        bool empty = false;
        std::string holder;  // job that its room is held for
        Priority held = Priority::normal;
        std::vector<int> images;  // claimed in this round
    };
    struct Choice {
        Offer* offer = nullptr;
        bool local = false;
        double rank = 0;
    };
    // Where a gang could start: its tasks, and how many of them find their image there.
    struct GangPlaces {
        std::vector<std::pair<int, Offer*>> places;
        int local = -1;
    };
    // A question whose answer holds for every job of the same demands.
    struct Ask {
        enum class What { used, cheap, local };
        What what = What::used;
        int demands = 0;
        int image = 0;
        int tasks = 0;
        friend bool operator<(const Ask& a, const Ask& b) {
            return std::tie(a.what, a.demands, a.image, a.tasks) <
                   std::tie(b.what, b.demands, b.image, b.tasks);
        }
    };
    struct Round {
        std::vector<Offer> offers;
        bool others = false;                      // offers of other members' machines are in it
        std::set<int> hopeless;                   // demands that fit no offer
        std::set<std::pair<int, int>> too_large;  // tasks of a gang, and its demands
        std::map<Ask, bool> memo;
        std::set<std::string> held_teams;  // whose first waiting gang was seen
    };

    void round();
    void gather(Round& round, bool mine) const;
    void walk(Round& round, const PendingQueue::Waiting& waiting);
    int claim_tasks(const Job& job, const std::vector<Choice>& choices);
    bool claim_gang(Round& round, const PendingQueue::Waiting& waiting);
    std::map<int, Block> next_attempt(const Job& job) const;
    GangPlaces gang_places(Round& round, const Job& job) const;
    static GangPlaces fill(const std::vector<Choice>& choices, const JobSpec& spec);
    bool enter_places(const Job& job, const GangPlaces& best, std::map<int, Block>& blocks) const;
    Resources room_for(const Offer& offer, const JobSpec& spec) const;
    bool local_chance(Round& round, const PendingQueue::Waiting& waiting) const;
    bool slow_fetch(const Offer& offer, int image) const;
    double longest_pass(const Machine& m, const JobSpec& spec, bool fetch_waits) const;
    void send_batch();
    void send_sheet();
    // counted: takes the batch out of those on their way
    void settle(const Batch& batch, const std::set<std::string>& machines, const StateReply& reply,
                std::function<void()> counted);
    std::set<std::string> expect(const Batch& batch);
    void note_claim(Batch& batch, const Job& job, Claim claim,
                    const std::vector<std::string>& machines, int tasks);
    bool in_doubt(const std::string& key) const;
    bool undecided(const Claim& claim) const;
    void add_to_sheet(const Job& job, int block, const Block& next,
                      const std::vector<std::string>& machines);
    double rank(const Offer& offer, const Job& job) const;
    bool cheap_coming(Round& round, const Offer& offer, const PendingQueue::Waiting& waiting) const;
    bool better_elsewhere(Round& round, const Offer& offer,
                          const PendingQueue::Waiting& waiting) const;
    void skip(Wait& wait, const std::string& uid);
    void add_claim(const Job& job, const std::map<int, Block>& blocks,
                   const std::vector<std::string>& machines, int tasks);
    void hold_for(Round& round, const PendingQueue::Waiting& waiting);

    Context& ctx_;
    Membership& membership_;
    Fleet& fleet_;
    Quota& quota_;
    const PendingQueue& pending_queue_;
    BatchedClaims& sheets_;
    std::unordered_map<std::string, Wait> waits_;  // by job
    std::vector<std::string> skipped_;             // jobs that let machines pass in the last round
    std::map<std::string, Hold> holds_;            // by machine
    std::map<std::string, Resources> reserved_;    // by machine, claims under way
    std::vector<Claim> unknown_;
    Batch batch_;
    Batch sheet_;
    std::size_t sheets_open_ = 0;               // sheets with claims on their way
    std::size_t blocks_open_ = 0;               // claims on their way to the records
    std::map<std::string, double> held_since_;  // gangs that machines are held for
    double last_round_ = 0;
};

}  // namespace cranemoor::core

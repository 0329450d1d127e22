// Scheduler: the paper's Algorithm 3 with one locality level. On each report with free room it
// walks the jobs in fair team order; a job without its image on the machine lets it pass for at
// most W seconds. Gangs hold room and start whole.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/context.hpp"
#include "core/fleet.hpp"
#include "core/membership.hpp"
#include "core/quota.hpp"

namespace cranemoor::core {

class Scheduler {
  public:
    Scheduler(Context& ctx, Membership& members, Fleet& fleet, Quota& quota)
        : ctx_(ctx), members_(members), fleet_(fleet), quota_(quota) {}

    // One scheduling opportunity: a machine of ours with free room and an open answer.
    void opportunity(Machine& m);
    void epoch_changed();
    void records_changed();
    void tick();

    // Jobs with tasks to place, in the order in which they are walked.
    std::vector<const Job*> order() const;
    // Whether a task of the job may ever be on that machine, and in that zone just now.
    bool allowed(const Job& job, const Machine& m) const;
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
    struct Victims {
        Machine* machine = nullptr;
        std::vector<TaskId> tasks;
        double lost_s = 0;
        bool local = false;
    };
    // A claim whose outcome is open: counted until the records tell.
    struct Claim {
        std::string key;
        Revision revision = 0;
        Revision epoch = 0;
        std::string team;
        Resources amount;
    };

    // The claims of one opportunity, written together: one by one they would all change the
    // same quota record and fail each other.
    struct Batch {
        Txn txn;
        std::vector<std::string> blocks;
        std::vector<std::pair<std::string, Resources>> places;  // machine, amount
        std::vector<Claim> claims;
    };

    bool walk_one(Machine& m, const Job& job, Resources& room);
    int claim_tasks(Machine& m, const Job& job, const Resources& room);
    bool local_chance(const Job& job) const;
    bool slow_fetch(const Machine& m, const JobSpec& spec) const;
    double longest_pass(const Machine& m, const JobSpec& spec, bool fetch_waits) const;
    void send_batch();
    bool claim_gang(Machine& m, const Job& job);
    double rank(const Machine& m, const Job& job) const;
    bool cheap_coming(const Machine& m, const Job& job) const;
    bool better_elsewhere(const Machine& m, const Job& job) const;
    void add_claim(const Job& job, const std::map<int, Block>& blocks,
                   const std::vector<std::string>& machines, int tasks);
    // Stops lower or borrowed work where a job may demand that and nothing else helps it.
    void preempt();
    bool may_preempt(const Job& job, const Job& victim, double waited) const;
    std::optional<Victims> victims_on(Machine& m, const Job& job, double waited) const;
    bool below_guarantee(const std::string& team, const Resources& more) const;
    void hold_for(const Job& job);
    const Machine* candidate_for_hold(const Job& job) const;

    Context& ctx_;
    Membership& members_;
    Fleet& fleet_;
    Quota& quota_;
    std::map<std::string, Wait> waits_;
    std::map<std::string, Hold> holds_;          // by machine
    std::map<std::string, Resources> reserved_;  // by machine, claims under way
    std::vector<Claim> unknown_;
    Batch batch_;
    std::set<std::string> batch_images_;          // claimed on this machine in this opportunity
    std::map<std::string, double> open_since_;    // jobs with tasks to place
    std::map<std::string, double> preempted_at_;  // by job that room was made for
    double last_heartbeat_ = 0;
    double next_preempt_ = 0;
};

}  // namespace cranemoor::core

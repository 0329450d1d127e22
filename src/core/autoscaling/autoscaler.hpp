// Autoscaler: the leading member's dealings with the cloud. Rents for demand and headroom,
// returns what is marked, and keeps the list of machines up to date on every member.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/scheduler.hpp"

namespace cranemoor::core {

class Autoscaler {
  public:
    Autoscaler(Context& ctx, Membership& membership, Fleet& fleet, Scheduler& scheduler,
               Quota& quota, const PendingQueue& flows)
        : ctx_(ctx),
          membership_(membership),
          fleet_(fleet),
          scheduler_(scheduler),
          quota_(quota),
          pending_queue_(flows) {}

    void tick();
    void epoch_changed();
    // What the leading member says of its rentals.
    void hear(const std::vector<RentalNotice>& notices);

  private:
    using Kind = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    struct Rental {
        std::string request;
        Kind kind;
        int count = 0;
        double next_try = 0;
        bool open = false;
    };
    struct Bin {
        std::string zone;
        std::string type;
        bool spot = false;
        bool empty = true;
        Resources room;
    };
    // One look at the open jobs: room that is there or coming, and what is to be rented.
    struct Plan {
        std::vector<Bin> free;
        std::map<std::string, int> load;  // machines by zone
        std::map<Kind, int> wanted;
        std::map<std::string, Resources> planned;  // by team
        // Room only shrinks while jobs are gone through: for each demand and zone, where to go on.
        std::map<std::tuple<int, bool, std::string>, std::size_t> cursors;
        // Demands for which nothing was found and nothing more can be rented.
        std::set<std::pair<int, bool>> hopeless;
    };
    // What one job asks of it.
    struct Need {
        const JobSpec* spec = nullptr;
        const MachineType* type = nullptr;
        bool idle_work = false;
        bool cheap = false;                  // a cheap machine can be had for it
        std::optional<std::string> only;     // zone
        std::map<std::string, int> in_zone;  // its tasks
        int demands = 0;                     // equal for jobs that the same bins take
        std::pair<int, bool> kind() const { return {demands, cheap}; }
    };

    void look_at_types();
    void list(const std::string& after);
    void release();
    void release_unwritten();
    void write_gone(const std::set<std::string>& names);
    void add_gone_apart(const Marks& old, const std::set<std::string>& names, Txn& txn);
    bool not_said(const std::string& key, const std::string& machine) const;
    void retire_marks();
    void rent();
    void plan_job(Plan& plan, const PendingJob& waiting);
    Need need_of(Plan& plan, const PendingJob& waiting, const MachineType& type) const;
    bool takes(const Bin& bin, const Need& need) const;
    std::size_t next(const Plan& plan, const Need& need, const std::string& zone,
                     std::size_t from) const;
    std::optional<std::string> roomiest_zone(Plan& plan, const Need& need) const;
    std::size_t find_room(Plan& plan, Need& need, std::set<std::string>& barred) const;
    bool want(Plan& plan, const Need& need, const std::set<std::string>& barred) const;
    const MachineType* base_type() const;
    void plan_headroom(Plan& plan) const;
    void plan_cheap_headroom(Plan& plan) const;
    void order(const Plan& plan);
    void tell(const std::vector<RentalNotice>& notices) const;
    void take_over();
    double list_late_s() const;
    void forget_words();
    void rented(const Kind& kind, const std::vector<std::string>& machines, double age_s);
    void send(Rental& rental);
    void return_idle();
    // Whole machines to keep empty: as many as are asked for during a boot, from what came
    // lately, and no more than the operators allow.
    int headroom() const;
    std::vector<Bin> bins() const;
    // The zone to rent in: allowed, with capacity as far as known, and fewest machines.
    std::optional<std::string> pick_zone(const std::string& type, bool spot,
                                         const std::optional<std::string>& only,
                                         std::map<std::string, int>& load,
                                         const std::set<std::string>& barred = {}) const;
    const MachineType* cheapest(const JobSpec& spec) const;

    Context& ctx_;
    Membership& membership_;
    Fleet& fleet_;
    Scheduler& scheduler_;
    Quota& quota_;
    const PendingQueue& pending_queue_;
    bool types_open_ = false;
    double next_types_ = 0;
    bool list_open_ = false;
    bool list_read_ = false;  // to its end, at least once
    double next_list_ = 0;
    double next_plan_ = 0;
    double next_word_ = 0;
    bool releasing_ = false;
    bool releasing_unwritten_ = false;
    double next_unwritten_ = 0;
    std::set<std::string> released_unwritten_;  // since contact was lost
    double next_release_ = 0;
    bool retiring_ = false;
    double next_retire_ = 0;
    std::uint64_t rentals_made_ = 0;
    std::vector<Rental> rentals_;
    // What the leading member said, by request, and when: until the list shows what they brought.
    std::map<std::string, std::pair<RentalNotice, double>> heard_;
    std::map<Kind, double> no_capacity_until_;
    std::map<std::string, double> gone_since_;  // by key of marks
};

}  // namespace cranemoor::core

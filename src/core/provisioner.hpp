// Provisioner: the leading member's dealings with the cloud. Rents for demand and headroom,
// returns what is marked, and keeps the list of machines up to date on every member.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/context.hpp"
#include "core/fleet.hpp"
#include "core/membership.hpp"
#include "core/quota.hpp"
#include "core/scheduler.hpp"

namespace cranemoor::core {

class Provisioner {
  public:
    Provisioner(Context& ctx, Membership& members, Fleet& fleet, Scheduler& scheduler, Quota& quota)
        : ctx_(ctx), members_(members), fleet_(fleet), scheduler_(scheduler), quota_(quota) {}

    void tick();
    void epoch_changed();

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

    void look_at_types();
    void list(const std::string& after);
    void release();
    void write_gone(const std::set<std::string>& names);
    void add_gone_apart(const Marks& old, const std::set<std::string>& names, Txn& txn);
    bool not_said(const std::string& key, const std::string& machine) const;
    void retire_marks();
    void rent();
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
    Membership& members_;
    Fleet& fleet_;
    Scheduler& scheduler_;
    Quota& quota_;
    bool types_open_ = false;
    double next_types_ = 0;
    bool list_open_ = false;
    bool list_read_ = false;  // to its end, at least once
    double next_list_ = 0;
    double next_plan_ = 0;
    double next_word_ = 0;
    bool releasing_ = false;
    double next_release_ = 0;
    bool retiring_ = false;
    double next_retire_ = 0;
    std::uint64_t rentals_made_ = 0;
    std::vector<Rental> rentals_;
    std::map<Kind, double> no_capacity_until_;
    std::map<std::string, double> gone_since_;  // by key of marks
};

}  // namespace cranemoor::core

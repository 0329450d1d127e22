// AgentRegistry: the worker machines (agents) that this controller knows, by name, as their
// heartbeats, the job records and the cloud provider's listing show them, with the machine types,
// the free room, the estimated image caches and the times at which tasks were placed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/agents/machine.hpp"
#include "core/context/context.hpp"
#include "core/membership/membership.hpp"

namespace cranemoor::core {

/// The known machines and what can be said of each from this controller's own state. Sends
/// nothing: commands, replies and probes are the work of the modules that use it.
class AgentRegistry {
  public:
    /// `ctx` and `membership` must outlive the registry.
    AgentRegistry(Context& ctx, const Membership& membership)
        : ctx_(ctx), membership_(membership) {}

    /// All known machines by name.
    const std::map<std::string, Machine>& machines() const { return machines_; }
    /// The same machines in the same order, as a vector: a walk over a tree costs more than most
    /// of the looks done on the way.
    const std::vector<Machine*>& all() const { return all_; }
    /// The machine of that name, or nullptr.
    Machine* find(const std::string& name);
    /// The machine of that name, or nullptr.
    const Machine* find(const std::string& name) const;

    /// Result of find_or_add(): the machine, and whether it was unknown so far.
    struct FoundMachine {
        Machine& machine;
        bool added;
    };
    /// The machine of that name, entered if it is unknown.
    FoundMachine find_or_add(const std::string& name);
    /// Drops the machine; `machine` is invalid afterwards.
    void erase(const Machine& machine);

    /// Whether that machine is ours and has accepted our fencing token.
    bool adopted(const std::string& name) const;
    /// What the job records say of the machine: placements, what they take, its release mark.
    const MachinePlacements& site(const Machine& machine) const;

    /// The machine type of that name, or nullptr.
    const MachineType* type(const std::string& name) const;
    /// The known machine types.
    const std::vector<MachineType>& types() const { return types_; }
    /// Replaces the known machine types; free room is counted anew.
    void set_machine_types(const std::vector<MachineType>& types);
    /// The longest boot time of any machine type, in seconds.
    double longest_boot_s() const;
    /// Whether no machine type takes two tasks of that size.
    bool needs_whole_machine(const JobSpec& spec) const;

    /// Seconds without a heartbeat after which a machine is probed and then fenced.
    double heartbeat_timeout_s() const;

    /// Images by number: comparing names on every look would cost more than all the rest.
    int image_number(const std::string& image) const;
    /// Whether the machine is thought to have that image (by number) cached.
    static bool has_image(const Machine& machine, int image);

    /// Room left by claimed tasks and by tasks still reported there. A task that has exited takes
    /// none, also while the record of its exit is still to be written.
    const Resources& room(const Machine& machine) const;
    /// Whether new tasks may be claimed on it, as far as this controller knows.
    bool usable(const Machine& machine) const;
    /// The same of any controller's machine, from what all controllers know.
    bool in_use(const Machine& machine) const;
    /// Whether a task of that job, placed on the machine, should be started there.
    bool should_start(const Machine& machine, const Job& job) const;
    /// Whether all that is placed there has ended, as far as its owner knows.
    bool vacated(const Machine& machine) const;
    /// Notes since when nothing is placed on the machine.
    void note_empty(Machine& machine) const;

    /// Whether that zone seems partitioned from this controller: nothing new goes there.
    bool zone_partitioned(const std::string& zone) const {
        return partitioned_zones_.contains(zone);
    }
    /// Replaces the zones that seem partitioned, as the failure detector finds them.
    void set_partitioned_zones(std::set<std::string> zones) {
        partitioned_zones_ = std::move(zones);
    }

    /// Steady time when a task's placement was first seen here (now, if unknown).
    double placed_at(const TaskId& id) const;
    /// Notes a placement that the job records show for the first time: its time, its machine and
    /// the image that the machine will have cached.
    void note_placement(const TaskId& id, const Placement& placement);
    /// Drops the times of placements that have ended.
    void forget_ended_placements();

    /// Whether a heartbeat is no newer than the last one taken in from that machine: by agent
    /// epoch, then by sequence number.
    static bool is_stale(const Machine& machine, const Heartbeat& report);
    /// Takes in the contents of a heartbeat; the machine is ours from then on.
    void apply_heartbeat(Machine& machine, const Heartbeat& report);
    /// Merges the cloud provider's listing of machines. Returns the names of the running machines
    /// that are newly ours: their fencing tokens are to be raised.
    std::vector<std::string> apply_cloud_listing(const std::vector<ListedMachine>& listing);

  private:
    void take_ownership(Machine& machine) const;
    void note_image_used(Machine& machine, const std::string& image_name, double size_gb) const;
    void note_images_pulling(const Machine& machine) const;

    Context& ctx_;
    const Membership& membership_;
    std::map<std::string, Machine> machines_;
    std::vector<Machine*> all_;
    std::vector<MachineType> types_;
    mutable std::unordered_map<std::string, int> image_numbers_;
    std::unordered_map<TaskId, double, TaskIdHash> placed_at_;  // steady times
    std::set<std::string> partitioned_zones_;
};

}  // namespace cranemoor::core

/// AgentRegistry: the worker machines (agents) known to this controller from heartbeats, job
/// records and the cloud provider's listing, with the machine types, free resources, estimated
/// image caches and the times at which tasks were placed.
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

/// The known machines and what this controller's own state says of each. It sends nothing:
/// commands, replies and probes are left to the modules that use it.
class AgentRegistry {
  public:
    /// `ctx` and `membership` must outlive the registry.
    AgentRegistry(Context& ctx, const Membership& membership)
        : ctx_(ctx), membership_(membership) {}

    /// All known machines by name.
    const std::map<std::string, Machine>& machines() const { return machines_; }
    /// The same machines in the same order, as a vector: iterating over the map would cost more
    /// than most of the checks made per machine.
    const std::vector<Machine*>& all() const { return all_; }
    /// The machine of that name, or nullptr.
    Machine* find(const std::string& name);
    /// The machine of that name, or nullptr.
    const Machine* find(const std::string& name) const;

    /// Result of `find_or_add`: the machine, and whether it was added.
    struct FoundMachine {
        Machine& machine;
        bool added;
    };
    /// The machine of that name, added if it is unknown.
    FoundMachine find_or_add(const std::string& name);
    /// Drops the machine; `machine` is invalid afterwards.
    void erase(const Machine& machine);

    /// Whether this controller owns the machine and its worker has accepted our fencing token.
    bool adopted(const std::string& name) const;
    /// Placements on the machine, the resources they use, and its cordon, from the job records.
    const MachinePlacements& placements_on(const Machine& machine) const;

    /// The machine type of that name, or nullptr.
    const MachineType* type(const std::string& name) const;
    /// The known machine types.
    const std::vector<MachineType>& types() const { return types_; }
    /// Replaces the known machine types; free resources are computed again.
    void set_machine_types(const std::vector<MachineType>& types);
    /// The longest boot time of any machine type, in seconds.
    double boot_time_max_s() const;
    /// Whether no machine type has the resources for two such tasks.
    bool needs_whole_machine(const JobSpec& spec) const;

    /// Time without a heartbeat, in seconds, after which a machine is probed and then fenced.
    double heartbeat_timeout_s() const;

    /// The number assigned to an image; a new image gets the next one. Comparing names in place of
    /// numbers on each check would cost more than the rest of the check.
    int image_number(const std::string& image) const;
    /// Whether the machine is estimated to have the image of that number cached.
    static bool has_image(const Machine& machine, int image);

    /// Resources not used by claimed tasks or by tasks still reported by the worker. A task that
    /// has exited uses none, even before the record of its exit is written.
    const Resources& free_resources(const Machine& machine) const;
    /// Whether this controller may claim new tasks on the machine, as far as it knows.
    bool claimable(const Machine& machine) const;
    /// Whether new tasks may go to the machine, whoever owns it, from what all controllers know.
    bool schedulable(const Machine& machine) const;
    /// Whether a task of that job that is placed on the machine should be started there.
    bool should_start(const Machine& machine, const Job& job) const;
    /// Whether all tasks placed on the machine are reported as exited, as far as its owner knows.
    bool all_tasks_exited(const Machine& machine) const;
    /// Updates `Machine::empty_since` from the placements on the machine.
    void update_empty_since(Machine& machine) const;

    /// Whether that zone seems partitioned from this controller; no new tasks are placed there.
    bool zone_partitioned(const std::string& zone) const {
        return partitioned_zones_.contains(zone);
    }
    /// Replaces the set of zones that seem partitioned, as found by the failure detector.
    void set_partitioned_zones(std::set<std::string> zones) {
        partitioned_zones_ = std::move(zones);
    }

    /// Steady-clock time, in seconds, when a task's placement was first seen here; unknown: now.
    double placed_at(const TaskId& id) const;
    /// Records a placement that is new in the job records: its time, its machine and the image that
    /// the machine will cache.
    void record_placement(const TaskId& id, const Placement& placement);
    /// Drops the recorded times of placements that have ended.
    void forget_ended_placements();

    /// Whether a heartbeat is no newer than the last one applied to that machine, by agent epoch
    /// and then by sequence number.
    static bool is_stale(const Machine& machine, const Heartbeat& heartbeat);
    /// Applies the contents of a heartbeat; this controller owns the machine from then on.
    void apply_heartbeat(Machine& machine, const Heartbeat& heartbeat);
    /// Merges the cloud provider's listing of machines. Returns the names of the running machines
    /// that this controller has just become the owner of: their fencing tokens must be raised.
    std::vector<std::string> apply_cloud_listing(const std::vector<ListedMachine>& listing);

  private:
    void take_ownership(Machine& machine) const;
    void record_image_use(Machine& machine, const std::string& image_name, double size_gb) const;
    void update_images_pulling(const Machine& machine) const;

    Context& ctx_;
    const Membership& membership_;
    std::map<std::string, Machine> machines_;
    std::vector<Machine*> all_;
    std::vector<MachineType> types_;
    mutable std::unordered_map<std::string, int> image_numbers_;
    std::unordered_map<TaskId, double, TaskIdHash> placed_at_;  // steady-clock seconds
    std::set<std::string> partitioned_zones_;
};

}  // namespace cranemoor::core

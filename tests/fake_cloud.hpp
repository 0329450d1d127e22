/// Fake of the cloud provider: launches, lists and releases machines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/instance_kind.hpp"
#include "core/model/actions.hpp"
#include "fake_worker.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// The cloud provider. Launches are idempotent by the id of their request.
class FakeCloud {
  public:
    FakeCloud(const Simulation& simulation, Machines& machines)
        : simulation_(simulation), machines_(machines) {}

    /// Executes a call at once.
    CloudReply execute(const CloudCall& call);
    /// Adds a running machine without a launch.
    FakeWorker& add_machine(const std::string& name, const std::string& zone, bool spot = false,
                            const std::string& type = "t8");
    /// Number of machines that are not released.
    int machine_count() const;
    /// Number of machines of a type that are not released.
    int machine_count(const std::string& type) const;
    /// The machine type on offer by default. All types have its size.
    static MachineType machine_type();
    /// Sets the capacity of a type in all of its zones, as spot instances or on demand.
    void set_capacity(const MachineType& type, bool spot, int machines);
    /// Number of refused launch requests.
    int refused_launches() const { return static_cast<int>(refusals_.size()); }
    /// The least time, in s, between two refusals of one kind; 1e18 if no kind was refused twice.
    double refusal_interval_min_s() const;

    /// The machine types on offer.
    std::vector<MachineType> types = {machine_type()};
    /// Maximum number of machines at any time.
    int capacity = 1000;
    /// The same by kind; a kind that is not listed has no limit of its own.
    std::map<InstanceKind, int> capacity_by_kind;
    /// Boot time of a launched machine, in s.
    double boot_s = 5;
    /// Seconds from a machine's creation until it is listed.
    double list_lag_s = 0;
    /// Seconds from the execution of a launch until its reply is sent.
    double launch_reply_delay_s = 0;
    /// Number of launch requests that created machines.
    int launches = 0;
    /// Number of machines that were launched.
    int launched_machines = 0;

  private:
    struct Refusal {
        double at_s = 0;
        InstanceKind kind;
    };

    CloudReply launch(const CloudCall& call);
    int available(const InstanceKind& kind) const;
    std::vector<ListedMachine> list(const std::string& after);
    void release(const std::vector<std::string>& names);

    const Simulation& simulation_;
    Machines& machines_;
    std::map<std::string, std::vector<std::string>> machines_by_request_;
    std::vector<Refusal> refusals_;
    int last_machine_number_ = 0;
};

}  // namespace cranemoor::test

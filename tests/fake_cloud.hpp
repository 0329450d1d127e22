/// Fake of the cloud provider: launches, lists and releases machines.
#pragma once

#include <map>
#include <string>
#include <vector>

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
    FakeWorker& add_machine(const std::string& name, const std::string& zone, bool spot = false);
    /// Number of machines that are not released.
    int machine_count() const;
    /// The only machine type on offer.
    static MachineType machine_type();

    /// Maximum number of machines at any time.
    int capacity = 1000;
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
    CloudReply launch(const CloudCall& call);
    std::vector<ListedMachine> list(const std::string& after);
    void release(const std::vector<std::string>& names);

    const Simulation& simulation_;
    Machines& machines_;
    std::map<std::string, std::vector<std::string>> machines_by_request_;
    int last_machine_number_ = 0;
};

}  // namespace cranemoor::test

// Fake of the cloud provider: rents, lists and releases machines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/model/actions.hpp"
#include "fake_worker.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// The cloud. Rentals are idempotent by the name of their request.
class FakeCloud {
  public:
    FakeCloud(const Simulation& simulation, Machines& machines)
        : simulation_(simulation), machines_(machines) {}

    /// Executes a call at once.
    CloudReply execute(const CloudCall& call);
    /// A machine that is there and up, though nobody rented it.
    FakeWorker& add_machine(const std::string& name, const std::string& zone, bool spot = false);
    /// Machines that are not released.
    int machine_count() const;
    /// The one type of machine that there is.
    static MachineType machine_type();

    /// Machines that may be there at once.
    int capacity = 1000;
    /// Seconds until a rented machine is up.
    double boot_s = 5;
    /// Seconds until a new machine is listed.
    double list_lag_s = 0;
    /// Seconds until the reply to a rental is sent.
    double rental_reply_delay_s = 0;
    /// Rentals that brought machines.
    int rentals = 0;
    /// Machines that were rented.
    int rented_machines = 0;

  private:
    CloudReply rent(const CloudCall& call);
    std::vector<ListedMachine> list(const std::string& after);
    void release(const std::vector<std::string>& names);

    const Simulation& simulation_;
    Machines& machines_;
    std::map<std::string, std::vector<std::string>> machines_by_request_;
    int last_machine_number_ = 0;
};

}  // namespace cranemoor::test

#include "fake_cloud.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cranemoor::test {

MachineType FakeCloud::machine_type() {
    return {"t8", {64, 8, 512}, 100, 1, 10, 3, 5, {"a", "b", "c"}};
}

CloudReply FakeCloud::execute(const CloudCall& call) {
    CloudReply reply;
    reply.status = CloudReply::Status::ok;
    switch (call.kind) {
        case CloudCall::Kind::types:
            reply.types = {machine_type()};
            break;
        case CloudCall::Kind::list:
            reply.listed = list(call.after);
            break;
        case CloudCall::Kind::release:
            release(call.machines);
            break;
        case CloudCall::Kind::launch:
            return launch(call);
    }
    return reply;
}

std::vector<ListedMachine> FakeCloud::list(const std::string& after) {
    std::vector<ListedMachine> listed;
    double now = simulation_.now();
    for (auto& [name, machine] : machines_) {
        if (!machine.deleted && name > after && now - machine.created_at_s >= list_lag_s) {
            machine.info.state =
                now >= machine.booted_at_s ? ListedState::running : ListedState::starting;
            listed.push_back(machine.info);
        }
    }
    return listed;
}

void FakeCloud::release(const std::vector<std::string>& names) {
    for (const auto& name : names) {
        auto it = machines_.find(name);
        if (it != machines_.end()) {
            it->second.deleted = true;
            it->second.tasks.clear();
        }
    }
}

CloudReply FakeCloud::launch(const CloudCall& call) {
    CloudReply reply;
    reply.status = CloudReply::Status::ok;
    auto& names = machines_by_request_[call.request];
    if (names.empty()) {
        int count = std::min(call.count, capacity - machine_count());
        if (count <= 0) {
            reply.status = CloudReply::Status::no_capacity;
            return reply;
        }
        ++launches;
        launched_machines += count;
        for (int i = 0; i < count; ++i) {
            std::string name = fmt::format("vm-{:06}", ++last_machine_number_);
            add_machine(name, call.zone, call.spot).booted_at_s = simulation_.now() + boot_s;
            names.push_back(name);
        }
    }
    reply.machines = names;
    return reply;
}

FakeWorker& FakeCloud::add_machine(const std::string& name, const std::string& zone, bool spot) {
    FakeWorker& machine = machines_[name];
    machine.info = {name, name, "t8", zone, spot, ListedState::starting, 0};
    machine.created_at_s = simulation_.now();
    machine.booted_at_s = simulation_.now();
    machine.lease_start_s = simulation_.now();
    return machine;
}

int FakeCloud::machine_count() const {
    return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
                                          [](const auto& item) { return !item.second.deleted; }));
}

}  // namespace cranemoor::test

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
            reply.types = types;
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
        InstanceKind kind{call.type, call.zone, call.spot};
        int count = std::min(call.count, available(kind));
        if (count <= 0) {
            refusals_.push_back({simulation_.now(), kind});
            reply.status = CloudReply::Status::no_capacity;
            return reply;
        }
        ++launches;
        launched_machines += count;
        for (int i = 0; i < count; ++i) {
            std::string name = fmt::format("vm-{:06}", ++last_machine_number_);
            add_machine(name, call.zone, call.spot, call.type).booted_at_s =
                simulation_.now() + boot_s;
            names.push_back(name);
        }
    }
    reply.machines = names;
    return reply;
}

int FakeCloud::available(const InstanceKind& kind) const {
    int machines = capacity - machine_count();
    auto limit = capacity_by_kind.find(kind);
    if (limit != capacity_by_kind.end()) {
        auto used = std::count_if(machines_.begin(), machines_.end(), [&](const auto& item) {
            const ListedMachine& info = item.second.info;
            return !item.second.deleted && InstanceKind{info.type, info.zone, info.spot} == kind;
        });
        machines = std::min(machines, limit->second - static_cast<int>(used));
    }
    return machines;
}

FakeWorker& FakeCloud::add_machine(const std::string& name, const std::string& zone, bool spot,
                                   const std::string& type) {
    FakeWorker& machine = machines_[name];
    machine.info = {name, name, type, zone, spot, ListedState::starting, 0};
    machine.created_at_s = simulation_.now();
    machine.booted_at_s = simulation_.now();
    machine.lease_start_s = simulation_.now();
    return machine;
}

int FakeCloud::machine_count() const {
    return static_cast<int>(std::count_if(machines_.begin(), machines_.end(),
                                          [](const auto& item) { return !item.second.deleted; }));
}

int FakeCloud::machine_count(const std::string& type) const {
    return static_cast<int>(std::count_if(
        machines_.begin(), machines_.end(),
        [&](const auto& item) { return !item.second.deleted && item.second.info.type == type; }));
}

void FakeCloud::set_capacity(const MachineType& type, bool spot, int machines) {
    for (const auto& zone : type.zones) {
        capacity_by_kind[{type.name, zone, spot}] = machines;
    }
}

double FakeCloud::refusal_interval_min_s() const {
    std::map<InstanceKind, double> last_refusal_s;
    double interval_s = never_s;
    for (const auto& refusal : refusals_) {
        auto last = last_refusal_s.find(refusal.kind);
        if (last != last_refusal_s.end()) {
            interval_s = std::min(interval_s, refusal.at_s - last->second);
        }
        last_refusal_s[refusal.kind] = refusal.at_s;
    }
    return interval_s;
}

}  // namespace cranemoor::test

#include "core/agents/agent_registry.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "core/agents/gang_preemption.hpp"

namespace cranemoor::core {

Machine* AgentRegistry::find(const std::string& name) {
    auto entry = machines_.find(name);
    return entry == machines_.end() ? nullptr : &entry->second;
}

const Machine* AgentRegistry::find(const std::string& name) const {
    auto entry = machines_.find(name);
    return entry == machines_.end() ? nullptr : &entry->second;
}

bool AgentRegistry::adopted(const std::string& name) const {
    const Machine* machine = find(name);
    return machine != nullptr && machine->owned_by_us && machine->adopted;
}

AgentRegistry::FoundMachine AgentRegistry::find_or_add(const std::string& name) {
    auto [entry, added] = machines_.try_emplace(name);
    Machine& machine = entry->second;
    if (added) {
        machine.name = name;
        auto before = [](const Machine* a, const Machine* b) { return a->name < b->name; };
        all_.insert(std::upper_bound(all_.begin(), all_.end(), &machine, before), &machine);
    }
    return {machine, added};
}

void AgentRegistry::erase(const Machine& machine) {
    auto entry = machines_.find(machine.name);
    std::erase(all_, &entry->second);
    machines_.erase(entry);
}

const MachinePlacements& AgentRegistry::placements_on(const Machine& machine) const {
    if (machine.placements == nullptr || machine.placements_load_count != ctx_.jobs.load_count()) {
        machine.placements = ctx_.jobs.machine_placements(machine.name);
        machine.placements_load_count = ctx_.jobs.load_count();
    }
    return *machine.placements;
}

const MachineType* AgentRegistry::type(const std::string& name) const {
    for (const auto& machine_type : types_) {
        if (machine_type.name == name) {
            return &machine_type;
        }
    }
    return nullptr;
}

void AgentRegistry::set_machine_types(const std::vector<MachineType>& types) {
    types_ = types;
    for (auto& [name, machine] : machines_) {
        machine.free_resources_valid = false;
    }
}

double AgentRegistry::boot_time_max_s() const {
    double boot_time_s = 0;
    for (const auto& machine_type : types_) {
        boot_time_s = std::max(boot_time_s, machine_type.boot_s);
    }
    return boot_time_s;
}

bool AgentRegistry::needs_whole_machine(const JobSpec& spec) const {
    Resources two_tasks = spec.task_resources * 2;
    return std::none_of(types_.begin(), types_.end(),
                        [&](const MachineType& type) { return two_tasks.fits_in(type.size); });
}

double AgentRegistry::heartbeat_timeout_s() const {
    return ctx_.tunables.worker_timeout_s > 0
               ? ctx_.tunables.worker_timeout_s
               : ctx_.settings.heartbeat_interval_s * constants::heartbeat_interval_factor +
                     constants::heartbeat_timeout_margin_s;
}

int AgentRegistry::image_number(const std::string& image) const {
    return image_numbers_.try_emplace(image, static_cast<int>(image_numbers_.size())).first->second;
}

void AgentRegistry::record_image_use(Machine& machine, const std::string& image_name,
                                     double size_gb) const {
    int number = image_number(image_name);
    std::erase_if(machine.cached_images,
                  [&](const CachedImage& image) { return image.number == number; });
    machine.cached_images.insert(machine.cached_images.begin(), {number, size_gb});
    const MachineType* machine_type = type(machine.type);
    if (machine_type == nullptr) {
        return;
    }
    // The worker evicts the least recently used images, and so does this estimate.
    double total_gb = 0;
    for (auto cached = machine.cached_images.begin(); cached != machine.cached_images.end();
         ++cached) {
        total_gb += cached->size_gb;
        if (total_gb > machine_type->cache_gb && cached != machine.cached_images.begin()) {
            machine.cached_images.erase(cached, machine.cached_images.end());
            break;
        }
    }
}

bool AgentRegistry::has_image(const Machine& machine, int image) {
    return std::any_of(machine.cached_images.begin(), machine.cached_images.end(),
                       [&](const CachedImage& cached) { return cached.number == image; });
}

void AgentRegistry::update_images_pulling(const Machine& machine) const {
    for (const auto& [id, placed] : placements_on(machine).tasks) {
        auto status = machine.tasks.find({id, placed.placement->attempt});
        if (status == machine.tasks.end() || status->second.state == TaskState::fetching) {
            int image = image_number(placed.job->spec.image);
            if (std::find(machine.images_pulling.begin(), machine.images_pulling.end(), image) ==
                machine.images_pulling.end()) {
                machine.images_pulling.push_back(image);
            }
        }
    }
}

const Resources& AgentRegistry::free_resources(const Machine& machine) const {
    if (machine.free_resources_valid) {
        return machine.free_resources;
    }
    machine.free_resources_valid = true;
    machine.images_pulling.clear();
    const MachineType* machine_type = type(machine.type);
    if (machine_type == nullptr) {
        machine.free_resources = {};
        return machine.free_resources;
    }
    update_images_pulling(machine);
    machine.free_resources = machine_type->size - placements_on(machine).used;
    for (const auto& [attempt, status] : machine.tasks) {
        const Placement* placement = ctx_.jobs.placement(attempt.task);
        bool placed_here = placement != nullptr && placement->machine == machine.name;
        bool exited = status.state == TaskState::exited;
        // A task that runs there without a placement still uses resources until it is stopped.
        bool unplaced = !placed_here && !exited;
        bool exit_pending = placed_here && exited && placement->attempt == attempt.number &&
                            machine.owned_by_us && machine.adopted;
        const Job* job = unplaced || exit_pending ? ctx_.jobs.find(attempt.task.uid) : nullptr;
        if (job != nullptr) {
            machine.free_resources += job->spec.task_resources * (exit_pending ? 1.0 : -1.0);
        }
    }
    return machine.free_resources;
}

bool AgentRegistry::claimable(const Machine& machine) const {
    // A released machine stays in the registry for a moment longer than its cordon, and a silent
    // one may be gone: neither must be given work.
    return machine.owned_by_us && machine.adopted && !machine.release_confirmed &&
           !machine.interruption_deadline && ctx_.now.steady >= machine.claim_backoff_until &&
           ctx_.now.steady - machine.last_heartbeat_at <= heartbeat_timeout_s() &&
           !machine.cordon_write_pending && !placements_on(machine).cordon &&
           type(machine.type) != nullptr;
}

bool AgentRegistry::schedulable(const Machine& machine) const {
    return machine.up() && !machine.release_confirmed && !machine.interruption_deadline &&
           !zone_partitioned(machine.zone) && !placements_on(machine).cordon;
}

bool AgentRegistry::should_start(const Machine& machine, const Job& job) const {
    return !job.cancelled && !job.final && !placements_on(machine).cordon &&
           !machine.cordon_write_pending && !machine.interruption_deadline &&
           !GangPreemption::is_incomplete(job) && !job.gang_stop_requested();
}

bool AgentRegistry::all_tasks_exited(const Machine& machine) const {
    const auto& placed = placements_on(machine).tasks;
    return std::all_of(placed.begin(), placed.end(), [&](const auto& entry) {
        auto status = machine.tasks.find({entry.first, entry.second.placement->attempt});
        return status != machine.tasks.end() && status->second.state == TaskState::exited;
    });
}

void AgentRegistry::update_empty_since(Machine& machine) const {
    if (!placements_on(machine).tasks.empty()) {
        machine.empty_since = -1;
    } else if (machine.empty_since < 0) {
        machine.empty_since = ctx_.now.steady;
    }
}

double AgentRegistry::placed_at(const TaskId& id) const {
    auto entry = placed_at_.find(id);
    return entry == placed_at_.end() ? ctx_.now.steady : entry->second;
}

void AgentRegistry::record_placement(const TaskId& id, const Placement& placement) {
    placed_at_[id] = ctx_.now.steady;
    const Job* job = ctx_.jobs.find(id.uid);
    if (job == nullptr) {
        return;
    }
    auto [machine, added] = find_or_add(placement.machine);
    if (added) {
        machine.zone = placement.zone;
        machine.launched_at = ctx_.now.steady;
        machine.owned_by_us = membership_.owned_by_us(machine.name, machine.zone);
        machine.owned_since = ctx_.now.steady;
    }
    record_image_use(machine, job->spec.image, job->spec.image_gb);
}

void AgentRegistry::forget_ended_placements() {
    std::erase_if(placed_at_,
                  [&](const auto& entry) { return ctx_.jobs.placement(entry.first) == nullptr; });
}

bool AgentRegistry::is_stale(const Machine& machine, const Heartbeat& heartbeat) {
    return machine.heartbeat_received && std::tie(heartbeat.agent_epoch, heartbeat.seq) <=
                                             std::tie(machine.agent_epoch, machine.heartbeat_seq);
}

void AgentRegistry::take_ownership(Machine& machine) const {
    machine.owned_by_us = true;
    machine.adopted = false;
    machine.owned_since = ctx_.now.steady;
}

void AgentRegistry::apply_heartbeat(Machine& machine, const Heartbeat& heartbeat) {
    bool first = !machine.heartbeat_received;
    machine.free_resources_valid = false;
    machine.address = heartbeat.address;
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    if (first) {
        machine.launched_at = machine.launched_at == 0 ? ctx_.now.steady : machine.launched_at;
        ctx_.info("machine {}: first heartbeat received, type {} zone {}{}", machine.name,
                  machine.type, machine.zone, machine.spot ? " spot" : "");
    }
    if (!machine.owned_by_us) {
        take_ownership(machine);
    }
    machine.heartbeat_received = true;
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.heartbeat_seq = heartbeat.seq;
    machine.fencing_token = heartbeat.token;
    if (heartbeat.interruption_notice_s && !machine.interruption_deadline) {
        machine.interruption_deadline = ctx_.now.steady + *heartbeat.interruption_notice_s;
        ctx_.info("machine {}: spot instance will be interrupted in {:.1f} s", machine.name,
                  *heartbeat.interruption_notice_s);
    }
    machine.tasks.clear();
    for (const auto& status : heartbeat.tasks) {
        machine.tasks[{status.id, status.attempt}] = status;
    }
    for (auto stop = machine.pending_stops.begin(); stop != machine.pending_stops.end();) {
        auto status = machine.tasks.find(stop->first);
        bool exited = status == machine.tasks.end() || status->second.state == TaskState::exited;
        stop = exited ? machine.pending_stops.erase(stop) : std::next(stop);
    }
}

std::vector<std::string> AgentRegistry::apply_cloud_listing(
    const std::vector<ListedMachine>& listing) {
    std::vector<std::string> taken_over;
    for (const ListedMachine& listed : listing) {
        auto [machine, added] = find_or_add(listed.name);
        machine.free_resources_valid = machine.free_resources_valid && machine.type == listed.type;
        // The reply to a launch names no address, and may come after the machine's first heartbeat.
        machine.address = listed.address.empty() ? machine.address : listed.address;
        machine.type = listed.type;
        machine.zone = listed.zone;
        machine.spot = listed.spot;
        machine.listed = true;
        machine.listed_at = ctx_.now.steady;
        if (machine.listed_state == ListedState::starting || listed.state == ListedState::failed) {
            machine.listed_state = listed.state;
        }
        if (added) {
            machine.launched_at = ctx_.now.steady - listed.age_s;
        }
        if (listed.state == ListedState::running && machine.running_since < 0) {
            machine.running_since = ctx_.now.steady;
        }
        if (!machine.owned_by_us && membership_.owned_by_us(machine.name, machine.zone)) {
            take_ownership(machine);
            if (listed.state == ListedState::running) {
                taken_over.push_back(machine.name);
            }
        }
    }
    return taken_over;
}

}  // namespace cranemoor::core

#include "core/autoscaling/scale_in.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/autoscaling/headroom.hpp"

namespace cranemoor::core {

void ScaleIn::cordon_unneeded() {
    cordon_never_up();
    std::vector<Machine*> idle = idle_machines();
    log_fleet(idle.size());
    cordon_idle(std::move(idle));
}

// Machines that never came up are charged until they are released.
void ScaleIn::cordon_never_up() {
    for (Machine* machine : agent_manager_.registry().all()) {
        const MachineType* type = agent_manager_.registry().type(machine->type);
        if (type == nullptr || machine->up() ||
            agent_manager_.registry().placements_on(*machine).cordon) {
            continue;
        }
        bool starting = machine->listed_state == ListedState::starting;
        double boot_limit_s = type->boot_s * constants::boot_failed_factor;
        if (starting && ctx_.now.steady - machine->launched_at > boot_limit_s) {
            agent_manager_.release_marks().mark(*machine, "never came up", true);
        }
    }
}

std::vector<Machine*> ScaleIn::idle_machines() const {
    std::vector<Machine*> idle;
    for (Machine* machine : agent_manager_.registry().all()) {
        if (machine->up() && !machine->cordon_write_pending &&
            !agent_manager_.registry().placements_on(*machine).cordon &&
            machine->empty_since >= 0 &&
            agent_manager_.registry().placements_on(*machine).tasks.empty()) {
            idle.push_back(machine);
        }
    }
    return idle;
}

void ScaleIn::log_fleet(std::size_t idle) {
    if (ctx_.now.steady < next_log_at_s_) {
        return;
    }
    next_log_at_s_ = ctx_.now.steady + constants::fleet_log_interval_s;
    int up = 0;
    double free_gpus = 0;
    for (const auto& [name, machine] : agent_manager_.registry().machines()) {
        bool in_fleet = machine.up() && !machine.release_confirmed &&
                        !agent_manager_.registry().placements_on(machine).cordon;
        up += in_fleet ? 1 : 0;
        free_gpus += in_fleet && !agent_manager_.registry().placements_on(machine).tasks.empty()
                         ? agent_manager_.registry().free_resources(machine).gpus
                         : 0;
    }
    ctx_.info(
        "fleet: {} machines up, {} of them empty, headroom {}, {:.0f} GPUs free on machines "
        "in use, {} jobs open",
        up, idle, headroom_machines(ctx_, agent_manager_), free_gpus, ctx_.jobs.open_jobs().size());
}

// Cordons only machines beyond the headroom, those idle for longest first. Spot instances don't
// count as headroom, as most jobs may not use them.
void ScaleIn::cordon_idle(std::vector<Machine*> idle) {
    std::sort(idle.begin(), idle.end(), [](const Machine* a, const Machine* b) {
        return std::tie(a->spot, a->empty_since) > std::tie(b->spot, b->empty_since);
    });
    int headroom_left = headroom_machines(ctx_, agent_manager_);
    for (Machine* machine : idle) {
        if (!machine->spot && headroom_left > 0) {
            --headroom_left;
            continue;
        }
        double idle_since = std::max(machine->empty_since, machine->launched_at);
        if (ctx_.now.steady - idle_since > ctx_.tunables.idle_release_s) {
            agent_manager_.release_marks().mark(*machine, "idle", false);
        }
    }
}

}  // namespace cranemoor::core

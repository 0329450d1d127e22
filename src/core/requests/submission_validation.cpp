#include "core/requests/submission_validation.hpp"

#include <algorithm>
#include <string>

#include "core/jobs/block_limits.hpp"

namespace cranemoor::core {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool fits_type(const JobSpec& spec, const MachineType& type) {
    bool type_allowed = !spec.machine_types || contains(*spec.machine_types, type.name);
    bool zone_allowed = !spec.zone || contains(type.zones, *spec.zone);
    return type_allowed && zone_allowed && spec.task_resources.fits_in(type.size);
}

// An array can run one task at a time; a job of any other kind is placed as a whole.
bool exceeds_limit(const JobSpec& spec, const Resources& limit) {
    Resources min_resources = spec.task_resources * (spec.kind == JobKind::array ? 1 : spec.tasks);
    return (limit.cpus > 0 && min_resources.cpus > limit.cpus + Resources::rounding_tolerance) ||
           (limit.gpus > 0 && min_resources.gpus > limit.gpus + Resources::rounding_tolerance);
}

}  // namespace

std::optional<Rejection> validate(const JobSpec& spec, const Context& ctx, const Quota& quota,
                                  const AgentRegistry& agents) {
    const Team* team = quota.team(spec.team);
    if (team == nullptr) {
        return Rejection{RejectionReason::unknown_team};
    }
    const auto& types = agents.types();
    bool fits = std::any_of(types.begin(), types.end(),
                            [&](const MachineType& type) { return fits_type(spec, type); });
    if (!fits) {
        return Rejection{RejectionReason::fits_no_machine_type};
    }
    if (exceeds_limit(spec, team->limit)) {
        return Rejection{RejectionReason::over_team_limit};
    }
    if (spec.kind == JobKind::gang && spec.tasks > gang_tasks_max(ctx)) {
        return Rejection{RejectionReason::gang_too_large, std::to_string(gang_tasks_max(ctx))};
    }
    return std::nullopt;
}

}  // namespace cranemoor::core

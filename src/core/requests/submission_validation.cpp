#include "core/requests/submission_validation.hpp"

#include <algorithm>
#include <string>

#include "core/jobs/oversized_block_split.hpp"

namespace cranemoor::core {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool fits_type(const JobSpec& spec, const MachineType& type) {
    bool type_allowed = !spec.types || contains(*spec.types, type.name);
    bool zone_allowed = !spec.zone || contains(type.zones, *spec.zone);
    return type_allowed && zone_allowed && spec.each.fits_in(type.size);
}

// An array runs task by task, all other kinds are placed whole.
bool exceeds_limit(const JobSpec& spec, const Resources& limit) {
    Resources least = spec.each * (spec.kind == JobKind::array ? 1 : spec.tasks);
    return (limit.cpus > 0 && least.cpus > limit.cpus + Resources::slack) ||
           (limit.gpus > 0 && least.gpus > limit.gpus + Resources::slack);
}

}  // namespace

std::optional<Rejection> validate(const JobSpec& spec, const Context& ctx, const Quota& quota,
                                  const Fleet& fleet) {
    const Team* team = quota.team(spec.team);
    if (team == nullptr) {
        return Rejection{RejectionReason::unknown_team};
    }
    const auto& types = fleet.types();
    bool fits = std::any_of(types.begin(), types.end(),
                            [&](const MachineType& type) { return fits_type(spec, type); });
    if (!fits) {
        return Rejection{RejectionReason::fits_no_machine_type};
    }
    if (exceeds_limit(spec, team->limit)) {
        return Rejection{RejectionReason::over_team_limit};
    }
    if (spec.kind == JobKind::gang && spec.tasks > largest_gang(ctx)) {
        return Rejection{RejectionReason::gang_too_large, std::to_string(largest_gang(ctx))};
    }
    return std::nullopt;
}

}  // namespace cranemoor::core

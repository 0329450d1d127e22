#include "core/requests/running_task_counter.hpp"

namespace cranemoor::core {

bool RunningTaskCounter::is_running(const Job& job, int task, const Placement& placement) const {
    const Machine* machine = agents_.find(placement.machine);
    // Which tasks run on other controllers' machines is not known here.
    if (machine == nullptr || !machine->owned_by_us || !machine->adopted) {
        return true;
    }
    auto status = machine->tasks.find({{job.spec.uid, task}, placement.attempt});
    return status != machine->tasks.end() && status->second.state == TaskState::running;
}

int RunningTaskCounter::running_tasks(const Job& job) {
    CachedCount& count = counts_[job.spec.uid];
    bool cached_count_plausible = (count.running > 0) == (job.placed() > 0);
    if (ctx_.now.steady < count.valid_until && cached_count_plausible) {
        return count.running;
    }
    count = {0, ctx_.now.steady + constants::running_count_ttl_s};
    job.each_placement([&](int task, const Placement& placement) {
        if (is_running(job, task, placement)) {
            ++count.running;
        }
        return true;
    });
    return count.running;
}

void RunningTaskCounter::prune() {
    std::erase_if(counts_,
                  [&](const auto& entry) { return ctx_.now.steady >= entry.second.valid_until; });
}

}  // namespace cranemoor::core

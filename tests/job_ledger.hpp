/// Ground truth for the checks of replies: the users' requests and the tasks that workers
/// completed.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/model/types.hpp"

namespace cranemoor::test {

using namespace core;

/// The jobs of a simulated cluster as users and workers know them, independent of the controllers.
struct JobLedger {
    /// Jobs that were submitted, by uid.
    std::map<std::string, JobSpec> specs;
    /// Time of the first reply to a user that reported the job as cancelled, in s, by uid.
    std::map<std::string, double> cancelled_at_s;
    /// Jobs whose cancellation a user requested.
    std::set<std::string> cancel_requested;
    /// Indexes of the tasks that completed on a worker, by uid.
    std::map<std::string, std::set<int>> completed_tasks;

    /// Whether a predicate holds for a job or any of its direct or transitive dependencies.
    bool holds_for_job_or_dependency(
        const std::string& uid, const std::function<bool(const std::string&)>& predicate) const {
        if (predicate(uid)) {
            return true;
        }
        auto spec = specs.find(uid);
        return spec != specs.end() &&
               std::any_of(spec->second.depends_on.begin(), spec->second.depends_on.end(),
                           [&](const auto& dependency) {
                               return holds_for_job_or_dependency(dependency, predicate);
                           });
    }
};

}  // namespace cranemoor::test

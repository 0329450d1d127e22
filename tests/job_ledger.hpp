// What users asked for and what the workers completed: the truth that answers are checked against.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/model/types.hpp"

namespace cranemoor::test {

using namespace core;

/// The jobs of a simulated cluster as users and workers know them, whatever the controllers say.
struct JobLedger {
    /// Jobs that were submitted, by uid.
    std::map<std::string, JobSpec> specs;
    /// When a user was first told that the job is cancelled, in s.
    std::map<std::string, double> cancelled_at;
    /// Jobs whose cancellation a user asked for.
    std::set<std::string> cancel_requested;
    /// Indexes of the tasks that completed on a worker, by uid.
    std::map<std::string, std::set<int>> completed_tasks;

    /// Whether a predicate holds of a job or of any that it depends on, directly or not.
    bool holds_for_job_or_dependency(const std::string& uid,
                                     const std::function<bool(const std::string&)>& holds) const {
        if (holds(uid)) {
            return true;
        }
        auto spec = specs.find(uid);
        return spec != specs.end() &&
               std::any_of(spec->second.depends_on.begin(), spec->second.depends_on.end(),
                           [&](const auto& dependency) {
                               return holds_for_job_or_dependency(dependency, holds);
                           });
    }
};

}  // namespace cranemoor::test

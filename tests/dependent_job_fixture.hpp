/// Test fixture for jobs that depend on others.
#pragma once

#include <string>
#include <vector>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {

/// The uid of make_job(number).
inline std::string job_uid(int number) {
    return fmt::format("req-{:06}", number);
}

/// Three controllers and jobs that start once the jobs that they depend on are done.
struct DependentJobTest : ThreeControllerTest {
    /// A job that starts once all of `dependencies`, given by their numbers, are done.
    JobSpec dependent_job(int number, const std::vector<int>& dependencies,
                          JobKind kind = JobKind::array, int tasks = 1) {
        auto spec = cluster.make_job(number, kind, tasks);
        for (int dependency : dependencies) {
            spec.depends_on.push_back(job_uid(dependency));
        }
        return spec;
    }
    /// Whether the key-value store holds a final state of a job.
    bool is_job_finished(int number) { return cluster.is_finished(job_uid(number)); }
};

}  // namespace cranemoor::test

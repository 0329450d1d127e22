// Test fixture for jobs that depend on others.
#pragma once

#include <string>
#include <vector>

#include "cluster_fixtures.hpp"

namespace cranemoor::test {

/// The uid of make_job(n).
inline std::string uid(int n) {
    return fmt::format("req-{:06}", n);
}

/// Three controllers and jobs that start after others.
struct DependentJobTest : ThreeControllerTest {
    /// A job that starts when others, by their numbers, are done.
    JobSpec after(int number, const std::vector<int>& others, JobKind kind = JobKind::array,
                  int tasks = 1) {
        auto spec = cluster.make_job(number, kind, tasks);
        for (int o : others) {
            spec.depends_on.push_back(uid(o));
        }
        return spec;
    }
    /// Whether the records say that a job is over.
    bool over(int n) { return cluster.is_finished(uid(n)); }
};

}  // namespace cranemoor::test

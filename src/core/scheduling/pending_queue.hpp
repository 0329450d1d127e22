// PendingQueue: the jobs that have tasks to place, in the order in which they are looked at. Kept
// up to date by the change stream, so that a look costs what it visits and not what waits.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/min_share.hpp"
#include "core/agents/agent_registry.hpp"
#include "core/agents/job_failures.hpp"
#include "core/context/context.hpp"

namespace cranemoor::core {

class PendingQueue {
  public:
    // An open job, with what every look at it needs.
    struct Waiting {
        const Job* job = nullptr;
        std::string uid;
        std::string team;
        std::string job_class;
        Priority priority = Priority::normal;
        bool ahead = false;  // its flow is below its floor
        std::string image;
        double came_wall = 0;
        double open_since = 0;   // steady s, as far as this process has seen
        int open = 0;            // its tasks to place, as last seen
        double stuck_since = 0;  // steady s, when one of them was last placed, or it came
        std::size_t turn = 0;    // this member's place in the order in which members look at it
        int demands = 0;         // equal for jobs that fit the same machines
    };

    PendingQueue(Context& ctx, const AgentRegistry& agents, const JobFailures& job_failures)
        : ctx_(ctx), agents_(agents), job_failures_(job_failures) {}

    void epoch_changed();
    // touched: jobs that changed
    void records_changed(const std::set<std::string>& touched);
    // Looks which flows are below their floor.
    void tick();

    // Machines that a flow lacks to its floor, 0 if it doesn't wait for long.
    double lack(const std::string& team, const std::string& job_class) const {
        auto it = lacks_.find({team, job_class});
        return it == lacks_.end() ? 0 : it->second;
    }

    // How many times less often than usual all that waits is to be looked at, at the most `most`
    // times: the more waits the longer a look takes, and the less a moment more matters to it.
    double rarely(double most) const;

    // This member's place in the order in which members look at a job.
    std::size_t turn(const Job& job) const;
    // Visits the jobs in the order in which they are walked, until the visitor returns false. In a
    // rush claims wait for the write limit, and the order decides about many seconds: within their
    // guarantees, what must stay up then goes before what must be complete. Before all go the flows
    // that are below their floor.
    template <typename Visit>
    void each(bool rush, Visit visit) const {
        auto list = lanes(rush);
        for (bool ahead : {true, false}) {
            if (ahead && lacks_.empty()) {
                continue;
            }
            for (const Lane* lane : list) {
                for (const Waiting* w : *lane) {
                    if (w->ahead == ahead && !paused(*w) && !visit(*w)) {
                        return;
                    }
                }
            }
        }
    }
    // The part of a machine that an amount takes, by the resource of which it takes most.
    double dominant(const Resources& amount) const;

  private:
    struct Earlier {
        bool operator()(const Waiting* a, const Waiting* b) const;
    };
    using Lane = std::set<const Waiting*, Earlier>;
    // Of a team and a priority.
    using Key = std::pair<std::string, Priority>;

    std::vector<const Lane*> lanes(bool rush) const;
    std::vector<admission::WaitingFlow> waiting_flows() const;
    double weight(const std::string& team) const;
    bool paused(const Waiting& w) const;
    // Whether this is of the copy of the records as it was last read whole.
    bool current() const { return loads_ == ctx_.jobs.loads(); }
    void read_again();
    void remove(const std::string& uid);
    void add(const Job& job, double since);
    int demands(const JobSpec& spec);

    Context& ctx_;
    const AgentRegistry& agents_;
    const JobFailures& job_failures_;
    std::unordered_map<std::string, std::unique_ptr<Waiting>> waiting_;  // by uid
    std::map<Key, Lane> lanes_;
    std::map<admission::FlowName, double> lacks_;
    double next_look_ = 0;
    std::uint64_t loads_ = 0;
    std::unordered_map<std::string, int> demands_;  // numbers, by what is demanded
};

}  // namespace cranemoor::core

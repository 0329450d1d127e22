// Requests: what users submit, ask and cancel. Nothing is told before it is durable, and nothing
// that may have changed is told without a fresh look at the state service.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_controller.hpp"
#include "core/agents/fleet.hpp"
#include "core/context/context.hpp"
#include "core/jobs/dependencies.hpp"
#include "core/membership/membership.hpp"
#include "core/model/budget.hpp"
#include "core/quota/quota.hpp"

namespace cranemoor::core {

class Requests {
  public:
    Requests(Context& ctx, Membership& membership, Fleet& fleet, Quota& quota,
             const Dependencies& dependencies)
        : ctx_(ctx),
          membership_(membership),
          fleet_(fleet),
          quota_(quota),
          dependencies_(dependencies),
          look_ups_(ctx.settings.state_rps * constants::look_up_share,
                    ctx.settings.state_rps * constants::look_up_share) {}

    void submit(std::uint64_t request, const JobSpec& spec);
    // A submission that can't be read; its uid, if that much was clear.
    void invalid(std::uint64_t request, const std::optional<std::string>& uid,
                 const std::string& error);
    void poll(std::uint64_t request, const std::string& uid);
    void cancel(std::uint64_t request, const std::string& uid);
    void tick();

  private:
    struct Waiting {
        std::string uid;
        double until = 0;
        std::function<void()> fresh;  // runs once the records are known to be current
    };

    struct Count {
        int running = 0;
        double until = -1e9;
    };

    int running_tasks(const Job& job);
    // The only way out of open_.
    void answer(UserReply reply);
    void reply(std::uint64_t request, int status, const std::string& uid, const std::string& state,
               const std::string& error = "");
    void reply_job(std::uint64_t request, int status, const Job& job, bool counts);
    void reply_finished(std::uint64_t request, const std::string& uid, const Finished& f,
                        bool counts);
    void busy(std::uint64_t request, const std::string& uid);
    // The same for a submission that the queue has no place for.
    void turn_away(std::uint64_t request, const std::string& uid);
    // Whether one more request may wait; a submission of the flow that has most waiting makes room.
    bool has_room(const admission::FlowName& flow);
    int turn_in_s(const std::string& uid) const;
    // Runs `then` with records at least as fresh as this moment; gives up with 503.
    void freshly(std::uint64_t request, const std::string& uid, double wait_s,
                 std::function<void()> then);
    void check();
    // Looks among the finished jobs, in memory and then in the state service.
    void look_up(std::uint64_t request, const std::string& uid,
                 std::function<void(const Finished*)> then);
    void answer_known(std::uint64_t request, const std::string& uid, bool counts,
                      std::function<void()> otherwise);
    void remember(const std::string& uid, const Finished& f);
    std::string refusal(const JobSpec& spec) const;
    const Finished* known_final(const std::string& uid) const;
    // A job on its way into the records, and who asked for it.
    struct Acceptance {
        std::vector<std::uint64_t> requests;
        JobSpec spec;
        int tries = 0;
        int parts = 0;                // records that hold what it follows
        Revision parts_revision = 0;  // of the last of them
        bool cancelled = false;       // with one that it follows
    };
    static admission::FlowName flow_of(const JobSpec& spec) { return {spec.team, spec.job_class}; }
    void enqueue(Acceptance a);
    // Whose turn it is, among those whose askers still wait; nullptr: nobody's.
    Acceptance* first();
    enum class Pulled { taken, given_up, sent_away };
    Acceptance pull(const admission::FlowName& flow, Pulled how);
    Acceptance take_first() { return pull(*admission_controller_.next_flow(), Pulled::taken); }
    JobRecord new_record(const Acceptance& a) const;
    void accept_dependent(std::uint64_t request, const JobSpec& spec);
    void write_parts(const Acceptance& a);
    void write_part(const std::shared_ptr<Acceptance>& a,
                    std::vector<std::vector<std::string>> parts);
    void accept(std::uint64_t request, const JobSpec& spec, int tries, bool cancelled = false);
    void write_accepted();
    void accepted(const std::vector<Acceptance>& batch, const StoreReply& reply);
    void answer_accepted(std::uint64_t request, const Acceptance& a);
    void accept_again(std::uint64_t request, const JobSpec& spec, int tries, bool cancelled);
    void do_cancel(std::uint64_t request, const std::string& uid, int tries);
    // Removes a request from the waiting ones; false if it was answered already.
    bool take(std::uint64_t request);

    Context& ctx_;
    Membership& membership_;
    Fleet& fleet_;
    Quota& quota_;
    const Dependencies& dependencies_;
    std::map<std::uint64_t, Waiting> open_;
    std::vector<std::uint64_t> queued_;                                // for the next read check
    std::map<admission::FlowName, std::deque<Acceptance>> accepting_;  // none of them empty
    admission::AdmissionController admission_controller_;              // to them
    std::deque<std::pair<double, std::size_t>> accepted_;  // jobs accepted lately, and when
    std::set<std::string> on_way_;                         // accepted here, not yet in the copy
    std::size_t accepts_open_ = 0;                         // records of accepted jobs on their way
    double next_accept_ = 0;                               // while writes are short
    std::uint64_t accepted_records_ = 0;
    std::unordered_map<std::string, Count> counts_;  // by job
    double next_prune_ = 0;
    int checks_open_ = 0;
    double next_check_ = 0;
    RateBudget look_ups_;  // of jobs that are in no memory
    std::unordered_map<std::string, Finished> finished_;
    std::vector<std::string> finished_order_;
    std::size_t finished_next_ = 0;
};

}  // namespace cranemoor::core

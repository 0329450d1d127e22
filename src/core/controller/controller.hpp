// Controller: composes the parts of the core into one state machine. Every input comes with the
// time; what there is to send, write, answer and log is returned by take().
#pragma once

#include <string>
#include <vector>

#include "core/agents/fleet.hpp"
#include "core/autoscaling/autoscaler.hpp"
#include "core/context/context.hpp"
#include "core/jobs/batched_claims.hpp"
#include "core/jobs/dependencies.hpp"
#include "core/jobs/job_completion.hpp"
#include "core/jobs/oversized_block_split.hpp"
#include "core/membership/membership.hpp"
#include "core/quota/quota.hpp"
#include "core/requests/request_handler.hpp"
#include "core/scheduling/admission_table_sync.hpp"
#include "core/scheduling/pending_queue.hpp"
#include "core/scheduling/preemption.hpp"
#include "core/scheduling/scheduler.hpp"

namespace cranemoor::core {

class Controller {
  public:
    Controller(Settings settings, Tunables tunables, std::string boot);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    void start(Now now);
    void tick(Now now);

    void submit(Now now, std::uint64_t request, const JobSpec& spec);
    void invalid(Now now, std::uint64_t request, const std::optional<std::string>& uid,
                 const std::string& error);
    void poll(Now now, std::uint64_t request, const std::string& uid);
    void cancel(Now now, std::uint64_t request, const std::string& uid);
    bool healthy(Now now);

    void report(Now now, std::uint64_t request, const Report& report, bool relayed);
    void peer_message(Now now, const std::string& peer, const PeerCall& message);

    void state_reply(Now now, std::uint64_t id, const StateReply& reply);
    void cloud_reply(Now now, std::uint64_t id, const CloudReply& reply);
    void order_reply(Now now, std::uint64_t id, const OrderReply& reply);
    void peer_reply(Now now, std::uint64_t id, bool answered,
                    const std::optional<WorkerReply>& reply);

    std::vector<Action> take();

    const Context& context() const { return ctx_; }
    Fleet& fleet() { return fleet_; }

  private:
    Context ctx_;
    Membership membership_;
    Quota quota_;
    BatchedClaims batched_claims_;
    Fleet fleet_;
    PendingQueue pending_queue_;
    AdmissionTableSync admission_table_sync_;
    Scheduler scheduler_;
    Preemption preemption_;
    Autoscaler autoscaler_;
    JobCompletion job_completion_;
    Dependencies dependencies_;
    RequestHandler request_handler_;
    OversizedBlockSplit oversized_block_split_;
};

}  // namespace cranemoor::core

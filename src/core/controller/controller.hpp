// Controller: composes the modules of the core into one state machine. Every input carries the
// time; the calls, replies and log lines that result are returned by take_actions().
#pragma once

#include <string>
#include <vector>

#include "core/agents/agent_manager.hpp"
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

/// One controller process without its input and output. `request` is the caller's id of a request;
/// the reply to it carries the same id.
class Controller {
  public:
    /// `boot_id` identifies this run of the process.
    Controller(Settings settings, Tunables tunables, std::string boot_id);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    /// Called once, before any other input.
    void start(Now now);
    /// Periodic work, due every `constants::core_tick_interval_s` seconds.
    void tick(Now now);

    /// A user submits a job.
    void submit(Now now, std::uint64_t request, const JobSpec& spec);
    /// A submission that can't be read; `uid` is null if not even the job's uid can be.
    void submit_malformed(Now now, std::uint64_t request, const std::optional<std::string>& uid,
                          const std::string& error);
    /// A user asks for the state of a job.
    void poll(Now now, std::uint64_t request, const std::string& uid);
    /// A user cancels a job.
    void cancel(Now now, std::uint64_t request, const std::string& uid);
    /// Result of the health check; false as long as the cloud's machine types are not known.
    bool healthy(Now now);

    /// A worker's heartbeat; `relayed`: it was received and forwarded by a peer.
    void handle_heartbeat(Now now, std::uint64_t request, const Heartbeat& heartbeat, bool relayed);
    /// A message from the controller named `peer`. A relayed heartbeat in it is passed separately,
    /// by handle_heartbeat().
    void peer_message(Now now, const std::string& peer, const PeerCall& call);

    /// Replies to the calls returned by take_actions(), by the call's id.
    void store_reply(Now now, std::uint64_t id, const StoreReply& reply);
    void cloud_reply(Now now, std::uint64_t id, const CloudReply& reply);
    void worker_command_reply(Now now, std::uint64_t id, const WorkerCommandReply& reply);
    void peer_reply(Now now, std::uint64_t id, bool answered,
                    const std::optional<WorkerReply>& reply);

    /// Returns the actions that have come up since the last call, in order.
    std::vector<Action> take_actions();

    const Context& context() const { return ctx_; }
    AgentManager& agent_manager() { return agent_manager_; }

  private:
    Context ctx_;
    Membership membership_;
    Quota quota_;
    BatchedClaims batched_claims_;
    AgentManager agent_manager_;
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

/// Admission controller: decides which of the waiting flows has its submission written next, and
/// which flow loses a queued submission when the submission queue is full. A pure policy without
/// I/O.
///
/// A flow is one team's class of jobs (`FlowName`). Accepting a job costs the same for every flow,
/// so all waiting flows get equal shares of the turns, and a flow that stops waiting leaves its
/// share to the others at once. This is start-time fair queueing (Goyal, Vin, Cheng, "Start-time
/// Fair Queueing", SIGCOMM 1996) with equal costs; docs/admission.md gives the reasoning.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "admission/min_share.hpp"

namespace cranemoor::admission {

/// Fair queue of waiting submissions, one queue per flow; see the file comment.
class AdmissionController {
  public:
    /// Records one more submission of `flow` as waiting.
    void enqueue(const FlowName& flow);
    /// Records that one waiting submission of `flow` no longer waits. `served`: true if it was the
    /// flow's turn and the submission was taken, false if its client gave up or it was rejected.
    /// Precondition: `flow` has at least one waiting submission.
    void dequeue(const FlowName& flow, bool served);
    /// The flow whose turn it is: among the flows that wait, the one given the fewest turns since
    /// it began to wait. std::nullopt if nothing waits.
    std::optional<FlowName> next_flow() const;
    /// The flow that must give up one waiting submission so that one more of `newcomer` may wait:
    /// the flow with the most waiting submissions. std::nullopt if that flow would be the
    /// newcomer's own.
    std::optional<FlowName> flow_to_evict(const FlowName& newcomer) const;
    /// Waiting submissions of all flows together.
    std::size_t waiting_count() const { return waiting_count_; }

  private:
    struct FlowQueue {
        std::size_t waiting = 0;
        // Start tag: the virtual time at which the flow began to wait, plus its turns since.
        std::size_t start_tag = 0;
    };
    // Flows that wait, or whose start tag is ahead of the virtual time.
    std::map<FlowName, FlowQueue> queues_;
    std::size_t waiting_count_ = 0;
    // Virtual time: the start tag of the flow served last.
    std::size_t virtual_time_ = 0;
};

}  // namespace cranemoor::admission

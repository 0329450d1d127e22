// Door: whose turn it is among submissions that wait to be written, and who makes room when no more
// may wait. A pure policy: flows that come and go in, a flow out. Accepting a job costs the same
// whoever asks, so that all flows that wait have equal parts; what one leaves goes to the others at
// once. Start-time fair queueing (Goyal, Vin, Cheng 1996) with equal costs.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "admission/floors.hpp"

namespace cranemoor::admission {

class Door {
  public:
    // One more of the flow waits.
    void enter(const FlowName& flow);
    // One of the flow, which must wait, no longer does; served: it was its turn, else it gave up.
    void leave(const FlowName& flow, bool served);
    // Whose turn it is: the flow that was given least since it began to wait; none if nobody waits.
    std::optional<FlowName> next() const;
    // The flow of which one must make room for one more of `newcomer`: that with most waiting; none
    // if that is the newcomer's own.
    std::optional<FlowName> longest(const FlowName& newcomer) const;
    std::size_t waiting() const { return waiting_; }

  private:
    struct Queue {
        std::size_t waiting = 0;
        std::size_t given = 0;  // turns, counted from where the others stood when it began
    };
    std::map<FlowName, Queue> queues_;  // that wait, or have had more turns than the others
    std::size_t waiting_ = 0;
    std::size_t now_ = 0;  // turns given to the flow whose turn it was last
};

}  // namespace cranemoor::admission

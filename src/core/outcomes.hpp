// Outcomes: the ends of tasks that their machines' owner knows of, until the records tell them.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/batched_claims.hpp"
#include "core/context.hpp"
#include "core/quota.hpp"

namespace cranemoor::core {

class Fleet;

class Outcomes {
  public:
    struct Outcome {
        std::uint64_t attempt = 0;
        bool done = false;
        std::string why;
        std::string machine;
        bool error = false;  // the task itself failed
    };

    Outcomes(Context& ctx, const Quota& quota, const Fleet& fleet, BatchedClaims& sheets)
        : ctx_(ctx), quota_(quota), fleet_(fleet), batched_claims_(sheets) {}

    void add(const TaskId& id, const Outcome& outcome);
    const Outcome* find(const Job& job, int task) const;
    // Drops what was concluded of a machine that is ours no more.
    void forget(const std::string& machine);
    // Something about the job changed: what is known of it is looked at again.
    void look_again(const std::string& uid);
    // Enters the ends of a block's tasks into what is to be written.
    void enter(const Job& job, int block, Block& next) const;
    // Writes what is due.
    void flush();

  private:
    // Outcomes of one block's tasks that are not written yet.
    struct Pending {
        std::map<int, Outcome> tasks;
        double since = 0;  // of the oldest
        bool look = true;  // whether something changed since it was last looked at
    };

    bool due(const Job& job, const Block& block, const Pending& pending) const;
    using Which = std::pair<std::string, int>;  // job and block
    struct Ready {
        bool later = false;  // nobody misses it yet
        double since = 0;
        Which which;
    };
    std::vector<Ready> look_through();
    bool for_sheet(const Which& which) const;
    void write_blocks(const std::vector<Which>& ready, bool later);
    void write_sheet(const std::vector<Which>& ready);
    bool add_ends(const Which& which, Txn& txn, std::vector<std::string>& taken);
    void settled(const StateReply& reply, const std::vector<std::string>& taken,
                 const std::vector<Which>& blocks);

    Context& ctx_;
    const Quota& quota_;
    const Fleet& fleet_;
    BatchedClaims& batched_claims_;
    bool sheet_open_ = false;
    double next_sheet_ = 0;
    std::map<Which, Pending> pending_;
    double next_look_ = 0;       // at all of them
    std::size_t ends_open_ = 0;  // blocks whose ends are on their way to the records
};

}  // namespace cranemoor::core

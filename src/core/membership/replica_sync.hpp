/// ReplicaSync: keeps the local replica of the key-value store's records up to date, with a full
/// read, page by page, and then one watch that starts at the read's revision.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/context/context.hpp"
#include "core/membership/store_contact.hpp"

namespace cranemoor::core {

/// Reads all records, then applies their changes; reads all records again when the store has
/// compacted the changes after the replica's revision (status 410).
class ReplicaSync {
  public:
    ReplicaSync(Context& ctx, StoreContact& store_contact)
        : ctx_(ctx), store_contact_(store_contact) {}

    /// Called after each change, once the replica shows a state that the store had at some
    /// revision.
    std::function<void()> on_replica_changed;

    /// Starts the first full read.
    void start() { read_page("", 0); }
    /// Starts a full read or a watch again if neither is in flight.
    void resume();
    /// Replaces the open watch, if there is one, by a new one.
    void reopen_watch();
    /// Whether a full read has completed since the start.
    bool has_read_all() const { return has_read_all_; }

  private:
    void read_page(const std::string& after, Revision first_page_revision);
    void on_page(const StoreReply& page, Revision first_page_revision);
    void watch();
    void on_watch_reply(const StoreReply& reply);
    bool apply(const std::vector<Event>& events);
    void read_again_later();

    Context& ctx_;
    StoreContact& store_contact_;
    bool reading_ = false;
    bool watching_ = false;
    std::uint64_t watch_generation_ = 0;  // replies to earlier watches are ignored
    bool has_read_all_ = false;
};

}  // namespace cranemoor::core

// ReplicaSync: keeps the local replica of the key-value store's records current, with a full read,
// page by page, and one watch from its revision on.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/context/context.hpp"
#include "core/membership/store_contact.hpp"

namespace cranemoor::core {

/// Reads all records, then follows their changes; reads everything again when the store has
/// compacted the changes it would need (410).
class ReplicaSync {
  public:
    ReplicaSync(Context& ctx, StoreContact& store_contact)
        : ctx_(ctx), store_contact_(store_contact) {}

    /// Called whenever the replica shows a state that the store had at some revision.
    std::function<void()> on_replica_changed;

    /// Begins the first full read.
    void start() { read_page("", 0); }
    /// Begins a full read or a watch again if neither is under way.
    void resume();
    /// Opens another watch in place of the open one, if there is one.
    void reopen_watch();
    /// Whether a full read has ended since the start.
    bool has_read_all() const { return has_read_all_; }

  private:
    void read_page(const std::string& after, Revision first_page_revision);
    void on_page(const StateReply& page, Revision first_page_revision);
    void watch();
    void on_watch_reply(const StateReply& reply);

    Context& ctx_;
    StoreContact& store_contact_;
    bool reading_ = false;
    bool watching_ = false;
    std::uint64_t watch_number_ = 0;  // replies to earlier watches are ignored
    bool has_read_all_ = false;
};

}  // namespace cranemoor::core

#include "core/membership/replica_sync.hpp"

#include <algorithm>

namespace cranemoor::core {

void ReplicaSync::resume() {
    if (reading_) {
        return;
    }
    if (!ctx_.jobs.loaded()) {
        read_page("", 0);
    } else if (!watching_) {
        watch();
    }
}

void ReplicaSync::reopen_watch() {
    if (watching_) {
        watch();
    }
}

void ReplicaSync::read_page(const std::string& after, Revision first_page_revision) {
    if (after.empty()) {
        ctx_.jobs.begin_load();
        ctx_.replica_complete = false;
    }
    reading_ = true;
    StoreCall call;
    call.kind = StoreCall::Kind::list;
    call.key = keys::watched_prefix;
    call.after = after;
    ctx_.call_store(call, [this, first_page_revision](const StoreReply& page) {
        on_page(page, first_page_revision);
    });
}

void ReplicaSync::on_page(const StoreReply& page, Revision first_page_revision) {
    if (page.status != StoreReply::Status::ok) {
        reading_ = false;
        store_contact_.delay_retries();
        return;
    }
    // The watch starts at the first page's revision. Later pages may be newer; the watch then
    // repeats changes that they already contain.
    Revision first = first_page_revision == 0 ? page.revision : first_page_revision;
    if (!apply(page.events)) {
        reading_ = false;
        read_again_later();
        return;
    }
    if (page.has_more && !page.events.empty()) {
        read_page(page.events.back().key, first);
        return;
    }
    reading_ = false;
    ctx_.jobs.end_load(first);
    has_read_all_ = true;
    // Pages that were read at different revisions show a state that the store never had, until the
    // watch has delivered all changes between these revisions, which it does at once.
    if (page.revision == first) {
        on_replica_changed();
    }
    watch();
}

void ReplicaSync::watch() {
    watching_ = true;
    ++watch_generation_;
    StoreCall call;
    call.kind = StoreCall::Kind::watch;
    call.key = keys::watched_prefix;
    call.since = ctx_.jobs.revision();
    ctx_.call_store(call, [this, generation = watch_generation_](const StoreReply& reply) {
        if (generation == watch_generation_) {
            on_watch_reply(reply);
        }
    });
}

void ReplicaSync::on_watch_reply(const StoreReply& reply) {
    watching_ = false;
    if (reply.status == StoreReply::Status::compacted) {
        ctx_.info(
            "watch: its revision is compacted in the key-value store, reading all records again");
        read_page("", 0);
        return;
    }
    if (reply.status != StoreReply::Status::ok) {
        store_contact_.delay_retries();
        return;
    }
    if (!apply(reply.events)) {
        read_again_later();
        return;
    }
    ctx_.jobs.advance_revision(reply.revision);
    on_replica_changed();
    watch();
}

// Returns false at the first record that can't be read.
bool ReplicaSync::apply(const std::vector<Event>& events) {
    return std::all_of(events.begin(), events.end(), [this](const Event& event) {
        return ctx_.read_record(event.key, event.revision, [&] { ctx_.jobs.apply(event); });
    });
}

// A replica without one record would show work as absent that may run. Until all can be read this
// process decides nothing, and `resume` starts the next full read.
void ReplicaSync::read_again_later() {
    ctx_.jobs.begin_load();
    ctx_.replica_complete = false;
    store_contact_.delay_retries();
}

}  // namespace cranemoor::core

#include "core/membership/membership.hpp"

#include <algorithm>

namespace cranemoor::core {

Membership::Membership(Context& ctx)
    : ctx_(ctx),
      store_contact_(ctx),
      lease_(ctx),
      election_(ctx, lease_, store_contact_),
      replica_(ctx, store_contact_),
      peers_(ctx, store_contact_, replica_) {
    lease_.on_granted = [this] { election_.join(); };
    // The key-value store may have stopped serving the open watch when it refused this process.
    // Waiting for that watch to time out would leave this process outside the epoch for seconds.
    lease_.on_expired = [this] { replica_.reopen_watch(); };
    replica_.on_replica_changed = [this] { on_replica_changed(); };
}

void Membership::start() {
    peers_.start();
    replica_.start();
    lease_.request();
}

void Membership::tick() {
    if (store_contact_.may_retry()) {
        replica_.resume();
        lease_.request();
        election_.join();
        election_.remove_dead_members();
    }
    lease_.keep_alive();
    store_contact_.refresh_safe_time();
    peers_.tick();
    apply_noted_cancellations();
    log_permissions();
}

// Why answers and starts are missing from here on, or are given again.
void Membership::log_permissions() {
    bool answers_workers = may_answer_workers();
    bool starts_tasks = answers_workers && may_start_tasks();
    if (answers_workers == answers_workers_ && starts_tasks == starts_tasks_) {
        return;
    }
    answers_workers_ = answers_workers;
    starts_tasks_ = starts_tasks;
    ctx_.info(
        "epoch {}: workers are {}answered, tasks are {}started: {}, records {}, cancellations "
        "unknown for {:.1f} s",
        ctx_.fencing_token, answers_workers ? "" : "not ", starts_tasks ? "" : "not ",
        ctx_.is_member ? "a member" : "no member",
        ctx_.replica_complete ? "complete" : "incomplete",
        std::max(0.0, cancellations_unknown_for_s()));
}

void Membership::on_replica_changed() {
    std::optional<Epoch> before = election_.observed_epoch();
    bool epoch_changed = election_.observe_epoch();
    ctx_.replica_complete = true;
    has_unapplied_cancellation_ = false;
    if (on_change) {
        on_change(epoch_changed, before);
    }
    ctx_.run_due_callbacks();
    election_.remove_dead_members();
    election_.join();
}

void Membership::on_peer_message(const std::string& peer, const PeerCall& message) {
    peers_.on_message(peer, message.has_store_contact);
    if (!message.lease) {
        bool is_heartbeat = !message.relayed_heartbeat && message.launches.empty();
        if (is_heartbeat) {
            peers_.on_heartbeat_without_leases(peer);
        }
        return;
    }
    for (const auto& cancellation : message.lease->cancelled) {
        note_cancelled(cancellation.uid, cancellation.cancelled_wall);
    }
    peers_.on_heartbeat(peer, message.lease->heartbeat);
    apply_noted_cancellations();
}

void Membership::note_cancelled(const std::string& uid, double cancelled_wall) {
    has_unapplied_cancellation_ =
        ctx_.jobs.note_cancelled(uid, cancelled_wall) || has_unapplied_cancellation_;
}

void Membership::apply_noted_cancellations() {
    if (has_unapplied_cancellation_ && ctx_.replica_complete && on_change) {
        has_unapplied_cancellation_ = false;
        on_change(false, election_.observed_epoch());
    }
}

// A reply renews the worker's lease for lease_s from its heartbeat on, so a task whose cancellation
// is unknown here may run for that long. Hence the rule: every cancellation that was confirmed to
// users more than cancel_deadline_s - lease_s ago, less a margin, is known here. The replica holds
// all cancellations as of the safe time; after it, the peers' read leases state until when no
// controller confirmed any other. This covers the following case: the key-value store refuses this
// controller alone while another one confirms cancellations, and then an outage of all controllers
// lasts longer than cancel_deadline_s. That no controller has contact during the outage proves
// nothing about the time before it.
bool Membership::may_answer_workers() const {
    if (!ctx_.is_member || !ctx_.replica_complete) {
        return false;
    }
    // The key-value store refuses this process alone: the sooner its workers fail over to another
    // controller, the sooner their work continues.
    double member_lease_s = constants::member_lease_ms / 1000.0;
    if (store_contact_.seconds_without_store() > member_lease_s && peers_have_store_contact()) {
        return false;
    }
    double limit_s =
        ctx_.settings.cancel_deadline_s - ctx_.settings.lease_s - constants::cancel_reply_margin_s;
    return cancellations_unknown_for_s() < std::max(limit_s, constants::store_contact_timeout_s);
}

// Seconds up to now for which cancellations that were confirmed to users may be unknown here.
double Membership::cancellations_unknown_for_s() const {
    return ctx_.now.steady - peers_.cancellations_known_until_s();
}

bool Membership::may_start_tasks() const {
    return cancellations_unknown_for_s() < constants::start_staleness_max_s;
}

bool Membership::healthy() const {
    return ctx_.is_member && (has_store_contact() || peers_.all_lack_store_contact());
}

}  // namespace cranemoor::core

// Membership: loads and watches the records, keeps this process's lease, joins epochs, removes
// the dead, and says who owns a machine.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/context/context.hpp"
#include "read_leases/read_leases.hpp"
#include "read_leases/safe_time.hpp"

namespace cranemoor::core {

class Membership {
  public:
    explicit Membership(Context& ctx) : ctx_(ctx) {}

    void start();
    void tick();
    void peer_message(const std::string& peer, bool contact, bool heartbeat,
                      const std::optional<LeaseHeartbeat>& lease);
    // Every call to the key-value store as it goes out; calls whose reply names the store's
    // revision (compare-and-swap, list, watch) count towards the safe time.
    void on_request_sent(const StoreCall& call);
    // The reply to call `call_id`; any reply but refused or unknown proves contact with the store.
    void on_reply(std::uint64_t call_id, const StoreReply& reply);
    // After a reply was applied to the copy: the revision the copy has reached moves the safe time.
    void on_copy_advanced();

    // Called after the records changed, with whether the epoch did.
    std::function<void(bool epoch_changed, const std::optional<Epoch>& before)> on_change;

    // The member that a machine belongs to, nullptr without members.
    const Member* owner(const std::string& machine, const std::string& zone) const;
    // Whether this process is a member and the owner of that machine (see owner()).
    bool owned_by_us(const std::string& machine, const std::string& zone) const;
    // Whether this process is the leader: the first member of the current epoch. The leader alone
    // scales out and scales in, and publishes the admission table.
    bool is_leader() const;

    // Seconds since the state service last answered this process.
    double seconds_without_store() const { return ctx_.now.steady - last_contact_; }
    bool has_store_contact() const { return seconds_without_store() < constants::contact_lost_s; }
    // Whether peers say that the state service answers them, although it does not answer us.
    bool peers_have_store_contact() const;
    bool peers_lack_store_contact() const;
    // Rule 8: whether this process may still answer its workers, and so renew their leases.
    bool may_answer_workers() const;
    // Whether a task may be started now: only while every cancellation that users were told of
    // until a moment ago is known here.
    bool may_start_tasks() const;
    // A cancellation that is durable, whatever the copy shows yet.
    void note_cancelled(const std::string& uid, double wall);
    // Whether users may be told of a cancellation; not while a peer relies on being told first.
    bool may_confirm_cancellations() const { return !leases_->promised(ctx_.now.steady); }
    bool healthy() const;

  private:
    void load(const std::string& after, Revision base);
    void watch();
    void grant();
    void join();
    void remove_dead();
    void take_in_noted();
    void settle();  // after the records changed
    void renew();
    void leave();
    void request_safe_time();
    double unknown_for_s() const;
    void look_at_leases();
    void beat();
    std::optional<LeaseHeartbeat> lease_heartbeat(
        const std::string& peer, const std::optional<std::vector<Cancellation>>& known);
    std::optional<std::vector<Cancellation>> known_cancellations() const;

    struct Heard {
        double at = -1e9;
        bool contact = false;
    };

    Context& ctx_;
    // Guards against a process that says it has contact because it has just begun: peers that rely
    // on each other would give up all their workers for it.
    double last_contact_ = -1e9;
    bool loading_ = false;
    bool watching_ = false;
    std::uint64_t watch_ = 0;  // number of the one that counts
    std::uint64_t lease_ = 0;
    bool granting_ = false;
    bool joining_ = false;
    bool removing_ = false;
    bool renewing_ = false;
    double next_renew_ = 0;
    double retry_at_ = 0;
    double dead_since_ = -1;
    double next_beat_ = 0;
    Revision epoch_revision_ = 0;
    std::optional<Epoch> epoch_before_;
    std::map<std::string, Heard> heard_;  // of each peer, last
    read_leases::SafeTime safe_time_;
    std::optional<read_leases::ReadLeases> leases_;  // from the start on
    bool requesting_safe_time_ = false;
    bool read_once_ = false;    // all records, since the start
    bool noted_ = false;        // a cancellation, which the others here still have to see
    bool had_contact_ = false;  // as the peers were told last
    bool relied_ = false;
};

}  // namespace cranemoor::core

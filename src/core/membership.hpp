// Membership: loads and watches the records, keeps this process's lease, joins epochs, removes
// the dead, and says who owns a machine.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/context.hpp"

namespace cranemoor::core {

class Membership {
  public:
    explicit Membership(Context& ctx) : ctx_(ctx) {}

    void start();
    void tick();
    void peer_word(const std::string& peer, bool contact);

    // Called after the records changed, with whether the epoch did.
    std::function<void(bool epoch_changed, const std::optional<Epoch>& before)> on_change;

    // The member that a machine belongs to, nullptr without members.
    const Member* owner(const std::string& machine, const std::string& zone) const;
    bool mine(const std::string& machine, const std::string& zone) const;
    // The first member rents and returns machines.
    bool leading() const;

    // Seconds since the state service last answered this process.
    double silent_s() const { return ctx_.now.steady - last_contact_; }
    bool in_contact() const { return silent_s() < constants::contact_lost_s; }
    // Whether peers say that the state service answers them, although it does not answer us.
    bool peers_have_contact() const;
    bool peers_lack_contact() const;
    // Rule 8: whether this process may still answer its workers.
    bool may_answer_workers() const;
    bool healthy() const;
    void contact() { last_contact_ = ctx_.now.steady; }

  private:
    void load(const std::string& after, Revision base);
    void watch();
    void grant();
    void join();
    void remove_dead();
    void settle();  // after the records changed
    void renew();
    void leave();

    struct Word {
        double at = -1e9;
        bool contact = false;
    };

    Context& ctx_;
    double last_contact_ = 0;
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
    std::map<std::string, Word> words_;
};

}  // namespace cranemoor::core

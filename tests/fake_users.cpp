#include "fake_users.hpp"

namespace cranemoor::test {

// Recorded when sent: only a reply older than those received by then violates a rule.
std::uint64_t FakeUsers::new_request(const std::string& uid) {
    std::uint64_t request = simulation_.new_request_id();
    history_.record_request(request, uid, simulation_.now());
    return request;
}

std::uint64_t FakeUsers::submit(int node, const JobSpec& spec) {
    add_submitted(spec);
    std::uint64_t request = new_request(spec.uid);
    send_(node, [=, this](Controller& controller) {
        controller.submit(simulation_.time(), request, spec);
    });
    return request;
}

std::uint64_t FakeUsers::submit_malformed(int node, const std::string& uid) {
    std::uint64_t request = new_request(uid);
    send_(node, [=, this](Controller& controller) {
        controller.submit_malformed(simulation_.time(), request, uid, "tasks: missing");
    });
    return request;
}

std::uint64_t FakeUsers::poll(int node, const std::string& uid) {
    std::uint64_t request = new_request(uid);
    send_(node,
          [=, this](Controller& controller) { controller.poll(simulation_.time(), request, uid); });
    return request;
}

std::uint64_t FakeUsers::cancel(int node, const std::string& uid) {
    std::uint64_t request = new_request(uid);
    ledger_.cancel_requested.insert(uid);
    send_(node, [=, this](Controller& controller) {
        controller.cancel(simulation_.time(), request, uid);
    });
    return request;
}

const UserReply* FakeUsers::find_reply(std::uint64_t request) const {
    auto it = replies_.find(request);
    return it == replies_.end() ? nullptr : &it->second;
}

bool FakeUsers::is_service(const std::string& uid) const {
    auto it = ledger_.specs.find(uid);
    return it != ledger_.specs.end() && it->second.kind == JobKind::service;
}

void FakeUsers::receive(const UserReply& reply) {
    replies_[reply.request] = reply;
    std::string violation = history_.check_reply(reply, simulation_.now());
    if (!violation.empty()) {
        invariants_.violations.push_back(violation);
    }
    if (reply.state == "cancelled") {
        ledger_.cancelled_at_s.try_emplace(reply.uid, simulation_.now());
    }
    invariants_.check_user_reply(reply);
    bool is_verifying_request = verifying_requests_.contains(reply.request);
    bool is_submitted = ledger_.specs.contains(reply.uid);
    if (verify_each_reply && !reply.state.empty() && !is_verifying_request && is_submitted) {
        verify_reply(reply.uid);
    }
}

void FakeUsers::verify_reply(const std::string& uid) {
    constexpr int requests_per_node = 3;  // two polls and a repeated submission
    for (int node = 0; node < nodes_; ++node) {
        for (int i = 0; i < requests_per_node; ++i) {
            simulation_.schedule_after(simulation_.message_delay(), [=, this] {
                // Before the request is sent, since the reply may arrive synchronously.
                verifying_requests_.insert(simulation_.next_request_id());
                if (i < requests_per_node - 1) {
                    poll(node, uid);
                } else {
                    submit(node, ledger_.specs.at(uid));
                }
            });
        }
    }
}

}  // namespace cranemoor::test

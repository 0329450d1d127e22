/// Fake users: submit, poll and cancel jobs at any node, and check every reply.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "answer_history.hpp"
#include "core/controller/controller.hpp"
#include "invariant_checker.hpp"
#include "job_ledger.hpp"
#include "simulation.hpp"

namespace cranemoor::test {

/// The users of a cluster. Each request gets an id by which its reply can be found.
class FakeUsers {
  public:
    /// Passes a request to the controller of a node, if one runs there.
    using SendToNode = std::function<void(int node, const std::function<void(Controller&)>&)>;

    FakeUsers(Simulation& simulation, JobLedger& ledger, InvariantChecker& invariants, int nodes,
              SendToNode send)
        : simulation_(simulation),
          ledger_(ledger),
          invariants_(invariants),
          nodes_(nodes),
          send_(std::move(send)) {}

    /// Submits a job; returns the id of the request, as do the functions below.
    std::uint64_t submit(int node, const JobSpec& spec);
    /// Submits a job that lacks a field.
    std::uint64_t submit_malformed(int node, const std::string& uid);
    /// Requests a job's state.
    std::uint64_t poll(int node, const std::string& uid);
    /// Requests a job's cancellation.
    std::uint64_t cancel(int node, const std::string& uid);

    /// Records and checks a reply of a controller.
    void receive(const UserReply& reply);
    /// The reply to a request; nullptr if there is none yet.
    const UserReply* find_reply(std::uint64_t request) const;
    /// Registers a job as submitted that a test wrote straight to the key-value store.
    void add_submitted(const JobSpec& spec) { ledger_.specs.try_emplace(spec.uid, spec); }
    /// Whether a job is a service; false if it was not submitted.
    bool is_service(const std::string& uid) const;

    /// After each reply that reports a job's state, users poll all nodes within milliseconds and
    /// submit the job again.
    bool verify_each_reply = false;

  private:
    std::uint64_t new_request(const std::string& uid);
    void verify_reply(const std::string& uid);

    Simulation& simulation_;
    JobLedger& ledger_;
    InvariantChecker& invariants_;
    int nodes_;
    SendToNode send_;
    AnswerHistory history_;
    std::map<std::uint64_t, UserReply> replies_;
    std::set<std::uint64_t> verifying_requests_;  // of verify_each_reply; not verified in turn
};

}  // namespace cranemoor::test

// Short stories on the core: each sets up troubles that would break a rule without its guard.
#include "story.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <numeric>

namespace cranemoor::test {
namespace {

Heartbeat bare_report(const std::string& name, const std::string& zone, Token token,
                      std::uint64_t seq) {
    return {name, name, "t8", zone, false, 1, seq, token, std::nullopt, {}};
}

// --- users --------------------------------------------------------------------------------

TEST_F(Story, AnAcceptedArrayIsRentedForRunsAndIsDone) {
    begin();
    EXPECT_EQ(w.submit_and_wait(0, w.job(1, JobKind::array, 3)).status, 201);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 30));
    w.run(1);
    auto poll = w.poll_and_wait(0, "req-000001");
    EXPECT_EQ(poll.status, 200);
    EXPECT_EQ(poll.state, "running");
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    poll = w.poll_and_wait(0, "req-000001");
    EXPECT_EQ(poll.state, "done");
    EXPECT_EQ(poll.counts, std::make_pair(3, 0));
}

TEST_F(Story, ARetryIsAnswered200WithTheCurrentStateAlsoAfterTheEnd) {
    begin();
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 201);
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 200);
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    auto again = w.submit_and_wait(0, w.job(1));
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(again.state, "done");
}

TEST_F(Story, WhatCanNeverRunIsRefusedWith422) {
    begin();
    auto bad_team = w.job(1);
    bad_team.team = "green";
    EXPECT_EQ(w.submit_and_wait(0, bad_team).status, 422);
    auto too_big = w.job(2);
    too_big.each.gpus = 9;
    EXPECT_EQ(w.submit_and_wait(0, too_big).status, 422);
    auto gang = w.job(3, JobKind::gang, 17);  // the team's limit is 16 GPUs
    gang.team = "red";
    EXPECT_EQ(w.submit_and_wait(0, gang).status, 422);
    auto array = w.job(4, JobKind::array, 17);  // an array needs only one task to fit
    array.team = "red";
    EXPECT_EQ(w.submit_and_wait(0, array).status, 201);
}

TEST_F(Story, AGangThatOneChangeCanNotClaimIsRefusedAndTheLargestOthersStart) {
    w.settings.state_value_kb = w.settings.state_value_kb_today = 2;
    w.settings.state_txn_ops = 4;
    w.value_kb = 2;
    w.txn_ops = 4;
    begin();
    auto gang = w.job(1, JobKind::gang, 126);  // three blocks of 42 and the quota's record
    EXPECT_EQ(w.submit_and_wait(0, gang).status, 201);
    EXPECT_EQ(w.submit_and_wait(0, w.job(2, JobKind::gang, 127)).status, 422);
    EXPECT_TRUE(w.until([&] { return w.finished("req-000001"); }, 120));
}

TEST_F(Story, AKnownJobIsNeverToldThatItIsMalformedOrImpossible) {
    begin();
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 201);
    auto changed = w.job(1);
    changed.team = "green";
    EXPECT_EQ(w.submit_and_wait(0, changed).status, 200);
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    // A fresh process has it in no memory: only the state service still knows it.
    w.kill(0);
    w.start(0);
    ASSERT_TRUE(w.until([&] { return w.all_members(1); }, 10));
    w.run(1);
    EXPECT_EQ(w.submit_and_wait(0, changed).status, 200);
}

TEST_F(Story, AnUnknownJobIs404OnlyAfterAFreshRead) {
    begin();
    EXPECT_EQ(w.poll_and_wait(0, "req-000009").status, 404);
    w.state_down = true;
    w.run(0.2);
    EXPECT_EQ(w.poll_and_wait(0, "req-000009").status, 503);
}

TEST_F(Story, ARefusedReadCheckIsAnsweredWithTheNameThatWasAskedFor) {
    // Found by the address sanitizer: the answer copied the name out of the request that it had
    // just erased. A name as long as this one is in memory of its own.
    begin();
    const std::string uid = "req-000000000000000000000000000009";
    w.state_refused = {0};
    std::vector<std::uint64_t> polls;
    polls.reserve(3);
    for (int i = 0; i < 3; ++i) {
        polls.push_back(w.poll(0, uid));
    }
    for (auto poll : polls) {
        auto answer = w.answer(poll);
        EXPECT_EQ(answer.status, 503);
        EXPECT_EQ(answer.uid, uid);
    }
}

TEST_F(Story, WithoutMachineTypesASubmissionIsToldToComeBack) {
    w.cloud_down = true;
    w.start_all();
    w.run(3);
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 503);
    EXPECT_FALSE(w.node(0).healthy({w.now, 1.7e9 + w.now}));
}

TEST_F(Story, AnOutageOfTheStateServiceIsAnsweredAtOnceWith503) {
    begin();
    w.state_down = true;
    w.run(2);
    double before = w.now;
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 503);
    EXPECT_LT(w.now - before, 0.2);
}

TEST_F(Three, APollSeesACancellationThatAnotherNodeHasJustConfirmed) {
    begin(3);
    ASSERT_EQ(w.submit_and_wait(0, w.job(1, JobKind::service)).status, 201);
    for (int node = 0; node < 3; ++node) {
        ASSERT_EQ(w.poll_and_wait(node, "req-000001").status, 200);
    }
    ASSERT_EQ(w.answer(w.cancel(1, "req-000001")).state, "cancelled");
    // World also checks that no later answer is an older one (went_back).
    EXPECT_EQ(w.poll_and_wait(0, "req-000001").state, "cancelled");
    EXPECT_EQ(w.poll_and_wait(2, "req-000001").state, "cancelled");
}

TEST_F(Three, AnAcceptedJobOutlivesAllNodes) {
    begin(3);
    ASSERT_EQ(w.submit_and_wait(2, w.job(1)).status, 201);
    for (int i = 0; i < 3; ++i) {
        w.kill(i);
    }
    w.run(5);
    w.start_all();
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 90));
    EXPECT_EQ(w.poll_and_wait(0, "req-000001").state, "done");
}

TEST_F(Story, AHundredThousandTasksFitIntoRecordsOfTheAllowedSize) {
    begin();
    w.capacity = 2;
    auto big = w.job(1, JobKind::array, 100000);
    ASSERT_EQ(w.submit_and_wait(0, big).status, 201);
    EXPECT_TRUE(w.until([&] { return w.running("req-000001") == 16; }, 60));
    EXPECT_EQ(w.answer(w.cancel(0, "req-000001")).state, "cancelled");
    EXPECT_TRUE(w.until([&] { return w.running("req-000001") == 0; }, 20));
}

TEST_F(Story, ACancellationStandsAlthoughTheLastTaskWasDoneMeanwhile) {
    // Found by the random story: the final record said "done" after its user was told otherwise.
    begin();
    w.submit_and_wait(0, w.job(1));
    auto token = w.report(0, bare_report("vm-100000", "a", 0, 1)).token;
    auto start = w.report(0, bare_report("vm-100000", "a", token, 2));
    ASSERT_EQ(start.commands.size(), 1U);
    EXPECT_EQ(w.answer(w.cancel(0, "req-000001")).state, "cancelled");
    auto done = bare_report("vm-100000", "a", token, 3);
    done.tasks.push_back(
        {{"req-000001", 0}, start.commands[0].attempt, TaskState::exited, ExitReason::done, false});
    w.report(0, done);
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 10));
    EXPECT_EQ(w.poll_and_wait(0, "req-000001").state, "cancelled");
}

TEST_F(Three, JobsThatComeTogetherShareARecordAndEndInOneWriteEach) {
    // Found in the first minute of every large day: accepting and ending a small job cost four
    // writes beside its claim, and writes were what was short.
    w.tunables.final_states = 5;
    begin(3);
    std::vector<std::uint64_t> asked;
    for (int i = 1; i <= 20; ++i) {
        // One in the midst has several blocks, and a record of its own: the bench once found the
        // jobs before it told to be accepted and not written.
        asked.push_back(w.submit(i % 3, w.job(i, JobKind::array, i == 16 ? 150 : 1)));
    }
    for (auto request : asked) {
        EXPECT_EQ(w.answer(request).status, 201);
    }
    EXPECT_LE(w.writes["c/a"], 10);
    auto uid = [](int i) { return fmt::format("req-{:06}", i); };
    for (int i = 1; i <= 20; ++i) {
        EXPECT_TRUE(w.accepted(uid(i))) << i;
    }
    EXPECT_EQ(w.answer(w.cancel(1, uid(3))).state, "cancelled");
    EXPECT_TRUE(w.until(
        [&] {
            int over = 0;
            for (int i = 1; i <= 20; ++i) {
                over += w.finished(uid(i)) ? 1 : 0;
            }
            return over == 20;
        },
        120));
    // All but a few are moved to keys of their own, and found there by processes that start anew.
    auto moved = [&] {
        int n = 0;
        for (int i = 1; i <= 20; ++i) {
            n += w.stored("f/" + uid(i)) != nullptr ? 1 : 0;
            EXPECT_TRUE(w.finished(uid(i)));
        }
        return n;
    };
    EXPECT_TRUE(w.until([&] { return moved() >= 15; }, 20)) << moved();
    EXPECT_EQ(w.stored("c/b/" + uid(3) + "/0") == nullptr, !w.accepted(uid(3)));
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(w.node(i).context().jobs.indexes_agree());
        w.kill(i);
    }
    w.start_all();
    ASSERT_TRUE(w.until([&] { return w.all_members(3); }, 10));
    w.run(2);
    for (int i = 1; i <= 20; ++i) {
        EXPECT_EQ(w.poll_and_wait(i % 3, uid(i)).state, i == 3 ? "cancelled" : "done");
        EXPECT_EQ(w.submit_and_wait((i + 1) % 3, w.job(i)).status, 200);
    }
    EXPECT_EQ(w.stored("c/j/" + uid(16)) == nullptr, w.stored("f/" + uid(16)) != nullptr);
    EXPECT_EQ(w.poll_and_wait(0, "req-000777").status, 404);
}

TEST_F(Three, ALateAcceptanceRevivesNoJob) {
    // Guards against a second record of the same job: the write of one node is executed when the
    // job, accepted by another meanwhile, is over and its final state was moved.
    w.tunables.final_states = 0;
    begin(3);
    w.run_s = 0.2;
    w.fetch_s = 0.1;
    w.add_machine("vm-500000", "a");
    w.run(5);
    // The first is over when the late write comes, the second still waits for a machine.
    auto waits = w.job(2);
    waits.zone = "b";
    w.late_txn = 1;
    w.submit(0, w.job(1));
    w.submit(0, waits);
    w.run(0.05);
    w.late_txn = 0;
    ASSERT_EQ(w.submit_and_wait(1, w.job(1)).status, 201);
    ASSERT_EQ(w.submit_and_wait(2, waits).status, 201);
    ASSERT_TRUE(w.until([&] { return w.stored("f/req-000001") != nullptr; }, 2.9));
    ASSERT_TRUE(w.until([&] { return w.stored("f/req-000002") != nullptr; }, 90));
    w.run(60);
    for (const char* uid : {"req-000001", "req-000002"}) {
        EXPECT_FALSE(w.accepted(uid));
        EXPECT_EQ(w.stored(std::string("c/b/") + uid + "/0"), nullptr);
        EXPECT_EQ(w.poll_and_wait(2, uid).state, "done");
    }
}

TEST_F(Story, UsersWhoAskForWhatNobodySubmittedDoNotCrowdOutOthers) {
    // Guards against polls many times as often as usual: each unknown uid is a read.
    w.settings.state_rps = 50;
    begin();
    std::vector<std::uint64_t> asked;
    asked.reserve(200);
    for (int i = 0; i < 200; ++i) {
        asked.push_back(w.poll(0, fmt::format("req-{:06}", 900000 + i)));
    }
    double before = w.now;
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 201);
    int unknown = 0;
    for (auto request : asked) {
        int status = w.answer(request).status;
        EXPECT_TRUE(status == 404 || status == 503);
        unknown += status == 404 ? 1 : 0;
    }
    EXPECT_LT(w.now - before, 1);  // nobody was kept waiting
    EXPECT_GE(unknown, 5);
    EXPECT_LE(unknown, 6);
}

// --- rule 1: epoch ------------------------------------------------------------------------

TEST_F(Three, ARestartedProcessJoinsAsANewMemberInANewEpoch) {
    begin(3);
    Epoch before = *w.node(0).context().jobs.epoch();
    w.kill(1);
    w.start(1);
    ASSERT_TRUE(
        w.until([&] { return w.node(0).context().jobs.epoch()->number > before.number; }, 10));
    ASSERT_TRUE(w.until([&] { return w.all_members(3); }, 10));
    const Epoch& after = *w.node(0).context().jobs.epoch();
    EXPECT_NE(after.find("n1")->id, before.find("n1")->id);
    EXPECT_EQ(after.find("n0")->id, before.find("n0")->id);
}

TEST_F(Three, EveryTransactionOfWorkIsConditionalOnTheEpoch) {
    begin(3);
    w.submit_and_wait(0, w.job(1, JobKind::array, 2));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 2; }, 30));
    // The epoch moves on: whatever was under way under the old one must die.
    w.late_txn = 1;
    w.submit(0, w.job(2));
    w.late_txn = 0;
    w.kill(2);
    ASSERT_TRUE(w.until([&] { return w.all_members(2); }, 10));
    w.run(4);
    EXPECT_FALSE(w.accepted("req-000002"));
    ASSERT_FALSE(w.refused_txns.empty());
}

TEST_F(Three, ADeadMemberIsRemovedAndItsMachinesAreAdopted) {
    begin(3);
    w.submit_and_wait(0, w.job(1, JobKind::service, 3));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 30));
    auto places = w.places("req-000001");
    const Member* owner = nullptr;
    for (int i = 0; i < 3; ++i) {
        if (w.node(i).fleet().adopted(places[0])) {
            owner = w.node(i).context().jobs.epoch()->find("n" + std::to_string(i));
        }
    }
    ASSERT_NE(owner, nullptr);
    int dead = std::stoi(owner->name.substr(1));
    w.kill(dead);
    int adopted = 0;
    ASSERT_TRUE(w.until(
        [&] {
            adopted = 0;
            for (int i = 0; i < 3; ++i) {
                adopted += i != dead && w.node(i).fleet().adopted(places[0]) ? 1 : 0;
            }
            return adopted == 1;
        },
        15));
    EXPECT_EQ(w.running("req-000001"), 3);  // nothing was restarted for it
}

// --- rule 2: owner and adoption -----------------------------------------------------------

TEST_F(Story, NothingIsStartedBeforeAReportCarriesOurToken) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    auto first = w.report(0, bare_report("vm-100000", "a", 0, 1));
    EXPECT_EQ(first.status, 200);
    EXPECT_TRUE(first.commands.empty());
    auto second = w.report(0, bare_report("vm-100000", "a", first.token, 2));
    ASSERT_EQ(second.commands.size(), 1U);
    EXPECT_EQ(second.commands[0].kind, Command::Kind::start);
}

TEST_F(Story, AHigherTokenThanOursGets421WithoutHome) {
    begin();
    auto reply = w.report(0, bare_report("vm-100000", "a", 999, 1));
    EXPECT_EQ(reply.status, 421);
    EXPECT_EQ(reply.home, "");
}

TEST_F(Three, AnothersMachineIsSentHomeAndRelayedIfItComesBack) {
    begin(3);
    auto sent = w.report(1, bare_report("vm-100000", "a", 0, 1));
    EXPECT_EQ(sent.status, 421);
    EXPECT_EQ(sent.home, "n0");  // of its own zone
    // It is back: its owner can't be reached from there.
    auto relayed = w.report(1, bare_report("vm-100000", "a", 0, 2));
    EXPECT_EQ(relayed.status, 200);
    EXPECT_EQ(relayed.token, w.node(0).context().fencing_token);
}

TEST_F(Three, MachinesWhoseOwnerIsCutOffFromThemKeepTheirLeases) {
    begin(3);
    w.submit_and_wait(0, w.job(1, JobKind::service, 3));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 30));
    auto before = w.places("req-000001");
    w.workers_cut.insert(0);
    w.run(40);
    EXPECT_EQ(w.places("req-000001"), before);
    for (const auto& name : before) {
        EXPECT_EQ(w.machines[name].session, 1U);
    }
}

TEST_F(Three, AnOwnerThatIsCutOffFromItsWorkersAloneReleasesNone) {
    // Found on an operations day: reports come back by way of the others a moment later than
    // silence is told, and their answers were kept open longer than the relay waits: 132 healthy
    // machines were released in ten seconds.
    w.settings.report_s = 4;
    begin(3);
    w.capacity = 0;
    for (int i = 0; i < 60; ++i) {
        w.add_machine(fmt::format("vm-5000{:02}", i),
                      w.settings.zones[static_cast<std::size_t>(i) % 3]);
    }
    auto large = w.job(1, JobKind::service, 60);
    large.each = {40, 5, 300};  // one to a machine
    w.submit_and_wait(0, large);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 60; }, 60));
    int up = w.machines_up();
    w.workers_cut.insert(0);
    w.run(45);
    w.workers_cut.clear();
    w.run(20);
    EXPECT_EQ(w.machines_up(), up);
    for (const auto& [name, m] : w.machines) {
        EXPECT_EQ(m.session, 1U) << name;
    }
}

TEST_F(Three, AWorkerThatWasRelayedGoesHomeOnceItCan) {
    // Found in a restart of a controller among hundreds of machines that stop: workers relayed once
    // were relayed for good.
    begin(3);
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    w.workers_cut.insert(0);
    auto relayed = [&] { return w.node(0).fleet().find("vm-500000")->last_heartbeat_relayed; };
    ASSERT_TRUE(w.until(relayed, 20));
    w.workers_cut.clear();
    EXPECT_TRUE(w.until([&] { return !relayed(); }, 45));
    EXPECT_EQ(w.machines.at("vm-500000").session, 1U);
}

TEST_F(Three, AFewRelayedReportsMakeNoOwnerPatientWithOthers) {
    // The same day: one relayed report in 12 s, and none of its owner's machines was fenced in
    // time.
    begin(3);
    w.capacity = 0;
    for (int i = 0; i < 12; ++i) {
        w.add_machine(fmt::format("vm-5000{:02}", i), "a");
    }
    auto large = w.job(1, JobKind::service, 12);
    large.each = {40, 5, 300};
    w.submit_and_wait(0, large);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 12; }, 60));
    Token token = w.node(0).context().fencing_token;
    w.machines.at("vm-500003").hangs = true;
    w.run(1);
    EXPECT_EQ(w.report(1, bare_report("vm-100000", "a", token, 1)).status, 421);
    EXPECT_EQ(w.report(1, bare_report("vm-100000", "a", token, 2)).status, 200);
    EXPECT_TRUE(w.until([&] { return w.machines.at("vm-500003").deleted; }, 10));
}

TEST_F(Story, ANodeThatIsNoMemberAnswersWorkersWith503) {
    w.state_down = true;
    w.start_all();
    w.run(1);
    EXPECT_EQ(w.report(0, bare_report("vm-100000", "a", 0, 1)).status, 503);
}

// --- rule 3: claim before start -----------------------------------------------------------

TEST_F(Story, TheClaimIsDurableWhenItsStartGoesOut) {
    begin();
    int starts = 0;
    w.on_command = [&](const std::string& machine, const Command& c) {
        if (c.kind == Command::Kind::start) {
            const Json* block = w.stored("c/b/" + c.id.uid + "/0");
            ASSERT_NE(block, nullptr);
            EXPECT_EQ(block->at("placed").at(std::to_string(c.id.index)).at(0), machine);
            ++starts;
        }
    };
    w.submit_and_wait(0, w.job(1, JobKind::array, 5));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 5; }, 30));
    EXPECT_GE(starts, 5);
}

TEST_F(Story, AnOlderReportIsIgnored) {
    begin();
    auto token = w.report(0, bare_report("vm-100000", "a", 0, 5)).token;
    w.submit_and_wait(0, w.job(1, JobKind::service));
    auto old = w.report(0, bare_report("vm-100000", "a", token, 4));
    EXPECT_TRUE(old.commands.empty());
    EXPECT_FALSE(w.node(0).fleet().adopted("vm-100000"));
}

TEST_F(Story, AClaimWhoseAnswerWasLostIsNeitherLostNorDoubled) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service, 4));
    w.lost_answers = 0.5;
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 4; }, 120));
    w.lost_answers = 0;
    w.run(20);
    EXPECT_EQ(w.running("req-000001"), 4);
}

// --- rule 4: restart only on proof --------------------------------------------------------

TEST_F(Story, AHangingMachineIsReleasedBeforeItsTaskRunsElsewhere) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    std::string first = w.places("req-000001")[0];
    w.machines[first].hangs = true;
    ASSERT_TRUE(w.until([&] { return w.machines[first].deleted; }, 40));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 40));
}

TEST_F(Story, WhileTheCloudIsDownASilentMachinesTaskWaits) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    std::string first = w.places("req-000001")[0];
    w.add_machine("vm-900000", "a");
    w.run(3);
    w.machines[first].zone_cut = true;
    w.cloud_down = true;
    w.run(20);  // its lease still holds: World would see the task run twice
    EXPECT_EQ(w.places("req-000001"), std::vector<std::string>{first});
    w.cloud_down = false;
    EXPECT_TRUE(w.until(
        [&] { return w.places("req-000001") == std::vector<std::string>{"vm-900000"}; }, 40));
}

TEST_F(Story, ALaterSessionProvesThatTheTasksAreGone) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    FakeMachine& m = w.machines[w.places("req-000001")[0]];
    m.tasks.clear();
    m.session++;
    EXPECT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 20));
}

TEST_F(Story, ADirectAnswerWithoutTheTaskIsNoProofWhileItsStartMayBeInFlight) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    auto token = w.report(0, bare_report("vm-100000", "a", 0, 1)).token;
    auto reply = w.report(0, bare_report("vm-100000", "a", token, 2));
    ASSERT_EQ(reply.commands.size(), 1U);
    // Cancelled while the start is under way; only the next report settles it.
    w.answer(w.cancel(0, "req-000001"));
    w.run(1);
    EXPECT_NE(w.stored("c/b/req-000001/0"), nullptr);
    auto late = bare_report("vm-100000", "a", token, 9);
    late.tasks.push_back({{"req-000001", 0},
                          reply.commands[0].attempt,
                          TaskState::running,
                          ExitReason::none,
                          false});
    auto stop = w.report(0, late);
    ASSERT_EQ(stop.commands.size(), 1U);
    EXPECT_EQ(stop.commands[0].kind, Command::Kind::stop);
    w.report(0, bare_report("vm-100000", "a", token, 10));
    EXPECT_TRUE(w.until([&] { return w.finished("req-000001"); }, 5));
}

TEST_F(Three, AProofThatCouldNotBeWrittenDiesWithTheOwnership) {
    // Found by the random story: a task ran twice, since its former owner wrote "not started"
    // after the next owner had started the same claim.
    begin(3);
    w.capacity = 0;
    w.submit_and_wait(1, w.job(1, JobKind::service));
    auto token = w.report(0, bare_report("vm-100000", "a", 0, 1)).token;
    auto start = w.report(0, bare_report("vm-100000", "a", token, 2));
    ASSERT_EQ(start.commands.size(), 1U);  // and its response is lost
    w.state_refused.insert(0);
    auto notice = bare_report("vm-100000", "a", token, 3);
    notice.notice_s = 20;
    w.report(0, notice);
    ASSERT_TRUE(w.until([&] { return !w.node(1).context().jobs.epoch()->find("n0"); }, 10));
    w.run(0.2);
    int owner = w.report(1, bare_report("vm-100000", "a", token, 4)).status == 200 ? 1 : 2;
    Token next = w.node(owner).context().fencing_token;
    w.report(owner, bare_report("vm-100000", "a", token, 5));
    auto again = w.report(owner, bare_report("vm-100000", "a", next, 6));
    ASSERT_EQ(again.commands.size(), 1U);
    EXPECT_EQ(again.commands[0].attempt, start.commands[0].attempt);
    w.state_refused.clear();
    ASSERT_TRUE(w.until([&] { return w.all_members(3); }, 15));
    w.run(2);
    const Json* block = w.stored("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    EXPECT_TRUE(block->at("placed").contains("0"));
}

// --- rule 5: durable before told ----------------------------------------------------------

TEST_F(Story, ForgetFollowsTheDurableRecord) {
    begin();
    bool checked = false;
    w.on_command = [&](const std::string&, const Command& c) {
        if (c.kind == Command::Kind::forget) {
            EXPECT_TRUE(w.finished(c.id.uid));
            checked = true;
        }
    };
    w.submit_and_wait(0, w.job(1));
    EXPECT_TRUE(w.until([&] { return checked; }, 90));
}

TEST_F(Story, ASubmissionWhoseWriteMayYetBeExecutedIsNotAnswered201) {
    begin();
    w.late_txn = 1;
    auto request = w.submit(0, w.job(1));
    auto reply = w.answer(request);
    EXPECT_EQ(reply.status, 503);
    w.late_txn = 0;
    EXPECT_TRUE(w.until([&] { return w.finished("req-000001"); }, 90));
    EXPECT_EQ(w.submit_and_wait(0, w.job(1)).status, 200);
}

// --- rule 6: quota ------------------------------------------------------------------------

TEST_F(Three, ATeamsLimitHoldsAcrossMembersAndTakeOvers) {
    begin(3);
    for (int i = 0; i < 6; ++i) {
        auto job = w.job(i + 1, JobKind::service, 6);  // 36 GPUs wanted, 16 allowed
        job.team = "red";
        w.submit_and_wait(i % 3, job);
    }
    auto total = [&] {
        int n = 0;
        for (int i = 0; i < 6; ++i) {
            n += w.running("req-00000" + std::to_string(i + 1));
        }
        return n;
    };
    ASSERT_TRUE(w.until([&] { return total() == 16; }, 60));
    w.kill(0);
    w.run(8);
    w.start(0);
    w.run(20);
    EXPECT_EQ(total(), 16);  // World checks quota at every start
    // A place that ends is used again, whoever holds the slice.
    for (int i = 0; i < 3; ++i) {
        w.answer(w.cancel(1, "req-00000" + std::to_string(i + 1)));
    }
    EXPECT_TRUE(w.until([&] { return total() == 16; }, 60));
    const Json* slices = w.stored("c/q/red");
    ASSERT_NE(slices, nullptr);
    double sum = 0;
    for (const auto& [id, r] : slices->at("held").items()) {
        sum += r.at(1).get<double>();
    }
    EXPECT_LE(sum, 16.0);
}

// --- rule 7: placement --------------------------------------------------------------------

TEST_F(Three, SpreadTogetherAndZoneAreKept) {
    begin(3);
    auto spread = w.job(1, JobKind::service, 5);
    spread.spread = true;
    auto together = w.job(2, JobKind::array, 5);
    together.together = true;
    auto zoned = w.job(3, JobKind::service, 2);
    zoned.zone = "c";
    w.submit_and_wait(0, spread);
    w.submit_and_wait(1, together);
    w.submit_and_wait(2, zoned);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 5; }, 60));
    ASSERT_TRUE(w.until([&] { return w.running("req-000003") == 2; }, 60));
    ASSERT_TRUE(w.until([&] { return w.finished("req-000002"); }, 90));
    for (const auto& name : w.places("req-000003")) {
        EXPECT_EQ(w.machines[name].info.zone, "c");
    }
}

TEST_F(Story, OnlyJobsThatAllowItRunOnSpotMachines) {
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a", true);
    auto strict = w.job(1, JobKind::service);
    auto cheap = w.job(2, JobKind::service);
    cheap.spot = true;
    w.submit_and_wait(0, strict);
    w.submit_and_wait(0, cheap);
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 30));
    w.run(10);
    EXPECT_EQ(w.running("req-000001"), 0);
}

TEST_F(Story, AMachineMarkedForReturnGetsNothingNew) {
    begin();
    w.add_machine("vm-500000", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500000"); }, 20));
    w.capacity = 0;
    w.store(
        "c/x/1-1",
        {{"why", "idle"}, {"fence", false}, {"machines", {"vm-500000"}}, {"gone", Json::array()}});
    w.submit_and_wait(0, w.job(1));
    EXPECT_TRUE(w.until([&] { return w.machines["vm-500000"].deleted; }, 10));
    EXPECT_EQ(w.running("req-000001"), 0);
}

// --- rule 8: cancel -----------------------------------------------------------------------

TEST_F(Story, ACancelledTaskBehindACutIsReleasedInTime) {
    begin();
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    std::string place = w.places("req-000001")[0];
    w.machines[place].zone_cut = true;
    EXPECT_EQ(w.answer(w.cancel(0, "req-000001")).state, "cancelled");
    EXPECT_TRUE(w.until([&] { return w.machines[place].deleted; }, w.settings.cancel_s));
}

TEST_F(Three, ANodeRefusedByTheStateServiceAloneStopsAnsweringItsWorkers) {
    begin(3);
    w.submit_and_wait(0, w.job(1, JobKind::service, 3));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 30));
    w.state_refused.insert(0);
    w.run(8);
    EXPECT_FALSE(w.node(0).healthy({w.now, 1.7e9 + w.now}));
    auto reply = w.report(0, bare_report("vm-100000", "a", 0, 1));
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(w.answer(w.cancel(1, "req-000001")).state, "cancelled");
    EXPECT_TRUE(w.until([&] { return w.running("req-000001") == 0; }, 30));
}

TEST_F(Three, ANodeThatWasRefusedIsBackAtOnceWhenItIsServedAgain) {
    // Incident inc-6e4f: its open watch was not served any more, and it joined only when the time
    // of that watch was over.
    begin(3);
    ASSERT_EQ(w.submit_and_wait(0, w.job(1)).status, 201);  // its watch is a fresh one
    w.run(0.1);
    w.state_refused = {1};
    ASSERT_TRUE(w.until([&] { return w.node(0).context().jobs.epoch()->members.size() == 2; }, 5));
    w.run(1);
    w.state_refused.clear();
    EXPECT_TRUE(w.until([&] { return w.all_members(3); }, 2));
}

TEST_F(Three, DuringACommonOutageWorkersAreStillAnswered) {
    begin(3);
    w.submit_and_wait(0, w.job(1, JobKind::service, 3));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 30));
    auto before = w.places("req-000001");
    w.state_down = true;
    w.run(60);  // longer than the workers' leases
    EXPECT_EQ(w.places("req-000001"), before);
    w.state_down = false;
    w.run(5);
    EXPECT_TRUE(w.all_members(3));
}

// --- scheduling ---------------------------------------------------------------------------

TEST_F(Story, AJobWaitsForAMachineWithItsImageThenRunsAnywhere) {
    begin();
    w.capacity = 0;
    w.run_s = 100;
    auto busy = w.job(1, JobKind::array, 8);  // fills the machine that has the image
    busy.image_gb = 20;
    busy.estimate_s = 2;  // a mistake: it is expected to end any moment
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, busy);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 8; }, 30));
    w.add_machine("vm-500001", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500001"); }, 20));
    double claimed = 0;
    w.on_command = [&](const std::string& m, const Command& c) {
        if (c.kind == Command::Kind::start && m == "vm-500001" && claimed == 0) {
            claimed = w.now;
        }
    };
    auto waits = w.job(2, JobKind::service);
    waits.image_gb = 20;
    w.submit_and_wait(0, waits);
    double submitted = w.now;
    ASSERT_TRUE(w.until([&] { return claimed > 0; }, 30));
    EXPECT_GE(claimed - submitted, Tunables().locality_wait_s - 0.1);
}

TEST_F(Story, AnImageThatIsSoonFetchedIsNotWorthTheWholeWait) {
    // Found in a day's log: gangs let free machines pass for 3 s to save a fetch of 5 s that they
    // hardly ever saved.
    begin();
    w.capacity = 0;
    w.run_s = 100;
    auto busy = w.job(1, JobKind::array, 8);
    busy.estimate_s = 2;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, busy);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 8; }, 30));
    w.add_machine("vm-500001", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500001"); }, 20));
    w.run(1);
    w.submit_and_wait(0, w.job(2, JobKind::service));  // 1 s to fetch
    EXPECT_TRUE(w.until([&] { return w.stored("c/b/req-000002/0") != nullptr; }, 1));
}

TEST_F(Story, AGangDoesNotWaitForFewerMachinesWithItsImageThanItHasTasks) {
    // Found in a grown day's log: gangs let free machines pass for W although only some of the
    // machines they needed had their image.
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    auto first = w.job(1, JobKind::gang);
    first.each = {60, 8, 400};
    w.submit_and_wait(0, first);
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    w.add_machine("vm-500001", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500001"); }, 20));
    w.run(1);
    auto gang = w.job(2, JobKind::gang, 2);
    gang.each = first.each;
    w.submit_and_wait(0, gang);
    EXPECT_TRUE(w.until([&] { return w.stored("c/b/req-000002/0") != nullptr; },
                        Tunables().locality_wait_s - 1));
}

TEST_F(Story, AJobDoesNotWaitForAMachineFullOfServices) {
    // Found in a day's log: replicas let empty machines pass for the sake of full ones.
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, w.job(1, JobKind::service, 8));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 8; }, 30));
    w.add_machine("vm-500001", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500001"); }, 20));
    w.submit_and_wait(0, w.job(2, JobKind::service));
    EXPECT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 2.5));
}

TEST_F(Story, ALocalTaskIsLaunchedWithoutWaiting) {
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    w.submit_and_wait(0, w.job(2, JobKind::service));
    EXPECT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 4.5));
}

TEST_F(Story, TeamsBelowTheirGuaranteeGoFirstTheFurthestFirst) {
    begin();
    w.capacity = 0;
    auto used = w.job(1, JobKind::service, 4);  // blue has half of its 8
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, used);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 4; }, 30));
    w.machines["vm-500000"].next_report = w.now + 3;
    auto blue = w.job(2, JobKind::service, 4);
    blue.priority = Priority::production;
    auto red = w.job(3, JobKind::service, 4);
    red.team = "red";
    w.submit(0, blue);
    w.submit(0, red);
    ASSERT_TRUE(
        w.until([&] { return w.running("req-000002") + w.running("req-000003") == 4; }, 30));
    EXPECT_EQ(w.running("req-000003"), 4);
}

TEST_F(Three, AGangStartsWholeAlsoOnMachinesOfSeveralMembers) {
    begin(3);
    auto gang = w.job(1, JobKind::gang, 3);
    gang.each = {60, 8, 400};
    gang.spread = true;
    w.submit_and_wait(0, gang);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 60));
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
}

TEST_F(Three, AGangThatLosesATaskIsStoppedAndStartedAgainWhole) {
    w.run_s = 60;
    begin(3);
    auto gang = w.job(1, JobKind::gang, 3);
    gang.each = {60, 8, 400};
    w.submit_and_wait(0, gang);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 3; }, 60));
    w.machines[w.places("req-000001")[1]].hangs = true;
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 240));
}

TEST_F(Story, HigherPriorityStopsTheNewestLowerWorkAndNothingElse) {
    w.run_s = 100;
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, w.job(1, JobKind::array, 7));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 7; }, 30));
    w.submit_and_wait(0, w.job(2, JobKind::array, 1));
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 1; }, 30));
    auto same = w.job(3, JobKind::service);
    w.submit_and_wait(0, same);
    w.run(20);
    EXPECT_EQ(w.running("req-000003"), 0);  // equal priority stops nobody
    auto urgent = w.job(4, JobKind::service);
    urgent.priority = Priority::production;
    w.submit_and_wait(0, urgent);
    EXPECT_TRUE(w.until([&] { return w.running("req-000004") == 1; }, 8));
    EXPECT_EQ(w.running("req-000001"), 7);
    EXPECT_EQ(w.running("req-000002"), 0);
}

TEST_F(Story, ATeamBelowItsGuaranteeGetsItAfterTheTimeout) {
    w.run_s = 200;
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.add_machine("vm-500001", "a");
    w.submit_and_wait(0, w.job(1, JobKind::array, 16));  // blue: twice its guarantee
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 16; }, 30));
    auto red = w.job(2, JobKind::array, 2);
    red.team = "red";
    w.submit_and_wait(0, red);
    EXPECT_TRUE(w.until([&] { return w.running("req-000002") == 2; }, 60));
}

TEST_F(Story, AMachineThatFailsEveryTaskIsSetAsideAndReturned) {
    begin();
    w.add_machine("vm-000000", "a").fails_tasks = true;
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-000000"); }, 20));
    for (int i = 1; i <= 6; ++i) {
        w.submit_and_wait(0, w.job(i));
    }
    EXPECT_TRUE(w.until([&] { return w.machines["vm-000000"].deleted; }, 60));
    for (int i = 1; i <= 6; ++i) {
        EXPECT_TRUE(w.until([&] { return w.finished("req-00000" + std::to_string(i)); }, 120));
    }
}

TEST_F(Three, AJobWithAMistakeCostsFewStartsAndNoMachine) {
    // Found on the days of the operations: eight tasks of one such job that failed on a machine
    // counted as eight errors, and the machine was returned; each controller learned alone.
    begin(3);
    w.capacity = 0;
    // Work that keeps all three in use, and room beside it.
    for (int i = 0; i < 3; ++i) {
        auto beside = w.job(3 + i, JobKind::service, 2);
        beside.zone = w.settings.zones[static_cast<std::size_t>(i)];
        w.add_machine("vm-50000" + std::to_string(i), *beside.zone);
        w.submit_and_wait(0, beside);
        ASSERT_TRUE(w.until([&] { return w.running(beside.uid) == 2; }, 60));
    }
    int starts = 0;
    w.on_command = [&](const std::string&, const Command& c) {
        starts += c.kind == Command::Kind::start && c.id.uid == "req-000002" ? 1 : 0;
    };
    w.mistaken.insert("req-000002");
    w.capacity = 100;
    auto bad = w.job(2, JobKind::array, 12);
    w.submit_and_wait(1, bad);
    w.run(60);
    int before = starts;
    // What one controller learned outlives it.
    for (int i = 0; i < 3; ++i) {
        w.kill(i);
    }
    w.start_all();
    ASSERT_TRUE(w.until([&] { return w.all_members(3); }, 20));
    w.run(60);
    EXPECT_LE(before, 60);
    EXPECT_LE(starts - before, 6);
    EXPECT_EQ(w.rentals, 0);
    EXPECT_EQ(w.machines_up(), 3);
    EXPECT_EQ(w.answer(w.cancel(0, "req-000002")).state, "cancelled");
}

TEST_F(Story, IdleWorkGetsOnlyTheRoomThatOthersLeave) {
    // Found on a visitors' day: a guest team's sweep without GPUs filled the machines that the
    // home team's gangs needed whole, and was rented hundreds of ordinary ones.
    begin();
    w.run_s = 200;
    w.capacity = 1;
    w.add_machine("vm-500000", "a");
    auto sweep = w.job(1, JobKind::array, 10);
    sweep.priority = Priority::best_effort;
    sweep.each = {16, 0, 16};
    sweep.spot = true;
    w.submit_and_wait(0, sweep);
    w.run(15);
    EXPECT_EQ(w.running("req-000001"), 0);  // it could be had whole by others
    w.submit_and_wait(0, w.job(2, JobKind::service, 8));
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") == 8; }, 30));
    // 32 CPUs are left that no GPU needs.
    EXPECT_TRUE(w.until([&] { return w.running("req-000001") == 2; }, 30));
    w.capacity = 100;
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 10; }, 60));
    for (const auto& place : w.places("req-000001")) {
        EXPECT_TRUE(w.machines[place].info.spot || place == "vm-500000");
    }
}

TEST_F(Story, IdleWorkGoesAfterOthersWhateverItsTeamHas) {
    w.settings.teams.push_back({"guest", {}, {}});
    begin();
    w.capacity = 0;
    w.run_s = 300;
    w.add_machine("vm-500000", "a", true);
    auto home = w.job(1, JobKind::array, 12);  // beyond its guarantee of 8
    home.spot = true;
    auto idle = w.job(2, JobKind::array, 8);
    idle.spot = true;
    idle.team = "guest";
    idle.priority = Priority::best_effort;
    w.submit_and_wait(0, home);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 8; }, 30));
    w.submit_and_wait(0, idle);
    w.run(5);
    w.add_machine("vm-500001", "a", true);
    ASSERT_TRUE(w.until([&] { return w.running("req-000002") > 0; }, 30));
    EXPECT_EQ(w.running("req-000001"), 12);
    EXPECT_EQ(w.running("req-000002"), 4);
}

TEST_F(Story, ASpotMachineUnderNoticeGetsNothingNew) {
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a", true).notice_s = 20;
    auto job = w.job(1, JobKind::service);
    job.spot = true;
    w.submit_and_wait(0, job);
    w.run(10);
    EXPECT_EQ(w.running("req-000001"), 0);
}

TEST_F(Three, EndsThatOnlyWaitToBeWrittenFenceNoMachine) {
    // Found in a shortage of writes: machines were released for cancelled tasks that had ended
    // there, and the work that went with them made the shortage last.
    begin(3);
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.submit_and_wait(0, w.job(1, JobKind::service, 4));
    w.submit_and_wait(0, w.job(2, JobKind::service, 4));
    auto running = [&](int n, int of) { return w.running("req-00000" + std::to_string(n)) == of; };
    ASSERT_TRUE(w.until([&] { return running(1, 4) && running(2, 4); }, 30));
    EXPECT_EQ(w.answer(w.cancel(0, "req-000002")).state, "cancelled");
    w.refuse_txn = [](const Txn& txn) {
        return std::any_of(txn.writes.begin(), txn.writes.end(),
                           [](const Write& x) { return x.key == "c/b/req-000002/0"; });
    };
    w.run(20);
    EXPECT_TRUE(running(1, 4) && running(2, 0));
    // Nor by an owner that has just taken it over.
    w.kill(0);
    w.run(30);
    EXPECT_TRUE(running(1, 4));
    EXPECT_FALSE(w.machines.at("vm-500000").deleted);
    w.refuse_txn = nullptr;
    EXPECT_TRUE(w.until([&] { return w.finished("req-000002"); }, 10));
}

TEST_F(Story, WhatCanSaveOnASpotMachineDoesSoBeforeItGoes) {
    begin();
    w.capacity = 0;
    w.run_s = 300;
    auto& spot = w.add_machine("vm-500000", "a", true);
    auto saves = w.job(1, JobKind::array, 2);
    saves.spot = true;
    saves.checkpoint_s = 10;
    saves.save_s = 2;
    saves.estimate_s = 300;
    auto loses = w.job(2, JobKind::array, 2);
    loses.spot = true;
    loses.estimate_s = 300;
    w.submit_and_wait(0, saves);
    w.submit_and_wait(0, loses);
    ASSERT_TRUE(
        w.until([&] { return w.running("req-000001") + w.running("req-000002") == 4; }, 30));
    std::set<TaskId> stopped;
    w.on_command = [&](const std::string&, const Command& c) {
        if (c.kind == Command::Kind::stop) {
            EXPECT_GE(c.grace_s, 2);
            stopped.insert(c.id);
        }
    };
    spot.notice_s = 20;
    ASSERT_TRUE(w.until(
        [&] { return w.node(0).fleet().find("vm-500000")->interruption_deadline.has_value(); }, 5));
    w.run(12);
    EXPECT_TRUE(stopped.empty());  // not before it must be
    w.run(6);
    EXPECT_EQ(stopped, (std::set<TaskId>{{"req-000001", 0}, {"req-000001", 1}}));
}

// --- cloud --------------------------------------------------------------------------------

TEST_F(Story, ARentalWithoutAnswerIsRepeatedUnderItsOwnName) {
    begin();
    w.cloud_down = true;
    w.submit_and_wait(0, w.job(1));
    w.run(6);
    w.cloud_down = false;
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    EXPECT_EQ(w.rentals, 1);
}

TEST_F(Story, AMachineThatReportsBeforeItsRentalIsAnsweredKeepsItsAddress) {
    // Guards against boots of a second: the rental's answer names no address and came last, and
    // the machine could be neither probed nor stopped until the next list.
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    ASSERT_TRUE(w.until([&] { return w.node(0).fleet().adopted("vm-500000"); }, 20));
    Fleet& fleet = w.node(0).fleet();
    fleet.apply_cloud_listing({{"vm-500000", "", "t8", "a", false, ListedState::starting, 0}});
    EXPECT_EQ(fleet.find("vm-500000")->address, "vm-500000");
}

TEST_F(Story, IdleMachinesAreReturnedAfterTheirMark) {
    begin();
    w.submit_and_wait(0, w.job(1));
    ASSERT_TRUE(w.until([&] { return w.finished("req-000001"); }, 60));
    EXPECT_TRUE(w.until([&] { return w.machines_up() == 0; }, 120));
}

TEST_F(Three, EmptyMachinesOfOtherMembersCountAsRoom) {
    // Found in a day's log: the leading member took machines that report to others for machines
    // that never came up, and rented more while they stood empty.
    begin(3);
    for (const char* zone : {"a", "b", "c"}) {
        w.add_machine(std::string("vm-50000") + zone, zone);
    }
    w.run(20);  // longer than a late boot
    int before = w.rentals;
    for (int i = 1; i <= 3; ++i) {
        auto gang = w.job(i, JobKind::gang);
        gang.each = {60, 8, 400};
        w.submit_and_wait(0, gang);
    }
    w.run(3);
    EXPECT_EQ(w.rentals, before);
}

TEST_F(Story, AMachineNobodyAskedForIsUsedOrReturned) {
    begin();
    w.add_machine("vm-777777", "b");
    EXPECT_TRUE(w.until([&] { return w.machines["vm-777777"].deleted; }, 120));
}

TEST_F(Three, AZoneThatIsCutOffForAWhileLosesNoMachines) {
    // Found in a grown day: a zone was cut off for little longer than its leases last, and every
    // machine in it was released.
    for (int i = 0; i < 36; ++i) {
        w.add_machine(fmt::format("vm-{:06}", 500000 + i), w.settings.zones[i % 3U]);
    }
    w.capacity = 0;
    begin(3);
    for (int i = 0; i < 36; ++i) {
        w.submit_and_wait(i % 3, w.job(i + 1, JobKind::service, 8));
    }
    w.run(15);
    auto cut = [&](bool on) {
        for (auto& [name, m] : w.machines) {
            m.zone_cut = on && m.info.zone == "a";
        }
        if (on) {
            w.state_refused.insert(0);
            w.workers_cut.insert(0);
            w.peers_cut = {{0, 1}, {0, 2}};
        } else {
            w.state_refused.clear();
            w.workers_cut.clear();
            w.peers_cut.clear();
        }
    };
    cut(true);
    w.run(w.settings.lease_s + 15);
    EXPECT_EQ(w.writes["c/x"], 0);
    cut(false);
    w.run(20);
    EXPECT_EQ(w.machines_up(), 36);
    for (int i = 0; i < 36; ++i) {
        EXPECT_EQ(w.running(fmt::format("req-{:06}", i + 1)), 8);
    }
    // A zone that stays away is given up in the end.
    cut(true);
    EXPECT_TRUE(w.until([&] { return w.machines_up() <= 24; }, w.settings.cancel_s + 60));
}

// --- many machines ------------------------------------------------------------------------

TEST_F(Three, AThousandMachinesCostABoundedNumberOfWrites) {
    w.settings.report_s = 8;
    w.settings.lease_s = 42;
    w.settings.cancel_s = 67;
    w.settings.teams = {{"red", {0, 500, 0}, {0, 4000, 0}}, {"blue", {0, 500, 0}, {0, 4000, 0}}};
    for (int i = 0; i < 1000; ++i) {
        w.add_machine(fmt::format("vm-{:06}", 500000 + i), w.settings.zones[i % 3U]);
    }
    w.capacity = 0;
    begin(3);
    w.run(12);
    const int jobs = 90;
    for (int i = 0; i < jobs; ++i) {
        auto kind = std::array{JobKind::array, JobKind::gang,
                               JobKind::service}[static_cast<std::size_t>(i % 3)];
        auto spec = w.job(i + 1, kind, kind == JobKind::array ? 24 : 2);
        spec.team = i % 2 == 0 ? "red" : "blue";
        if (kind == JobKind::gang) {
            spec.each = {60, 8, 400};
            spec.together = true;
        }
        w.submit(i % 3, spec);
    }
    auto placed = [&] {
        int n = 0;
        for (int i = 0; i < jobs; ++i) {
            n += static_cast<int>(w.places(fmt::format("req-{:06}", i + 1)).size());
        }
        return n;
    };
    EXPECT_TRUE(w.until([&] { return placed() == 30 * 24 + 30 * 2 + 30 * 2; }, 20)) << placed();
    // One write accepts several jobs; about one claims each, where a claim for each machine's
    // report would take three for an array; slices are taken in coarse parts.
    EXPECT_LT(w.writes["c/a"], jobs / 4);
    EXPECT_EQ(w.writes["c/j"], 0);
    EXPECT_LE(w.writes["c/b"], jobs * 3 / 2);
    EXPECT_LE(w.writes["c/q"], 12);
    w.run(60);
    // The ends of 24 tasks are collected; a gang's are one write, and so is a job's final state.
    EXPECT_LE(w.writes["c/b"], jobs * 4);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(w.node(i).context().jobs.indexes_agree());
    }
    // A wave: the marks of many machines share records.
    int before = w.writes["c/x"];
    int hanging = 0;
    for (auto& [name, m] : w.machines) {
        if (hanging < 200 && !m.deleted) {
            m.hangs = true;
            ++hanging;
        }
    }
    EXPECT_TRUE(w.until(
        [&] {
            return std::all_of(w.machines.begin(), w.machines.end(),
                               [](const auto& m) { return !m.second.hangs || m.second.deleted; });
        },
        60));
    EXPECT_LE(w.writes["c/x"] - before, 60);
}

TEST_F(Story, EndsOfAnArrayCostFewWritesAndGoWithClaims) {
    // Found after the state service had lowered its write limit: every end of a wide array was told
    // by a write of its own, and claims waited behind them.
    w.capacity = 2;
    w.run_s = 1000;
    begin();
    w.add_machine("vm-500000", "a");
    w.add_machine("vm-500001", "a");
    w.run(8);
    auto wide = w.job(1, JobKind::array, 30);
    wide.each = {6, 0, 10};  // ten on each machine
    ASSERT_EQ(w.submit_and_wait(0, wide).status, 201);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 20; }, 30));
    int before = w.writes["c/b"];
    for (int t = 0; t < 10; ++t) {
        for (auto& [name, m] : w.machines) {
            auto task = m.tasks.find({"req-000001", t});
            if (task != m.tasks.end()) {
                task->second.begin()->second.ends_at = w.now;
            }
        }
        w.run(0.8);
    }
    w.run(2);
    EXPECT_LE(w.writes["c/b"] - before, 12);
    int done = 0;
    for (const auto& range : w.stored("c/b/req-000001/0")->at("done")) {
        done += range.at(1).get<int>() - range.at(0).get<int>() + 1;
    }
    EXPECT_GE(done, 9);
    EXPECT_EQ(w.running("req-000001"), 20);
}

TEST_F(Story, AClaimOnAMachineNobodyKnowsIsTakenBack) {
    // Guards against a claim that lands after its machine was released and forgotten.
    begin();
    w.add_machine("vm-500000", "a");
    w.capacity = 0;
    w.run(6);
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 20));
    const Json* block = w.stored("c/b/req-000001/0");
    ASSERT_NE(block, nullptr);
    Json late = *block;
    late["attempt"] = 9;
    late["placed"]["0"][0] = "vm-999999";
    late["placed"]["0"][2] = 9;
    w.store("c/b/req-000001/0", late);
    EXPECT_TRUE(w.until(
        [&] {
            const Json* now = w.stored("c/b/req-000001/0");
            return now != nullptr && now->at("placed").contains("0") &&
                   now->at("placed").at("0").at(0) == "vm-500000";
        },
        60));
}

TEST_F(Story, OneClaimOverMachinesOfTwoZonesKeepsAJobTogether) {
    // A lone member owns the machines of all zones, and claims on several at once.
    begin();
    w.capacity = 0;
    w.add_machine("vm-500000", "a");
    w.add_machine("vm-500001", "b");
    w.run(6);
    auto job = w.job(1, JobKind::array, 12);
    job.together = true;
    w.submit_and_wait(0, job);
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 8; }, 20));
    w.run(5);  // World checks the zone at every start
    auto places = w.places("req-000001");
    EXPECT_EQ(std::set<std::string>(places.begin(), places.end()).size(), 1U);
}

TEST_F(Story, LongReportIntervalsDoNotLookLikeSilence) {
    w.settings.report_s = 8;
    w.settings.lease_s = 42;
    w.settings.cancel_s = 67;
    begin();
    w.add_machine("vm-500000", "a");
    w.capacity = 0;
    w.submit_and_wait(0, w.job(1, JobKind::service));
    ASSERT_TRUE(w.until([&] { return w.running("req-000001") == 1; }, 30));
    w.run(60);
    EXPECT_FALSE(w.machines["vm-500000"].deleted);
    EXPECT_EQ(w.writes["c/x"], 0);
}

// --- everything at once -------------------------------------------------------------------

class Random : public ::testing::TestWithParam<unsigned> {};

TEST_P(Random, RulesHoldWhileNodesMessagesAndMachinesFail) {
    World w(3, GetParam());
    std::mt19937 random(GetParam() * 7919UL);
    auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    w.run_s = 15;
    w.tunables.final_states = 4;  // so that they are moved as well
    if (GetParam() % 2 == 0) {
        w.settings.state_value_kb = 2;
        w.settings.state_txn_ops = 4;
    }
    w.start_all();
    w.lost_answers = 0.03;
    w.late_txn = 0.03;
    w.slow = 0.02;
    w.late_report = 0.03;
    w.close_looks = GetParam() % 4 == 1;
    w.boot_s = GetParam() % 5 == 0 ? 1.5 : 5;
    std::vector<std::string> jobs;
    bool sharing = GetParam() % 3 == 0;
    for (int step = 0; step < 120; ++step) {
        int node = pick(3);
        if (sharing && pick(5) == 0) {
            w.set_table(pick(4) != 0, {1 + pick(3), 1 + pick(3), 1 + pick(3)});
        }
        if (step == 60) {
            w.value_kb = w.settings.state_value_kb;
            w.txn_ops = w.settings.state_txn_ops;
        }
        switch (pick(20)) {
            case 0:
                if (w.alive(node)) {
                    w.kill(node);
                }
                break;
            case 1:
                w.state_down = pick(3) == 0;
                break;
            case 2:
                w.cloud_down = pick(3) == 0;
                break;
            case 3:
                w.state_refused = pick(2) == 0 ? std::set<int>{node} : std::set<int>{};
                break;
            case 4:
                w.workers_cut = pick(2) == 0 ? std::set<int>{node} : std::set<int>{};
                break;
            case 5:
                w.peers_cut.clear();
                if (pick(2) == 0) {
                    w.peers_cut.insert({0, 1 + pick(2)});
                }
                break;
            case 6:
                for (auto& [name, m] : w.machines) {
                    m.hangs = !m.deleted && pick(12) == 0;
                    m.zone_cut = !m.deleted && pick(12) == 0;
                }
                break;
            case 7:
                if (!jobs.empty() && w.alive(node)) {
                    w.cancel(node,
                             jobs[static_cast<std::size_t>(pick(static_cast<int>(jobs.size())))]);
                }
                break;
            case 8:
                for (auto& [name, m] : w.machines) {
                    m.deaf = !m.deleted && pick(6) == 0;
                }
                break;
            case 9:
                if (pick(2) == 0) {
                    w.freeze(node);
                } else {
                    w.thaw(node);
                }
                break;
            case 10:
                // Cut from the state service and from the others, but not from workers and users;
                // perhaps a cancellation is confirmed by another, and then nobody is answered.
                w.state_refused = {node};
                w.peers_cut = {{std::min(node, (node + 1) % 3), std::max(node, (node + 1) % 3)},
                               {std::min(node, (node + 2) % 3), std::max(node, (node + 2) % 3)}};
                break;
            case 11:
                w.state_refused = {node};
                w.run(pick(3));
                if (!jobs.empty() && w.alive((node + 1) % 3)) {
                    w.cancel((node + 1) % 3,
                             jobs[static_cast<std::size_t>(pick(static_cast<int>(jobs.size())))]);
                    w.run(0.1 * pick(10));
                }
                w.state_down = true;
                w.run(pick(2) * w.settings.cancel_s);
                break;
            case 12:
                for (auto& [name, m] : w.machines) {
                    m.mute = !m.deleted && pick(6) == 0;
                }
                break;
            case 13:
                // Old reports reach everybody as another begins to act.
                w.keep_report = pick(2) == 0 ? 0.3 : 0;
                w.run(pick(3));
                w.deliver_kept();
                break;
            case 14:
                w.forget_history();
                break;
            case 15:
                // Carried out at once or after a while, and answered late or not at all.
                w.late_answer = nullptr;
                w.slow_txn = nullptr;
                if (pick(2) == 0) {
                    w.late_answer = [&, s = 0.5 * pick(6)](const Txn& t) {
                        return t.writes.empty() || pick(3) != 0 ? 0.0 : s;
                    };
                    w.slow_txn = [&](const Txn&) { return pick(8) == 0 ? 1.5 : 0.0; };
                }
                break;
            default: {
                if (!w.alive(node)) {
                    break;
                }
                auto kind = std::array{JobKind::array, JobKind::gang,
                                       JobKind::service}[static_cast<std::size_t>(pick(3))];
                auto spec = w.job(step + 1, kind, 1 + pick(4));
                if (kind == JobKind::array && pick(6) == 0) {
                    spec.tasks = 60;  // of several blocks
                    spec.each = {1, 0, 1};
                }
                spec.team = pick(2) == 0 ? "red" : "blue";
                spec.spread = pick(3) == 0;
                spec.together = !spec.spread && pick(3) == 0;
                spec.spot = pick(3) == 0;
                spec.image = "img-0" + std::to_string(pick(3));
                for (int i = pick(3); i > 0 && !jobs.empty(); --i) {
                    const auto& other =
                        jobs[static_cast<std::size_t>(pick(static_cast<int>(jobs.size())))];
                    // Services are never named, and users name only what was accepted.
                    if (!w.is_service(other) && w.accepted(other)) {
                        spec.follows.push_back(other);
                    }
                }
                w.submit(node, spec);
                jobs.push_back(spec.uid);
            }
        }
        for (int i = 0; i < 3; ++i) {
            if (!w.alive(i) && pick(4) == 0) {
                w.start(i);
            }
            if (w.alive(i) && !jobs.empty()) {
                w.poll(i, jobs[static_cast<std::size_t>(pick(static_cast<int>(jobs.size())))]);
            }
        }
        w.run(1 + pick(4));
        for (int i = 0; i < 3; ++i) {
            ASSERT_TRUE(!w.alive(i) || w.node(i).context().jobs.indexes_agree());
        }
        ASSERT_EQ(w.broken, std::vector<std::string>()) << "step " << step;
    }
    // When the troubles end, whatever can end does.
    w.state_down = w.cloud_down = false;
    w.state_refused.clear();
    w.workers_cut.clear();
    w.peers_cut.clear();
    w.lost_answers = w.late_txn = w.slow = w.late_report = w.keep_report = 0;
    w.late_answer = w.slow_txn = nullptr;
    for (auto& [name, m] : w.machines) {
        m.hangs = m.zone_cut = m.deaf = m.mute = false;
    }
    for (int i = 0; i < 3; ++i) {
        w.thaw(i);
        if (!w.alive(i)) {
            w.start(i);
        }
    }
    w.run(60);
    EXPECT_TRUE(w.all_members(3));
    for (const auto& uid : jobs) {
        if (w.accepted(uid)) {
            EXPECT_EQ(w.poll_and_wait(1, uid).status, 200) << uid;  // nobody is forgotten
        }
        if (w.accepted(uid) && !w.finished(uid)) {
            w.answer(w.cancel(0, uid));
        }
    }
    w.run(60);
    EXPECT_EQ(w.broken, std::vector<std::string>());
    for (const auto& uid : jobs) {
        EXPECT_TRUE(!w.accepted(uid) || w.finished(uid)) << uid;
    }
}

// The same seeds every run; CRANEMOOR_SEEDS=FIRST:LAST looks further by hand.
std::vector<unsigned> seeds() {
    unsigned first = 1;
    unsigned last = 40;
    if (const char* more = std::getenv("CRANEMOOR_SEEDS")) {
        std::sscanf(more, "%u:%u", &first, &last);
    }
    std::vector<unsigned> list(last - first + 1);
    std::iota(list.begin(), list.end(), first);
    return list;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Random, ::testing::ValuesIn(seeds()));

}  // namespace
}  // namespace cranemoor::test

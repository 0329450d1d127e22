// The line that a process writes before it ends by itself.
#include "io/crash_report.hpp"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>

#include "program_fixture.hpp"

namespace cranemoor {
namespace {

using io::HandledMessage;

struct CrashReport : ::testing::Test {
    void SetUp() override { ::testing::GTEST_FLAG(death_test_style) = "threadsafe"; }
};

// Ends at the guard page of the stack; the bound keeps the compiler from complaining.
int overflow_stack(int levels_left) {
    std::array<char, 1024> frame{};
    volatile char* bytes = frame.data();
    bytes[0] = static_cast<char>(levels_left);
    return levels_left == 0 ? bytes[0] : overflow_stack(levels_left - 1) + bytes[0];
}

void overflow_stack_while_handling(const std::string& body) {
    io::install_crash_report();
    io::set_reported_token(38);
    HandledMessage scope({"users and workers", "POST", "/work", body});
    HandledMessage::set_step("decode_submission");
    std::_Exit(overflow_stack(1 << 30));
}

TEST_F(CrashReport, StackOverflowNamesTheMessageAndEndsWithTheSignal) {
    EXPECT_EXIT(overflow_stack_while_handling(std::string(60000, '\x5f')),
                ::testing::KilledBySignal(SIGSEGV),
                "cranemoor: fatal signal 11 \\(SIGSEGV\\) while handling POST /work from users and "
                "workers in decode_submission, body of 60000 bytes, first 5f5f5f5f5f5f5f5f, last "
                "5f5f5f5f5f5f5f5f, token 38\n");
}

TEST_F(CrashReport, TargetsAreCutOffAndCannotForgeLines) {
    auto abort_while_handling = [] {
        io::install_crash_report();
        HandledMessage scope({"users and workers", "GET", "/x\ny" + std::string(5000, 'z'), "ab"});
        std::abort();
    };
    EXPECT_EXIT(
        abort_while_handling(), ::testing::KilledBySignal(SIGABRT),
        "SIGABRT\\) while handling GET /x\\?yzzz.* in dispatch, body of 2 bytes, first 6162, "
        "last 6162, token 0\n");
}

TEST_F(CrashReport, AnEndedScopeIsNotReportedAndAnOuterOneIsAgain) {
    auto abort_after_nested_scope = [] {
        io::install_crash_report();
        HandledMessage outer({"key-value store", "POST", "/txn", ""});
        { HandledMessage inner({"timer", "", "tick", ""}); }
        std::abort();
    };
    EXPECT_EXIT(
        abort_after_nested_scope(), ::testing::KilledBySignal(SIGABRT),
        "while handling POST /txn from key-value store in dispatch, body of 0 bytes, token");
    auto abort_between = [] {
        io::install_crash_report();
        { HandledMessage ended({"timer", "", "tick", ""}); }
        std::abort();
    };
    EXPECT_EXIT(abort_between(), ::testing::KilledBySignal(SIGABRT), "between messages, token 0\n");
}

TEST_F(CrashReport, AnExceptionThatLeavesTheHandlerNamesItsMessage) {
    auto throw_while_handling = [] {
        try {
            HandledMessage scope({"peers", "POST", "/peer", "xyz"});
            HandledMessage::set_step("decode_peer_call");
            throw std::runtime_error("no such thing");
        } catch (const std::exception& error) {
            io::report_fatal_error(error.what());
        }
        std::_Exit(1);
    };
    EXPECT_EXIT(throw_while_handling(), ::testing::ExitedWithCode(1),
                "cranemoor: fatal error: no such thing while handling POST /peer from peers in "
                "decode_peer_call, body of 3 bytes, first 78797a, last 78797a, token 0\n");
}

TEST_F(Program, AFatalSignalIsInTheLogOfTheController) {
    start_controller();
    ASSERT_GT(child, 0);
    auto answers = [](const io::HttpMessage& message) { return message.status == 503; };
    ASSERT_TRUE(ask("GET", "/healthz", "", answers));
    ::kill(child, SIGSEGV);
    EXPECT_EQ(wait_for_signal(), SIGSEGV);
    EXPECT_NE(log().find("cranemoor: fatal signal 11 (SIGSEGV)"), std::string::npos) << log();
}

}  // namespace
}  // namespace cranemoor

// Bodies that are nested without bound, at the decoder and at a running controller.
#include <gtest/gtest.h>
#include <pthread.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "core/model/constants.hpp"
#include "program_fixture.hpp"
#include "wire/cbor.hpp"

namespace cranemoor {
namespace {

constexpr char byte_string_of_chunks = '\x5f';
constexpr char text_of_chunks = '\x7f';
constexpr std::size_t body_bytes = 60000;
constexpr std::size_t small_stack_bytes = 256UL * 1024;

// Heads that a decoder may answer by calling itself.
std::vector<std::string> nested_bodies() {
    std::vector<std::string> bodies;
    for (char head :
         {byte_string_of_chunks, text_of_chunks, '\x81', '\x9f', '\xa1', '\xbf', '\xc1', '\xd8'}) {
        std::string nested(body_bytes, head);
        bodies.push_back(nested);
        bodies.push_back("\xa1" + nested);          // as a key
        bodies.push_back("\xa1\x61\x6b" + nested);  // as the value of the key "k"
        bodies.push_back("\x81" + nested);
    }
    return bodies;
}

void* decode_all(void* accepted) {
    for (const auto& body : nested_bodies()) {
        *static_cast<int*>(accepted) += wire::decode_cbor(body) ? 1 : 0;
    }
    return nullptr;
}

// Ends the process with the number of accepted bodies.
void exit_after_decoding_on_a_small_stack() {
    pthread_attr_t attributes;
    pthread_t thread{};
    int accepted = 0;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, small_stack_bytes);
    ::pthread_create(&thread, &attributes, decode_all, &accepted);
    ::pthread_join(thread, nullptr);
    std::_Exit(accepted);
}

TEST(NestedBody, DecoderRefusesHeadsNestedWithoutBoundOnASmallStack) {
    ::testing::GTEST_FLAG(death_test_style) = "threadsafe";
    EXPECT_EXIT(exit_after_decoding_on_a_small_stack(), ::testing::ExitedWithCode(0), "");
}

// Repeats a text, as nested openings do.
std::string repeated(const std::string& text, std::size_t count) {
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

TEST_F(Program, SettingsNestedWithoutBoundAreRefused) {
    constexpr std::size_t levels = 200000;
    std::string operators = path + ".xml";
    for (bool is_closed : {false, true}) {
        std::ofstream(operators) << repeated("<a>", levels)
                                 << (is_closed ? repeated("</a>", levels) : "");
        EXPECT_EQ(exit_code({"--config", path, "--operators", operators, "--check-config"}), 1);
    }
    for (const char* ends : {"[]", "{}"}) {
        std::string opening = ends[0] == '[' ? "[" : "{a=";
        std::string closing(levels, ends[1]);
        std::ofstream(path) << "node_name = " << repeated(opening, levels) << "1" << closing;
        EXPECT_EQ(exit_code({"--config", path, "--check-config"}), 1);
    }
    std::remove(operators.c_str());
}

TEST_F(Program, ControllerRefusesBodiesNestedWithoutBoundAndGoesOn) {
    start_controller();
    ASSERT_GT(child, 0);
    auto is_refused = [](const io::HttpMessage& message) {
        return message.status == 400 && message.keep_alive;
    };
    auto answers = [](const io::HttpMessage& message) { return message.status == 503; };
    ASSERT_TRUE(ask("GET", "/healthz", "", answers));
    io::HttpClient users(loop, loopback_address(users_port), 1, 1 << 20);
    io::HttpClient peers(loop, loopback_address(peers_port), 1, 1 << 20);
    for (const auto& body : nested_bodies()) {
        ASSERT_TRUE(ask(users, "POST", "/work", body, is_refused, 1));
        ASSERT_TRUE(ask(users, "POST", "/hello", body, is_refused, 1));
        ASSERT_TRUE(ask(peers, "POST", "/peer", body, is_refused, 1));
        ASSERT_TRUE(is_running());
    }
    EXPECT_TRUE(ask(users, "GET", "/healthz", "", answers, 1));
}

}  // namespace
}  // namespace cranemoor

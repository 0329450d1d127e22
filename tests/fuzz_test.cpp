// Generated input under fixed seeds: parsers and decoders must reject any bytes or accept them in
// full. The sanitizer build also finds out-of-bounds reads and undefined arithmetic here.
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>

#include "config/settings.hpp"
#include "core/model/constants.hpp"
#include "io/http_parser.hpp"
#include "samples.hpp"
#include "wire/cbor.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/peer_messages.hpp"
#include "wire/store_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor {
namespace {

using core::Json;

// Uses the engine's raw numbers: the standard distributions differ between library versions.
class InputGenerator {
  public:
    explicit InputGenerator(unsigned seed) : random_(seed) {}
    std::size_t below(std::size_t n) { return n == 0 ? 0 : random_() % n; }
    template <typename T, std::size_t N>
    const T& pick(const std::array<T, N>& list) {
        return list[below(N)];
    }
    // Applies 1 to 4 random edits, as a faulty sender or a corrupted copy would make.
    std::string damaged(std::string text) {
        for (std::size_t n = 1 + below(4); n > 0; --n) {
            std::size_t at = below(text.size() + 1);
            std::size_t length = std::min(below(12), text.size() - at);
            switch (below(5)) {
                case 0:
                    text.erase(at, length);
                    break;
                case 1:
                    text.insert(at, 1 + below(3), static_cast<char>(random_()));
                    break;
                case 2:
                    text.insert(at, text.substr(below(text.size() + 1), below(40)));
                    break;
                case 3:
                    text.resize(at);
                    break;
                default:
                    if (at < text.size()) {
                        text[at] = static_cast<char>(text[at] ^ (1U << below(8)));
                    }
            }
        }
        return text;
    }
    // Replaces one value, at any depth, by one of an unexpected type or range.
    Json with_odd_value(Json value) {
        static const auto odd_values = std::to_array<Json>({nullptr,
                                                            true,
                                                            -1,
                                                            0,
                                                            UINT64_MAX,
                                                            INT64_MIN,
                                                            1e308,
                                                            -0.5,
                                                            std::nan(""),
                                                            INFINITY,
                                                            "",
                                                            std::string(300, 'x'),
                                                            "\xff\xfe",
                                                            Json::array(),
                                                            Json::object(),
                                                            {{"a", {1, 2, {3}}}}});
        Json* at = &value;
        while (at->is_structured() && !at->empty() && (at == &value || below(3) != 0)) {
            auto it = at->begin();
            std::advance(it, static_cast<std::ptrdiff_t>(below(at->size())));
            at = &*it;
        }
        *at = pick(odd_values);
        return value;
    }

  private:
    std::mt19937 random_;
};

// --- HTTP ---------------------------------------------------------------------------------

std::string describe(const io::HttpMessage& message) {
    return message.method + " " + message.target + " " + std::to_string(message.headers.size()) +
           " " + message.body + (message.keep_alive ? " kept\n" : " closed\n");
}

// Describes every message parsed when the text arrives in the given pieces, and the final state.
std::string parse_pieces(const std::vector<std::string>& pieces, std::size_t body_bytes_max) {
    io::HttpParser parser(io::HttpParser::Role::request, body_bytes_max);
    std::string result;
    for (const auto& piece : pieces) {
        auto state = parser.feed(piece);
        while (state == io::HttpParser::State::complete) {
            result += describe(parser.take());
            state = parser.feed({});
        }
        EXPECT_LE(parser.buffered_bytes(),
                  core::constants::head_bytes_max + 2 * body_bytes_max + piece.size());
        if (state != io::HttpParser::State::incomplete) {
            return result + (state == io::HttpParser::State::bad ? "bad" : "too large");
        }
    }
    return result + "more";
}

TEST(Fuzz, HttpParsingDoesNotDependOnHowARequestIsSplit) {
    const auto good = std::to_array<std::string>({
        "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /work HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;a=b\r\nde\r\n0\r\n"
        "T: 1\r\n\r\n",
        "POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 300\r\n\r\n",
    });
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        InputGenerator generator(seed);
        std::string text = generator.damaged(generator.pick(good)) + generator.pick(good);
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at < text.size(); at += pieces.back().size()) {
            pieces.push_back(text.substr(at, 1 + generator.below(20)));
        }
        ASSERT_EQ(parse_pieces({text}, 200), parse_pieces(pieces, 200)) << "seed " << seed;
    }
}

TEST(Fuzz, DataSentBeforeTheReplyIsBoundedInMemory) {
    io::HttpParser parser(io::HttpParser::Role::request, 200);
    auto state = parser.feed("GET / HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 1000 && state == io::HttpParser::State::complete; ++i) {
        state = parser.feed(std::string(1000, 'x'));
    }
    EXPECT_EQ(state, io::HttpParser::State::too_large);
    EXPECT_LE(parser.buffered_bytes(), core::constants::head_bytes_max + 200);
}

// --- messages -----------------------------------------------------------------------------

std::vector<Json> sample_messages() {
    Json task = {{"hatchling", "req-000412/3"},
                 {"launch", 2},
                 {"stance", "ended"},
                 {"cause", "halted"},
                 {"saved", true}};
    Json heartbeat = {{"roost", "vm-000231"}, {"endpoint", "10.1.0.232:9000"},
                      {"breed", "g8"},        {"marsh", "a"},
                      {"driftwood", true},    {"perch", 1},
                      {"call_seq", 88},       {"crest", 41},
                      {"warning_s", 12.5},    {"hatchlings", {task}}};
    core::PeerCall relay;
    relay.relayed_heartbeat = wire::decode_heartbeat(heartbeat).to_optional();
    core::LeaseHeartbeat& lease = relay.lease.emplace();
    lease.heartbeat.boot_id = lease.heartbeat.acknowledged_boot_id = "b1";
    lease.heartbeat.grant = read_leases::Grant::full;
    lease.cancelled.push_back({"req-000412", 1.7e9});
    core::WorkerReply reply;
    reply.status = 200;
    reply.commands.push_back({core::Command::Kind::stop, {"req-000412", 3}, 2, 10});
    Json event = {{"put", "c/j/a"}, {"value", {{"a", 1}}}, {"ripple", 7}};
    Json machine = {
        {"uid", "vm-000231"}, {"endpoint", "10.1.0.232:9000"}, {"breed", "g8"}, {"marsh", "a"},
        {"driftwood", true},  {"stance", "running"},           {"held_s", 61.5}};
    Json type = {{"label", "g8"},   {"cpus", 96},        {"gpus", 8},
                 {"mem_gb", 768},   {"local_gb", 200},   {"fetch_gb_per_s", 1.0},
                 {"rate", 12.0},    {"spot_price", 4.5}, {"ready_s", 45},
                 {"marshes", {"a"}}};
    return {heartbeat,
            {{"uid", "req-000412"}, {"flock", "train"},    {"crew", "vision"}, {"gait", "gang"},
             {"rank", "high"},      {"hatchlings", 16},    {"cpus", 8.0},      {"gpus", 1.0},
             {"mem_gb", 64.0},      {"plumage", "img-07"}, {"size_gb", 6.2},   {"breeds", {"g8"}},
             {"marsh", nullptr},    {"together", true},    {"spread", false},  {"driftwood", true},
             {"flight_s", 240.0},   {"nestmark_s", 30.0},  {"preen_s", 4.0},   {"dusk_s", 900.0},
             {"follows", {"req-1"}}},
            *wire::decode_cbor(wire::encode_peer_call("n1", relay)),
            *wire::decode_cbor(wire::encode_peer_reply(reply)),
            {{"key", "a"}, {"value", {{"n", 1}}}, {"ripple", 4}, {"tether", 7}},
            {{"items", {{{"key", "a"}, {"value", 1}, {"ripple", 3}}}},
             {"has_next", true},
             {"tide", 431}},
            {{"tide", 432}, {"failed", {"a/b"}}, {"log", {event}}},
            {{"roosts", {machine}}, {"has_next", false}},
            {{"roosts", {"vm-1", "vm-2"}}},
            {{"breeds", {type}}}};
}

// An accepted submission is within the protocol's bounds.
void check_submission(const std::string& body) {
    auto spec = wire::decode_submission(body);
    if (spec) {
        EXPECT_TRUE(wire::is_valid_uid(spec->uid));
        EXPECT_TRUE(spec->tasks >= 1 && spec->tasks <= 100000);
        for (double amount :
             {spec->task_resources.cpus, spec->task_resources.gpus, spec->task_resources.memory_gb,
              spec->image_gb, spec->estimate_s, spec->checkpoint_s}) {
            EXPECT_TRUE(std::isfinite(amount) && amount >= 0);
        }
    } else {
        EXPECT_NE(spec.error().error.message, "");
    }
}

void decode_as_every_type(const std::string& body) {
    check_submission(body);
    wire::decode_peer_call(body);
    wire::decode_peer_reply(body);
    auto value = wire::decode_cbor(body);
    if (auto heartbeat = value ? wire::decode_heartbeat(*value).to_optional() : std::nullopt) {
        // A heartbeat relayed to a peer decodes there as it does here.
        auto relayed = wire::encode_heartbeat(*heartbeat);
        auto decoded = wire::decode_heartbeat(relayed);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(wire::encode_heartbeat(*decoded).dump(), relayed.dump());
    }
    using StoreKind = core::StoreCall::Kind;
    for (auto kind : {StoreKind::get, StoreKind::list, StoreKind::txn, StoreKind::watch,
                      StoreKind::grant, StoreKind::renew}) {
        core::StoreCall call;
        call.kind = kind;
        for (int status : {200, 400, 404, 409, 410, 429, 503}) {
            wire::decode_store_reply(call, status, body);
        }
    }
    using CloudKind = core::CloudCall::Kind;
    for (auto kind : {CloudKind::types, CloudKind::launch, CloudKind::release, CloudKind::list}) {
        core::CloudCall call;
        call.kind = kind;
        for (int status : {200, 400, 429, 503}) {
            wire::decode_cloud_reply(call, status, body);
        }
    }
}

TEST(Fuzz, DamagedMessagesAreRejectedOrDecodedWithinBounds) {
    auto messages = sample_messages();
    for (unsigned seed = 1; seed <= 1200; ++seed) {
        SCOPED_TRACE(seed);
        InputGenerator generator(seed);
        const Json& message = messages[generator.below(messages.size())];
        decode_as_every_type(generator.damaged(wire::encode_cbor(message)));
        decode_as_every_type(wire::encode_cbor(generator.with_odd_value(message)));
    }
}

// --- settings -----------------------------------------------------------------------------

TEST(Fuzz, DamagedSettingsGiveAOneLineErrorOrValuesWithinBounds) {
    const auto numbers =
        std::to_array<std::string>({"1e300", "-1", "nan", "inf", "\"x\"", "99999999999999999999"});
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        SCOPED_TRACE(seed);
        InputGenerator generator(seed);
        std::string text = test::sample_settings;
        if (generator.below(2) == 0) {
            text = generator.damaged(text);
        } else {
            std::size_t at = text.find(" = ", generator.below(text.size()));
            if (at != std::string::npos) {
                text.replace(at + 3, text.find('\n', at) - at - 3, generator.pick(numbers));
            }
        }
        try {
            auto settings = config::parse_settings(text, "s.toml");
            EXPECT_GE(settings.store_txn_ops_max, 3);
            EXPECT_GE(settings.max_connections, 16);
            EXPECT_GT(settings.heartbeat_interval_s, 0);
        } catch (const config::Error& error) {
            EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
        }
    }
}

TEST(Fuzz, DamagedOperatorsFilesGiveAnErrorThatNamesTheFileOrValuesWithinBounds) {
    const std::string good =
        "<cranemoor>\n<!-- W --><locality-wait-s>7.5</locality-wait-s>\n"
        "<final-states>100</final-states><silence-s>30</silence-s>\n</cranemoor>";
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        SCOPED_TRACE(seed);
        InputGenerator generator(seed);
        try {
            auto settings = config::parse_tunables(generator.damaged(good), "o.xml");
            EXPECT_TRUE(settings.locality_wait_s >= 0 && settings.locality_wait_s <= 600);
            EXPECT_TRUE(settings.final_states_max >= 0 && settings.final_states_max <= 100000);
        } catch (const config::Error& error) {
            EXPECT_NE(std::string(error.what()).find("o.xml"), std::string::npos);
        }
    }
}

}  // namespace
}  // namespace cranemoor

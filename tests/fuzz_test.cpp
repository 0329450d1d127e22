// Generated input under fixed seeds: whatever bytes come, readers refuse them or take them whole.
// Under the sanitizers' build this also finds what reads or computes beyond its bounds.
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

// Draws by the generator's own numbers: the library's distributions differ between versions.
class Draw {
  public:
    explicit Draw(unsigned seed) : random_(seed) {}
    std::size_t below(std::size_t n) { return n == 0 ? 0 : random_() % n; }
    template <typename T, std::size_t N>
    const T& of(const std::array<T, N>& list) {
        return list[below(N)];
    }
    // A few changes of the kind that a bad sender or a damaged copy makes.
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
    // A map with one of its values, at any depth, replaced by an odd one.
    Json odd(Json value) {
        static const auto strange = std::to_array<Json>({nullptr,
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
        *at = of(strange);
        return value;
    }

  private:
    std::mt19937 random_;
};

// --- HTTP ---------------------------------------------------------------------------------

std::string describe(const io::HttpMessage& m) {
    return m.method + " " + m.target + " " + std::to_string(m.headers.size()) + " " + m.body +
           (m.keep_alive ? " kept\n" : " closed\n");
}

// What a parser makes of a text that comes in the given pieces.
std::string parsed(const std::vector<std::string>& pieces, std::size_t body_bytes_max) {
    io::HttpParser parser(io::HttpParser::Role::request, body_bytes_max);
    std::string seen;
    for (const auto& piece : pieces) {
        auto state = parser.feed(piece);
        while (state == io::HttpParser::State::complete) {
            seen += describe(parser.take());
            state = parser.feed({});
        }
        EXPECT_LE(parser.buffered_bytes(),
                  core::constants::head_bytes_max + 2 * body_bytes_max + piece.size());
        if (state != io::HttpParser::State::incomplete) {
            return seen + (state == io::HttpParser::State::bad ? "bad" : "too large");
        }
    }
    return seen + "more";
}

TEST(Fuzz, ARequestMeansTheSameInWhateverPiecesItComes) {
    const auto good = std::to_array<std::string>({
        "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /work HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;a=b\r\nde\r\n0\r\n"
        "T: 1\r\n\r\n",
        "POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 300\r\n\r\n",
    });
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        Draw draw(seed);
        std::string text = draw.damaged(draw.of(good)) + draw.of(good);
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at < text.size(); at += pieces.back().size()) {
            pieces.push_back(text.substr(at, 1 + draw.below(20)));
        }
        ASSERT_EQ(parsed({text}, 200), parsed(pieces, 200)) << "seed " << seed;
    }
}

TEST(Fuzz, ASenderThatGoesOnWhileItIsAnsweredHoldsLittle) {
    io::HttpParser parser(io::HttpParser::Role::request, 200);
    auto state = parser.feed("GET / HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 1000 && state == io::HttpParser::State::complete; ++i) {
        state = parser.feed(std::string(1000, 'x'));
    }
    EXPECT_EQ(state, io::HttpParser::State::too_large);
    EXPECT_LE(parser.buffered_bytes(), core::constants::head_bytes_max + 200);
}

// --- messages -----------------------------------------------------------------------------

std::vector<Json> messages() {
    Json task = {{"hatchling", "req-000412/3"},
                 {"launch", 2},
                 {"stance", "ended"},
                 {"cause", "halted"},
                 {"saved", true}};
    Json report = {{"roost", "vm-000231"}, {"endpoint", "10.1.0.232:9000"},
                   {"breed", "g8"},        {"marsh", "a"},
                   {"driftwood", true},    {"perch", 1},
                   {"call_seq", 88},       {"crest", 41},
                   {"warning_s", 12.5},    {"hatchlings", {task}}};
    core::PeerCall relay;
    relay.relayed_heartbeat = wire::decode_heartbeat(report).to_optional();
    core::LeaseHeartbeat& said = relay.lease.emplace();
    said.heartbeat.boot_id = said.heartbeat.acknowledged_boot_id = "b1";
    said.heartbeat.grant = read_leases::Grant::full;
    said.cancelled.push_back({"req-000412", 1.7e9});
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
    return {report,
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

// What is taken of a submission keeps the protocol's bounds.
void check_submission(const std::string& body) {
    auto s = wire::decode_submission(body);
    if (s) {
        EXPECT_TRUE(wire::is_valid_uid(s->uid));
        EXPECT_TRUE(s->tasks >= 1 && s->tasks <= 100000);
        for (double amount :
             {s->task_resources.cpus, s->task_resources.gpus, s->task_resources.memory_gb,
              s->image_gb, s->estimate_s, s->checkpoint_s}) {
            EXPECT_TRUE(std::isfinite(amount) && amount >= 0);
        }
    } else {
        EXPECT_NE(s.error().error.message, "");
    }
}

void read_as_everything(const std::string& body) {
    check_submission(body);
    wire::decode_peer_call(body);
    wire::decode_peer_reply(body);
    auto value = wire::decode_cbor(body);
    if (auto report = value ? wire::decode_heartbeat(*value).to_optional() : std::nullopt) {
        // What is passed on to a peer reads as it did here.
        auto passed = wire::encode_heartbeat(*report);
        auto again = wire::decode_heartbeat(passed);
        ASSERT_TRUE(again);
        EXPECT_EQ(wire::encode_heartbeat(*again).dump(), passed.dump());
    }
    using SK = core::StoreCall::Kind;
    for (auto kind : {SK::get, SK::list, SK::txn, SK::watch, SK::grant, SK::renew}) {
        core::StoreCall call;
        call.kind = kind;
        for (int status : {200, 400, 404, 409, 410, 429, 503}) {
            wire::decode_store_reply(call, status, body);
        }
    }
    using CK = core::CloudCall::Kind;
    for (auto kind : {CK::types, CK::launch, CK::release, CK::list}) {
        core::CloudCall call;
        call.kind = kind;
        for (int status : {200, 400, 429, 503}) {
            wire::decode_cloud_reply(call, status, body);
        }
    }
}

TEST(Fuzz, DamagedMessagesAreRefusedOrTakenWhole) {
    auto all = messages();
    for (unsigned seed = 1; seed <= 1200; ++seed) {
        SCOPED_TRACE(seed);
        Draw draw(seed);
        const Json& one = all[draw.below(all.size())];
        read_as_everything(draw.damaged(wire::encode_cbor(one)));
        read_as_everything(wire::encode_cbor(draw.odd(one)));
    }
}

// --- settings -----------------------------------------------------------------------------

TEST(Fuzz, DamagedSettingsEndInOneErrorOrKeepTheirBounds) {
    const auto numbers =
        std::to_array<std::string>({"1e300", "-1", "nan", "inf", "\"x\"", "99999999999999999999"});
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        SCOPED_TRACE(seed);
        Draw draw(seed);
        std::string text = test::sample_settings;
        if (draw.below(2) == 0) {
            text = draw.damaged(text);
        } else {
            std::size_t at = text.find(" = ", draw.below(text.size()));
            if (at != std::string::npos) {
                text.replace(at + 3, text.find('\n', at) - at - 3, draw.of(numbers));
            }
        }
        try {
            auto s = config::parse_settings(text, "s.toml");
            EXPECT_GE(s.store_txn_ops_max, 3);
            EXPECT_GE(s.max_connections, 16);
            EXPECT_GT(s.heartbeat_interval_s, 0);
        } catch (const config::Error& e) {
            EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
        }
    }
}

TEST(Fuzz, DamagedOperatorsSettingsEndInOneErrorOrKeepTheirBounds) {
    const std::string good =
        "<cranemoor>\n<!-- W --><locality-wait-s>7.5</locality-wait-s>\n"
        "<final-states>100</final-states><silence-s>30</silence-s>\n</cranemoor>";
    for (unsigned seed = 1; seed <= 1500; ++seed) {
        SCOPED_TRACE(seed);
        Draw draw(seed);
        try {
            auto t = config::parse_tunables(draw.damaged(good), "o.xml");
            EXPECT_TRUE(t.locality_wait_s >= 0 && t.locality_wait_s <= 600);
            EXPECT_TRUE(t.final_states_max >= 0 && t.final_states_max <= 100000);
        } catch (const config::Error& e) {
            EXPECT_NE(std::string(e.what()).find("o.xml"), std::string::npos);
        }
    }
}

}  // namespace
}  // namespace cranemoor

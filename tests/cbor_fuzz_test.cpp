// Generated CBOR under fixed seeds, damaged at its structure: whatever the heads say, a body is
// refused, or accepted within the bounds. CRANEMOOR_FUZZ_SEEDS sets the number of seeds of a long
// run.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "core/model/constants.hpp"
#include "wire/cbor.hpp"
#include "wire/peer_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"

namespace cranemoor::wire {
namespace {

constexpr unsigned seeds_default = 3000;
constexpr std::size_t run_bytes = core::constants::request_body_bytes_max;

// Major types and other parts of a head (RFC 8949, 3).
enum Major : unsigned { unsigned_number, negative, bytes, text, array, map, tag, simple };
constexpr char break_byte = '\xff';
constexpr unsigned indefinite_length = 31;

std::string indefinite_head(Major major) {
    return {static_cast<char>(major << 5 | indefinite_length)};
}

// A head with its argument in 0, 1, 2, 4 or 8 bytes: the fewest, or more by `extra_width` steps.
std::string head(Major major, std::uint64_t argument, unsigned extra_width = 0) {
    unsigned width = argument < 24            ? 0
                     : argument <= 0xff       ? 1
                     : argument <= 0xffff     ? 2
                     : argument <= 0xffffffff ? 3
                                              : 4;
    width = std::min(4U, width + extra_width);
    if (width == 0) {
        return {static_cast<char>(major << 5 | argument)};
    }
    std::string encoded = {static_cast<char>(major << 5 | (23 + width))};
    for (int shift = (8 << (width - 1)) - 8; shift >= 0; shift -= 8) {
        encoded += static_cast<char>(argument >> shift);
    }
    return encoded;
}

std::string encode_text(const std::string& value) {
    return head(text, value.size()) + value;
}

// A map of one member up to its value.
std::string encode_member_head(const std::string& key) {
    return head(map, 1) + encode_text(key);
}

std::size_t depth_of(const Json& value) {
    std::size_t depth = 0;
    if (value.is_structured()) {
        for (const auto& element : value) {
            depth = std::max(depth, depth_of(element));
        }
        ++depth;
    }
    return depth;
}

// Decodes the body as every kind of request; an accepted value is within bounds and encodes.
void expect_bounded(const std::string& body) {
    decode_submission(body);
    decode_heartbeat_body(body);
    decode_peer_call(body);
    decode_peer_reply(body);
    if (auto value = decode_cbor(body)) {
        ASSERT_LE(depth_of(*value), core::constants::message_depth_max);
        auto again = decode_cbor(encode_cbor(*value));
        ASSERT_TRUE(again);
        ASSERT_EQ(encode_cbor(*again), encode_cbor(*value));
    }
}

// Writes random values, now and then with a head that does not fit what follows.
class CborGenerator {
  public:
    CborGenerator(unsigned seed, unsigned damage_per_mille)
        : random_(seed), damage_per_mille_(damage_per_mille) {}

    std::string value(int levels_left) {
        auto major = static_cast<Major>(below(levels_left > 0 ? 8 : 4));
        if (below(1000) >= damage_per_mille_ && (major == bytes || major == tag)) {
            major = text;
        }
        switch (major) {
            case text:
            case bytes:
                return string_value(major);
            case array:
            case map:
                return container(major, levels_left);
            case tag:
                return head(tag, argument(), width()) + value(levels_left - 1);
            case simple:
                return simple_value();
            default:
                return head(major, argument(), width());
        }
    }

  private:
    std::uint64_t below(std::uint64_t n) { return random_() % n; }
    unsigned width() { return static_cast<unsigned>(below(5)); }
    bool is_damaged() { return below(1000) < damage_per_mille_; }
    // Numbers around the powers of two, where widths and signs change.
    std::uint64_t argument() {
        std::uint64_t power = below(65) == 64 ? 0 : std::uint64_t{1} << below(64);
        return power + below(3) - 1;
    }
    std::string string_value(Major major) {
        if (below(3) != 0) {
            std::string content(below(40), static_cast<char>('a' + below(26)));
            std::uint64_t size = is_damaged() ? argument() : content.size();
            return head(major, size, width()) + content;
        }
        std::string chunks = indefinite_head(major);
        for (std::uint64_t n = below(5); n > 0; --n) {
            chunks += is_damaged() ? value(1) : head(major, 3) + "xyz";
        }
        return chunks + (is_damaged() ? "" : std::string(1, break_byte));
    }
    std::string container(Major major, int levels_left) {
        std::uint64_t size = below(6);
        bool is_indefinite = below(2) == 0;
        std::string encoded = is_indefinite
                                  ? indefinite_head(major)
                                  : head(major, is_damaged() ? argument() : size, width());
        for (std::uint64_t n = 0; n < size; ++n) {
            if (major == map) {
                encoded += is_damaged() ? value(levels_left - 1)
                                        : encode_text(std::string(1, static_cast<char>('a' + n)));
            }
            encoded += is_damaged() ? std::string(1, break_byte) : value(levels_left - 1);
        }
        return encoded + (is_indefinite != is_damaged() ? std::string(1, break_byte) : "");
    }
    std::string simple_value() {
        static const std::vector<std::string> values = {
            "\xf4",
            "\xf5",
            "\xf6",
            std::string("\xf9\x7e\x00", 3),
            std::string("\xfa\x7f\x80\x00\x00", 5),
            std::string("\xfb\x3f\xf0\x00\x00\x00\x00\x00\x00", 9)};
        return is_damaged() ? std::string(1, static_cast<char>(0xe0 + below(32)))
                            : values[below(values.size())];
    }

    std::mt19937_64 random_;
    unsigned damage_per_mille_;
};

TEST(CborFuzz, RunsOfEachByteAloneAndInsideOtherValuesAreBounded) {
    const std::vector<std::string> before = {"",
                                             head(array, 1),
                                             indefinite_head(array),
                                             head(map, 1),
                                             indefinite_head(map),
                                             encode_member_head("k"),
                                             indefinite_head(map) + encode_text("k"),
                                             indefinite_head(text),
                                             indefinite_head(bytes),
                                             head(array, 2) + head(unsigned_number, 1),
                                             head(array, UINT64_MAX),
                                             indefinite_head(array) + indefinite_head(text),
                                             head(tag, 1) + head(array, 1)};
    for (int byte = 0; byte < 256; ++byte) {
        for (const auto& start : before) {
            SCOPED_TRACE(::testing::Message()
                         << byte << " after " << ::testing::PrintToString(start));
            std::string body =
                start + std::string(run_bytes - start.size(), static_cast<char>(byte));
            auto value = decode_cbor(body);
            if (value) {
                ASSERT_LE(depth_of(*value), core::constants::message_depth_max);
            }
        }
    }
}

TEST(CborFuzz, DeclaredSizesThatTheBodyCannotHoldAreRefused) {
    for (auto major : {bytes, text, array, map}) {
        for (unsigned bit = 6; bit <= 64; ++bit) {
            std::uint64_t size = bit == 64 ? UINT64_MAX : std::uint64_t{1} << bit;
            for (const std::string& rest : {std::string(), std::string(40, '\x60')}) {
                EXPECT_FALSE(decode_cbor(head(major, size) + rest)) << major << " " << size;
                EXPECT_FALSE(decode_cbor(encode_member_head("k") + head(major, size) + rest))
                    << major << size;
            }
        }
    }
}

TEST(CborFuzz, StringsOfAnyNumberOfChunksAreAccepted) {
    std::string chunks = indefinite_head(text);
    std::string expected;
    for (std::size_t n = 0; n < 10000; ++n) {
        EXPECT_EQ(decode_cbor(chunks + break_byte)->get<std::string>(), expected);
        std::size_t step = n < 10 ? 1 : 5000;
        for (std::size_t i = 0; i < step; ++i, ++n) {
            chunks += head(text, 2) + "ab";
            expected += "ab";
        }
    }
    auto chunked_key = decode_cbor(head(map, 1) + indefinite_head(text) + encode_text("u") +
                                   encode_text("id") + break_byte + encode_text("x"));
    ASSERT_TRUE(chunked_key);
    EXPECT_EQ(*chunked_key, Json({{"uid", "x"}}));
    // A chunk is a text of definite length (RFC 8949, 3.2.3).
    EXPECT_FALSE(decode_cbor("\x7f\x7f\x61z\xff\xff"));
    EXPECT_FALSE(decode_cbor("\x7f\x41z\xff"));
    EXPECT_FALSE(decode_cbor("\x7f\x01\xff"));
    EXPECT_FALSE(decode_cbor("\x7f\x61z"));
}

TEST(CborFuzz, NumbersOutOfTheRangeOfIntegersAreNotTakenForOthers) {
    EXPECT_EQ(*decode_cbor(head(unsigned_number, UINT64_MAX)), Json(UINT64_MAX));
    EXPECT_EQ(*decode_cbor(head(negative, INT64_MAX)), Json(INT64_MIN));
    for (std::uint64_t magnitude : {std::uint64_t{1} << 63, UINT64_MAX}) {
        auto number = decode_cbor(head(negative, magnitude));
        ASSERT_TRUE(number && number->is_number_float());
        EXPECT_EQ(number->get<double>(), -1.0 - static_cast<double>(magnitude));
    }
}

TEST(CborFuzz, OfARepeatedKeyTheLastValueCounts) {
    auto value = decode_cbor("\xa2\x61k\xa1\x61z\x01\x61k\x02");
    ASSERT_TRUE(value);
    EXPECT_EQ(*value, Json({{"k", 2}}));
}

TEST(CborFuzz, ValuesDamagedAtTheirStructureAreRefusedOrAcceptedWithinBounds) {
    const char* seeds_text = std::getenv("CRANEMOOR_FUZZ_SEEDS");
    unsigned seeds = seeds_text == nullptr
                         ? seeds_default
                         : static_cast<unsigned>(std::strtoul(seeds_text, nullptr, 10));
    unsigned accepted_undamaged = 0;
    unsigned undamaged = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        unsigned damage_per_mille = seed % 4 * 20;
        std::string body = CborGenerator(seed, damage_per_mille).value(6);
        expect_bounded(body);
        expect_bounded(encode_member_head("hatchlings") + body);
        if (damage_per_mille == 0) {
            ++undamaged;
            accepted_undamaged += decode_cbor(body) ? 1 : 0;
        }
        if (HasFatalFailure()) {
            return;
        }
    }
    EXPECT_EQ(accepted_undamaged, undamaged);
}

}  // namespace
}  // namespace cranemoor::wire

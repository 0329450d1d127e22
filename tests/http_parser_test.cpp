// The HTTP parser on split, oversized and malformed input.
#include "io/http_parser.hpp"

#include <gtest/gtest.h>

namespace cranemoor::io {
namespace {

using State = HttpParser::State;

HttpParser requests(std::size_t most = 64UL * 1024) {
    return {HttpParser::Role::request, most};
}

TEST(HttpParser, ReadsARequestThatComesByteByByte) {
    auto p = requests();
    std::string text =
        "POST /work HTTP/1.1\r\nHost: x\r\nContent-LENGTH:  5 \r\n\r\nhelloGET / HTTP/1.1\r\n\r\n";
    std::size_t at = 0;
    State state = State::incomplete;
    while (state == State::incomplete) {
        state = p.feed(std::string_view(text).substr(at++, 1));
    }
    ASSERT_EQ(state, State::complete);
    auto m = p.take();
    EXPECT_EQ(m.method, "POST");
    EXPECT_EQ(m.target, "/work");
    EXPECT_EQ(m.body, "hello");
    EXPECT_TRUE(m.keep_alive);
    EXPECT_EQ(p.feed(std::string_view(text).substr(at)), State::complete);
    EXPECT_EQ(p.take().method, "GET");
    EXPECT_TRUE(p.idle());
}

TEST(HttpParser, ReadsChunkedBodiesAndTheirTrailers) {
    auto p = requests();
    EXPECT_EQ(p.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n"
                     "0123456789\r\n0\r\nTrailer: 1\r\n\r\n"),
              State::complete);
    EXPECT_EQ(p.take().body, "abc0123456789");
}

TEST(HttpParser, RefusesABodyOverTheLimitBeforeItArrives) {
    auto p = requests(10);
    EXPECT_EQ(p.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"), State::too_large);
    auto chunked = requests(10);
    EXPECT_EQ(chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n"),
              State::too_large);
    auto huge = requests(10);
    EXPECT_EQ(huge.feed("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"),
              State::too_large);
}

TEST(HttpParser, MalformedInputIsBad) {
    for (const char* text : {
             "GET /\r\n\r\n",
             "GET / HTTP/2.0\r\n\r\n",
             "G@T / HTTP/1.1\r\n\r\n",
             "GET / HTTP/1.1\r\nno colon\r\n\r\n",
             "GET / HTTP/1.1\r\n folded: x\r\n\r\n",
             "GET / HTTP/1.1\r\nbad name: x\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
             "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
         }) {
        EXPECT_EQ(requests().feed(text), State::bad) << text;
    }
    std::string endless(20000, 'a');
    EXPECT_EQ(requests().feed(endless), State::bad);
}

TEST(HttpParser, ReadsResponsesWithAndWithoutLength) {
    HttpParser p(HttpParser::Role::response, 100);
    EXPECT_EQ(p.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
              State::complete);
    auto m = p.take();
    EXPECT_EQ(m.status, 200);
    EXPECT_FALSE(m.keep_alive);
    EXPECT_EQ(p.feed("HTTP/1.1 503\r\n\r\nuntil the end"), State::incomplete);
    EXPECT_EQ(p.end(), State::complete);
    EXPECT_EQ(p.take().body, "until the end");
}

TEST(HttpParser, WritesWhatItReads) {
    auto p = requests();
    EXPECT_EQ(p.feed(http_request("POST", "/txn", "h", "body")), State::complete);
    EXPECT_EQ(p.take().body, "body");
    HttpParser r(HttpParser::Role::response, 100);
    EXPECT_EQ(r.feed(http_response(503, "", false, 2)), State::complete);
    auto m = r.take();
    ASSERT_NE(m.header("retry-after"), nullptr);
    EXPECT_EQ(*m.header("retry-after"), "2");
}

}  // namespace
}  // namespace cranemoor::io

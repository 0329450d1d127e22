// The HTTP parser on split, oversized and malformed input.
#include "io/http_parser.hpp"

#include <gtest/gtest.h>

namespace cranemoor::io {
namespace {

using State = HttpParser::State;

HttpParser request_parser(std::size_t body_bytes_max = 64UL * 1024) {
    return {HttpParser::Role::request, body_bytes_max};
}

TEST(HttpParser, ParsesARequestThatArrivesByteByByte) {
    auto parser = request_parser();
    std::string text =
        "POST /work HTTP/1.1\r\nHost: x\r\nContent-LENGTH:  5 \r\n\r\nhelloGET / HTTP/1.1\r\n\r\n";
    std::size_t offset = 0;
    State state = State::incomplete;
    while (state == State::incomplete) {
        state = parser.feed(std::string_view(text).substr(offset++, 1));
    }
    ASSERT_EQ(state, State::complete);
    auto message = parser.take();
    EXPECT_EQ(message.method, "POST");
    EXPECT_EQ(message.target, "/work");
    EXPECT_EQ(message.body, "hello");
    EXPECT_TRUE(message.keep_alive);
    EXPECT_EQ(parser.feed(std::string_view(text).substr(offset)), State::complete);
    EXPECT_EQ(parser.take().method, "GET");
    EXPECT_TRUE(parser.idle());
}

TEST(HttpParser, ParsesChunkedBodiesWithExtensionsAndTrailers) {
    auto parser = request_parser();
    EXPECT_EQ(
        parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=y\r\n"
                    "0123456789\r\n0\r\nTrailer: 1\r\n\r\n"),
        State::complete);
    EXPECT_EQ(parser.take().body, "abc0123456789");
}

TEST(HttpParser, RejectsABodyOverTheLimitBeforeItArrives) {
    auto parser = request_parser(10);
    EXPECT_EQ(parser.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"), State::too_large);
    auto chunked = request_parser(10);
    EXPECT_EQ(chunked.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n"),
              State::too_large);
    auto huge = request_parser(10);
    EXPECT_EQ(huge.feed("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"),
              State::too_large);
}

TEST(HttpParser, MalformedInputIsRejected) {
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
        EXPECT_EQ(request_parser().feed(text), State::bad) << text;
    }
    std::string endless(20000, 'a');
    EXPECT_EQ(request_parser().feed(endless), State::bad);
}

TEST(HttpParser, ParsesResponsesWithAndWithoutContentLength) {
    HttpParser parser(HttpParser::Role::response, 100);
    EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
              State::complete);
    auto message = parser.take();
    EXPECT_EQ(message.status, 200);
    EXPECT_FALSE(message.keep_alive);
    EXPECT_EQ(parser.feed("HTTP/1.1 503\r\n\r\nuntil the end"), State::incomplete);
    EXPECT_EQ(parser.end(), State::complete);
    EXPECT_EQ(parser.take().body, "until the end");
}

TEST(HttpParser, SerializedMessagesParseBack) {
    auto parser = request_parser();
    EXPECT_EQ(parser.feed(http_request("POST", "/txn", "h", "body")), State::complete);
    EXPECT_EQ(parser.take().body, "body");
    HttpParser response_parser(HttpParser::Role::response, 100);
    EXPECT_EQ(response_parser.feed(http_response(503, "", false, 2)), State::complete);
    auto message = response_parser.take();
    ASSERT_NE(message.header("retry-after"), nullptr);
    EXPECT_EQ(*message.header("retry-after"), "2");
}

}  // namespace
}  // namespace cranemoor::io

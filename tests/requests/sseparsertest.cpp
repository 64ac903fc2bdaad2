#include "samphirebridge/requests/sseparser.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <random>

using namespace samphirebridge;
using namespace samphirebridge::requests;

TEST_CASE("events are parsed the same wherever the stream is split")
{
    const std::string stream = ": comment\n\ndata: one\r\n\r\ndata:two\ndata: lines\n\nevent: x\n"
                               "id: 7\rdata\r\rdata: a\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
    const std::vector<std::string> expected{"one", "two\nlines", "", "a\nb", "[DONE]"};
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        SseParser parser;
        std::vector<std::string> events;
        for (size_t at = 0; at < stream.size();) {
            const size_t length = 1 + random() % 9;
            REQUIRE(parser.feed(std::string_view(stream).substr(at, length), events).ok());
            at += length;
        }
        REQUIRE(events == expected);
        REQUIRE_FALSE(parser.hasPartialEvent());
    }
}

TEST_CASE("an event that exceeds the limit is rejected")
{
    SseParser parser(16);
    std::vector<std::string> events;
    CHECK(parser.feed("data: 12345678", events).ok());
    CHECK(parser.hasPartialEvent());
    const absl::Status status = parser.feed("9abcdef", events);
    CHECK(core::errorCodeOf(status) == core::ErrorCode::TooLarge);
    CHECK_FALSE(parser.feed("\n\n", events).ok());
    CHECK(events.empty());
    SseParser many(16);
    CHECK(many.feed("data: 1234567\n", events).ok());
    CHECK_FALSE(many.feed("data: 1234567\n", events).ok());
}

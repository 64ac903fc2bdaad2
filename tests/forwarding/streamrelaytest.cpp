#include "samphirebridge/forwarding/streamrelay.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge;
using forwarding::StreamRelay;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(1 + id % 3, 'x') + "\n\n";
}

} // namespace

TEST_CASE("events are relayed unchanged wherever the stream is split")
{
    const std::string stream = event(1) + event(2) + event(3);
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        StreamRelay relay;
        std::string relayed;
        CHECK(relay.feed(stream.substr(0, cut), relayed).ok());
        CHECK(relay.feed(stream.substr(cut), relayed).ok());
        CHECK(relayed == stream);
        CHECK(relay.relayedEvents() == 3);
        CHECK_FALSE(relay.hasPartialEvent());
    }
}

TEST_CASE("an answer that continues a broken one leaves neither a gap nor a repeat")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1) + event(2) + "id: 3\nda", relayed).ok());
    CHECK(relay.hasPartialEvent());
    relay.continueWithNextAnswer();
    CHECK(relay.lastEventId() == 2);
    // The next answer begins with an event that the caller already has.
    REQUIRE(relay.feed(event(2) + event(3) + event(4), relayed).ok());
    CHECK(relayed == event(1) + event(2) + event(3) + event(4));
}

TEST_CASE("an answer that skips an event is rejected")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1), relayed).ok());
    CHECK_FALSE(relay.feed(event(3), relayed).ok());
    CHECK(relayed == event(1));
}

TEST_CASE("a caller that resumes a stream gets the events after its last one")
{
    StreamRelay relay(5);
    std::string relayed;
    REQUIRE(relay.feed(event(6), relayed).ok());
    CHECK(relayed == event(6));
    CHECK(relay.lastEventId() == 6);
    StreamRelay gap(5);
    CHECK_FALSE(gap.feed(event(8), relayed).ok());
}

TEST_CASE("comments and other fields are relayed, with either line end")
{
    StreamRelay relay;
    std::string relayed;
    const std::string stream = ": note\n\nx-version: 2\r\nid: 1\r\ndata: a\r\n\r\n" + event(2);
    REQUIRE(relay.feed(stream, relayed).ok());
    CHECK(relayed == stream);
    CHECK(relay.lastEventId() == 2);
}

// Guards against a target that sends events without an id, and so no part of an answer, for ever.
TEST_CASE("only a limited number of bytes without an id is relayed between two events with one")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1), relayed).ok());
    const std::string filler = "data: " + std::string(1000, 'x') + "\n\n";
    bool refused = false;
    size_t fed = 0;
    while (!refused && fed < size_t{4} * 1024 * 1024) {
        refused = !relay.feed(filler, relayed).ok();
        fed += filler.size();
    }
    CHECK(refused);
    CHECK(relayed.size() < size_t{512} * 1024);
}

TEST_CASE("any number of comments is relayed as long as events with an id come in between")
{
    StreamRelay relay;
    std::string relayed;
    for (int id = 1; id <= 2'000; ++id) {
        REQUIRE(relay.feed(": " + std::string(1000, '-') + "\n\n" + event(id), relayed).ok());
    }
    CHECK(relay.relayedEvents() == 2'000);
}

// Guards against a search for the event's end that starts over with each piece: processor time then
// grows with the square of the bytes received.
TEST_CASE("an event without end is rejected after a limited number of bytes")
{
    StreamRelay relay;
    std::string relayed;
    bool refused = false;
    size_t fed = 0;
    while (!refused && fed < size_t{4} * 1024 * 1024) {
        refused = !relay.feed("data", relayed).ok();
        fed += 4;
    }
    CHECK(refused);
    CHECK(fed <= size_t{256} * 1024 + 4);
    CHECK(relayed.empty());
}

TEST_CASE("a preview tells what another answer would add, and relays nothing")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1) + "id: 2\nda", relayed).ok());
    CHECK(relay.previewNextAnswer(event(1) + event(2)).hasNewEvent);
    CHECK_FALSE(relay.previewNextAnswer(event(1)).hasNewEvent);
    CHECK_FALSE(relay.previewNextAnswer(": wait\n\n").hasNewEvent);
    CHECK_FALSE(relay.previewNextAnswer(event(3)).isValid);
    CHECK(relay.previewNextAnswer(event(2) + "id: 3").hasPartialEvent);
    CHECK(relay.hasPartialEvent());
    CHECK(relay.relayedEvents() == 1);
    CHECK(relay.lastEventId() == 1);
}

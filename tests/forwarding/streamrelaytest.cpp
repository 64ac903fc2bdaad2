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

TEST_CASE("whole events are passed on as they came, cut anywhere")
{
    const std::string stream = event(1) + event(2) + event(3);
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        StreamRelay relay;
        std::string relayed;
        CHECK(relay.feed(stream.substr(0, cut), relayed).ok());
        CHECK(relay.feed(stream.substr(cut), relayed).ok());
        CHECK(relayed == stream);
        CHECK(relay.relayedEvents() == 3);
        CHECK_FALSE(relay.midEvent());
    }
}

TEST_CASE("an answer that goes on after a broken one brings neither a gap nor a repeat")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1) + event(2) + "id: 3\nda", relayed).ok());
    CHECK(relay.midEvent());
    relay.beginNextAnswer();
    CHECK(relay.lastEventId() == 2);
    // It begins with an event that the caller has.
    REQUIRE(relay.feed(event(2) + event(3) + event(4), relayed).ok());
    CHECK(relayed == event(1) + event(2) + event(3) + event(4));
}

TEST_CASE("a missing event makes the answer useless")
{
    StreamRelay relay;
    std::string relayed;
    REQUIRE(relay.feed(event(1), relayed).ok());
    CHECK_FALSE(relay.feed(event(3), relayed).ok());
    CHECK(relayed == event(1));
}

TEST_CASE("a caller that resumes gets what follows its last event")
{
    StreamRelay relay(5);
    std::string relayed;
    REQUIRE(relay.feed(event(6), relayed).ok());
    CHECK(relayed == event(6));
    CHECK(relay.lastEventId() == 6);
    StreamRelay gap(5);
    CHECK_FALSE(gap.feed(event(8), relayed).ok());
}

TEST_CASE("comments and lines of other fields are passed on, with either line end")
{
    StreamRelay relay;
    std::string relayed;
    const std::string stream = ": note\n\nx-version: 2\r\nid: 1\r\ndata: a\r\n\r\n" + event(2);
    REQUIRE(relay.feed(stream, relayed).ok());
    CHECK(relayed == stream);
    CHECK(relay.lastEventId() == 2);
}

// Guards against a target that sends events which are none of an answer, without end.
TEST_CASE("events without an id are passed on only so far between two with one")
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

TEST_CASE("comments between events are passed on as long as events follow")
{
    StreamRelay relay;
    std::string relayed;
    for (int id = 1; id <= 2'000; ++id) {
        REQUIRE(relay.feed(": " + std::string(1000, '-') + "\n\n" + event(id), relayed).ok());
    }
    CHECK(relay.relayedEvents() == 2'000);
}

// Guards against processor time that grows with the square of what has arrived.
TEST_CASE("an event without end is refused after a bounded number of bytes")
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

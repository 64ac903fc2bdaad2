#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/net/targetpool.h"
#include "samphirebridge/net/timer.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;

TEST_CASE("a wait whose deadline has passed or is at most 2 ms away returns")
{
    net::EventLoop loop;
    const core::SteadyClock clock;
    // Guards against a wait without a limit: libuv runs due timers before it polls, so that a
    // one-shot timer which fires there leaves the poll to block for ever.
    for (int round = 0; round < 50; ++round) {
        loop.runUntil(clock.now() - 1s);
        loop.runUntil(clock.now());
        loop.runUntil(clock.now() + std::chrono::microseconds(round * 40));
    }
    CHECK(true);
}

// Guards against an answer that is given up although it has arrived: after a pause of the loop, as
// when a large declaration is applied, its deadline is due too.
TEST_CASE("bytes that arrived in a pause of the loop are read before a timer that is due")
{
    net::EventLoop loop;
    const http::Listener listener;
    std::string received;
    std::optional<std::string> receivedAtTimer;
    std::shared_ptr<net::TcpStream> stream;
    const auto opening = net::TcpStream::connect(loop, listener.address(), [&](auto connected) {
        REQUIRE(connected.ok());
        stream = *connected;
        stream->setEvents({[&](std::string_view bytes) { received += bytes; }, {}, {}});
        stream->startReading();
    });
    const http::Peer peer = listener.accept();
    while (stream == nullptr) {
        loop.runUntil({});
    }
    loop.runUntil({});
    net::Timer timer(loop, [&] { receivedAtTimer = received; });
    timer.start(1ms);
    peer.write("answer");
    std::this_thread::sleep_for(20ms);
    while (!receivedAtTimer) {
        loop.runUntil(core::SteadyClock().now() + 1ms);
    }
    CHECK(*receivedAtTimer == "answer");
}

// Guards against a timer that fires although what it waited for has come in a pause of the loop.
TEST_CASE("a timer that is stopped by bytes which arrived in a pause of the loop does not fire")
{
    net::EventLoop loop;
    const http::Listener listener;
    bool isConnected = false;
    bool isFired = false;
    net::Timer timer(loop, [&] { isFired = true; });
    const auto stream = net::TcpStream::connect(loop, listener.address(), [&](auto connected) {
        isConnected = connected.ok();
        timer.stop();
    });
    timer.start(1ms);
    std::this_thread::sleep_for(20ms);
    while (!isConnected && !isFired) {
        loop.runUntil(core::SteadyClock().now() + 1ms);
    }
    loop.runUntil(core::SteadyClock().now() + 5ms);
    CHECK(isConnected);
    CHECK_FALSE(isFired);
}

// Guards against a sound target that counts as unreachable for a pause of the instance itself.
TEST_CASE("a connection that was established in a pause of the loop is used")
{
    net::EventLoop loop;
    const http::Listener listener;
    net::TargetPool pool(loop, {.connectTimeout = 5ms});
    std::optional<bool> isConnected;
    const auto pending = pool.acquire({listener.address(), 1},
                                      [&](auto connection) { isConnected = connection.ok(); });
    std::this_thread::sleep_for(20ms);
    while (!isConnected) {
        loop.runUntil(core::SteadyClock().now() + 1ms);
    }
    CHECK(*isConnected);
}

// Guards against a timer that is due because the callback of another socket took long.
TEST_CASE("bytes that arrived while another socket was read are read before a timer that is due")
{
    net::EventLoop loop;
    const http::Listener listener;
    std::vector<std::shared_ptr<net::TcpStream>> streams;
    std::vector<http::Peer> peers;
    std::vector<std::shared_ptr<net::TcpStream>> opening;
    for (int number = 0; number < 2; ++number) {
        opening.push_back(net::TcpStream::connect(
            loop, listener.address(), [&](auto connected) { streams.push_back(*connected); }));
        peers.push_back(listener.accept());
    }
    while (streams.size() < 2) {
        loop.runUntil({});
    }
    std::string received;
    std::optional<std::string> receivedAtTimer;
    net::Timer timer(loop, [&] { receivedAtTimer = received; });
    const auto writeLate = [&](std::string_view /*bytes*/) {
        for (const http::Peer &peer : peers) {
            peer.write("answer");
        }
        std::this_thread::sleep_for(20ms);
    };
    for (const auto &stream : streams) {
        stream->setEvents({[&](std::string_view bytes) {
                               if (bytes == "first") {
                                   writeLate(bytes);
                               } else {
                                   received += bytes;
                               }
                           },
                           {},
                           {}});
        stream->startReading();
    }
    peers.front().write("first");
    timer.start(10ms);
    while (!receivedAtTimer) {
        loop.runUntil(core::SteadyClock().now() + 5ms);
    }
    CHECK(*receivedAtTimer == "answeranswer");
}

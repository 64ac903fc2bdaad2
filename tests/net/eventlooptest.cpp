#include "samphirebridge/net/eventloop.h"
#include "samphirebridge/net/targetpool.h"
#include "samphirebridge/net/timer.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <functional>
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

namespace
{

// Two streams to peers, of which one is read ahead of the other.
struct StreamPair {
    StreamPair()
    {
        std::signal(SIGPIPE, SIG_IGN); // As the program does.
        for (int number = 0; number < 2; ++number) {
            this->opening.push_back(net::TcpStream::connect(
                this->loop, this->listener.address(), [this](auto connected) {
                    REQUIRE(connected.ok());
                    this->streams.push_back(*connected);
                }));
            this->peers.push_back(this->listener.accept());
            while (this->streams.size() < this->peers.size()) {
                this->loop.runUntil({});
            }
        }
    }

    // Reads from both streams; bytes of the first one start `step`.
    void start(std::function<void()> step)
    {
        this->streams[0]->setEvents(
            {[step = std::move(step)](std::string_view /*bytes*/) { step(); }, nullptr, nullptr});
        this->streams[1]->setEvents({[this](std::string_view bytes) { this->received += bytes; },
                                     [this](net::StreamEnd end) { this->ends.push_back(end); },
                                     nullptr});
        this->streams[0]->startReading();
        this->streams[1]->startReading();
        this->loop.runUntil({});
    }

    void runToEnd()
    {
        while (this->ends.empty()) {
            this->loop.runUntil(core::SteadyClock().now() + 1ms);
        }
    }

    net::EventLoop loop;
    http::Listener listener;
    std::vector<std::shared_ptr<net::TcpStream>> opening;
    std::vector<std::shared_ptr<net::TcpStream>> streams;
    std::vector<http::Peer> peers;
    std::string received;
    std::vector<net::StreamEnd> ends; // Of the second stream.
};

} // namespace

// Guards against a part of an answer that counts as whole since its end looks orderly: the kernel
// reports a reset once, and that was to a write.
TEST_CASE("a stream whose reset was reported to a write has ended by it")
{
    const bool large = GENERATE(false, true);
    const bool answered = GENERATE(false, true);
    StreamPair pair;
    const std::string bytes(large ? size_t{8} << 20U : 1, 'x');
    pair.start([&] { pair.streams[1]->write(bytes); });
    // Both are read in one turn of the loop, the first stream ahead of the second.
    pair.peers[0].write("go");
    pair.peers[1].write(answered ? "part" : "");
    pair.peers[1].close(true);
    pair.runToEnd();
    CHECK(pair.ends.front() == net::StreamEnd::Broken);
    CHECK(pair.received == (answered ? "part" : ""));
}

// Guards against the same where looking at the connection takes the reset.
TEST_CASE("a stream whose reset was reported to a look at it has ended by it")
{
    const bool unread = GENERATE(false, true);
    StreamPair pair;
    pair.start([&] {
        if (unread) {
            CHECK_FALSE(pair.streams[1]->hasUnreadBytes());
        } else {
            CHECK_FALSE(pair.streams[1]->isQuiet());
        }
    });
    pair.peers[0].write("go");
    pair.peers[1].close(true);
    pair.runToEnd();
    CHECK(pair.ends.front() == net::StreamEnd::Broken);
}

// Guards against sound answers that count as broken off.
TEST_CASE("a stream that its peer closes in order has ended so, whatever was written before")
{
    StreamPair pair;
    pair.start([&] {
        pair.streams[1]->write("request");
        CHECK_FALSE(pair.streams[1]->isQuiet());
    });
    pair.peers[0].write("go");
    pair.peers[1].write("whole");
    pair.peers[1].endWriting();
    pair.runToEnd();
    CHECK(pair.ends.front() == net::StreamEnd::Closed);
    CHECK(pair.received == "whole");
}

// Seeded soak of the HTTP server: every request that it accepts gets one whole answer, whatever its
// caller's pace, beside changes of the idle limit and a drain. SAMPHIRE_DELIVERY_SEEDS=N plays N
// seeds.
#include "samphirebridge/net/httpserver.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using http::Peer;

namespace
{

constexpr int DefaultSeeds = 6;
constexpr int Callers = 12;
constexpr int Batches = 4; // Per caller and connection.
constexpr size_t LargestAnswer = size_t{6} * 1024 * 1024;

int seedCount()
{
    // getenv is safe here: no other thread runs yet that could change the environment.
    const char *text = std::getenv("SAMPHIRE_DELIVERY_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? DefaultSeeds : std::max(1, std::atoi(text));
}

// Returns a number from 0 to below the bound, the same with every standard library.
uint64_t draw(std::mt19937_64 &random, uint64_t bound)
{
    return random() % bound;
}

// Answers /N with N bytes at once, and /stream/N with N bytes in parts, on a thread of its own. The
// idle limit changes with each turn of the loop until the drain.
class Service
{
public:
    explicit Service(uint64_t seed)
        : random(seed)
    {
        std::signal(SIGPIPE, SIG_IGN);
        auto listening = net::HttpServer::listen(
            this->loop,
            "127.0.0.1:0",
            [this] {
                return net::ServerLimits{
                    .message = {}, .headTimeout = 10s, .idleTimeout = this->idleLimit};
            },
            [this](const net::IncomingRequest &request, std::shared_ptr<net::Responder> responder) {
                this->answer(request.head.target, std::move(responder));
            },
            [this](const net::ClosedConnection &closed) {
                const bool isByCaller = closed.reason == core::CloseReason::CallerClosed;
                this->unexplainedLosses
                    += !isByCaller && (closed.requestOpen || closed.unsentBytes > 0) ? 1 : 0;
            });
        REQUIRE(listening.ok());
        this->server = std::move(*listening);
        this->port = static_cast<uint16_t>(this->server->port());
        this->thread = std::thread([this] { this->run(); });
    }

    ~Service()
    {
        this->drain();
    }

    // Stops as a process does: drains, closes the listener and ends when nothing is under way.
    void drain()
    {
        this->draining = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    uint16_t port = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> unexplainedLosses = 0;

private:
    struct Stream {
        std::shared_ptr<net::Responder> responder;
        size_t left = 0;
    };

    void run()
    {
        while (!this->draining) {
            this->idleLimit = std::chrono::milliseconds(5 + draw(this->random, 400));
            this->turn();
        }
        this->server->beginDrain();
        for (int turn = 0; turn < 20; ++turn) {
            this->turn();
        }
        this->server->stopAccepting();
        while (!this->streams.empty() || !this->server->idle()) {
            this->turn();
        }
        this->server.reset();
    }

    // One turn of the loop, after which each stream goes on. Some turns come after a pause.
    void turn()
    {
        if (draw(this->random, 20) == 0) {
            std::this_thread::sleep_for(15ms);
        }
        this->loop.runUntil(core::SteadyClock().now() + 2ms);
        // The end of an answer may begin the stream of the next request.
        std::vector<Stream> open = std::exchange(this->streams, {});
        std::erase_if(open, [this](Stream &stream) { return this->goOn(stream); });
        std::move(open.begin(), open.end(), std::back_inserter(this->streams));
    }

    // Writes the next part of a stream; returns whether it has ended.
    bool goOn(Stream &stream)
    {
        const size_t part = std::min<size_t>(stream.left, 1 + draw(this->random, 100'000));
        stream.responder->write(std::string(part, 'x'));
        stream.left -= part;
        if (stream.left == 0) {
            stream.responder->end();
        }
        return stream.left == 0;
    }

    void answer(std::string_view target, std::shared_ptr<net::Responder> responder)
    {
        ++this->answered;
        const size_t size = std::stoull(std::string(target.substr(target.rfind('/') + 1)));
        net::ResponseHead head;
        head.status = 200;
        if (target.starts_with("/stream/")) {
            head.framing = net::BodyFraming::Length;
            head.contentLength = size;
            responder->begin(head);
            this->streams.push_back({std::move(responder), size});
            return;
        }
        responder->sendWhole(head, std::string(size, 'x'));
    }

    std::mt19937_64 random;
    net::EventLoop loop;
    std::unique_ptr<net::HttpServer> server;
    std::vector<Stream> streams;
    core::Duration idleLimit = 1s;
    std::atomic<bool> draining = false;
    std::thread thread;
};

// The answers in what a connection received.
struct Received {
    int whole = 0;
    bool isCut = false;
};

Received countAnswers(std::string_view bytes)
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    constexpr std::string_view Length = "Content-Length: ";
    Received received;
    while (!bytes.empty()) {
        const size_t end = bytes.find(HeadEnd);
        const size_t length = bytes.find(Length);
        if (end == std::string_view::npos || length > end) {
            received.isCut = true;
            return received;
        }
        const size_t size = std::stoull(std::string(bytes.substr(length + Length.size(), 20)));
        if (bytes.size() < end + HeadEnd.size() + size) {
            received.isCut = true;
            return received;
        }
        bytes.remove_prefix(end + HeadEnd.size() + size);
        ++received.whole;
    }
    return received;
}

// Sends batches of pipelined requests on one connection, pauses, and reads until the server closes
// it.
Received callSlowly(uint16_t port, uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Peer peer = Peer::connect(port);
    for (uint64_t batch = 1 + draw(random, Batches); batch > 0; --batch) {
        std::string requests;
        for (uint64_t number = 1 + draw(random, 3); number > 0; --number) {
            const uint64_t size = draw(random, 4) == 0 ? draw(random, LargestAnswer) : 20;
            requests += fmt::format("GET /{}{} HTTP/1.1\r\nHost: h\r\n\r\n",
                                    draw(random, 3) == 0 ? "stream/" : "",
                                    1 + size);
        }
        peer.write(requests);
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(random, 60)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(draw(random, 300)));
    return countAnswers(peer.readToEnd());
}

} // namespace

// Guards against answers that are lost though their requests were accepted.
TEST_CASE("every request that a server accepts gets one whole answer beside limits and a drain")
{
    const int seeds = seedCount();
    for (int seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        Service service(static_cast<uint64_t>(seed));
        std::vector<Received> received(Callers);
        std::vector<std::thread> callers;
        for (size_t caller = 0; caller < received.size(); ++caller) {
            callers.emplace_back([&service, &received, caller, seed] {
                received[caller]
                    = callSlowly(service.port, static_cast<uint64_t>(seed) * 1000 + caller);
            });
        }
        std::this_thread::sleep_for(150ms);
        service.drain();
        int whole = 0;
        for (size_t caller = 0; caller < received.size(); ++caller) {
            callers[caller].join();
            CHECK_FALSE(received[caller].isCut);
            whole += received[caller].whole;
        }
        CHECK(whole == service.answered);
        CHECK(service.unexplainedLosses == 0);
    }
}

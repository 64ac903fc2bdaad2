// Requests to a target over real connections: which answers count as complete, and which
// connections are reused.
#include "samphirebridge/net/targetpool.h"
#include "tests/http/brokenanswer.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

using namespace samphirebridge;
using namespace std::chrono_literals;
using http::Listener;
using http::Peer;

namespace
{

// Sends requests on one connection to a listener and records the answer.
class Caller
{
public:
    explicit Caller(const Listener &listener)
        : pool(this->loop, {.connectTimeout = 10s})
        , endpoint{"127.0.0.1:" + std::to_string(listener.port()), 1}
    {
        std::signal(SIGPIPE, SIG_IGN); // As the program does.
    }

    ~Caller()
    {
        this->connection.reset();
        this->pending.reset();
    }

    void connect()
    {
        this->pending = this->pool.acquire(this->endpoint, [this](auto acquired) {
            REQUIRE(acquired.ok());
            this->connection = std::move(*acquired);
        });
        this->runUntil([this] { return this->connection != nullptr; });
    }

    // Sends a request; with an id given, accepts only the answer that carries it in X-Id.
    void send(std::string_view wantedId = {},
              std::string_view method = "GET",
              std::string_view upload = {})
    {
        net::RequestHead head;
        head.method = method;
        head.target = "/";
        head.headers.set("Host", "target");
        head.framing = upload.empty() ? net::BodyFraming::None : net::BodyFraming::Length;
        head.contentLength = upload.size();
        net::ExchangeEvents events;
        events.onHead = [this, wanted = std::string(wantedId)](const net::ResponseHead &answer) {
            this->status = answer.status;
            ++this->heads;
            return wanted.empty() || answer.headers.find("X-Id").value_or("") == wanted;
        };
        events.onBody = [this](std::string_view bytes) {
            this->body += bytes;
        };
        events.onEnd = [this] {
            this->complete = true;
        };
        events.onFailed = [this](const absl::Status & /*error*/) {
            this->complete = false;
        };
        this->connection->send(head, upload, std::move(events));
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            this->loop.runUntil(this->clock.now() + 10ms);
        }
    }

    // Runs the loop until the exchange ends; returns whether the answer was complete.
    bool waitForEnd()
    {
        this->runUntil([this] { return this->complete.has_value(); });
        return *this->complete;
    }

    net::EventLoop loop;
    core::SteadyClock clock;
    net::TargetPool pool;
    net::TargetEndpoint endpoint;
    std::shared_ptr<net::TargetPool::Pending> pending;
    net::TargetPool::Connection connection;
    int status = 0;
    int heads = 0;
    std::string body;
    std::optional<bool> complete;
};

// Lets a target send the first `bytes` of the answer after `inFront`, and end the
// connection at once. Checks what the caller gets.
void checkBrokenAnswer(const http::BreakableAnswer &answer,
                       const std::string &inFront,
                       size_t bytes,
                       bool reset)
{
    const std::string sent = answer.text.substr(0, bytes);
    INFO(inFront << sent << (reset ? " (reset)" : " (closed)"));
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send("mine", answer.toHead ? "HEAD" : "GET");
    (void)target.readUntil("\r\n\r\n");
    target.write(inFront + sent);
    target.close(reset);
    const bool complete = caller.waitForEnd();
    // A reset may overtake bytes, so it may make a complete answer fail, but never the reverse.
    CHECK((complete == answer.isComplete(bytes, reset) || (reset && !complete)));
    const int heads = (inFront.empty() ? 0 : 1) + (bytes >= answer.headBytes ? 1 : 0);
    CHECK((caller.heads == heads || (reset && caller.heads < heads)));
    CHECK((!complete || caller.status == answer.status));
}

} // namespace

// Guards against a 200 with an empty or short body, framed as whole, that callers get of a target
// which stopped inside its answer's head or body.
TEST_CASE(
    "an answer whose target ends the connection at any of its bytes is complete only if whole")
{
    const bool reset = GENERATE(false, true);
    const std::string inFront = GENERATE(
        as<std::string>{}, "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother");
    for (const http::BreakableAnswer &answer : http::breakableAnswers()) {
        // The answer in front of one to a HEAD request would need a body that such answers lack.
        if (answer.toHead && !inFront.empty()) {
            continue;
        }
        for (size_t bytes = 0; bytes <= answer.text.size(); ++bytes) {
            checkBrokenAnswer(answer, inFront, bytes, reset);
        }
    }
}

// Guards against the end of the connection being taken for the end of the caller's own answer.
TEST_CASE("an answer to another request that ends with the connection is no answer")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send("mine");
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n");
    target.close();
    CHECK_FALSE(caller.waitForEnd());
    CHECK(caller.heads == 1);
    CHECK(caller.body.empty());
}

TEST_CASE("an answer without a length is complete when the target closes the connection")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\n\r\nwhole");
    target.close();
    CHECK(caller.waitForEnd());
    CHECK(caller.body == "whole");
    CHECK_FALSE(caller.connection->reusable());
}

TEST_CASE("an answer without a length is incomplete when the connection is reset right after it")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    // Both the bytes and the reset arrive before the caller reads, where a reset can look like an
    // orderly close.
    target.write("HTTP/1.1 200 OK\r\n\r\npart");
    target.close(true);
    CHECK_FALSE(caller.waitForEnd());
}

TEST_CASE("an answer shorter than its Content-Length is incomplete")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    target.close();
    CHECK_FALSE(caller.waitForEnd());
}

TEST_CASE("an answer to another request is skipped, and the connection is not reused")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send("mine");
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother"
                 "HTTP/1.1 201 Created\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
    CHECK(caller.waitForEnd());
    CHECK(caller.status == 201);
    CHECK(caller.body == "mine");
    CHECK_FALSE(caller.connection->reusable());
}

TEST_CASE("a connection with bytes after a complete answer is not reused")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
    CHECK(caller.waitForEnd());
    CHECK(caller.body == "ok");
    CHECK_FALSE(caller.connection->reusable());
}

TEST_CASE("a released connection is reused, but not after it received unsolicited bytes")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(caller.waitForEnd());
    const net::TargetConnection *first = caller.connection.get();
    caller.pool.release(caller.endpoint, std::exchange(caller.connection, nullptr));
    caller.connect();
    CHECK(caller.connection.get() == first);
    caller.pool.release(caller.endpoint, std::exchange(caller.connection, nullptr));
    const uint64_t opened = caller.pool.opened();
    // An unsolicited answer.
    target.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    caller.runUntil([&caller, opened] {
        caller.connection.reset();
        caller.pending = caller.pool.acquire(caller.endpoint, [&caller](auto acquired) {
            if (acquired.ok()) {
                caller.connection = std::move(*acquired);
            }
        });
        if (caller.connection != nullptr && caller.pool.opened() == opened) {
            caller.pool.release(caller.endpoint, std::exchange(caller.connection, nullptr));
        }
        return caller.pool.opened() > opened;
    });
    CHECK(caller.pool.opened() > opened);
}

// Guards against a request that is lost because it is sent on a connection which its target has
// closed, or written to, before the event loop has read that.
TEST_CASE("a connection whose end has arrived unread is not reused")
{
    const bool closed = GENERATE(true, false);
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send();
    (void)target.readUntil("\r\n\r\n");
    target.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(caller.waitForEnd());
    caller.pool.release(caller.endpoint, std::exchange(caller.connection, nullptr));
    const uint64_t opened = caller.pool.opened();
    if (closed) {
        target.close();
    } else {
        target.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    caller.connect();
    CHECK(caller.pool.opened() == opened + 1);
}

// Guards against a target that sends answers to other requests without end.
TEST_CASE("an exchange fails after too many bytes of answers to other requests")
{
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    Peer target = listener.accept();
    caller.send("mine");
    (void)target.readUntil("\r\n\r\n");
    const std::string foreign
        = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    for (int count = 0; count < 2'000 && !caller.complete; ++count) {
        target.write(foreign);
        caller.loop.runUntil(caller.clock.now());
    }
    REQUIRE(caller.complete);
    CHECK_FALSE(*caller.complete);
    CHECK(caller.body.empty());
}

namespace
{

// When a target ends the connection in an upload, and how.
struct UploadFault {
    size_t uploadBytes = 0;
    size_t readBytes = 0; // Of the request, before the target answers.
    bool endsWriting = false; // The target ends its answer in order before the reset.
    bool readsLate = false; // The caller reads only after the reset.
};

// Lets a target answer and then reset the connection as told.
void runFault(Caller &caller,
              const Listener &listener,
              const UploadFault &fault,
              const std::string &answer)
{
    caller.connect();
    Peer target = listener.accept();
    caller.send({}, "POST", std::string(fault.uploadBytes, 'u'));
    (void)target.readBytes(fault.readBytes);
    target.write(answer);
    if (fault.endsWriting) {
        target.endWriting();
    }
    if (!fault.readsLate) {
        caller.runUntil([&] { return caller.heads > 0 || answer.size() < 12 || caller.complete; });
    }
    target.close(true);
}

} // namespace

// Guards against a part of an answer that a caller gets as whole, from a target that answers early
// and resets the connection while the request is still being sent.
TEST_CASE("an answer without a length is incomplete if the target resets an upload")
{
    UploadFault fault;
    fault.uploadBytes = GENERATE(size_t{1}, size_t{64} << 10U, size_t{16} << 20U);
    fault.readBytes = GENERATE(size_t{0}, size_t{1}, size_t{200});
    fault.readsLate = GENERATE(false, true);
    const std::string answer
        = GENERATE(as<std::string>{},
                   "",
                   "HTTP/1.1 20",
                   "HTTP/1.1 200 OK\r\n\r\n",
                   "HTTP/1.1 200 OK\r\n\r\npart",
                   "HTTP/1.1 200 OK\r\n\r\n" + std::string(size_t{64} << 10U, 'p'));
    if (fault.uploadBytes == 1 && fault.readBytes == 200) {
        return; // The request is shorter.
    }
    INFO(fault.uploadBytes << ' ' << fault.readBytes << ' ' << fault.readsLate << ' '
                           << answer.substr(0, 30));
    const Listener listener;
    Caller caller(listener);
    runFault(caller, listener, fault, answer);
    CHECK_FALSE(caller.waitForEnd());
}

// Guards against the same where the end of the answer comes in order: a target that stopped before
// it had read the request leaves an end or a reset, by what had arrived.
TEST_CASE("a success without a length is incomplete if it ends while the request is being sent")
{
    const bool readsLate = GENERATE(false, true);
    const std::string status = GENERATE(as<std::string>{}, "200 OK", "201 Created");
    const Listener listener;
    Caller caller(listener);
    runFault(caller,
             listener,
             {size_t{32} << 20U, 1, true, readsLate},
             "HTTP/1.1 " + status + "\r\n\r\npart");
    CHECK_FALSE(caller.waitForEnd());
}

// Guards against refusals of a request that is too long which get lost.
TEST_CASE("an early error without a length, and an early success with one, are complete")
{
    const std::string answer = GENERATE(as<std::string>{},
                                        "HTTP/1.1 413 Content Too Large\r\n\r\nwhole",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    const Listener listener;
    Caller caller(listener);
    caller.connect();
    const Peer target = listener.accept();
    caller.send({}, "POST", std::string(size_t{32} << 20U, 'u'));
    target.write(answer);
    target.endWriting();
    CHECK(caller.waitForEnd());
    CHECK(caller.body == "whole");
    CHECK_FALSE(caller.connection->reusable());
}

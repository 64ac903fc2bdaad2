#include "samphirebridge/http/client.h"

#include "samphirebridge/core/errors.h"
#include "tests/http/brokenanswer.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::http;

namespace
{

constexpr auto Long = std::chrono::seconds(30);
constexpr auto Short = std::chrono::milliseconds(30);
constexpr std::string_view ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view RequestEnd = "\r\n\r\nbody";

ClientRequest post(const Listener &listener, ConnectionUse use = ConnectionUse::Fresh)
{
    ClientRequest request;
    request.method = "POST";
    request.url = listener.url() + "/v1/payments";
    request.body = "body";
    request.connection = use;
    return request;
}

// Lets the exchange send its request and returns the target's end of the connection.
Peer acceptRequest(Exchange &exchange, const Listener &listener)
{
    while (!exchange.bytesMayHaveLeft()) {
        exchange.next(Short);
    }
    exchange.next(Short);
    Peer peer = listener.accept();
    CHECK(peer.readUntil(RequestEnd).starts_with("POST /v1/payments HTTP/1.1\r\n"));
    return peer;
}

// The same without a wait for an event, and without reading the request.
Peer acceptUpload(Exchange &exchange, const Listener &listener)
{
    constexpr auto None = std::chrono::milliseconds(0);
    while (!exchange.bytesMayHaveLeft()) {
        exchange.next(None);
    }
    exchange.next(None);
    return listener.accept();
}

ExchangeEvent nextEvent(Exchange &exchange)
{
    return exchange.next(Long);
}

// Lets a target send the first `bytes` of the answer and end the connection, and checks the events.
void checkBrokenAnswer(const BreakableAnswer &answer, size_t bytes, bool reset)
{
    const std::string sent = answer.text.substr(0, bytes);
    INFO(sent << (reset ? " (reset)" : " (closed)"));
    const Listener listener;
    Client client;
    ClientRequest request;
    request.method = answer.toHead ? "HEAD" : "GET";
    request.url = listener.url() + "/";
    std::thread target([&listener, &sent, reset] {
        Peer peer = listener.accept();
        static_cast<void>(peer.readUntil("\r\n\r\n"));
        peer.write(sent);
        peer.close(reset);
    });
    Exchange exchange = client.start(request);
    int heads = 0;
    ExchangeEvent event = nextEvent(exchange);
    while (!exchange.finished()) {
        heads += event.kind == ExchangeEventKind::Headers ? 1 : 0;
        // Body data comes only after the status that tells what it is.
        CHECK((event.kind != ExchangeEventKind::Data || heads == 1));
        CHECK((event.kind != ExchangeEventKind::Headers || event.status == answer.status));
        event = nextEvent(exchange);
    }
    target.join();
    const bool complete = event.kind == ExchangeEventKind::End;
    // libcurl does without the last byte of the empty line that follows the last chunk.
    const bool hasWholeBody = bytes >= answer.bodyBytes && bytes < answer.completeBytes;
    // A reset may overtake bytes, so it may make a complete answer fail, but never the reverse.
    CHECK((complete == answer.isComplete(bytes, reset) || hasWholeBody || (reset && !complete)));
    const int headsSent = bytes >= answer.headBytes ? 1 : 0;
    CHECK((heads == headsSent || (reset && heads < headsSent)));
}

} // namespace

// Guards against a 200 with an empty or short body, framed as whole, that callers get of a target
// which stopped inside its answer's head or body.
TEST_CASE("an answer whose target ends the connection at any of its bytes ends only if it is whole")
{
    const bool reset = GENERATE(false, true);
    for (const BreakableAnswer &answer : breakableAnswers()) {
        for (size_t bytes = 0; bytes <= answer.text.size(); ++bytes) {
            checkBrokenAnswer(answer, bytes, reset);
        }
    }
}

// Guards against bytes of a body, with a head that was never complete, that a consumer could take
// for an answer.
TEST_CASE("bytes that follow no complete head are no body, and the exchange fails")
{
    const std::string sent = GENERATE(as<std::string>{},
                                      "HTTP/1.1 101 Switching Protocols\r\n\r\nbytes",
                                      "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\rX: 1\nbytes",
                                      "bytes that are no answer\r\n\r\nbytes");
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.write(sent);
    target.close();
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::InvalidAnswer);
}

TEST_CASE("a chunk is passed on before the answer is complete")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    const Peer target = acceptRequest(exchange, listener);
    target.write(ChunkedHead);
    target.write("5\r\nfirst\r\n");
    const ExchangeEvent head = nextEvent(exchange);
    CHECK(head.kind == ExchangeEventKind::Headers);
    CHECK(head.status == 200);
    CHECK(nextEvent(exchange).bytes == "first");
    CHECK(exchange.next(Short).kind == ExchangeEventKind::Nothing);
    target.write("4\r\nlast\r\n0\r\n\r\n");
    CHECK(nextEvent(exchange).bytes == "last");
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::End);
    CHECK(exchange.finished());
}

TEST_CASE("a wait for a stalled answer returns Nothing and the exchange continues")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    const Peer target = acceptRequest(exchange, listener);
    CHECK(exchange.next(Short).kind == ExchangeEventKind::Nothing);
    CHECK_FALSE(exchange.finished());
    target.write("HTTP/1.1 204 No Content\r\n\r\n");
    CHECK(nextEvent(exchange).status == 204);
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::End);
}

TEST_CASE("a stalled answer whose deadline passes is a timeout")
{
    const Listener listener;
    Client client;
    ClientRequest request = post(listener);
    request.deadline = std::chrono::milliseconds(200);
    Exchange exchange = client.start(request);
    const Peer target = acceptRequest(exchange, listener);
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::Timeout);
    CHECK(exchange.bytesMayHaveLeft());
}

TEST_CASE("cancelling closes the connection")
{
    const Listener listener;
    Client client;
    const ConnectionUse use = GENERATE(ConnectionUse::Fresh, ConnectionUse::Pooled);
    Exchange exchange = client.start(post(listener, use));
    const Peer target = acceptRequest(exchange, listener);
    target.write(ChunkedHead);
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::Headers);
    exchange.cancel();
    CHECK(target.readToEnd().empty()); // Returns only after the connection is closed.
    CHECK(exchange.next(Long).kind == ExchangeEventKind::Nothing);
}

TEST_CASE("an interrupt ends a wait for an event")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    const Peer target = acceptRequest(exchange, listener);
    std::thread interrupter([&exchange] { exchange.interrupt(); });
    CHECK(exchange.next(Long).kind == ExchangeEventKind::Nothing);
    interrupter.join();
    CHECK_FALSE(exchange.finished());
}

TEST_CASE("a refused connection is reported as one on which no byte of the request was sent")
{
    ClientRequest request;
    {
        const Listener closedListener;
        request = post(closedListener, GENERATE(ConnectionUse::Fresh, ConnectionUse::Pooled));
    }
    Client client;
    Exchange exchange = client.start(request);
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::ConnectFailed);
    CHECK_FALSE(exchange.bytesMayHaveLeft());
    const auto answer = client.fetch(request, Long);
    CHECK(core::errorCodeOf(answer.status()) == core::ErrorCode::Unreachable);
}

TEST_CASE("a connection that breaks before the answer may have carried the request")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.close(GENERATE(true, false));
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::ConnectionBroken);
    CHECK(exchange.bytesMayHaveLeft());
}

TEST_CASE("a missing terminating chunk and a short body are reported as WrongLength")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    const std::string answer = GENERATE(as<std::string>{},
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "3\r\nabc\r\n",
                                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    target.write(answer);
    target.close();
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::Headers);
    CHECK(nextEvent(exchange).bytes == "abc");
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::WrongLength);
}

TEST_CASE("a pooled connection is reused and a fresh one never is")
{
    const Listener listener;
    Client client;
    constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    Exchange first = client.start(post(listener, ConnectionUse::Pooled));
    const Peer target = acceptRequest(first, listener);
    target.write(Answer);
    while (!first.finished()) {
        nextEvent(first);
    }
    Exchange second = client.start(post(listener, ConnectionUse::Pooled));
    second.next(Short);
    CHECK_FALSE(target.readUntil(RequestEnd).empty()); // On the connection of the first exchange.
    target.write(Answer);
    while (!second.finished()) {
        nextEvent(second);
    }
    Exchange third = client.start(post(listener));
    const Peer other = acceptRequest(third, listener); // Accepts a new connection.
    CHECK(third.bytesMayHaveLeft());
}

TEST_CASE("a request on a fresh connection is not resent after the connection breaks")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.close(true);
    CHECK(nextEvent(exchange).error == ExchangeError::ConnectionBroken);
    Exchange probe = client.start(post(listener));
    const Peer next = acceptRequest(probe, listener); // The first connection after the broken one.
    next.write("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    CHECK(nextEvent(probe).status == 201);
}

TEST_CASE("an answer larger than accepted is refused with TooLarge")
{
    const Listener listener;
    Client client;
    std::thread target([&listener] {
        const Peer peer = listener.accept();
        static_cast<void>(peer.readUntil(RequestEnd));
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789");
    });
    const auto answer = client.fetch(post(listener), Long, 8);
    target.join();
    CHECK(core::errorCodeOf(answer.status()) == core::ErrorCode::TooLarge);
}

// Guards against an answer whose status is no final status of HTTP, or that is taken to have a body
// which belongs to an interim answer.
TEST_CASE("an answer whose status is no final status of HTTP is an error before any part of it")
{
    const std::string status = GENERATE(as<std::string>{},
                                        "000",
                                        "099",
                                        "99",
                                        "20",
                                        "2",
                                        "600",
                                        "799",
                                        "999",
                                        "1000",
                                        "2000",
                                        "0200",
                                        "0100",
                                        "20x",
                                        "abc",
                                        "2 00",
                                        "-20",
                                        "101",
                                        "");
    const std::string inFront
        = GENERATE(as<std::string>{}, "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103\n\n");
    const std::string rest = GENERATE(as<std::string>{},
                                      " OK\r\nContent-Length: 4\r\n\r\nbody",
                                      " OK\r\n\r\nbody",
                                      "\r\nContent-Length: 0\r\n\r\n",
                                      "\n\nbody");
    const std::string text = std::string(inFront).append("HTTP/1.1 ").append(status).append(rest);
    INFO(text);
    const Listener listener;
    Client client;
    Exchange exchange
        = client.start(post(listener, GENERATE(ConnectionUse::Fresh, ConnectionUse::Pooled)));
    Peer target = acceptUpload(exchange, listener);
    static_cast<void>(target.readUntil(RequestEnd));
    target.write(text);
    target.close();
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::InvalidAnswer);
    CHECK_FALSE(event.message.empty());
    CHECK(exchange.bytesMayHaveLeft());
}

// Guards against an interim answer that ends the exchange, as if it were the final one.
TEST_CASE("an answer that ends after interim answers is an error")
{
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Any\r\nX: y\r\n\r\n");
    target.close(GENERATE(false, true));
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::ConnectionBroken);
}

// Guards against the length of an interim answer, which may have no body, that one reader counts
// and another does not.
TEST_CASE("an interim answer with a body is an error")
{
    const std::string body = GENERATE(as<std::string>{},
                                      "Content-Length: 4\r\n\r\nbody",
                                      "Content-Length: 4\r\n\r\n",
                                      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                      "Transfer-Encoding: chunked\r\n\r\n");
    const std::string final = GENERATE(as<std::string>{},
                                       "HTTP/1.1 200 OK\r\n\r\nbody and more",
                                       "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n4\r\nb\r\n");
    const std::string text = "HTTP/1.1 103 Early Hints\r\n" + body + final;
    INFO(text);
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.write(text);
    target.close();
    const ExchangeEvent event = nextEvent(exchange);
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::InvalidAnswer);
}

// Guards against a target that keeps an exchange, and the memory that its fields take, without end.
TEST_CASE("endless interim answers and fields are an error within a bound")
{
    const std::string beginning = GENERATE(as<std::string>{}, "", "HTTP/1.1 200 OK\r\n");
    const std::string repeated
        = beginning.empty() ? "HTTP/1.1 102 Processing\r\n\r\n" : "Name: value\r\n";
    INFO(repeated);
    constexpr size_t Bound = size_t{8} << 20U;
    const Listener listener;
    Client client;
    Exchange exchange = client.start(post(listener));
    Peer target = acceptRequest(exchange, listener);
    target.write(beginning);
    std::thread sender([&target, &repeated] {
        std::string piece;
        while (piece.size() < size_t{64} << 10U) {
            piece += repeated;
        }
        for (size_t sent = 0; sent < Bound && !target.wasReset(); sent += piece.size()) {
            target.write(piece);
        }
    });
    ExchangeEvent event = nextEvent(exchange);
    exchange.cancel();
    sender.join();
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(target.wasReset());
}

// Guards against a part of an answer that a caller gets as whole, from a target that answers early
// and ends the connection while the request is still being sent.
TEST_CASE("an answer without a length is an error if its target stops in an upload")
{
    const size_t uploadBytes = GENERATE(size_t{1}, size_t{64} << 10U, size_t{16} << 20U);
    const size_t readBytes = GENERATE(size_t{0}, size_t{1}, size_t{60});
    const bool readsLate = GENERATE(false, true); // The caller reads only after the reset.
    const ConnectionUse use = GENERATE(ConnectionUse::Fresh, ConnectionUse::Pooled);
    const std::string answer
        = GENERATE(as<std::string>{},
                   "",
                   "HTTP/1.1 20",
                   "HTTP/1.1 200 OK\r\n\r\n",
                   "HTTP/1.1 200 OK\r\n\r\npart",
                   "HTTP/1.1 200 OK\r\n\r\n" + std::string(size_t{64} << 10U, 'p'));
    INFO(uploadBytes << ' ' << readBytes << ' ' << readsLate << ' ' << answer.substr(0, 30));
    const Listener listener;
    Client client;
    ClientRequest request = post(listener, use);
    request.body.assign(uploadBytes, 'u');
    Exchange exchange = client.start(request);
    Peer target = acceptUpload(exchange, listener);
    (void)target.readBytes(readBytes);
    target.write(answer);
    ExchangeEvent event;
    if (!readsLate && answer.ends_with('p')) {
        event = nextEvent(exchange);
        CHECK(event.kind == ExchangeEventKind::Headers);
    }
    target.close(true);
    while (!exchange.finished()) {
        event = nextEvent(exchange);
    }
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(exchange.bytesMayHaveLeft());
}

// Guards against the same where the end of the answer comes in order: a target that stopped before
// it had read the request leaves an end or a reset, by what had arrived.
TEST_CASE("a success without a length is an error if it ends while the request is being sent")
{
    const bool resets = GENERATE(false, true);
    const std::string status = GENERATE(as<std::string>{}, "200 OK", "201 Created");
    const Listener listener;
    Client client;
    ClientRequest request = post(listener);
    request.body.assign(size_t{32} << 20U, 'u');
    Exchange exchange = client.start(request);
    Peer target = acceptUpload(exchange, listener);
    (void)target.readBytes(1);
    target.write("HTTP/1.1 " + status + "\r\n\r\npart");
    target.endWriting();
    if (resets) {
        target.close(true);
    }
    ExchangeEvent event;
    while (!exchange.finished()) {
        event = nextEvent(exchange);
    }
    CHECK(event.kind == ExchangeEventKind::Error);
    CHECK(event.error == ExchangeError::ConnectionBroken);
}

// Guards against refusals of a request that is too long which get lost.
TEST_CASE("an early error with or without a length ends in order")
{
    const std::string answer = GENERATE(as<std::string>{},
                                        "HTTP/1.1 413 Content Too Large\r\n\r\nwhole",
                                        "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nwhole");
    const Listener listener;
    Client client;
    ClientRequest request = post(listener);
    request.body.assign(size_t{32} << 20U, 'u');
    Exchange exchange = client.start(request);
    const Peer target = acceptUpload(exchange, listener);
    target.write(answer);
    target.endWriting();
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::Headers);
    CHECK(nextEvent(exchange).bytes == "whole");
    CHECK(nextEvent(exchange).kind == ExchangeEventKind::End);
}

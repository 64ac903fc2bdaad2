#include "samphirebridge/http/server.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/http/client.h"
#include "tests/http/peer.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::http;

namespace
{

constexpr auto Long = std::chrono::seconds(30);

std::unique_ptr<Server> serve(Handler handler, const ServerSettings &settings = {})
{
    auto server = Server::start(settings, std::move(handler));
    REQUIRE(server.ok());
    return *std::move(server);
}

Answer fetch(const Server &server, const std::string &path, std::string body = {})
{
    Client client;
    ClientRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.url = "http://127.0.0.1:" + std::to_string(server.port()) + path;
    request.body = std::move(body);
    auto answer = client.fetch(request, Long);
    REQUIRE(answer.ok());
    return *std::move(answer);
}

void answerOk(const Request &, ResponseWriter &writer)
{
    writer.send(200, {}, "ok");
}

// Sends raw bytes on a new connection and returns everything that the server answers.
std::string sendRaw(const Server &server, std::string_view bytes)
{
    const Peer peer = Peer::connect(server.port());
    peer.write(bytes);
    return peer.readToEnd();
}

} // namespace

TEST_CASE("a handler receives the request as sent, and its answer arrives complete")
{
    Request seen;
    const auto server = serve([&seen](const Request &request, ResponseWriter &writer) {
        seen = request;
        writer.send(201, {{"X-Kind", "payment"}}, "made");
    });
    const Answer answer = fetch(*server, "/v1/pay%20ments?a=1", "money");
    CHECK(answer.status == 201);
    CHECK(answer.body == "made");
    CHECK(answer.headers.find("x-kind") == "payment");
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/v1/pay ments");
    CHECK(encodePath(seen.path) == "/v1/pay%20ments");
    CHECK(seen.query == "a=1");
    CHECK(seen.body == "money");
    CHECK(seen.remote == "127.0.0.1");
}

TEST_CASE("the parts of a stream are sent at once, and its end is marked")
{
    std::atomic<bool> mayEnd{false};
    const auto server = serve([&mayEnd](const Request &, ResponseWriter &writer) {
        writer.begin(200, {{"Content-Type", "text/event-stream"}});
        writer.write("first");
        mayEnd.wait(false);
        writer.write("last");
        writer.end();
    });
    Client client;
    ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/";
    Exchange exchange = client.start(request);
    CHECK(exchange.next(Long).kind == ExchangeEventKind::Headers);
    CHECK(exchange.next(Long).bytes == "first");
    mayEnd = true;
    mayEnd.notify_all();
    CHECK(exchange.next(Long).bytes == "last");
    CHECK(exchange.next(Long).kind == ExchangeEventKind::End);
}

TEST_CASE("a handler detects that its caller disconnects before the answer")
{
    std::atomic<bool> entered{false};
    std::atomic<bool> noticed{false};
    const auto server = serve([&](const Request &, ResponseWriter &writer) {
        entered = !writer.callerDisconnected();
        entered.notify_all();
        while (!writer.callerDisconnected()) {
            std::this_thread::yield();
        }
        noticed = true;
    });
    Peer caller = Peer::connect(server->port());
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    entered.wait(false);
    caller.close();
    server->stop(); // Returns only after the handler has returned.
    CHECK(noticed);
}

TEST_CASE("writing to a caller that reads nothing fails after the write timeout")
{
    ServerSettings settings;
    settings.readTimeout = std::chrono::milliseconds(100);
    settings.writeTimeout = std::chrono::milliseconds(100);
    std::atomic<bool> givenUp{false};
    const auto server = serve(
        [&givenUp](const Request &, ResponseWriter &writer) {
            const std::string part(1U << 20U, 'x');
            writer.begin(200, {});
            while (writer.write(part)) { }
            givenUp = writer.callerDisconnected();
        },
        settings);
    const Peer caller = Peer::connect(server->port());
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    while (server->running() == 0) {
        std::this_thread::yield();
    }
    server->stop();
    CHECK(givenUp);
}

TEST_CASE("listening on an address in use fails with AddressInUse")
{
    const auto first = serve(answerOk);
    ServerSettings settings;
    settings.port = first->port();
    const auto second = Server::start(settings, answerOk);
    CHECK(core::errorCodeOf(second.status()) == core::ErrorCode::AddressInUse);
}

TEST_CASE("a body longer than accepted is refused before the handler sees it")
{
    ServerSettings settings;
    settings.maximumBodyBytes = 8;
    std::atomic<int> calls{0};
    const auto server = serve(
        [&calls](const Request &request, ResponseWriter &writer) {
            ++calls;
            answerOk(request, writer);
        },
        settings);
    CHECK(fetch(*server, "/", "12345678").status == 200);
    const Answer answer = fetch(*server, "/", "123456789");
    CHECK(answer.status == 413);
    CHECK(answer.headers.find("Content-Type") == "application/problem+json");
    CHECK(answer.body.find(R"("code":"too_large")") != std::string::npos);
    const std::string chunked
        = sendRaw(*server,
                  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n5\r\n12345\r\n5\r\n12345\r\n0\r\n\r\n");
    CHECK(chunked.starts_with("HTTP/1.1 413 "));
    CHECK(calls == 1);
}

// Guards against a refusal that is lost in the reset of a connection which is closed over unread
// bytes.
TEST_CASE("a caller that first writes its whole body to the product's interface gets the refusal")
{
    ServerSettings settings;
    settings.maximumBodyBytes = 8;
    const auto server = serve(answerOk, settings);
    const std::string excess(size_t{4} * 1024 * 1024, 'x');
    const Peer caller = Peer::connect(server->port());
    SECTION("a body that is announced too long")
    {
        caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n" + excess);
    }
    SECTION("a body that turns out too long")
    {
        caller.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n"
                     + excess + "\r\n0\r\n\r\n");
    }
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 413 "));
    CHECK_FALSE(caller.wasReset());
}

// Guards against asking a caller for a body that is refused already.
TEST_CASE("a caller of the product's interface is not asked for a body that is too long")
{
    ServerSettings settings;
    settings.maximumBodyBytes = 8;
    const auto server = serve(answerOk, settings);
    CHECK(sendRaw(*server,
                  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
                  "Expect: 100-continue\r\n\r\n")
              .starts_with("HTTP/1.1 413 "));
}

TEST_CASE("requests with too many or too long headers, or ambiguous or short bodies, never reach "
          "the handler")
{
    std::atomic<int> calls{0};
    ServerSettings settings;
    settings.readTimeout = std::chrono::milliseconds(200);
    settings.writeTimeout = std::chrono::milliseconds(200);
    const auto server = serve(
        [&calls](const Request &request, ResponseWriter &writer) {
            ++calls;
            answerOk(request, writer);
        },
        settings);
    std::string many = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 100; ++i) {
        many += "X-" + std::to_string(i) + ": 1\r\n";
    }
    CHECK_FALSE(sendRaw(*server, many + "\r\n").starts_with("HTTP/1.1 200"));
    const std::string large = "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x');
    CHECK_FALSE(sendRaw(*server, large + "\r\n\r\n").starts_with("HTTP/1.1 200"));
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n";
    const std::string ambiguous = post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    CHECK(sendRaw(*server, ambiguous).starts_with("HTTP/1.1 400"));
    Peer shortPeer = Peer::connect(server->port());
    shortPeer.write(post + "\r\nabc");
    CHECK_FALSE(shortPeer.readToEnd().starts_with("HTTP/1.1 200"));
    CHECK(calls == 0);
}

TEST_CASE("a request whose handler throws or sends nothing is answered with 500")
{
    const auto server = serve([](const Request &request, ResponseWriter &) {
        if (request.path == "/throw") {
            throw std::runtime_error("broken");
        }
    });
    CHECK(fetch(*server, "/throw").status == 500);
    CHECK(fetch(*server, "/nothing").status == 500);
}

TEST_CASE("stopping waits for the running handlers and refuses new requests meanwhile")
{
    std::atomic<bool> entered{false};
    std::atomic<bool> mayEnd{false};
    const auto server = serve([&](const Request &request, ResponseWriter &writer) {
        if (request.path == "/early") {
            writer.send(200, {}, "early");
            return;
        }
        entered = true;
        entered.notify_all();
        mayEnd.wait(false);
        writer.send(200, {}, "whole");
    });
    const Peer caller = Peer::connect(server->port());
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    entered.wait(false);
    std::thread stopper([&server] { server->stop(); });
    std::string refused;
    while (refused.find("stopping") == std::string::npos) {
        const Peer late = Peer::connect(server->port());
        late.write("GET /early HTTP/1.1\r\nHost: a\r\n\r\n");
        refused = late.readToEnd();
    }
    CHECK(refused.starts_with("HTTP/1.1 503"));
    mayEnd = true;
    mayEnd.notify_all();
    CHECK(caller.readToEnd().find("whole") != std::string::npos);
    stopper.join();
}

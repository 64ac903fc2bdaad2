#include "samphirebridge/net/messageparser.h"

#include "samphirebridge/core/errors.h"
#include "tests/http/brokenanswer.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace samphirebridge;
using net::BodyFraming;
using net::MessageKind;
using net::MessageParser;

namespace
{

// A parser and the events that it reported.
struct Reader {
    explicit Reader(MessageKind kind = MessageKind::Request, net::MessageLimits limits = {})
        : parser(kind,
                 limits,
                 {[this](net::RequestHead head) { this->request = std::move(head); },
                  [this](net::ResponseHead head) { this->response = std::move(head); },
                  [this](std::string_view bytes) { this->body += bytes; },
                  [this] {
                      ++this->completed;
                  }})
    {
    }

    // Feeds the text byte by byte; returns the code of the first error, or None.
    core::ErrorCode feedSlowly(std::string_view text)
    {
        for (size_t index = 0; index < text.size(); ++index) {
            const auto read = this->parser.feed(text.substr(index, 1));
            if (!read.ok()) {
                return core::errorCodeOf(read.status());
            }
        }
        return core::ErrorCode::None;
    }

    MessageParser parser;
    std::optional<net::RequestHead> request;
    std::optional<net::ResponseHead> response;
    std::string body;
    int completed = 0;
};

// Feeds the text whole and byte by byte, checks that both give the same error and returns it.
core::ErrorCode refusalOf(std::string_view text)
{
    Reader whole;
    const auto read = whole.parser.feed(text);
    Reader slow;
    const core::ErrorCode inPieces = slow.feedSlowly(text);
    INFO(text);
    CHECK(whole.completed == 0);
    CHECK(slow.completed == 0);
    CHECK(core::errorCodeOf(read.status()) == inPieces);
    return inPieces;
}

} // namespace

TEST_CASE("a request is parsed whole or byte by byte, and bytes after its end are not consumed")
{
    const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    Reader reader;
    const auto read = reader.parser.feed(text + "GET / HTTP/1.1\r\n");
    REQUIRE(read.ok());
    CHECK(*read == text.size());
    CHECK(reader.completed == 1);
    CHECK(reader.request->target == "/a?b=c");
    CHECK(reader.request->framing == BodyFraming::Length);
    CHECK(reader.body == "xyz");
    Reader slow;
    CHECK(slow.feedSlowly(text) == core::ErrorCode::None);
    CHECK(slow.completed == 1);
    CHECK(slow.body == "xyz");
}

TEST_CASE("a chunked body is parsed, and its trailer fields are dropped")
{
    Reader reader;
    CHECK(reader.feedSlowly("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2\r\nab\r\n1\r\nc\r\n0\r\nX-Late: 1\r\n\r\n")
          == core::ErrorCode::None);
    CHECK(reader.completed == 1);
    CHECK(reader.body == "abc");
    CHECK_FALSE(reader.request->headers.find("X-Late"));
}

TEST_CASE("a body with ambiguous or malformed framing is refused")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const char *framing : {
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3, 3\r\n",
             "Content-Length: +3\r\n",
             "Content-Length: 0x3\r\n",
             "Content-Length: 99999999999999999999\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding : chunked\r\n",
         }) {
        CHECK(refusalOf(start + framing + "\r\n3\r\nabc\r\n0\r\n\r\n")
              == core::ErrorCode::InvalidRequest);
    }
}

TEST_CASE("malformed field names, control characters and malformed request lines are refused")
{
    CHECK(refusalOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == core::ErrorCode::InvalidRequest);
    CHECK(refusalOf(std::string("GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n", 29))
          == core::ErrorCode::InvalidRequest);
    CHECK(refusalOf("GET /\x7f HTTP/1.1\r\nHost: h\r\n\r\n") == core::ErrorCode::InvalidRequest);
    CHECK(refusalOf("not a request\r\n\r\n") == core::ErrorCode::InvalidRequest);
}

TEST_CASE("heads and bodies above the limits are refused")
{
    Reader head(MessageKind::Request, {.headBytes = 64});
    CHECK(head.feedSlowly("GET / HTTP/1.1\r\nHost: " + std::string(80, 'h') + "\r\n\r\n")
          == core::ErrorCode::TooLarge);
    Reader body(MessageKind::Request, {.bodyBytes = 4});
    CHECK(body.feedSlowly("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde")
          == core::ErrorCode::TooLarge);
    Reader chunks(MessageKind::Request, {.bodyBytes = 4});
    CHECK(chunks.feedSlowly("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "5\r\nabcde\r\n0\r\n\r\n")
          == core::ErrorCode::TooLarge);
}

TEST_CASE("an interim response is skipped, and the response to a HEAD request has no body")
{
    Reader interim(MessageKind::Response);
    CHECK(interim.feedSlowly("HTTP/1.1 100 Continue\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
          == core::ErrorCode::None);
    CHECK(interim.completed == 1);
    CHECK(interim.response->status == 200);
    Reader head(MessageKind::Response);
    head.parser.nextMessage(true);
    CHECK(head.feedSlowly("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n") == core::ErrorCode::None);
    CHECK(head.completed == 1);
}

TEST_CASE("a message is incomplete if the connection ends before its framing says so")
{
    Reader length(MessageKind::Response);
    (void)length.feedSlowly("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    CHECK_FALSE(length.parser.finish().ok());
    CHECK(length.completed == 0);
    Reader chunked(MessageKind::Response);
    (void)chunked.feedSlowly("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    CHECK_FALSE(chunked.parser.finish().ok());
    CHECK(chunked.completed == 0);
    Reader open(MessageKind::Response);
    (void)open.feedSlowly("HTTP/1.1 200 OK\r\n\r\nab");
    CHECK(open.parser.finish().ok());
    CHECK(open.completed == 1);
}

// Guards against a target that sends bytes without end which belong to no body.
// Guards against a part of a head that is taken for an answer, and a short body for a whole one.
TEST_CASE("an answer that ends at any of its bytes is complete only where its framing says so")
{
    const bool slowly = GENERATE(false, true);
    for (const http::BreakableAnswer &answer : http::breakableAnswers()) {
        for (size_t bytes = 0; bytes <= answer.text.size(); ++bytes) {
            const std::string sent = answer.text.substr(0, bytes);
            INFO(sent);
            Reader reader(MessageKind::Response);
            reader.parser.nextMessage(answer.toHead);
            CHECK((slowly ? reader.feedSlowly(sent) == core::ErrorCode::None
                          : reader.parser.feed(sent).ok()));
            CHECK(reader.response.has_value() == (bytes >= answer.headBytes));
            CHECK(reader.parser.finish().ok() == answer.isComplete(bytes, false));
            CHECK(reader.completed == (answer.isComplete(bytes, false) ? 1 : 0));
            CHECK(reader.parser.complete() == answer.isComplete(bytes, false));
        }
    }
}

TEST_CASE("endless bytes that belong to no body are refused within a bound")
{
    struct Endless {
        std::string what;
        std::string beginning;
        std::string repeated;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Endless> answers{
        {"empty lines", "", "\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim answers without a reason", "", "HTTP/1.1 102\r\n\r\n"},
        {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"one field", "HTTP/1.1 200 OK\r\nA: ", "b"},
        {"a reason", "HTTP/1.1 200 ", "OK"},
        {"spaces before a value", "HTTP/1.1 200 OK\r\nA:", "    "},
        {"digits of a chunk's length", chunked, "0000"},
        {"an extension of a chunk", chunked + "1;", "abcd"},
        {"fields after a chunked body", chunked + "0\r\n", "A: b\r\n"},
    };
    constexpr size_t Bound = size_t{512} * 1024;
    for (const Endless &answer : answers) {
        INFO(answer.what);
        Reader reader(MessageKind::Response);
        REQUIRE(reader.parser.feed(answer.beginning).ok());
        std::string piece;
        while (piece.size() < 1024) {
            piece += answer.repeated;
        }
        size_t fed = 0;
        bool refused = false;
        while (!refused && fed < 2 * Bound) {
            refused = !reader.parser.feed(piece).ok();
            fed += piece.size();
        }
        CHECK(refused);
        CHECK(fed <= Bound);
    }
}

TEST_CASE("a body in chunks of one byte is accepted")
{
    Reader reader(MessageKind::Response);
    REQUIRE(reader.parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok());
    for (int count = 0; count < 200'000; ++count) {
        REQUIRE(reader.parser.feed("1\r\nx\r\n").ok());
    }
    REQUIRE(reader.parser.feed("0\r\n\r\n").ok());
    CHECK(reader.completed == 1);
}

// Guards against a status that is no final status of HTTP and yet is relayed or skipped: of 000 or
// 20, which were skipped, the body was handed on without a head.
TEST_CASE("an answer whose status is no final status of HTTP is refused before any part of it")
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
                                        "00200",
                                        "0100",
                                        "20x",
                                        "abc",
                                        "2 00",
                                        "-20",
                                        "101",
                                        "");
    const std::string inFront = GENERATE(as<std::string>{},
                                         "",
                                         "\r\n",
                                         "HTTP/1.1 100 Continue\r\n\r\n",
                                         "HTTP/1.1 103 Early Hints\nLink: </a>\n\n\r\n");
    const std::string rest
        = GENERATE(as<std::string>{},
                   " OK\r\nContent-Length: 4\r\n\r\nbody",
                   " OK\r\n\r\nbody",
                   "\n\nbody",
                   " OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    const std::string text = std::string(inFront).append("HTTP/1.1 ").append(status).append(rest);
    INFO(text);
    Reader whole(MessageKind::Response);
    CHECK(core::errorCodeOf(whole.parser.feed(text).status()) == core::ErrorCode::InvalidRequest);
    Reader slow(MessageKind::Response);
    CHECK(slow.feedSlowly(text) == core::ErrorCode::InvalidRequest);
    for (const Reader *reader : {&whole, &slow}) {
        CHECK_FALSE(reader->response);
        CHECK(reader->body.empty());
        CHECK(reader->completed == 0);
    }
}

// Guards against an interim answer that ends the exchange, as if it were the final one.
TEST_CASE("an answer that ends after interim answers is incomplete")
{
    Reader reader(MessageKind::Response);
    CHECK(reader.feedSlowly("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Any\r\nX: y\r\n\r\n")
          == core::ErrorCode::None);
    CHECK_FALSE(reader.parser.finish().ok());
    CHECK_FALSE(reader.response);
    CHECK(reader.completed == 0);
}

// Guards against the body of an interim answer, which HTTP doesn't allow, that is handed on without
// a head, or in front of the final one.
TEST_CASE("an interim answer with a body is refused")
{
    const std::string body = GENERATE(as<std::string>{},
                                      "Content-Length: 4\r\n\r\nbody",
                                      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    const std::string text
        = "HTTP/1.1 100 Continue\r\n" + body + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    INFO(text);
    Reader reader(MessageKind::Response);
    CHECK(reader.feedSlowly(text) == core::ErrorCode::InvalidRequest);
    CHECK_FALSE(reader.response);
    CHECK(reader.body.empty());
}

// Guards against a body without a head: http_parser takes a field whose name begins like
// Transfer-Encoding for framing.
TEST_CASE("an interim answer has no body whatever its fields are")
{
    Reader reader(MessageKind::Response);
    CHECK(reader.feedSlowly("HTTP/1.1 100 Continue\r\nTransfer-Encodings: x\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
          == core::ErrorCode::None);
    CHECK(reader.completed == 1);
    REQUIRE(reader.response);
    CHECK(reader.response->status == 200);
    CHECK(reader.body == "ok");
}

// Guards against sound answers that the check of the status refuses.
TEST_CASE("each status from 200 to 599 is accepted, in every form of its line")
{
    for (int status = 200; status < 600; ++status) {
        const std::string line = "HTTP/1.1 " + std::to_string(status);
        for (const std::string_view rest : {" OK\r\n", "\r\n", " \r\n", " 1234\n", "\n"}) {
            Reader reader(MessageKind::Response);
            const std::string text
                = std::string("\r\nHTTP/1.0 103\r\nConnection: keep-alive\r\n\r\n")
                      .append(line)
                      .append(rest)
                      .append("Content-Length: 0\r\n\r\n");
            INFO(text);
            CHECK(reader.feedSlowly(text) == core::ErrorCode::None);
            CHECK(reader.completed == 1);
            Reader whole(MessageKind::Response);
            CHECK(whole.parser.feed(text + "next").value_or(0) == text.size());
            REQUIRE(whole.response);
            CHECK(whole.response->status == status);
        }
    }
}

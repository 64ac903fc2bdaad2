#include "platform/callerwire.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using platform::CallerWire;

namespace
{

net::IncomingRequest streamRequest()
{
    net::IncomingRequest incoming;
    incoming.head.method = "POST";
    incoming.head.target = "/lohu930/2f?a=b";
    incoming.head.headers = {{"Host", "ficu95.example"},
                             {"X-Request-Id", "9c41d07be2a35f68"},
                             {"X-Model", "m"},
                             {"X-Token-Usage", "1460,80"},
                             {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                             {"X-Deadline-Ms", "12000"},
                             {"X-Length-Hint", "40"},
                             {"Authorization", "Bearer secret"},
                             {"X-Tenant", "forged"},
                             {"X-Hold", "forged"},
                             {"Kv-From", "forged"},
                             {"X-Other", "kept"},
                             {"Connection", "keep-alive, X-Hop"},
                             {"X-Hop", "dropped"}};
    incoming.body = "body";
    return incoming;
}

core::ErrorCode errorWithHeader(std::string_view name, std::string_view value)
{
    net::IncomingRequest incoming = streamRequest();
    incoming.head.headers.set(name, value);
    return core::errorCodeOf(CallerWire().decodeRequest(incoming).status());
}

} // namespace

TEST_CASE("a caller's headers are decoded into the request's fields")
{
    const auto request = CallerWire().decodeRequest(streamRequest());
    REQUIRE(request.ok());
    CHECK(request->id == "9c41d07be2a35f68");
    CHECK(request->host == "ficu95.example");
    CHECK(request->key == "secret");
    CHECK(request->timeout == core::Duration(12s));
    CHECK(request->promptTokens == 1460);
    CHECK(request->maximumOutputTokens == 80);
    CHECK(request->expectedOutputTokens == 40);
    REQUIRE(request->prompt.size() == 3);
    CHECK(request->prompt[0].id == 0x5c1e07a2);
    CHECK(request->prompt[2].tokens == 250);
}

TEST_CASE("malformed headers are refused, but a malformed length estimate is ignored")
{
    CHECK(errorWithHeader("X-Deadline-Ms", "soon") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Deadline-Ms", "nan") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Deadline-Ms", "-5") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Token-Usage", "12") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Token-Usage", "-1,2") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Prompt-Prefix", "zz:1") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Prompt-Prefix", "a:1,") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("Last-Event-Id", "x") == core::ErrorCode::InvalidRequest);
    CHECK(errorWithHeader("X-Length-Hint", "many") == core::ErrorCode::None);
    net::IncomingRequest twoHosts = streamRequest();
    twoHosts.head.headers.add("Host", "other.example");
    CHECK_FALSE(CallerWire().decodeRequest(twoHosts).ok());
}

TEST_CASE(
    "an attempt carries the metadata and the caller's headers, without API key or forged ones")
{
    const auto request = CallerWire().decodeRequest(streamRequest());
    REQUIRE(request.ok());
    forwarding::AttemptMetadata metadata;
    metadata.targetId = "i-1";
    metadata.organisation = "payer";
    metadata.timeout = 1500ms;
    metadata.priority = 1;
    metadata.engine = true;
    metadata.lastEventId = 7;
    const net::RequestHead head = CallerWire().encodeAttempt(*request, metadata);
    CHECK(head.method == "POST");
    CHECK(head.target == "/lohu930/2f?a=b");
    CHECK(head.contentLength == 4);
    CHECK(head.headers.find("X-Request-Id") == "9c41d07be2a35f68");
    CHECK(head.headers.find("X-Token-Usage") == "1460,80");
    CHECK(head.headers.find("X-Expect-Instance") == "i-1");
    CHECK(head.headers.find("X-Tenant") == "payer");
    CHECK(head.headers.count("X-Tenant") == 1);
    CHECK(head.headers.find("X-Deadline-Ms") == "1500");
    CHECK(head.headers.find("X-Request-Priority") == "2");
    CHECK(head.headers.find("Last-Event-Id") == "7");
    CHECK(head.headers.find("X-Other") == "kept");
    for (const std::string_view dropped :
         {"Authorization", "X-Hold", "Kv-From", "Connection", "X-Hop"}) {
        CHECK_FALSE(head.headers.find(dropped));
    }
}

TEST_CASE("a refusal carries the request id and a Retry-After in fractions of a second")
{
    forwarding::CallerRequest request;
    request.id = "abc";
    const ingress::LocalAnswer answer = CallerWire().encodeRefusal(
        request, {core::RefusalReason::NoTarget, core::Outcome::NotRun, 250ms}, 503);
    CHECK(answer.head.status == 503);
    CHECK(answer.head.headers.find("X-Request-Id") == "abc");
    CHECK(answer.head.headers.find("Retry-After") == "0.250");
    CHECK(answer.body.find("not_run") != std::string::npos);
    const ingress::LocalAnswer final = CallerWire().encodeRefusal(
        request, {core::RefusalReason::UnknownService, core::Outcome::NotRun, {}}, 404);
    CHECK_FALSE(final.head.headers.find("Retry-After"));
}

TEST_CASE("a target's answer is decoded into request id, signature and whether the request ran")
{
    net::ResponseHead answer;
    answer.headers = {{"X-Request-Id", "abc"}, {"X-Response-Stamp", "3e1b.07"}};
    forwarding::AnswerMetadata metadata = CallerWire().decodeAnswer(answer);
    CHECK(metadata.requestId == "abc");
    CHECK(metadata.signedByTarget);
    CHECK_FALSE(metadata.notRun);
    answer.headers = {{"X-Not-Executed", "1"}};
    metadata = CallerWire().decodeAnswer(answer);
    CHECK(metadata.notRun);
    CHECK_FALSE(metadata.signedByTarget);
}

TEST_CASE("what a target says of itself is decoded only if it is clear")
{
    net::ResponseHead answer;
    const auto decode = [&answer](http::Headers headers) {
        answer.headers = std::move(headers);
        return CallerWire().decodeAnswer(answer);
    };
    CHECK(decode({{"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(decode({}).leaving);
    CHECK_FALSE(decode({{"Server-Leaving", "0"}}).leaving);
    CHECK_FALSE(decode({{"Server-Leaving", "yes"}}).leaving);
    CHECK_FALSE(decode({{"Server-Leaving", "1"}, {"Server-Leaving", "0"}}).leaving);
    CHECK(decode({{"Retry-After", "2"}}).retryAfter == core::Duration(2s));
    CHECK(decode({{"Retry-After", "0.25"}}).retryAfter == core::Duration(250ms));
    CHECK(decode({{"Retry-After", "1e30"}}).retryAfter == core::Duration(86'400s));
    for (const char *invalid : {"-1", "nan", "", "soon", "Fri, 31 Dec 2027 23:59:59 GMT"}) {
        CHECK_FALSE(decode({{"Retry-After", invalid}}).retryAfter);
    }
    CHECK_FALSE(decode({{"Retry-After", "2"}, {"Retry-After", "3"}}).retryAfter);
    CHECK_FALSE(decode({}).coldRemaining);
    CHECK(decode({{"X-Cold-Ms", "1500"}}).coldRemaining == core::Duration(1500ms));
    CHECK(decode({{"X-Cold-Ms", "0.5"}}).coldRemaining == core::Duration(500us));
    CHECK(decode({{"X-Cold-Ms", "0"}}).coldRemaining == core::Duration());
    CHECK(decode({{"X-Cold-Ms", "1e30"}}).coldRemaining == core::Duration(24h));
    for (const char *invalid : {"-1", "nan", "", "soon"}) {
        CHECK_FALSE(decode({{"X-Cold-Ms", invalid}}).coldRemaining);
    }
    CHECK_FALSE(decode({{"X-Cold-Ms", "2"}, {"X-Cold-Ms", "3"}}).coldRemaining);
}

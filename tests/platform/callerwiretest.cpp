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

core::ErrorCode errorWith(std::string_view name, std::string_view value)
{
    net::IncomingRequest incoming = streamRequest();
    incoming.head.headers.set(name, value);
    return core::errorCodeOf(CallerWire().decodeRequest(incoming).status());
}

} // namespace

TEST_CASE("a caller's request is decoded into what its headers say")
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

TEST_CASE("headers that can't be read are refused")
{
    CHECK(errorWith("X-Deadline-Ms", "soon") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Deadline-Ms", "nan") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Deadline-Ms", "-5") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Token-Usage", "12") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Token-Usage", "-1,2") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Prompt-Prefix", "zz:1") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Prompt-Prefix", "a:1,") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("Last-Event-Id", "x") == core::ErrorCode::InvalidRequest);
    CHECK(errorWith("X-Length-Hint", "many") == core::ErrorCode::None);
    net::IncomingRequest twoHosts = streamRequest();
    twoHosts.head.headers.add("Host", "other.example");
    CHECK_FALSE(CallerWire().decodeRequest(twoHosts).ok());
}

TEST_CASE("an attempt carries the caller's own headers and the instance's terms, but no key")
{
    const auto request = CallerWire().decodeRequest(streamRequest());
    REQUIRE(request.ok());
    forwarding::AttemptMetadata terms;
    terms.targetId = "i-1";
    terms.organisation = "payer";
    terms.timeout = 1500ms;
    terms.priority = 1;
    terms.engine = true;
    terms.lastEventId = 7;
    const net::RequestHead head = CallerWire().encodeAttempt(*request, terms);
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

TEST_CASE("a refusal names the request and tells when to come back, in fractions of a second")
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

TEST_CASE("a target's answer says whose it is, whether it is signed and whether it ran")
{
    net::ResponseHead answer;
    answer.headers = {{"X-Request-Id", "abc"}, {"X-Response-Stamp", "3e1b.07"}};
    forwarding::AnswerMetadata terms = CallerWire().decodeAnswer(answer);
    CHECK(terms.requestId == "abc");
    CHECK(terms.signedByTarget);
    CHECK_FALSE(terms.notRun);
    answer.headers = {{"X-Not-Executed", "1"}};
    terms = CallerWire().decodeAnswer(answer);
    CHECK(terms.notRun);
    CHECK_FALSE(terms.signedByTarget);
}

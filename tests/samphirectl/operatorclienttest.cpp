#include "samphirebridge/samphirectl/operatorclient.h"

#include "tests/samphirectl/stubserver.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

namespace
{

const OperatorRequest Read{.path = "/v1/status"};
const OperatorRequest Change{.kind = RequestKind::Change,
                             .method = "POST",
                             .path = "/v1/budgets/a%2Fb/top-up",
                             .contentType = "application/json",
                             .body = R"({"tokens":1,"change_id":"c-1"})"};

OperatorClient makeClient(std::vector<std::string> endpoints)
{
    return OperatorClient(
        {.endpoints = std::move(endpoints), .token = "t0ken", .timeout = std::chrono::seconds(30)});
}

} // namespace

TEST_CASE("a request has its token, path and body, and the answer its manifest version")
{
    StubServer server(jsonAnswer(200, "{}"));
    const auto answer = makeClient({server.endpoint() + "/"}).send(Change);
    REQUIRE(answer.ok());
    CHECK(answer->status == 200);
    CHECK(answer->body == "{}");
    CHECK(answer->manifestVersion == 7);
    const std::string request = server.requests().at(0);
    CHECK(request.starts_with("POST /v1/budgets/a%2Fb/top-up HTTP/1.1\r\n"));
    CHECK(request.find("\r\nAuthorization: Bearer t0ken\r\n") != std::string::npos);
    CHECK(request.ends_with("\r\n\r\n" + Change.body));
}

TEST_CASE(
    "a change is sent to the next endpoint, with the same change id, if nothing was sent before")
{
    StubServer server(jsonAnswer(200, "{}"));
    const auto answer = makeClient({closedEndpoint(), server.endpoint()}).send(Change);
    REQUIRE(answer.ok());
    REQUIRE(server.requests().size() == 1);
    CHECK(server.requests()[0].ends_with(Change.body));
}

TEST_CASE("a change that was sent but not answered is not sent again")
{
    StubServer silent("");
    StubServer other(jsonAnswer(200, "{}"));
    const auto answer = makeClient({silent.endpoint(), other.endpoint()}).send(Change);
    CHECK(core::errorCodeOf(answer.status()) == core::ErrorCode::OutcomeUnknown);
    CHECK(silent.requests().size() == 1);
    CHECK(other.requests().empty());
}

TEST_CASE("the outcome of a change is unknown if its answer is truncated")
{
    StubServer truncated("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"ver");
    const auto answer = makeClient({truncated.endpoint()}).send(Change);
    CHECK(core::errorCodeOf(answer.status()) == core::ErrorCode::OutcomeUnknown);
}

TEST_CASE("a read is sent to the next endpoint, and Unreachable is returned if none can be reached")
{
    StubServer silent("");
    StubServer other(jsonAnswer(200, "{}"));
    CHECK(makeClient({silent.endpoint(), other.endpoint()}).send(Read).ok());
    for (const OperatorRequest &request : {Read, Change}) {
        const auto answer = makeClient({closedEndpoint(), closedEndpoint()}).send(request);
        CHECK(core::errorCodeOf(answer.status()) == core::ErrorCode::Unreachable);
    }
}

TEST_CASE("an endpoint that is not an http URL is refused, and a redirect is not followed")
{
    CHECK(core::errorCodeOf(makeClient({"ftp://127.0.0.1"}).send(Read).status())
          == core::ErrorCode::InvalidRequest);
    StubServer other(jsonAnswer(200, "{}"));
    StubServer redirect("HTTP/1.1 307 X\r\nContent-Length: 0\r\nLocation: " + other.endpoint()
                        + "/\r\n\r\n");
    CHECK(makeClient({redirect.endpoint()}).send(Read)->status == 307);
    CHECK(other.requests().empty());
}

TEST_CASE("escapePath percent-encodes ids")
{
    CHECK(escapePath("a/b c%\xC3\xB1~") == "a%2Fb%20c%25%C3%B1~");
}

#include "platform/declarationwire.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using platform::decodeDeclaration;

namespace
{

const std::string Document = R"({"Version":7,"Routes":[
{"Name":"r-1","Host":"ficu95.example","PathPrefix":"/pufi791/","Kind":"streaming","TimeoutMs":12000,
 "TargetLatencyMs":400,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"AllowAnonymous":false,
 "Sticky":true,"StreamResume":true,"TargetGapMs":400},
{"Name":"r-2","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"non_idempotent",
 "TimeoutMs":15000,"TrafficSplit":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}]}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":610,
 "Engine":{"Slots":128,"KvCacheTokens":784767,"Stride":5,"Models":[{"Name":"m"}]}},
 {"Name":"wuno96b","HealthPath":"/health","MaxConnections":96}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["k1","k2"],"Priority":1,"Prepaid":8723191}],"Unknown":{"a":1}})";

core::ErrorCode errorOf(std::string_view text)
{
    return core::errorCodeOf(decodeDeclaration(text).status());
}

std::string documentWith(std::string_view original, std::string_view replacement)
{
    std::string text = Document;
    const size_t position = text.find(original);
    REQUIRE(position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

} // namespace

TEST_CASE("a configuration document is decoded")
{
    const auto declaration = decodeDeclaration(Document);
    REQUIRE(declaration.ok());
    CHECK(declaration->version == 7);
    REQUIRE(declaration->routes.size() == 2);
    const forwarding::Route &stream = declaration->routes[0];
    CHECK(stream.kind == forwarding::RequestKind::Stream);
    CHECK(stream.resumable);
    CHECK(stream.engine);
    CHECK(stream.timeout == core::Duration(12s));
    CHECK(stream.latencyObjective == core::Duration(400ms));
    CHECK(stream.maximumTargets == 2);
    CHECK(stream.services.front().service == core::ServiceId("huvo11a"));
    const forwarding::Route &split = declaration->routes[1];
    CHECK(split.kind == forwarding::RequestKind::Once);
    CHECK(split.services[1].weight == 10);
    CHECK(declaration->services[0].engine->tokensPerEvent == 5);
    CHECK_FALSE(declaration->services[1].engine);
    CHECK(declaration->organisations[0].keys.size() == 2);
    CHECK(declaration->organisations[0].purchased == core::Tokens{8'723'191});
    CHECK(declaration->organisations[0].priority == 1);
    CHECK(declaration->limits.headTimeout == core::Duration(3s));
}

TEST_CASE("a truncated configuration document is refused")
{
    for (size_t length = 0; length < Document.size(); length += 7) {
        CHECK(errorOf(Document.substr(0, length)) == core::ErrorCode::InvalidManifest);
    }
}

TEST_CASE("missing, mistyped and duplicate members of a configuration document are refused")
{
    CHECK(errorOf(documentWith("\"Version\":7", "\"Version\":\"7\""))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("\"Version\":7", "\"Version\":-7"))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("\"Version\":7", "\"Version\":7,\"Version\":8"))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("\"Routes\":[", "\"Ways\":[")) == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("\"PathPrefix\":\"/pufi791/\"", "\"PathPrefix\":5"))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("\"TimeoutMs\":12000", "\"TimeoutMs\":\"long\""))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf(documentWith("[\"k1\",\"k2\"]", "[\"k1\",2]"))
          == core::ErrorCode::InvalidManifest);
    CHECK(errorOf("[]") == core::ErrorCode::InvalidManifest);
}

TEST_CASE("allowed regions of routes and organisations and the cold rates of services are decoded")
{
    const auto plain = decodeDeclaration(Document);
    REQUIRE(plain.ok());
    CHECK(plain->routes[0].allowedRegions.empty());
    CHECK(plain->organisations[0].allowedRegions.empty());
    CHECK(plain->services[0].coldRequestsPerSecond == 0);
    CHECK(plain->services[0].coldStart == core::Duration());

    const auto route = decodeDeclaration(
        documentWith("\"Sticky\":true", R"("Sticky":true,"AllowedRegions":["andes","iberia"])"));
    REQUIRE(route.ok());
    CHECK(route->routes[0].allowedRegions == std::vector<std::string>{"andes", "iberia"});
    CHECK(route->routes[1].allowedRegions.empty());

    const auto organisation = decodeDeclaration(
        documentWith("\"Prepaid\":", R"("AllowedRegions":["andes"],"Prepaid":)"));
    REQUIRE(organisation.ok());
    CHECK(organisation->organisations[0].allowedRegions == std::vector<std::string>{"andes"});

    const auto service = decodeDeclaration(
        documentWith("\"MaxConnections\":96", R"("ColdStartS":2.5,"ColdPerS":0.25)"));
    REQUIRE(service.ok());
    CHECK(service->services[1].coldStart == core::Duration(2500ms));
    CHECK(service->services[1].coldRequestsPerSecond == 0.25);
    CHECK(service->services[0].coldRequestsPerSecond == 0);
}

// Guards against a list that is taken for absent, and then restricts nothing.
TEST_CASE(
    "allowed regions of another type are refused, and an empty or null list restricts nothing")
{
    const auto withRegions = [](const std::string &value) {
        return documentWith("\"Sticky\":true", "\"Sticky\":true,\"AllowedRegions\":" + value);
    };
    for (const char *value : {"[]", "null"}) {
        const auto declaration = decodeDeclaration(withRegions(value));
        REQUIRE(declaration.ok());
        CHECK(declaration->routes[0].allowedRegions.empty());
    }
    for (const char *value :
         {"\"andes\"", "[\"andes\",7]", "[null]", "{\"andes\":true}", "false"}) {
        INFO(value);
        CHECK(errorOf(withRegions(value)) == core::ErrorCode::InvalidManifest);
        CHECK(errorOf(documentWith("\"Prepaid\":",
                                   fmt::format("\"AllowedRegions\":{},\"Prepaid\":", value)))
              == core::ErrorCode::InvalidManifest);
    }
}

// Guards against values beyond the range of the integer types that they are converted to.
TEST_CASE("extreme cold rates and times of a service are limited")
{
    const auto declaration = decodeDeclaration(
        documentWith("\"MaxConnections\":96", R"("ColdStartS":1e300,"ColdPerS":1e300)"));
    REQUIRE(declaration.ok());
    CHECK(declaration->services[1].coldStart == core::Duration(24h));
    CHECK(declaration->services[1].coldRequestsPerSecond == 1e6);
    const auto negative = decodeDeclaration(
        documentWith("\"MaxConnections\":96", R"("ColdStartS":-1,"ColdPerS":-1)"));
    REQUIRE(negative.ok());
    CHECK(negative->services[1].coldStart == core::Duration());
    CHECK(negative->services[1].coldRequestsPerSecond == 0);
    CHECK(errorOf(documentWith("\"MaxConnections\":96", R"("ColdPerS":"14")"))
          == core::ErrorCode::InvalidManifest);
}
